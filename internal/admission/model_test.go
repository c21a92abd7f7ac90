package admission

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// model is a deterministic upstream with its callers: events in virtual time.
type model struct {
	now     time.Time
	start   time.Time
	ctl     *Controller
	rng     *rand.Rand
	events  eventHeap
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

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newModel(cfg Config, service func(m *model, c *modelCall) time.Duration) *model {
	start := time.Unix(1_000_000, 0)
	m := &model{
		now: start, start: start, ctl: New(cfg, start),
		rng: rand.New(rand.NewPCG(1, 2)), service: service,
		calls: map[string]*modelCall{}, refused: map[uint32]int{},
		good: map[int]*[callctx.Levels]int{}, offered: map[int]*[callctx.Levels]int{},
	}
	m.after(10*time.Millisecond, m.tick)
	return m
}

func (m *model) elapsed() time.Duration { return m.now.Sub(m.start) }

func (m *model) after(d time.Duration, do func()) {
	m.last++
	heap.Push(&m.events, event{m.now.Add(d), m.last, do})
}

func (m *model) tick() {
	m.apply(m.ctl.Tick(m.now))
	m.after(10*time.Millisecond, m.tick)
}

func (m *model) run(until time.Duration) {
	end := m.start.Add(until)
	for len(m.events) > 0 && m.events[0].at.Before(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	m.now = end
}

func (m *model) second() int { return int(m.elapsed() / time.Second) }

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
		r.RootAdmitted = m.now
	}
	m.calls[r.ID] = &modelCall{req: r}
	count(m.offered, m.second())[r.Level]++
	d, others := m.ctl.Offer(m.now, r)
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
	c.started = m.now
	if m.sheds != nil && m.sheds(m) {
		m.after(time.Millisecond, func() { m.end(c, UpstreamShed) })
		return
	}
	took := m.service(m, c)
	if left := c.req.Deadline.Sub(m.now); !c.req.Deadline.IsZero() && took > left {
		m.after(left, func() { m.end(c, TimedOut) })
		return
	}
	m.after(took, func() { m.end(c, Answered) })
}

func (m *model) end(c *modelCall, o Outcome) {
	if o == Answered {
		count(m.good, m.second())[c.req.Level]++
	}
	delete(m.calls, c.req.ID)
	m.apply(m.ctl.Finish(m.now, c.req.ID, o, m.now.Sub(c.started)))
}

// stream offers calls at a rate that may change over time; perSecond 0 pauses.
func (m *model) stream(perSecond func(t time.Duration) float64, make func() Request) {
	var next func()
	next = func() {
		rate := perSecond(m.elapsed())
		if rate <= 0 {
			m.after(10*time.Millisecond, next)
			return
		}
		m.offer(make())
		m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.after(0, next)
}

func (m *model) request(level callctx.Level, timeout time.Duration) func() Request {
	return func() Request {
		return Request{Level: level, CallerHash: m.rng.Uint32(), Deadline: m.now.Add(timeout)}
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
