package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/shoenig/test/must"
)

// One of three upstreams reports zero load and a huge limit, and responds slowly. If routing relied
// on the reports, one in three calls would be late while the other two upstreams are idle.
func TestPick_SlowUpstreamThatReportsNoLoad(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	ups[0].serviceTime = 200 * time.Millisecond
	ups[0].misreport = func(r *LoadReport) { *r = LoadReport{Limit: 1e6, Threshold: NoThreshold} }
	n := newFakeNode(t, DefaultConfig(), ups...)
	got := n.run(10*time.Second, time.Millisecond)
	t.Logf("calls: %v", got)
	must.Less(t, 10000/20, got["saga-0"])
}

// One upstream refuses every call at once and reports no load, so it always looks like the least
// loaded one. Callers would get errors although other upstreams have capacity.
func TestPick_RefusingUpstreamThatReportsNoLoad(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	ups[0].serviceTime = time.Millisecond
	ups[0].outcome = Refused
	ups[0].misreport = func(r *LoadReport) { *r = LoadReport{Limit: 20, Threshold: NoThreshold} }
	n := newFakeNode(t, DefaultConfig(), ups...)
	got := n.run(10*time.Second, time.Millisecond)
	t.Logf("calls: %v", got)
	must.Less(t, 10000/20, got["saga-0"])
}

// A VM about to be replaced reports draining with a response. Calls sent to it afterwards would be
// refused there, or cut off when it stops.
func TestPick_DrainingUpstreamGetsNoNewCalls(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	ups[1].misreport = func(r *LoadReport) { r.Draining = true }
	n.run(50*time.Millisecond, time.Millisecond)
	must.Zero(t, n.run(5*time.Second, time.Millisecond)["saga-1"])

	ups[2].ep.Draining = true
	n.setMembership(ups...)
	must.Eq(t, map[string]int{"saga-0": 1000}, n.run(time.Second, time.Millisecond))
	must.True(t, n.table.ByNode("saga-1").Stats().Draining)

	ups[0].ep.Draining = true
	n.setMembership(ups...)
	n.run(10*time.Millisecond, time.Millisecond)
	must.Eq(t, map[result.Code]int{result.Draining: 10}, n.refusals)
	_, refusal := n.table.Pick(n.now, n.rng, PickInfo{Service: "archive", Node: "saga-2"})
	must.Eq(t, result.Draining, refusal.Code)
}

// A shared database fails, and all upstreams with it. If all of them, or all but one, were ejected,
// callers would see an outage long after the database has recovered.
func TestPick_EjectionCapWhenAllFail(t *testing.T) {
	ups := upstreams("saga", 5, 20)
	for _, u := range ups {
		u.outcome = Failed
	}
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(20*time.Second, time.Millisecond)
	ejected := 0
	for _, g := range n.table.Targets("archive") {
		if g.Stats().Ejected {
			ejected++
		}
	}
	must.Eq(t, 2, ejected)
	for _, u := range ups {
		u.outcome = Answered
	}
	n.run(5*time.Minute, 5*time.Millisecond)
	got := n.run(10*time.Second, time.Millisecond)
	t.Logf("calls after the fault: %v", got)
	for _, u := range ups {
		must.Greater(t, 10000/5/2, got[u.ep.Node])
	}
}

// One upstream of three fails every call at once. Without ejection a third of the calls fail. If
// many calls probed it at once, each attempt to readmit it would fail many more.
func TestPick_FailingUpstreamIsEjectedAndProbedOnce(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	ups[0].outcome = Failed
	n := newFakeNode(t, DefaultConfig(), ups...)
	first := n.run(4*time.Second, time.Millisecond)
	t.Logf("calls until ejected: %d", first["saga-0"])
	must.Less(t, 20, first["saga-0"])
	// Ejections last 5, 10, 20, 40 s. One probe follows each.
	probes := n.run(60*time.Second, time.Millisecond)["saga-0"]
	must.Eq(t, 3, probes)

	ups[0].outcome = Answered
	n.run(5*time.Second, time.Millisecond)
	for n.table.ByNode("saga-0").Stats().Ejected {
		n.run(100*time.Millisecond, time.Millisecond)
	}
	must.Less(t, 100, n.run(time.Second, time.Millisecond)["saga-0"])
	n.run(20*time.Second, time.Millisecond)
	must.Greater(t, 3000, n.run(10*time.Second, time.Millisecond)["saga-0"])
}

