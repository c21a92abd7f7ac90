package retry

import (
	"math"
	"time"
)

// BudgetConfig bounds the repeats that one guard lets through.
type BudgetConfig struct {
	// Ratio of repeats to first attempts.
	Ratio float64
	// Floor is how many repeats are allowed in each window besides.
	Floor float64
	// Window is the time over which both are counted; 0 turns the bound off.
	Window time.Duration
}

// budgetParts divides the window: what has just left it counts for at most a
// tenth of it longer.
const budgetParts = 10

// certainShare of the ratio is what a guard allows itself. Guards make their last
// repeats at different moments of a window, each by the firsts of the window
// that ended then; together those lie in two windows, so at most twice as many
// firsts are counted as the busier of the two has. With half of the ratio the
// bound holds however firsts and repeats fall on guards and moments.
const certainShare = 0.5

// Budget bounds repeats at one guard. Each guard of a service sees a part of its
// first attempts and of its repeats; while each keeps to its share of the ratio
// for its own firsts and its part of the floor, the sum over all guards keeps to
// the bound of the whole service in every window, without a message between
// them. It is not safe for concurrent use.
//
// Load pattern: an upstream fails a part of its calls, every sender tries
// again, and each repeated call makes its own calls again at the services behind.
// Without the bound the deepest service gets a multiple of its load exactly when
// it has least room.
type Budget struct {
	cfg   BudgetConfig
	parts [budgetParts + 1]budgetPart
}

type budgetPart struct {
	// number counts parts of the window since the epoch.
	number  int64
	firsts  float64
	repeats float64
}

// NewBudget returns a budget that has seen nothing.
func NewBudget(cfg BudgetConfig) *Budget { return &Budget{cfg: cfg} }

// Reconfigure puts other bounds in force. What was counted counts on, unless the
// window changed.
func (b *Budget) Reconfigure(cfg BudgetConfig) {
	if cfg.Window != b.cfg.Window {
		b.parts = [budgetParts + 1]budgetPart{}
	}
	b.cfg = cfg
}

// RecordFirstAttempt counts a first attempt that callers sent.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	if b.cfg.Window > 0 {
		b.part(now).firsts++
	}
}

// TryRetry counts a repeat and reports whether it may go on.
func (b *Budget) TryRetry(now time.Time) bool {
	if b.cfg.Window <= 0 {
		return true
	}
	firsts, repeats := b.sum(now)
	if repeats+1 > b.allowed(firsts) {
		return false
	}
	b.part(now).repeats++
	return true
}

// RetriesLeft returns how many repeats may go on at now; infinitely many without a bound.
func (b *Budget) RetriesLeft(now time.Time) float64 {
	if b.cfg.Window <= 0 {
		return math.Inf(1)
	}
	firsts, repeats := b.sum(now)
	return max(0, b.allowed(firsts)-repeats)
}

func (b *Budget) allowed(firsts float64) float64 {
	return certainShare*b.cfg.Ratio*firsts + b.cfg.Floor
}

func (b *Budget) number(now time.Time) int64 {
	return now.UnixNano() / (int64(b.cfg.Window) / budgetParts)
}

func (b *Budget) part(now time.Time) *budgetPart {
	n := b.number(now)
	p := &b.parts[n%int64(len(b.parts))]
	if p.number != n {
		*p = budgetPart{number: n}
	}
	return p
}

// sum counts repeats over the whole window and the part that is leaving it, and
// firsts over the window alone: both errors are on the safe side.
func (b *Budget) sum(now time.Time) (firsts, repeats float64) {
	n := b.number(now)
	for i := range b.parts {
		p := &b.parts[i]
		age := n - p.number
		if age < 0 || age > budgetParts {
			continue
		}
		repeats += p.repeats
		if age < budgetParts {
			firsts += p.firsts
		}
	}
	return firsts, repeats
}
