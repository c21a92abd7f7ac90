// Package logd stands in for the platform's log service in tests and demos: an
// append-only log in memory, with the faults of the real one as knobs.
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

// Knobs are the limits and faults in force. The zero value is a log without
// limits that keeps everything.
type Knobs struct {
	// AppendsPerSecond refuses what exceeds it; 0 means no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// RetentionMillis is the age at which entries expire; 0 means never.
	RetentionMillis int64 `json:"retention_ms"`
	// Outage refuses every request at once.
	Outage bool `json:"outage"`
	// Hang holds every request until its caller gives up.
	Hang bool `json:"hang"`
	// DelayMillis is added before each request.
	DelayMillis int64 `json:"delay_ms"`
	// AckLoss is the share of appends that take effect unacknowledged.
	AckLoss float64 `json:"ack_loss"`
	// LoseAcks is how many of the next appends lose their acknowledgement.
	LoseAcks int `json:"lose_acks"`
}

// Options inject the clock and the random source.
type Options struct {
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	// Seed seeds the acknowledgement loss.
	Seed uint64
}

// Server is the log. It implements logstore.Log directly and is an
// http.Handler for the same over HTTP.
type Server struct {
	now func() time.Time

	mu      sync.Mutex
	knobs   Knobs
	rng     *rand.Rand
	entries []stored
	oldest  int64
	appends int64
	tokens  float64
	refill  time.Time
	// grown is closed and replaced at each append.
	grown chan struct{}
	// changed is closed and replaced when the knobs change.
	changed chan struct{}
}

type stored struct {
	entry logstore.Entry
	at    time.Time
}

var (
	_ logstore.Log = (*Server)(nil)

	errOutage  = errors.New("log stand-in is out")
	errAckLost = errors.New("log stand-in dropped the acknowledgement")
)

// New returns an empty log.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Server{
		now:     opts.Now,
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		refill:  opts.Now(),
		grown:   make(chan struct{}),
		changed: make(chan struct{}),
	}
}

// Knobs returns the knobs in force.
func (s *Server) Knobs() Knobs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knobs
}

// SetKnobs puts k in force; hanging requests go on when Hang ends.
func (s *Server) SetKnobs(k Knobs) {
	s.Update(func(now *Knobs) { *now = k })
}

// Update changes single knobs.
func (s *Server) Update(change func(*Knobs)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.knobs)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Truncate expires every entry below oldest.
func (s *Server) Truncate(oldest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncateLocked(oldest)
}

// Appends returns how many appends took effect.
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
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait := s.overLocked(); wait > 0 {
		return 0, &logstore.OverloadedError{RetryAfter: wait}
	}
	first := s.appendLocked(records)
	if s.loseAckLocked() {
		return 0, &logstore.UncertainError{Cause: &logstore.UnavailableError{Cause: errAckLost}}
	}
	return first, nil
}

// Read implements logstore.Log.
func (s *Server) Read(ctx context.Context, from int64, max int, wait time.Duration) (logstore.Page, error) {
	if err := s.enter(ctx); err != nil {
		return logstore.Page{}, err
	}
	max = clamp(max, logstore.MaxPageEntries)
	timer := time.NewTimer(min(wait, logstore.MaxWait))
	defer timer.Stop()
	for {
		page, grown, err := s.page(from, max)
		if err != nil || len(page.Entries) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return logstore.Page{}, &logstore.UnavailableError{Cause: ctx.Err()}
		}
	}
}

// Head implements logstore.Log.
func (s *Server) Head(ctx context.Context) (int64, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headLocked(), nil
}

// enter applies delay, hang and outage. What it refuses has not taken effect.
func (s *Server) enter(ctx context.Context) error {
	for {
		s.mu.Lock()
		k, changed := s.knobs, s.changed
		s.mu.Unlock()
		if k.Outage {
			return &logstore.UnavailableError{Cause: errOutage}
		}
		if !k.Hang {
			return delay(ctx, time.Duration(k.DelayMillis)*time.Millisecond)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &logstore.UnavailableError{Cause: ctx.Err()}
		}
	}
}

func (s *Server) page(from int64, max int) (logstore.Page, chan struct{}, error) {
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
	return page, s.grown, nil
}

func (s *Server) headLocked() int64 { return s.oldest + int64(len(s.entries)) }

func (s *Server) appendLocked(records []logstore.Record) int64 {
	s.expireLocked()
	first := s.headLocked()
	now := s.now()
	for i, r := range records {
		e := logstore.Entry{Offset: first + int64(i), Record: r}
		s.entries = append(s.entries, stored{entry: e, at: now})
	}
	s.appends++
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

func (s *Server) expireLocked() {
	if s.knobs.RetentionMillis <= 0 {
		return
	}
	limit := s.now().Add(-time.Duration(s.knobs.RetentionMillis) * time.Millisecond)
	n := 0
	for n < len(s.entries) && s.entries[n].at.Before(limit) {
		n++
	}
	s.truncateLocked(s.oldest + int64(n))
}

func (s *Server) truncateLocked(oldest int64) {
	n := min(oldest-s.oldest, int64(len(s.entries)))
	if n <= 0 {
		return
	}
	s.entries = append([]stored(nil), s.entries[n:]...)
	s.oldest += n
}

// overLocked takes a token and returns how long to wait when there is none.
func (s *Server) overLocked() time.Duration {
	rate := s.knobs.AppendsPerSecond
	if rate <= 0 {
		return 0
	}
	now := s.now()
	s.tokens = min(max(1, rate/10), s.tokens+rate*now.Sub(s.refill).Seconds())
	s.refill = now
	if s.tokens < 1 {
		return time.Duration((1 - s.tokens) / rate * float64(time.Second))
	}
	s.tokens--
	return 0
}

func (s *Server) loseAckLocked() bool {
	if s.knobs.LoseAcks > 0 {
		s.knobs.LoseAcks--
		return true
	}
	return s.knobs.AckLoss > 0 && s.rng.Float64() < s.knobs.AckLoss
}

func clamp(n, most int) int { return min(max(n, 1), most) }

func delay(ctx context.Context, d time.Duration) error {
	if d > 0 && !wait.For(ctx, d) {
		return &logstore.UnavailableError{Cause: ctx.Err()}
	}
	return nil
}