// One upstream fails six in ten calls, but rarely five in a row. A count of consecutive failures
// does not detect it, because its successful responses reset the count.
func TestPick_IntermittentlyFailingUpstreamIsEjected(t *testing.T) {
	cfg := DefaultConfig()
	cfg.EjectFailures = 1000
	ups := upstreams("saga", 4, 20)
	for _, u := range ups {
		u.failureShare = 0.1
	}
	ups[0].failureShare = 0.7
	n := newFakeNode(t, cfg, ups...)
	n.run(10*time.Second, time.Millisecond)
	for _, u := range ups {
		must.Eq(t, u == ups[0], n.table.ByNode(u.ep.Node).Stats().Ejected)
		u.failureShare = 0.7
	}
	n = newFakeNode(t, cfg, ups...)
	n.run(10*time.Second, time.Millisecond)
	for _, g := range n.table.Targets("archive") {
		must.False(t, g.Stats().Ejected)
	}
}

// All but one upstream are draining, and the last one fails for a moment. If it were ejected too,
// callers would be refused long after it has recovered.
func TestPick_LastUsableUpstreamIsNotEjected(t *testing.T) {
	ups := upstreams("saga", 4, 20)
	for _, u := range ups[1:] {
		u.ep.Draining = true
	}
	ups[0].outcome = Unreachable
	n := newFakeNode(t, DefaultConfig(), ups...)
	must.Eq(t, 1000, n.run(time.Second, time.Millisecond)["saga-0"])
	must.False(t, n.table.ByNode("saga-0").Stats().Ejected)
}

// The own zone is saturated while a zone 0.5 ms away is idle. Without spilling, calls would be
// refused needlessly. If calls did not return afterwards, they would be delayed needlessly.
func TestPick_SpillsToNextZoneAndReturns(t *testing.T) {
	ups := append(upstreams("saga", 2, 5), upstreams("omuta", 2, 50)...)
	n := newFakeNode(t, DefaultConfig(), ups...)
	must.MapNotContainsKey(t, n.run(time.Second, 2*time.Millisecond), "omuta-0")
	got := n.run(2*time.Second, 500*time.Microsecond)
	t.Logf("calls during saturation: %v", got)
	must.Greater(t, 500, got["omuta-0"]+got["omuta-1"])
	must.Greater(t, 1000, got["saga-0"]+got["saga-1"])
	n.run(time.Second, 2*time.Millisecond)
	got = n.run(time.Second, 2*time.Millisecond)
	must.Zero(t, got["omuta-0"]+got["omuta-1"])
	must.MapEmpty(t, n.refusals)
}

// Calls of a low level are shed in the own zone while another zone would accept them. Remote
// capacity must be used, and calls may be refused early only if no zone has capacity.
func TestPick_UsesRemoteZoneWhenOwnZoneSheds(t *testing.T) {
	ups := append(upstreams("saga", 2, 20), upstreams("yame", 2, 20)...)
	ups[2].ep.Region, ups[3].ep.Region = "ga-north", "ga-north"
	shedLowRank := func(r *LoadReport) { r.Threshold = lowRank }
	ups[0].misreport, ups[1].misreport = shedLowRank, shedLowRank
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(200*time.Millisecond, time.Millisecond)
	got := n.run(400*time.Millisecond, time.Millisecond)
	must.Greater(t, 350, got["yame-0"]+got["yame-1"])
	must.MapEmpty(t, n.refusals)

	ups[2].misreport, ups[3].misreport = shedLowRank, shedLowRank
	n.run(500*time.Millisecond, time.Millisecond)
	must.Greater(t, 300, n.refusals[result.ShedEarly])
	must.NotEq(t, "", n.send(PickInfo{Rank: lowRank - 1}))
	g, refusal := n.table.Pick(n.now, n.rng, PickInfo{Service: "archive", Rank: lowRank, Node: "saga-0"})
	must.Nil(t, g)
	must.True(t, refusal.AllFull && refusal.RetryAfter > 0)
}

