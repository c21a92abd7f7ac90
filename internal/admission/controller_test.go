package admission

import (
	"flag"
	"maps"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

// A fixed seed makes the property tests deterministic; -rapid.seed on the command line overrides
// it.
func init() { _ = flag.Set("rapid.seed", "1") }

// machine drives a controller with random operations and tracks the expected state of all calls.
type machine struct {
	c                *Controller
	cfg              Config
	now              time.Time
	lastID           int
	running, waiting map[string]Request
	since            map[string]time.Time
	draining         bool
}

func (m *machine) applyAll(t *rapid.T, ds []Decision) {
	for _, d := range ds {
		r, waits := m.waiting[d.ID]
		if !waits {
			t.Fatalf("decision %v is for a call that is not waiting", d)
		}
		delete(m.waiting, d.ID)
		m.apply(t, r, d)
	}
}

func (m *machine) apply(t *rapid.T, r Request, d Decision) {
	switch d.Verdict {
	case Run:
		if !r.Deadline.IsZero() && !m.now.Before(r.Deadline) {
			t.Fatalf("call %s started after its deadline", r.ID)
		}
		m.running[r.ID] = r
	case Wait:
		m.waiting[r.ID] = r
		m.since[r.ID] = m.now
	case Refuse:
		if d.Refusal.Code.Ran() != result.RanNo || d.Refusal.RetryAfter <= 0 || d.Refusal.Detail == "" {
			t.Fatalf("refusal %+v has no detail, no retry delay or a code for a call that may have run", d.Refusal)
		}
	default:
		t.Fatalf("unexpected verdict %v", d.Verdict)
	}
	if (d.Verdict == Refuse) != (d.Refusal != nil) {
		t.Fatalf("decision %+v: Refusal must be set if and only if the verdict is Refuse", d)
	}
}

func (m *machine) Offer(t *rapid.T) {
	m.lastID++
	r := Request{
		ID:           strconv.Itoa(m.lastID),
		Level:        callctx.Level(rapid.IntRange(0, callctx.Levels-1).Draw(t, "level")),
		CallerHash:   rapid.Uint32().Draw(t, "caller"),
		RootAdmitted: m.now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Millisecond),
		Depth:        rapid.IntRange(0, 2).Draw(t, "depth"),
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		r.Deadline = m.now.Add(time.Duration(rapid.IntRange(-5, 1000).Draw(t, "timeout")) * time.Millisecond)
	}
	before := m.c.Load()
	d, others := m.c.Offer(m.now, r)
	for _, o := range others {
		shed := o.Verdict == Refuse && o.Refusal.Code == result.Shed
		if shed && (d.Verdict != Wait || m.waiting[o.ID].Level < r.Level) {
			t.Fatalf("%+v was displaced by %+v, which got %v", m.waiting[o.ID], r, d.Verdict)
		}
	}
	m.applyAll(t, others)
	m.apply(t, r, d)
	if m.draining && d.Verdict != Refuse {
		t.Fatalf("call accepted while draining: %+v", d)
	}
	free := before.InFlight < before.Limit && before.Queued == 0
	free = free && !m.c.rate.active()
	if free && d.Verdict == Wait && m.c.Load().Limit >= before.Limit {
		t.Fatalf("call waits although a slot is free and the queue is empty")
	}
}

func (m *machine) Finish(t *rapid.T) {
	id, ok := pick(t, m.running)
	if !ok {
		return
	}
	delete(m.running, id)
	latency := time.Duration(rapid.IntRange(0, 2000).Draw(t, "latency")) * time.Millisecond
	outcome := Outcome(rapid.IntRange(int(Answered), int(TimedOut)).Draw(t, "outcome"))
	m.applyAll(t, m.c.Finish(m.now, id, outcome, latency))
}

func (m *machine) Abandon(t *rapid.T) {
	id, ok := pick(t, m.waiting)
	if !ok {
		return
	}
	delete(m.waiting, id)
	m.applyAll(t, m.c.Abandon(m.now, id))
}

