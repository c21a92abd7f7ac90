package admission

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/testclock"
)

// model is a deterministic upstream with its callers: events in virtual time.
type model struct {
	*testclock.Clock
	ctl     *Controller
	rng     *rand.Rand
	calls   map[string]*modelCall
	service func(m *model, c *modelCall) time.Duration
	sheds   func(m *model) bool
	last    int
	// good counts answers by their deadline, by second and level.
	good    map[int]*[callctx.Levels]int
	offered map[int]*[callctx.Levels]int
	refused map[uint32]int
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
		good: map[int]*[callctx.Levels]int{}, offered: map[int]*[callctx.Levels]int{},
	}
	m.After(10*time.Millisecond, m.tick)
	return m
}

func (m *model) tick() {
	m.apply(m.ctl.Tick(m.Now()))
	m.After(10*time.Millisecond, m.tick)
}

func (m *model) second() int { return int(m.Elapsed() / time.Second) }

func count(in map[int]*[callctx.Levels]int, second int) *[callctx.Levels]int {
	if in[second] == nil {
		in[second] = new([callctx.Levels]int)
	}
	return in[second]
}

func (m *model) offer(r Request) {
	m.last++
	r.ID = strconv.Itoa(m.last)
	if r.RootAdmitted.IsZero() {
		r.RootAdmitted = m.Now()
	}
	m.calls[r.ID] = &modelCall{req: r}
	count(m.offered, m.second())[r.Level]++
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
	if m.sheds != nil && m.sheds(m) {
		m.After(time.Millisecond, func() { m.end(c, UpstreamShed) })
		return
	}
	took := m.service(m, c)
	if left := c.req.Deadline.Sub(m.Now()); !c.req.Deadline.IsZero() && took > left {
		m.After(left, func() { m.end(c, TimedOut) })
		return
	}
	m.After(took, func() { m.end(c, Answered) })
}

func (m *model) end(c *modelCall, o Outcome) {
	if o == Answered {
		count(m.good, m.second())[c.req.Level]++
	}
	delete(m.calls, c.req.ID)
	m.apply(m.ctl.Finish(m.Now(), c.req.ID, o, m.Now().Sub(c.started)))
}

// stream offers calls at a rate that may change over time; perSecond 0 pauses.
func (m *model) stream(perSecond func(t time.Duration) float64, make func() Request) {
	var next func()
	next = func() {
		rate := perSecond(m.Elapsed())
		if rate <= 0 {
			m.After(10*time.Millisecond, next)
			return
		}
		m.offer(make())
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

func (m *model) sum(in map[int]*[callctx.Levels]int, from, to int) (all int, by [callctx.Levels]int) {
	for s := from; s < to; s++ {
		for l, n := range count(in, s) {
			all += n
			by[l] += n
		}
	}
	return all, by
}

// jittered varies d by a fifth to either side.
func (m *model) jittered(d time.Duration) time.Duration {
	return time.Duration((0.8 + 0.4*m.rng.Float64()) * float64(d))
}
