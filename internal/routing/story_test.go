package routing

import (
	"testing"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/shoenig/test/must"
)

// Callers see one in three lookups late while two upstreams idle: the third
// reports zero load and a huge limit, whatever it holds, and answers slowly.
func TestStory_LyingIdleUpstreamThatIsSlow(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	ups[0].service = 200 * time.Millisecond
	ups[0].lie = func(r *LoadReport) { *r = LoadReport{Limit: 1e6, Threshold: NoThreshold} }
	n := newFakeNode(t, DefaultConfig(), ups...)
	got := n.run(10*time.Second, time.Millisecond)
	t.Logf("calls: %v", got)
	must.Less(t, 10000/20, got["saga-0"])
}

// Callers see quick errors: one upstream refuses everything at once and
// reports no load, so it always looks like the least loaded one.
func TestStory_LyingIdleUpstreamThatRefuses(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	ups[0].service = time.Millisecond
	ups[0].outcome = Refused
	ups[0].lie = func(r *LoadReport) { *r = LoadReport{Limit: 20, Threshold: NoThreshold} }
	n := newFakeNode(t, DefaultConfig(), ups...)
	got := n.run(10*time.Second, time.Millisecond)
	t.Logf("calls: %v", got)
	must.Less(t, 10000/20, got["saga-0"])
}

// A tracker VM is about to be replaced and says so on an answer. Requests sent
// to it afterwards are refused there or cut when it stops.
func TestStory_DrainingUpstreamGetsNoNewWork(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	ups[1].lie = func(r *LoadReport) { r.Draining = true }
	n.run(50*time.Millisecond, time.Millisecond)
	must.Zero(t, n.run(5*time.Second, time.Millisecond)["saga-1"])

	ups[2].ep.Draining = true
	n.membership(ups...)
	must.Eq(t, map[string]int{"saga-0": 1000}, n.run(time.Second, time.Millisecond))
	must.True(t, n.table.ByNode("saga-1").Stats().Draining)

	ups[0].ep.Draining = true
	n.membership(ups...)
	n.run(10*time.Millisecond, time.Millisecond)
	must.Eq(t, map[result.Code]int{result.Draining: 10}, n.refusals)
	_, refusal := n.table.Pick(n.now, n.rng, PickInfo{Service: "archive", Node: "saga-2"})
	must.Eq(t, result.Draining, refusal.Code)
}