func (m *machine) Elapse(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
	m.applyAll(t, m.c.Tick(m.now))
	for id := range m.waiting {
		if m.now.Sub(m.since[id]) >= m.cfg.MaxWait {
			t.Fatalf("call %s waits longer than MaxWait", id)
		}
	}
}

func (m *machine) Reconfigure(t *rapid.T) {
	cfg := drawConfig(t)
	cfg.MaxWait = m.cfg.MaxWait
	m.cfg = cfg
	m.applyAll(t, m.c.Reconfigure(m.now, cfg))
}

func (m *machine) RateLimit(t *rapid.T) {
	if rapid.Bool().Draw(t, "named") {
		m.applyAll(t, m.c.SetRateLimit(m.now, rapid.Float64Range(0, 20).Draw(t, "perSecond")))
		return
	}
	m.c.LiftRateLimit(m.now)
}

func (m *machine) Drain(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "really") > 0 {
		return
	}
	m.draining = true
	m.applyAll(t, m.c.Drain(m.now))
	if len(m.waiting) > 0 {
		t.Fatalf("calls wait while draining")
	}
}

func (m *machine) Check(t *rapid.T) {
	l := m.c.Load()
	if l.InFlight != len(m.running) || l.Queued != len(m.waiting) || l.Draining != m.draining {
		t.Fatalf("load %+v, want %d running and %d waiting", l, len(m.running), len(m.waiting))
	}
	if l.Limit < m.cfg.MinLimit || l.Limit > m.cfg.Slots || l.Queued > m.cfg.QueueLimit {
		t.Fatalf("load %+v is outside the bounds of %+v", l, m.cfg)
	}
	if l.Threshold < minThreshold {
		t.Fatalf("threshold %#x is below the minimum", l.Threshold)
	}
	if l.Queued > 0 && l.InFlight < l.Limit && m.c.rate.allows() {
		t.Fatalf("%+v: calls wait while a slot is free", l)
	}
	if len(m.c.calls) != l.InFlight+l.Queued {
		t.Fatalf("%d call records for load %+v", len(m.c.calls), l)
	}
}

func pick(t *rapid.T, from map[string]Request) (string, bool) {
	if len(from) == 0 {
		return "", false
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(from))).Draw(t, "id"), true
}

func drawConfig(t *rapid.T) Config {
	cfg := DefaultConfig(rapid.IntRange(1, 6).Draw(t, "slots"))
	cfg.QueueLimit = rapid.IntRange(0, 6).Draw(t, "queue")
	cfg.Adapt = rapid.Bool().Draw(t, "adapt")
	cfg.Worth[callctx.LevelLow] = float64(rapid.IntRange(0, 1).Draw(t, "worth"))
	return cfg
}

// Guards against a sequence of operations that exceeds a bound of the configuration, loses a call
// or leaves a call waiting while a slot is free.
func TestControllerStaysWithinConfiguredBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		cfg := drawConfig(t)
		m := &machine{
			c: New(cfg, now), cfg: cfg, now: now,
			running: map[string]Request{}, waiting: map[string]Request{}, since: map[string]time.Time{},
		}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// Guards against a queue that starts or evicts calls out of order after removals.
func TestQueueStartsAndEvictsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		q.lifo = rapid.Bool().Draw(t, "newestFirst")
		now := time.Unix(1_000_000, 0)
		for i := range rapid.IntRange(1, 30).Draw(t, "n") {
			q.push(&call{seq: uint64(i), request: Request{
				Level:        callctx.Level(rapid.IntRange(0, callctx.Levels-1).Draw(t, "level")),
				Depth:        rapid.IntRange(0, 1).Draw(t, "depth"),
				RootAdmitted: now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "root"))),
			}})
		}
		for q.len() > 1 {
			next, candidate := q.next(), q.evictionCandidate()
			if !q.before(next, candidate) {
				t.Fatalf("next call %+v is not before eviction candidate %+v", next.request, candidate.request)
			}
			removed := next
			if rapid.Bool().Draw(t, "fromEnd") {
				removed = candidate
			}
			q.remove(removed)
			if removed == next && q.before(q.next(), removed) || removed == candidate && q.before(removed, q.evictionCandidate()) {
				t.Fatalf("removed call is out of order")
			}
		}
	})
}