// After a surge the last report of every upstream says that it sheds calls. If these reports did
// not expire, every call would be refused, none would bring a new report, and the refusals would
// never end.
func TestPick_CallsResumeAfterShedReportsExpire(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	for _, u := range ups {
		u.misreport = func(r *LoadReport) { r.Threshold = 0 }
	}
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	must.Greater(t, 800, n.refusals[result.ShedEarly])
	for _, u := range ups {
		u.misreport = nil
	}
	n.run(n.cfg.LoadAge+20*time.Millisecond, time.Millisecond)
	clear(n.refusals)
	got := n.run(time.Second, time.Millisecond)
	must.MapEmpty(t, n.refusals)
	t.Logf("calls after the surge: %v", got)
	for _, u := range ups {
		must.Greater(t, 200, got[u.ep.Node])
	}
}

// The last report of the own zone's upstream says that it queues calls, and has expired. It must
// not keep sending calls to another zone.
func TestPick_ExpiredQueueReportIsIgnored(t *testing.T) {
	n := newFakeNode(t, DefaultConfig(), upstream("saga", 0, 20), upstream("omuta", 0, 20))
	g := n.table.ByNode("saga-0")
	g.Start(n.now)
	g.Done(n.now, Answered, 10*time.Millisecond, &LoadReport{InFlight: 20, Queued: 1, Limit: 20, Threshold: NoThreshold})
	must.Eq(t, "omuta-0", n.send(PickInfo{}))
	n.advance(n.now.Add(n.cfg.LoadAge + time.Second))
	must.Eq(t, "saga-0", n.send(PickInfo{}))
}

// A VM is replaced and the new process is cold. If it received its full share at once, it would
// respond late, callers would retry, and it would stay slow.
func TestPick_SlowStartForReplacedProcess(t *testing.T) {
	ups := upstreams("saga", 4, 40)
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	ups[0].ep.Incarnation, ups[0].ep.Joined = 2, n.now
	n.setMembership(ups...)
	var shares []int
	for range 6 {
		shares = append(shares, n.run(2*time.Second, time.Millisecond)["saga-0"])
	}
	t.Logf("calls of the cold process in each 2 s, of 2000: %v", shares)
	must.Less(t, 150, shares[0])
	must.Greater(t, shares[0], shares[2])
	must.Between(t, 400, shares[5], 600)

	ups[1].ep.Incarnation, ups[1].ep.Joined = 2, n.now
	n.setMembership(ups...)
	burst := n.run(100*time.Millisecond, 10*time.Microsecond)
	t.Logf("calls in a burst: %v", burst)
	must.Less(t, burst["saga-2"]/2, burst["saga-1"])
}

// A VM restarts, and a response with another incarnation arrives before membership shows the
// restart. If the target kept the state of the old process, the new one would be excluded as
// draining, and would receive its full share while it is cold.
func TestPick_ReportOfNewIncarnationResetsTarget(t *testing.T) {
	ups := upstreams("saga", 2, 40)
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	g := n.table.ByNode("saga-0")
	g.Start(n.now)
	g.Done(n.now, Answered, time.Millisecond, &LoadReport{Draining: true, Threshold: NoThreshold, Incarnation: 1})
	must.True(t, g.Stats().Draining)
	g.Start(n.now)
	g.Done(n.now, Answered, time.Millisecond, &LoadReport{Threshold: NoThreshold, Incarnation: 2})
	must.False(t, g.Stats().Draining)
	must.Eq(t, 1, g.Stats().Answers)
	ups[0].ep.Incarnation = 2
	n.setMembership(ups...)
	must.Eq(t, g, n.table.ByNode("saga-0"))
	must.Less(t, 100, n.run(500*time.Millisecond, time.Millisecond)["saga-0"])
}

// The connections to a VM stop delivering packets. Nothing is refused, but one in three calls would
// wait until its timeout.
func TestPick_UnresponsiveUpstreamIsAvoided(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	ups[0].unresponsive = true
	sent := n.run(time.Second, time.Millisecond)["saga-0"]
	t.Logf("calls sent to the unresponsive upstream before the first timeout: %d", sent)
	must.Less(t, 40, sent)
	must.Less(t, 20, n.run(20*time.Second, time.Millisecond)["saga-0"])
}

// The connections to a VM stop delivering packets, and callers cancel long before any timeout. No
// call counts as failed, so the unresponsive upstream would look idle after each cancellation.
func TestPick_UnresponsiveUpstreamIsAvoidedWhenCallersCancel(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	n.callerTimeout = 30 * time.Millisecond
	ups[0].unresponsive = true
	sent := n.run(20*time.Second, time.Millisecond)["saga-0"]
	t.Logf("calls sent to the unresponsive upstream, of 20000: %d", sent)
	must.Less(t, 1000, sent)
}

