package retry

import (
	"math"
	"time"
)

// BudgetConfig bounds the retries that one guard admits.
type BudgetConfig struct {
	// Ratio is the maximum number of retries per first attempt, over all guards of the service.
	// Each guard applies guardRatioFactor times this ratio.
	Ratio float64
	// Floor is the number of retries allowed in each window in addition to Ratio.
	Floor float64
	// Window is the time over which first attempts and retries are counted. 0 disables the budget.
	Window time.Duration
}

// windowBuckets is the number of buckets of a window. A retry stays counted for up to one bucket
// length, a tenth of the window, after it has left the window.
const windowBuckets = 10

// guardRatioFactor is the part of the configured ratio that each guard applies. A guard compares
// its retries with its own first attempts in the window that ends at its latest retry. These
// windows end at different times at different guards, but all of them lie within two consecutive
// windows. If these two have a and b first attempts, the guards admit at most
// guardRatioFactor*Ratio*(a+b) retries in addition to the floor. Because a+b is at most twice
// max(a, b) and the factor is one half, that is at most Ratio*max(a, b). So the bound of the
// service holds for any distribution of first attempts and retries over guards and time.
const guardRatioFactor = 0.5

// Budget bounds the retries that one guard admits. Each guard of a service receives a part of the
// first attempts and of the retries. It admits retries up to guardRatioFactor*Ratio of its own
// first attempts plus its part of the floor, so that the sum over all guards stays within the bound
// of the service in every window. This needs no messages between guards. A Budget is not safe for
// concurrent use.
//
// It prevents retry amplification: an upstream fails a part of its calls, every sender retries, and
// each retried call makes its own calls again to the services behind it. Without the bound, the
// deepest service receives a multiple of its load when it has the least spare capacity.
type Budget struct {
	cfg     BudgetConfig
	buckets [windowBuckets + 1]budgetBucket
}

type budgetBucket struct {
	// index is the number of bucket lengths between the Unix epoch and the bucket.
	index         int64
	firstAttempts float64
	retries       float64
}

// NewBudget returns a budget with all counts at zero.
func NewBudget(cfg BudgetConfig) *Budget { return &Budget{cfg: cfg} }

// Reconfigure replaces the bounds. It keeps the counts unless the window changes.
func (b *Budget) Reconfigure(cfg BudgetConfig) {
	if cfg.Window != b.cfg.Window {
		b.buckets = [windowBuckets + 1]budgetBucket{}
	}
	b.cfg = cfg
}

// RecordFirstAttempt counts a first attempt sent by a caller.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	if b.cfg.Window > 0 {
		b.bucket(now).firstAttempts++
	}
}

// TryRetry reports whether a retry is allowed at now, and counts it if so.
func (b *Budget) TryRetry(now time.Time) bool {
	if b.cfg.Window <= 0 {
		return true
	}
	firstAttempts, retries := b.windowCounts(now)
	if retries+1 > b.maxRetries(firstAttempts) {
		return false
	}
	b.bucket(now).retries++
	return true
}

// RetriesLeft returns the number of retries allowed at now. It is infinite if the budget is
// disabled.
func (b *Budget) RetriesLeft(now time.Time) float64 {
	if b.cfg.Window <= 0 {
		return math.Inf(1)
	}
	firstAttempts, retries := b.windowCounts(now)
	return max(0, b.maxRetries(firstAttempts)-retries)
}

func (b *Budget) maxRetries(firstAttempts float64) float64 {
	return guardRatioFactor*b.cfg.Ratio*firstAttempts + b.cfg.Floor
}

func (b *Budget) bucketIndex(now time.Time) int64 {
	return now.UnixNano() / (int64(b.cfg.Window) / windowBuckets)
}

func (b *Budget) bucket(now time.Time) *budgetBucket {
	n := b.bucketIndex(now)
	p := &b.buckets[n%int64(len(b.buckets))]
	if p.index != n {
		*p = budgetBucket{index: n}
	}
	return p
}

// windowCounts returns the first attempts in the window, and the retries in the window and in the
// bucket that is leaving it. So first attempts are counted for slightly less than a window and
// retries for slightly more. Both inaccuracies make the budget stricter.
func (b *Budget) windowCounts(now time.Time) (firstAttempts, retries float64) {
	n := b.bucketIndex(now)
	for i := range b.buckets {
		p := &b.buckets[i]
		age := n - p.index
		if age < 0 || age > windowBuckets {
			continue
		}
		retries += p.retries
		if age < windowBuckets {
			firstAttempts += p.firstAttempts
		}
	}
	return firstAttempts, retries
}
