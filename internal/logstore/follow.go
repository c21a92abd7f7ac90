package logstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/galenagrade/galenagrade/internal/wait"
)

// Sink consumes the entries that Follow reads. Its methods are called by one goroutine.
type Sink interface {
	// Next returns the offset to read from.
	Next() int64
	// OnPage consumes a page that was read from Next. sent is the local time at which the read
	// was sent. Up to page.Next, the page contains every record whose append was acknowledged
	// before sent.
	OnPage(page Page, sent time.Time)
	// OnTruncated reports that the entries below oldest have expired.
	OnTruncated(oldest int64)
	// OnReadFailed reports the error of a read, which Follow retries.
	OnReadFailed(err error)
}

// FollowConfig configures the reads of Follow.
type FollowConfig struct {
	// Wait is how long a read waits at the log's head for a new entry.
	Wait time.Duration
	// MaxEntries limits the number of entries in one page.
	MaxEntries int
	// MinBackoff and MaxBackoff limit the delay after a failed read.
	MinBackoff, MaxBackoff time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Rand is the source of the backoff's jitter; nil means one seeded from the global source.
	Rand *rand.Rand
}

// DefaultFollowConfig returns the settings of a zone's reader.
func DefaultFollowConfig() FollowConfig {
	return FollowConfig{
		Wait:       time.Second,
		MaxEntries: 1024,
		MinBackoff: 50 * time.Millisecond,
		MaxBackoff: 2 * time.Second,
	}
}

// Follow reads log into sink until ctx ends. During an outage it retries with backoff; the
// sink keeps its state, and reading resumes at sink.Next.
func Follow(ctx context.Context, log Log, cfg FollowConfig, sink Sink) error {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	failures := 0
	for ctx.Err() == nil {
		sent := cfg.Now()
		page, err := log.Read(ctx, sink.Next(), cfg.MaxEntries, cfg.Wait)
		if err == nil {
			failures = 0
			sink.OnPage(page, sent)
			// Prevents a busy loop if the log returns an empty page without waiting.
			if len(page.Entries) == 0 && cfg.Now().Sub(sent) < cfg.MinBackoff {
				wait.For(ctx, cfg.MinBackoff)
			}
			continue
		}
		var truncated *TruncatedError
		if errors.As(err, &truncated) {
			sink.OnTruncated(truncated.Oldest)
		} else {
			sink.OnReadFailed(err)
		}
		// The delay also follows a truncation, to prevent a busy loop if records expire faster
		// than they can be read.
		failures++
		if !wait.For(ctx, backoff(cfg.Rand, cfg.MinBackoff, cfg.MaxBackoff, failures)) {
			break
		}
	}
	return ctx.Err()
}

// backoff returns an exponential delay between low and high. The delay has jitter over its
// upper half, so that nodes that lost the log at the same time do not all return to it at the
// same time.
func backoff(rng *rand.Rand, low, high time.Duration, failures int) time.Duration {
	bound := high
	if shift := failures - 1; shift < 16 {
		bound = min(bound, low<<shift)
	}
	half := bound / 2
	return half + time.Duration(rng.Int64N(int64(half)+1))
}
