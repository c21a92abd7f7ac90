// Package logd is a stand-in for the platform's log service, for tests and
// demos: an append-only log in memory with configurable limits and injected
// faults.
package logd

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// Knobs are the limits and injected faults of the log. The zero value has no
// limits, no faults and no expiry.
type Knobs struct {
	// AppendsPerSecond is the rate limit of appends; those beyond it fail with
	// ErrOverloaded. 0 means no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// RetentionMillis is the age at which entries expire, in ms; 0 means never.
	RetentionMillis int64 `json:"retention_ms"`
	// Outage fails every request immediately with ErrUnavailable.
	Outage bool `json:"outage"`
	// Hang blocks every request until its context ends or Hang is reset.
	Hang bool `json:"hang"`
	// DelayMillis delays each request, in ms.
	DelayMillis int64 `json:"delay_ms"`
	// AckLoss is the probability that an append takes effect and fails with
	// ErrUncertain, as when its acknowledgement is lost.
	AckLoss float64 `json:"ack_loss"`
	// AcksToLose is the number of further appends that take effect and fail with
	// ErrUncertain, regardless of AckLoss.
	AcksToLose int `json:"lose_acks"`
}

// Options configure a Server.
type Options struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Seed seeds the random source of AckLoss.
	Seed uint64
}

// Server is the log. It implements logstore.Log in process; Handler serves the
// same operations over HTTP. Safe for concurrent use.
type Server struct {
	now func() time.Time

	mu         sync.Mutex
	knobs      Knobs
	rng        *rand.Rand
	entries    []storedEntry
	oldest     int64
	appends    int64
	tokens     float64
	lastRefill time.Time
	// appended is closed and replaced at each append, which wakes waiting reads.
	appended chan struct{}
	// knobsChanged is closed and replaced when the knobs change, which wakes
	// requests blocked by Hang.
	knobsChanged chan struct{}
}

type storedEntry struct {
	entry      logstore.Entry
	appendedAt time.Time
}

var (
	_ logstore.Log = (*Server)(nil)

	errOutage  = errors.New("log stand-in is unavailable: outage is injected")
	errAckLost = errors.New("log stand-in lost the acknowledgement of the append: ack loss is injected")
)

// New returns an empty log.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Server{
		now:          opts.Now,
		rng:          rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		lastRefill:   opts.Now(),
		appended:     make(chan struct{}),
		knobsChanged: make(chan struct{}),
	}
}

// Knobs returns the current knobs.
func (s *Server) Knobs() Knobs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knobs
}

// SetKnobs replaces the knobs. Requests blocked by Hang proceed when k resets it.
func (s *Server) SetKnobs(k Knobs) {
	s.Update(func(current *Knobs) { *current = k })
}

// Update changes the knobs in place. change must not call the Server: it runs
// under the Server's lock.
func (s *Server) Update(change func(*Knobs)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.knobs)
	close(s.knobsChanged)
	s.knobsChanged = make(chan struct{})
}

// Truncate expires every entry with an offset below oldest.
func (s *Server) Truncate(oldest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncateLocked(oldest)
}

// Appends returns the number of appends that took effect, acknowledged or not.
func (s *Server) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Append implements logstore.Log.
func (s *Server) Append(ctx context.Context, records []logstore.Record) (int64, error) {
	if err := logstore.CheckRecords(records); err != nil {
		return 0, err
	}
	if err := s.applyFaults(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if retryAfter := s.takeTokenLocked(); retryAfter > 0 {
		return 0, &logstore.OverloadedError{RetryAfter: retryAfter}
	}
	first := s.appendLocked(records)
	if s.loseAckLocked() {
		return 0, &logstore.UncertainError{Cause: &logstore.UnavailableError{Cause: errAckLost}}
	}
	return first, nil
}

// Read implements logstore.Log.
func (s *Server) Read(ctx context.Context, from int64, max int, wait time.Duration) (logstore.Page, error) {
	if err := s.applyFaults(ctx); err != nil {
		return logstore.Page{}, err
	}
	max = clamp(max, logstore.MaxPageEntries)
	timer := time.NewTimer(min(wait, logstore.MaxWait))
	defer timer.Stop()
	for {
		page, appended, err := s.readPage(from, max)
		if err != nil || len(page.Entries) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return logstore.Page{}, &logstore.UnavailableError{Cause: ctx.Err()}
		}
	}
}

