package admission

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/testclock"
)

// model simulates an upstream and its callers deterministically in virtual time.
type model struct {
	*testclock.Clock
	ctl       *Controller
	rng       *rand.Rand
	calls     map[string]*modelCall
	service   func(m *model, c *modelCall) time.Duration
	shedsCall func(m *model) bool
	lastID    int
	// answeredInTime counts the responses before the deadline, by second and level.
	answeredInTime map[int]*[callctx.Levels]int
	offered        map[int]*[callctx.Levels]int
	refused        map[uint32]int
}

type modelCall struct {
	req     Request
	started time.Time
}

func newModel(cfg Config, service func(m *model, c *modelCall) time.Duration) *model {
	start := time.Unix(1_000_000, 0)
	m := &model{
		Clock: testclock.New(start), ctl: New(cfg, start),
		rng: rand.New(rand.NewPCG(1, 2)), service: service,
		calls: map[string]*modelCall{}, refused: map[uint32]int{},
		answeredInTime: map[int]*[callctx.Levels]int{}, offered: map[int]*[callctx.Levels]int{},
	}
	m.After(10*time.Millisecond, m.tick)
	return m
}

func (m *model) tick() {
	m.apply(m.ctl.Tick(m.Now()))
	m.After(10*time.Millisecond, m.tick)
}

func (m *model) second() int { return int(m.Elapsed() / time.Second) }

func countsIn(in map[int]*[callctx.Levels]int, second int) *[callctx.Levels]int {
	if in[second] == nil {
		in[second] = new([callctx.Levels]int)
	}
	return in[second]
}

func (m *model) offer(r Request) {
	m.lastID++
	r.ID = strconv.Itoa(m.lastID)
	if r.RootAdmitted.IsZero() {
		r.RootAdmitted = m.Now()
	}
	m.calls[r.ID] = &modelCall{req: r}
	countsIn(m.offered, m.second())[r.Level]++
	d, others := m.ctl.Offer(m.Now(), r)
	m.apply([]Decision{d})
	m.apply(others)
}

func (m *model) apply(ds []Decision) {
	for _, d := range ds {
		c := m.calls[d.ID]
		switch d.Verdict {
		case Run:
			m.begin(c)
		case Refuse:
			m.refused[c.req.CallerHash]++
			delete(m.calls, d.ID)
		}
	}
}

func (m *model) begin(c *modelCall) {
	c.started = m.Now()
	if m.shedsCall != nil && m.shedsCall(m) {
		m.After(time.Millisecond, func() { m.end(c, UpstreamShed) })
		return
	}
	duration := m.service(m, c)
	if remaining := c.req.Deadline.Sub(m.Now()); !c.req.Deadline.IsZero() && duration > remaining {
		m.After(remaining, func() { m.end(c, TimedOut) })
		return
	}
	m.After(duration, func() { m.end(c, Answered) })
}

func (m *model) end(c *modelCall, o Outcome) {
	if o == Answered {
		countsIn(m.answeredInTime, m.second())[c.req.Level]++
	}
	delete(m.calls, c.req.ID)
	m.apply(m.ctl.Finish(m.Now(), c.req.ID, o, m.Now().Sub(c.started)))
}

// stream offers calls at a rate that may vary over time; at rate 0 it pauses.
func (m *model) stream(rateAt func(t time.Duration) float64, newRequest func() Request) {
	var next func()
	next = func() {
		rate := rateAt(m.Elapsed())
		if rate <= 0 {
			m.After(10*time.Millisecond, next)
			return
		}
		m.offer(newRequest())
		m.After(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.After(0, next)
}

func (m *model) request(level callctx.Level, timeout time.Duration) func() Request {
	return func() Request {
		return Request{Level: level, CallerHash: m.rng.Uint32(), Deadline: m.Now().Add(timeout)}
	}
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func (m *model) sum(in map[int]*[callctx.Levels]int, from, to int) (all int, byLevel [callctx.Levels]int) {
	for s := from; s < to; s++ {
		for l, n := range countsIn(in, s) {
			all += n
			byLevel[l] += n
		}
	}
	return all, byLevel
}

// jittered varies d by up to 20 % in either direction.
func (m *model) jittered(d time.Duration) time.Duration {
	return time.Duration((0.8 + 0.4*m.rng.Float64()) * float64(d))
}