// Guards against a quantile that differs from the samples by more than a bucket.
func TestQuantileIsWithinABucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h histogram
		d := time.Duration(rapid.Int64Range(int64(10*time.Microsecond), int64(100*time.Second)).Draw(t, "d"))
		for range minSamples {
			h.add(d)
		}
		got := quantileOf(0.5, &h, &histogram{})
		if ratio := float64(got) / float64(d); ratio < 0.75 || ratio > 1.26 {
			t.Fatalf("median of %v is %v", d, got)
		}
	})
}

// Guards against a rank that an open threshold sheds, and against a level that outranks a more
// important one.
func TestRankNeverReachesOpenThreshold(t *testing.T) {
	must.Less(t, uint32(openThreshold), Rank(callctx.LevelLow, math.MaxUint32))
	must.Less(t, Rank(callctx.LevelHigh, 0), Rank(callctx.LevelCritical, math.MaxUint32))
}

// Guards against a duplicate call ID that is reported as not run while the first call with this ID
// is running.
func TestDuplicateIDIsRefusedWithUnknownOutcome(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := New(DefaultConfig(2), now)
	c.Offer(now, Request{ID: "a"})
	d, _ := c.Offer(now, Request{ID: "a"})
	must.Eq(t, Refuse, d.Verdict)
	must.Eq(t, result.RanUnknown, d.Refusal.Code.Ran())
	must.Eq(t, 1, c.Load().InFlight)
}

// Guards against a configuration error that does not name the field, its value and the bound.
func TestValidateNamesFieldValueAndBound(t *testing.T) {
	cfg := DefaultConfig(25)
	must.NoError(t, cfg.Validate())
	cfg.MinLimit = 26
	must.EqError(t, cfg.Validate(), "admission: MinLimit is 26, want 1 to 25")
	cfg = DefaultConfig(25)
	cfg.Worth[callctx.LevelLow] = 3
	must.EqError(t, cfg.Validate(), "admission: Worth[low] is 3, want 0 to 2")
	cfg = DefaultConfig(25)
	cfg.MaxWait = time.Hour
	must.EqError(t, cfg.Validate(), "admission: MaxWait is 1h0m0s, want 1ms to 1m0s")
}

func BenchmarkRunAndFinish(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	c := New(DefaultConfig(150), now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		c.Offer(now, Request{ID: "a", Level: callctx.LevelNormal, Deadline: now.Add(time.Second), RootAdmitted: now})
		c.Finish(now, "a", Answered, time.Millisecond)
	}
}

// BenchmarkOverload offers two calls for each one that ends, to a full queue.
func BenchmarkOverload(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	c := New(DefaultConfig(150), now)
	ids := make([]string, 1<<16)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	running := make([]string, 0, 1024)
	decided := make([]Decision, 0, 16)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		n++
		r := Request{ID: ids[n%len(ids)], Level: callctx.Level(n % callctx.Levels), CallerHash: uint32(n) * 2654435761, RootAdmitted: now}
		d, others := c.Offer(now, r)
		if n%2 == 0 && len(running) > 100 {
			others = append(others, c.Finish(now, running[0], Answered, 3*time.Millisecond)...)
			running = append(running[:0], running[1:]...)
		}
		decided = append(append(decided[:0], others...), d)
		for _, o := range decided {
			if o.Verdict == Run {
				running = append(running, o.ID)
			}
		}
	}
}