// A shared database fails and every upstream with it. If all were ejected, or
// all but one, the callers would see an outage long after the database is back.
func TestStory_EjectionCapWhenAllFail(t *testing.T) {
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

// One upstream of three fails every call at once. Without ejection a third of
// the lookups fail; with a crowd of probes each try to return costs many more.
func TestStory_FailingUpstreamIsEjectedAndProbedOnce(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	ups[0].outcome = Failed
	n := newFakeNode(t, DefaultConfig(), ups...)
	first := n.run(4*time.Second, time.Millisecond)
	t.Logf("calls until ejected: %d", first["saga-0"])
	must.Less(t, 20, first["saga-0"])
	// Ejections last 5, 10, 20, 40 s; each ends with one probe.
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

// One upstream fails six in ten calls, never five in a row for long. Its good
// answers hide it from a count of consecutive failures, not from the callers.
func TestStory_OftenFailingUpstreamIsEjected(t *testing.T) {
	cfg := DefaultConfig()
	cfg.EjectFailures = 1000
	ups := upstreams("saga", 4, 20)
	for _, u := range ups {
		u.failures = 0.1
	}
	ups[0].failures = 0.7
	n := newFakeNode(t, cfg, ups...)
	n.run(10*time.Second, time.Millisecond)
	for _, u := range ups {
		must.Eq(t, u == ups[0], n.table.ByNode(u.ep.Node).Stats().Ejected)
		u.failures = 0.7
	}
	n = newFakeNode(t, cfg, ups...)
	n.run(10*time.Second, time.Millisecond)
	for _, g := range n.table.Targets("archive") {
		must.False(t, g.Stats().Ejected)
	}
}

// All but one upstream are leaving and the last one fails for a moment. Were
// it ejected too, callers would be refused long after it works again.
func TestStory_LastUpstreamIsNotEjected(t *testing.T) {
	ups := upstreams("saga", 4, 20)
	for _, u := range ups[1:] {
		u.ep.Draining = true
	}
	ups[0].outcome = Unreachable
	n := newFakeNode(t, DefaultConfig(), ups...)
	must.Eq(t, 1000, n.run(time.Second, time.Millisecond)["saga-0"])
	must.False(t, n.table.ByNode("saga-0").Stats().Ejected)
}

// The own zone is flooded while a zone 0.5 ms away is idle. Callers see
// refusals there is no need for; later, with the flood gone, needless delay.
func TestStory_SpillOnSaturationAndReturn(t *testing.T) {
	ups := append(upstreams("saga", 2, 5), upstreams("omuta", 2, 50)...)
	n := newFakeNode(t, DefaultConfig(), ups...)
	must.MapNotContainsKey(t, n.run(time.Second, 2*time.Millisecond), "omuta-0")
	got := n.run(2*time.Second, 500*time.Microsecond)
	t.Logf("calls in the flood: %v", got)
	must.Greater(t, 500, got["omuta-0"]+got["omuta-1"])
	must.Greater(t, 1000, got["saga-0"]+got["saga-1"])
	n.run(time.Second, 2*time.Millisecond)
	got = n.run(time.Second, 2*time.Millisecond)
	must.Zero(t, got["omuta-0"]+got["omuta-1"])
	must.MapEmpty(t, n.refusals)
}

// A low class is shed in the own zone; another zone would take it. The remote
// room must be used, and refused early only when no zone has any.
func TestStory_ShedLocallyRoomElsewhere(t *testing.T) {
	ups := append(upstreams("saga", 2, 20), upstreams("yame", 2, 20)...)
	ups[2].ep.Region, ups[3].ep.Region = "ga-north", "ga-north"
	shed := func(r *LoadReport) { r.Threshold = lowRank }
	ups[0].lie, ups[1].lie = shed, shed
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(200*time.Millisecond, time.Millisecond)
	got := n.run(400*time.Millisecond, time.Millisecond)
	must.Greater(t, 350, got["yame-0"]+got["yame-1"])
	must.MapEmpty(t, n.refusals)

	ups[2].lie, ups[3].lie = shed, shed
	n.run(500*time.Millisecond, time.Millisecond)
	must.Greater(t, 300, n.refusals[result.ShedEarly])
	must.NotEq(t, "", n.send(PickInfo{Rank: lowRank - 1}))
	g, refusal := n.table.Pick(n.now, n.rng, PickInfo{Service: "archive", Rank: lowRank, Node: "saga-0"})
	must.Nil(t, g)
	must.True(t, refusal.AllFull && refusal.RetryAfter > 0)
}

// A surge is over, yet callers go on being refused: every upstream once said
// "full", nobody asks again, and so nobody hears that there is room.
func TestStory_StaleFullIsProbed(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	for _, u := range ups {
		u.lie = func(r *LoadReport) { r.Threshold = 0 }
	}
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	must.Greater(t, 800, n.refusals[result.ShedEarly])
	for _, u := range ups {
		u.lie = nil
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

// The own zone queued when it was last heard of, a while ago. Calls must not go
// on to another zone for good on that word alone.
func TestStory_StaleQueueIsProbed(t *testing.T) {
	n := newFakeNode(t, DefaultConfig(), upstream("saga", 0, 20), upstream("omuta", 0, 20))
	g := n.table.ByNode("saga-0")
	g.Start(n.now)
	g.Done(n.now, Answered, 10*time.Millisecond, &LoadReport{InFlight: 20, Queued: 1, Limit: 20, Threshold: NoThreshold})
	must.Eq(t, "omuta-0", n.send(PickInfo{}))
	n.advance(n.now.Add(n.cfg.LoadAge + time.Second))
	must.Eq(t, "saga-0", n.send(PickInfo{}))
}

// A VM is replaced. The new process is cold; given its full share at once it
// answers late, its callers send again, and it stays slow.
func TestStory_SlowStartAfterColdStart(t *testing.T) {
	ups := upstreams("saga", 4, 40)
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	ups[0].ep.Incarnation, ups[0].ep.Joined = 2, n.now
	n.membership(ups...)
	var shares []int
	for range 6 {
		shares = append(shares, n.run(2*time.Second, time.Millisecond)["saga-0"])
	}
	t.Logf("calls of the cold one, each 2 s, of 2000: %v", shares)
	must.Less(t, 150, shares[0])
	must.Greater(t, shares[0], shares[2])
	must.Between(t, 400, shares[5], 600)

	ups[1].ep.Incarnation, ups[1].ep.Joined = 2, n.now
	n.membership(ups...)
	flood := n.run(100*time.Millisecond, 10*time.Microsecond)
	t.Logf("calls in a flood: %v", flood)
	must.Less(t, flood["saga-2"]/2, flood["saga-1"])
}

// A VM restarts before membership says so; the first sign is an answer with
// another incarnation. It is cold, and no longer draining as the old one was.
func TestStory_ReportOfNewIncarnation(t *testing.T) {
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
	n.membership(ups...)
	must.Eq(t, g, n.table.ByNode("saga-0"))
	must.Less(t, 100, n.run(500*time.Millisecond, time.Millisecond)["saga-0"])
}

// The network loses track of a VM's connections. Nothing is refused; calls to
// it just wait until their timeout, one in three of all.
func TestStory_SilentUpstreamIsAvoided(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	ups[0].silent = true
	lost := n.run(time.Second, time.Millisecond)["saga-0"]
	t.Logf("calls sent into the silence before the first timeout: %d", lost)
	must.Less(t, 40, lost)
	must.Less(t, 20, n.run(20*time.Second, time.Millisecond)["saga-0"])
}

// As before, but callers leave long before any timeout. No call ever fails by
// the node's count, and the silent upstream always looks idle again.
func TestStory_SilentUpstreamAndImpatientCallers(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	n.patience = 30 * time.Millisecond
	ups[0].silent = true
	lost := n.run(20*time.Second, time.Millisecond)["saga-0"]
	t.Logf("calls sent into the silence, of 20000: %d", lost)
	must.Less(t, 1000, lost)
}

// Guards against all senders turning at once to a slow upstream with an old report of room.
func TestStory_OldRoomAtSlowUpstreamDrawsNoCrowd(t *testing.T) {
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

// A platform hiccup makes membership doubt a zone that answers every call. If
// the doubt were obeyed the others would be overrun for no reason.
func TestStory_SuspectThatAnswersIsUsed(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	n := newFakeNode(t, DefaultConfig(), ups...)
	n.run(time.Second, time.Millisecond)
	ups[0].ep.Suspect = true
	n.membership(ups...)
	must.Greater(t, 250, n.run(time.Second, time.Millisecond)["saga-0"])
	ups[0].silent = true
	n.run(5*time.Second, time.Millisecond)
	must.Zero(t, n.run(time.Second, time.Millisecond)["saga-0"])
}
