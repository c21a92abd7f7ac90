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

// fakeUpstream responds after a fixed service time and queues calls beyond its slots.
type fakeUpstream struct {
	ep          Endpoint
	serviceTime time.Duration
	outcome     Outcome
	// failureShare is the share of calls that fail.
	failureShare float64
	unresponsive bool
	misreport    func(*LoadReport)
	running      int
	// busyUntil is the time at which each slot has finished the calls assigned to it.
	busyUntil []time.Time
}

// schedule assigns a call to the slot that becomes free first and returns the time at which the
// call ends.
func (u *fakeUpstream) schedule(now time.Time) time.Time {
	if u.busyUntil == nil {
		u.busyUntil = make([]time.Time, u.ep.Slots)
	}
	earliest := slices.MinFunc(u.busyUntil, time.Time.Compare)
	slot := slices.Index(u.busyUntil, earliest)
	u.busyUntil[slot] = slices.MaxFunc([]time.Time{earliest, now}, time.Time.Compare).Add(u.serviceTime)
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
	if u.misreport != nil {
		u.misreport(r)
	}
	return r
}

type fakeCall struct {
	upstream *fakeUpstream
	target   *Target
	sentAt   time.Time
	endsAt   time.Time
}

// fakeNode is one sender with a virtual clock in front of fake upstreams.
type fakeNode struct {
	t         testing.TB
	cfg       Config
	now       time.Time
	rng       *rand.Rand
	table     *Table
	upstreams map[string]*fakeUpstream
	calls     []fakeCall // in order of endsAt
	timeout   time.Duration
	// callerTimeout is the time after which callers cancel; 0 means that they wait for timeout.
	callerTimeout time.Duration
	refusals      map[result.Code]int
}

func newFakeNode(t testing.TB, cfg Config, ups ...*fakeUpstream) *fakeNode {
	must.NoError(t, cfg.Validate())
	n := &fakeNode{
		t: t, cfg: cfg, now: origin, rng: rand.New(rand.NewPCG(1, 2)), timeout: time.Second,
		upstreams: map[string]*fakeUpstream{}, refusals: map[result.Code]int{},
	}
	for _, u := range ups {
		n.upstreams[u.ep.Node] = u
	}
	n.setMembership(ups...)
	return n
}

func (n *fakeNode) setMembership(ups ...*fakeUpstream) {
	var eps []Endpoint
	for _, u := range ups {
		eps = append(eps, u.ep)
	}
	n.table = NewTable(n.table, n.cfg, Self{Node: "self", Region: "kyushu", Zone: "saga"}, eps, n.now)
}

func upstream(zone string, i, slots int) *fakeUpstream {
	return &fakeUpstream{
		serviceTime: 10 * time.Millisecond,
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

// advance moves the clock to the given time and ends every call that is due by then.
func (n *fakeNode) advance(to time.Time) {
	for len(n.calls) > 0 && !n.calls[0].endsAt.After(to) {
		c := n.calls[0]
		n.calls = n.calls[1:]
		n.now = c.endsAt
		c.upstream.running--
		took := c.endsAt.Sub(c.sentAt)
		outcome, report := c.upstream.outcome, c.upstream.report()
		switch {
		case took >= n.timeout:
			outcome, report = Slow, nil
		case took == n.callerTimeout:
			outcome, report = Cancelled, nil
		case outcome == Unreachable:
			report = nil
		case n.rng.Float64() < c.upstream.failureShare:
			outcome = Failed
		}
		c.target.Done(n.now, outcome, took, report)
	}
	n.now = to
}

// send makes one call and returns the node that it was sent to, or "" if it was refused.
func (n *fakeNode) send(info PickInfo) string {
	info.Service = "archive"
	g, refusal := n.table.Pick(n.now, n.rng, info)
	if refusal != nil {
		n.refusals[refusal.Code]++
		return ""
	}
	u := n.upstreams[g.Endpoint().Node]
	g.Start(n.now)
	u.running++
	endsAt := n.now.Add(n.timeout)
	if n.callerTimeout > 0 {
		endsAt = n.now.Add(n.callerTimeout)
	}
	if !u.unresponsive {
		endsAt = slices.MinFunc([]time.Time{endsAt, u.schedule(n.now)}, time.Time.Compare)
	}
	index, _ := slices.BinarySearchFunc(n.calls, endsAt, func(c fakeCall, t time.Time) int { return c.endsAt.Compare(t) })
	n.calls = slices.Insert(n.calls, index, fakeCall{u, g, n.now, endsAt})
	return u.ep.Node
}

// run sends calls at a constant rate and returns the number of calls per node. Refused calls are
// counted under "".
func (n *fakeNode) run(duration, interval time.Duration) map[string]int {
	callsByNode := map[string]int{}
	for end := n.now.Add(duration); n.now.Before(end); n.advance(n.now.Add(interval)) {
		callsByNode[n.send(PickInfo{Rank: lowRank})]++
	}
	return callsByNode
}
