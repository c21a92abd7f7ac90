package logstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/galenagrade/galenagrade/internal/wait"
)

// Sink is what a follower feeds. Its methods are called by one goroutine.
type Sink interface {
	// Next returns the offset to read from.
	Next() int64
	// Take gets a page that was read from Next. sent is when the read was
	// sent, by the local clock: the page holds every append acknowledged
	// before that, up to its Next.
	Take(page Page, sent time.Time)
	// Truncated says that the entries below oldest have expired.
	Truncated(oldest int64)
	// Failed gets the error of a read that is tried again.
	Failed(err error)
}

// FollowConfig bounds the reads of one follower.
type FollowConfig struct {
	// Wait is how long a read waits at the head.
	Wait time.Duration
	// MaxEntries bounds one page.
	MaxEntries int
	// MinBackoff and MaxBackoff bound the pause after a failed read.
	MinBackoff, MaxBackoff time.Duration
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	// Rand spreads the backoff; nil seeds one from the global source.
	Rand *rand.Rand
}

// DefaultFollowConfig returns the settings of a reader in a zone.
func DefaultFollowConfig() FollowConfig {
	return FollowConfig{
		Wait:       time.Second,
		MaxEntries: 1024,
		MinBackoff: 50 * time.Millisecond,
		MaxBackoff: 2 * time.Second,
	}
}

// Follow reads log into sink until ctx ends. An outage is ridden out: what was
// read stays in force, and reading goes on where it stopped.
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
			sink.Take(page, sent)
			// A log that does not wait at its head must not make this spin.
			if len(page.Entries) == 0 && cfg.Now().Sub(sent) < cfg.MinBackoff {
				wait.For(ctx, cfg.MinBackoff)
			}
			continue
		}
		var truncated *TruncatedError
		if errors.As(err, &truncated) {
			sink.Truncated(truncated.Oldest)
		} else {
			sink.Failed(err)
		}
		// The pause covers truncation too: with a log that expires faster
		// than it can be read, the loop must not spin.
		failures++
		if !wait.For(ctx, backoff(cfg.Rand, cfg.MinBackoff, cfg.MaxBackoff, failures)) {
			break
		}
	}
	return ctx.Err()
}

// backoff doubles from low up to high and spreads over its upper half: nodes
// that lost the log together must not come back together.
func backoff(rng *rand.Rand, low, high time.Duration, failures int) time.Duration {
	bound := high
	if shift := failures - 1; shift < 16 {
		bound = min(bound, low<<shift)
	}
	half := bound / 2
	return half + time.Duration(rng.Int64N(int64(half)+1))
}
