package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/shoenig/test/must"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const lowRank uint32 = 3 << 30

// fakeUpstream answers after a fixed time, and queues above its slots.
type fakeUpstream struct {
	ep      Endpoint
	service time.Duration
	outcome Outcome
	// failures is the share of calls that fail.
	failures float64
	silent   bool
	lie      func(*LoadReport)
	running  int
	// busyUntil is when each slot has done what was given to it.
	busyUntil []time.Time
}

// take gives a call to the slot that is free first, and returns its end.
func (u *fakeUpstream) take(now time.Time) time.Time {
	if u.busyUntil == nil {
		u.busyUntil = make([]time.Time, u.ep.Slots)
	}
	first := slices.MinFunc(u.busyUntil, time.Time.Compare)
	slot := slices.Index(u.busyUntil, first)
	u.busyUntil[slot] = slices.MaxFunc([]time.Time{first, now}, time.Time.Compare).Add(u.service)
	return u.busyUntil[slot]
}

func (u *fakeUpstream) report() *LoadReport {
	r := &LoadReport{
		InFlight:    min(u.running, u.ep.Slots),
		Queued:      max(0, u.running-u.ep.Slots),
		Limit:       u.ep.Slots,
		Threshold:   NoThreshold,
		Incarnation: u.ep.Incarnation,
	}
	if u.lie != nil {
		u.lie(r)
	}
	return r
}

type fakeCall struct {
	upstream *fakeUpstream
	target   *Target
	sent     time.Time
	ends     time.Time
}

// fakeNode is one sender with its own time in front of fake upstreams.
type fakeNode struct {
	t       *testing.T
	cfg     Config
	now     time.Time
	rng     *rand.Rand
	table   *Table
	ups     map[string]*fakeUpstream
	calls   []fakeCall // by time of end
	timeout time.Duration
	// patience is when callers leave; 0 is after the timeout.
	patience time.Duration
	refusals map[result.Code]int
}

func newFakeNode(t *testing.T, cfg Config, ups ...*fakeUpstream) *fakeNode {
	must.NoError(t, cfg.Validate())
	n := &fakeNode{
		t: t, cfg: cfg, now: origin, rng: rand.New(rand.NewPCG(1, 2)), timeout: time.Second,
		ups: map[string]*fakeUpstream{}, refusals: map[result.Code]int{},
	}
	for _, u := range ups {
		n.ups[u.ep.Node] = u
	}
	n.membership(ups...)
	return n
}

func (n *fakeNode) membership(ups ...*fakeUpstream) {
	var eps []Endpoint
	for _, u := range ups {
		eps = append(eps, u.ep)
	}
	n.table = NewTable(n.table, n.cfg, Self{Node: "self", Region: "kyushu", Zone: "saga"}, eps, n.now)
}

func upstream(zone string, i, slots int) *fakeUpstream {
	return &fakeUpstream{
		service: 10 * time.Millisecond,
		ep: Endpoint{
			Node: fmt.Sprintf("%s-%d", zone, i), Incarnation: 1, Region: "kyushu", Zone: zone,
			Service: "archive", Slots: slots, Joined: origin.Add(-time.Hour),
		},
	}
}

func upstreams(zone string, count, slots int) []*fakeUpstream {
	var ups []*fakeUpstream
	for i := range count {
		ups = append(ups, upstream(zone, i, slots))
	}
	return ups
}

// advance ends every call that is due by then.
func (n *fakeNode) advance(to time.Time) {
	for len(n.calls) > 0 && !n.calls[0].ends.After(to) {
		c := n.calls[0]
		n.calls = n.calls[1:]
		n.now = c.ends
		c.upstream.running--
		took := c.ends.Sub(c.sent)
		outcome, report := c.upstream.outcome, c.upstream.report()
		switch {
		case took >= n.timeout:
			outcome, report = Slow, nil
		case took == n.patience:
			outcome, report = Cancelled, nil
		case outcome == Unreachable:
			report = nil
		case n.rng.Float64() < c.upstream.failures:
			outcome = Failed
		}
		c.target.Done(n.now, outcome, took, report)
	}
	n.now = to
}

// send makes one call and returns the node it went to, or "".
func (n *fakeNode) send(info PickInfo) string {
	info.Service = "archive"
	g, refusal := n.table.Pick(n.now, n.rng, info)
	if refusal != nil {
		n.refusals[refusal.Code]++
		return ""
	}
	u := n.ups[g.Endpoint().Node]
	g.Start(n.now)
	u.running++
	ends := n.now.Add(n.timeout)
	if n.patience > 0 {
		ends = n.now.Add(n.patience)
	}
	if !u.silent {
		ends = slices.MinFunc([]time.Time{ends, u.take(n.now)}, time.Time.Compare)
	}
	at, _ := slices.BinarySearchFunc(n.calls, ends, func(c fakeCall, t time.Time) int { return c.ends.Compare(t) })
	n.calls = slices.Insert(n.calls, at, fakeCall{u, g, n.now, ends})
	return u.ep.Node
}

// run sends at an even rate and returns how many calls each node got.
func (n *fakeNode) run(d, every time.Duration) map[string]int {
	got := map[string]int{}
	for end := n.now.Add(d); n.now.Before(end); n.advance(n.now.Add(every)) {
		got[n.send(PickInfo{Rank: lowRank})]++
	}
	return got
}