// Guards against all senders choosing a slow upstream at once because its last report shows free
// slots.
func TestPick_SlowUpstreamWithFreeSlotsIsNotFlooded(t *testing.T) {
	n := newFakeNode(t, DefaultConfig(), upstreams("saga", 4, 20)...)
	for i, g := range n.table.Targets("archive") {
		latency, report := 10*time.Millisecond, LoadReport{InFlight: 20, Queued: 1, Limit: 20, Threshold: NoThreshold}
		if i == 0 {
			latency, report.Queued, report.InFlight = 100*time.Millisecond, 0, 10
		}
		for range 200 {
			g.Start(n.now)
			g.Done(n.now, Answered, latency, &report)
		}
	}
	for range 20 {
		must.NotEq(t, "saga-0", n.send(PickInfo{Rank: lowRank}))
	}
}

// Membership suspects the nodes of a zone that still answers every call. If suspect nodes were
// excluded, the remaining ones would be overloaded for no reason.
func TestPick_SuspectThatRespondsIsUsed(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	ups[0].ep.Suspect = true
	n.setMembership(ups...)
	must.Greater(t, 250, n.run(time.Second, time.Millisecond)["saga-0"])
	ups[0].unresponsive = true
	n.run(5*time.Second, time.Millisecond)
	must.Zero(t, n.run(time.Second, time.Millisecond)["saga-0"])
}

// Guards against the next process of an upstream that gets no calls for DrainHold, because a guard
// that goes on running reported the drain of the process before.
func TestPick_NextProcessOfADrainedUpstreamGetsCalls(t *testing.T) {
	ep := Endpoint{Node: "saga-1", Service: "archive", Zone: "saga", Slots: 2, Incarnation: 1, Upstream: "i-1"}
	draining := ep
	draining.Draining = true
	next := ep
	next.Upstream = "i-2"
	for name, seen := range map[string][]Endpoint{
		"every record": {draining, next},
		"newest only":  {next},
	} {
		t.Run(name, func(t *testing.T) {
			now := origin
			table := NewTable(nil, DefaultConfig(), Self{Node: "omuta-1", Zone: "omuta"}, []Endpoint{ep}, now)
			g := table.ByNode("saga-1")
			g.Start(now)
			g.Done(now, Refused, time.Millisecond, &LoadReport{Draining: true, Threshold: NoThreshold, Incarnation: 1})
			for _, e := range seen {
				now = now.Add(100 * time.Millisecond)
				table = NewTable(table, DefaultConfig(), Self{Node: "omuta-1", Zone: "omuta"}, []Endpoint{e}, now)
			}
			picked, refusal := table.Pick(now, rand.New(rand.NewPCG(1, 1)), PickInfo{Service: "archive"})
			must.Nil(t, refusal)
			must.EqOp(t, "saga-1", picked.Endpoint().Node)
		})
	}
}

// Guards against senders that go on choosing an upstream with a rate limit as often as before: most of
// these calls would be refused there and take a second hop.
func TestPick_RateLimitedUpstreamGetsItsRate(t *testing.T) {
	const perSecond, seconds = 20, 10
	for _, senders := range []int{1, 8} {
		t.Run(fmt.Sprintf("%d senders", senders), func(t *testing.T) {
			ups := upstreams("saga", 3, 20)
			for _, u := range ups {
				u.serviceTime = 50 * time.Millisecond
			}
			n := newFakeNode(t, DefaultConfig(), ups...)
			n.run(time.Second, 5*time.Millisecond)
			ups[1].misreport = func(r *LoadReport) {
				r.Notice = &ProcessNotice{UpstreamNotice: UpstreamNotice{RateLimited: true, RateLimit: float64(perSecond) / float64(senders)}}
			}
			n.run(time.Second, 5*time.Millisecond)
			sent := n.run(seconds*time.Second, 5*time.Millisecond)["saga-1"]
			must.LessEq(t, 2*perSecond*seconds, sent)
			must.Greater(t, 0, sent)

			ups[1].misreport = nil
			n.run(time.Second, 5*time.Millisecond)
			must.Greater(t, 4*perSecond*seconds, n.run(2*seconds*time.Second, 5*time.Millisecond)["saga-1"])
		})
	}
}