// Head implements logstore.Log.
func (s *Server) Head(ctx context.Context) (int64, error) {
	if err := s.applyFaults(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headLocked(), nil
}

// applyFaults applies Outage, Hang and DelayMillis to a request. A request that
// fails here has not taken effect.
func (s *Server) applyFaults(ctx context.Context) error {
	for {
		s.mu.Lock()
		k, knobsChanged := s.knobs, s.knobsChanged
		s.mu.Unlock()
		if k.Outage {
			return &logstore.UnavailableError{Cause: errOutage}
		}
		if !k.Hang {
			return delay(ctx, time.Duration(k.DelayMillis)*time.Millisecond)
		}
		select {
		case <-knobsChanged:
		case <-ctx.Done():
			return &logstore.UnavailableError{Cause: ctx.Err()}
		}
	}
}

// readPage returns at most max entries, starting at offset from, without waiting for
// more, and the channel that the next append closes. A page holds the first entry
// whatever its size, and further ones while the bodies together are at most
// MaxPageBytes/2.
func (s *Server) readPage(from int64, max int) (logstore.Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	head := s.headLocked()
	if from < s.oldest {
		return logstore.Page{}, nil, &logstore.TruncatedError{From: from, Oldest: s.oldest}
	}
	page := logstore.Page{Next: from, Head: head, Oldest: s.oldest}
	bytes := 0
	for page.Next < head && len(page.Entries) < max {
		e := s.entries[page.Next-s.oldest].entry
		bytes += len(e.Record.Body)
		if len(page.Entries) > 0 && bytes > logstore.MaxPageBytes/2 {
			break
		}
		page.Entries = append(page.Entries, e)
		page.Next++
	}
	return page, s.appended, nil
}

func (s *Server) headLocked() int64 { return s.oldest + int64(len(s.entries)) }

func (s *Server) appendLocked(records []logstore.Record) int64 {
	s.expireLocked()
	first := s.headLocked()
	now := s.now()
	for i, r := range records {
		e := logstore.Entry{Offset: first + int64(i), Record: r}
		s.entries = append(s.entries, storedEntry{entry: e, appendedAt: now})
	}
	s.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

func (s *Server) expireLocked() {
	if s.knobs.RetentionMillis <= 0 {
		return
	}
	cutoff := s.now().Add(-time.Duration(s.knobs.RetentionMillis) * time.Millisecond)
	n := 0
	for n < len(s.entries) && s.entries[n].appendedAt.Before(cutoff) {
		n++
	}
	s.truncateLocked(s.oldest + int64(n))
}

func (s *Server) truncateLocked(oldest int64) {
	n := min(oldest-s.oldest, int64(len(s.entries)))
	if n <= 0 {
		return
	}
	s.entries = append([]storedEntry(nil), s.entries[n:]...)
	s.oldest += n
}

// takeTokenLocked takes a token of the rate limit and returns 0. Without a token it
// returns the time until the next one.
func (s *Server) takeTokenLocked() time.Duration {
	rate := s.knobs.AppendsPerSecond
	if rate <= 0 {
		return 0
	}
	now := s.now()
	s.tokens = min(max(1, rate/10), s.tokens+rate*now.Sub(s.lastRefill).Seconds())
	s.lastRefill = now
	if s.tokens < 1 {
		return time.Duration((1 - s.tokens) / rate * float64(time.Second))
	}
	s.tokens--
	return 0
}

func (s *Server) loseAckLocked() bool {
	if s.knobs.AcksToLose > 0 {
		s.knobs.AcksToLose--
		return true
	}
	return s.knobs.AckLoss > 0 && s.rng.Float64() < s.knobs.AckLoss
}

// clamp returns n bounded to 1..limit.
func clamp(n, limit int) int { return min(max(n, 1), limit) }

// delay blocks for d. It fails with ErrUnavailable when ctx ends first.
func delay(ctx context.Context, d time.Duration) error {
	if d > 0 && !wait.For(ctx, d) {
		return &logstore.UnavailableError{Cause: ctx.Err()}
	}
	return nil
}
