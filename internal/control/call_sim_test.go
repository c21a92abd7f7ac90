package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/control"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/standin/logd"
	"github.com/galenagrade/galenagrade/internal/testclock"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

const (
	oneWayDelay       = 500 * time.Microsecond
	guardTickInterval = 10 * time.Millisecond
)

// epoch is the start of the simulated time.
var epoch = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

// allowAllAuthority is a node.Authority that permits every call to start without a claim.
type allowAllAuthority struct{}

// NeedsClaim implements node.Authority.
func (allowAllAuthority) NeedsClaim(*node.Call) bool { return false }

// MayStart implements node.Authority.
func (allowAllAuthority) MayStart(time.Time, *node.Call) (time.Time, *result.Refusal) {
	return time.Time{}, nil
}

func okResponse(call *node.Call) *node.Response {
	return &node.Response{CallID: call.Ctx.CallID, Code: result.OK, Status: 200, Body: []byte("done")}
}

// callSim simulates nodes, the log and the network in one goroutine with virtual time.
type callSim struct {
	*testclock.Clock
	t     *testing.T
	rng   *rand.Rand
	log   *logd.Server
	nodes []*callSimNode
	lines []string
}

type callSimNode struct {
	*node.Node
	sim             *callSim
	service         string
	replica         *control.Replica
	upstreamCrashes int // number of crashes of the upstream
}

// newCallSim starts four nodes for each of three services; front calls middle, and middle calls
// back.
func newCallSim(t *testing.T, seed uint64) *callSim {
	s := &callSim{Clock: testclock.New(epoch), t: t, rng: rand.New(rand.NewPCG(seed, 1))}
	s.log = logd.New(logd.Options{Now: s.Now, Seed: seed})
	s.publish()
	for i := range 12 {
		s.start(i, seed)
	}
	return s
}

func (s *callSim) publish() {
	var records []logstore.Record
	add := func(p policy.Publication) {
		rec, err := p.Record(s.Now())
		must.NoError(s.t, err)
		records = append(records, rec)
	}
	for _, tpl := range policy.Library() {
		add(policy.Publication{ID: "t" + tpl.Name, Author: "op", Template: &tpl})
	}
	for _, service := range []string{"front", "middle", "back"} {
		add(policy.Publication{ID: "i" + service, Author: "op", Instance: &policy.Instance{
			Workspace: "w", Service: service, Template: "balanced", Revision: 1,
		}})
	}
	_, err := s.log.Append(context.Background(), records)
	must.NoError(s.t, err)
}

func (s *callSim) start(i int, seed uint64) {
	n := &callSimNode{sim: s, service: []string{"front", "middle", "back"}[i%3], replica: control.NewReplica()}
	id := node.Identity{Node: fmt.Sprintf("n%02d", i), Incarnation: 1, Region: "r", Zone: fmt.Sprintf("z%d", i%2), InnerAddr: fmt.Sprintf("10.0.0.%d:1", i)}
	n.Node = node.New(node.Config{
		Identity: id, Clock: s, Runner: n, Authority: allowAllAuthority{}, Guard: node.DefaultGuardConfig(), Routing: routing.DefaultConfig(),
		Retry: retry.DefaultPolicy(), Throttle: retry.DefaultThrottleConfig(), Seed: [32]byte{byte(i), byte(seed)},
		Ring: timeline.NewRing(id.Node, 1<<15, &timeline.Clock{}), Sample: 1,
	})
	s.nodes = append(s.nodes, n)
	body, err := json.Marshal(membership.Join{Member: membership.Member{
		Identity: membership.Identity{Node: id.Node, Incarnation: 1}, Region: id.Region, Zone: id.Zone,
		Service: n.service, InnerAddr: id.InnerAddr, Slots: 6, JoinedAt: s.Now(),
	}})
	must.NoError(s.t, err)
	_, err = s.log.Append(context.Background(), []logstore.Record{{ID: id.Node, Kind: logstore.KindJoin, Body: body}})
	must.NoError(s.t, err)
	n.announce()
	n.tick()
	n.follow()
}

func (n *callSimNode) announce() {
	n.UpstreamAnnounced(n.sim.Now(), node.Announcement{Service: n.service, Address: "10.0.0.1:2", Slots: 6})
}

func (n *callSimNode) tick() {
	n.Guard().Tick(n.sim.Now())
	n.sim.After(guardTickInterval, n.tick)
}

// follow reads the log once per second.
func (n *callSimNode) follow() {
	page, err := n.sim.log.Read(context.Background(), n.replica.Next(), 1000, 0)
	must.NoError(n.sim.t, err)
	n.replica.Take(n.sim.Now(), page)
	n.SetPolicy(n.sim.Now(), n.replica.Policy())
	n.SetEndpoints(n.sim.Now(), control.Endpoints(n.replica.Members(), func(membership.Identity) bool { return false }))
	n.sim.After(time.Second, n.follow)
}

// Claim implements Runner.
func (n *callSimNode) Claim(call *node.Call) {
	n.sim.t.Fatalf("call %s requested a claim", call.Ctx.CallID)
}

// Run implements Runner: the upstream works, then calls the next service, if any.
func (n *callSimNode) Run(call *node.Call, _ time.Time) {
	crashesAtStart := n.upstreamCrashes
	end := func(a *node.Response) {
		if n.upstreamCrashes != crashesAtStart {
			a = node.Refused(call.Ctx.CallID, result.Refuse(result.LostAnswer, "the upstream crashed during the call"))
			a.Crashed = n.UpstreamCrashed(n.sim.Now())
		}
		n.Guard().Finish(n.sim.Now(), call.Ctx.CallID, a)
	}
	callee := map[string]string{"front": "middle", "middle": "back"}[n.service]
	n.sim.After(time.Duration((0.5+n.sim.rng.Float64())*float64(20*time.Millisecond)), func() {
		if callee == "" || n.upstreamCrashes != crashesAtStart {
			end(okResponse(call))
			return
		}
		n.callNext(call, callee, end)
	})
}

func (n *callSimNode) callNext(call *node.Call, service string, end func(*node.Response)) {
	child, account, refusal := n.NewChildCall(n.sim.Now(), callctx.Raw{Parent: call.Ctx.CallID, Service: service}, "GET")
	if refusal != nil {
		end(node.Refused(call.Ctx.CallID, refusal))
		return
	}
	child.Method, child.Target = "GET", "/"+child.Ctx.CallID
	n.dispatch(child, account, func(a *node.Response) {
		if !a.Complete() {
			end(&node.Response{CallID: call.Ctx.CallID, Code: result.UpstreamFailed, Status: 502})
			return
		}
		end(okResponse(call))
	})
}

// dispatch performs the actions of a Dispatch over the simulated network.
func (n *callSimNode) dispatch(call *node.Call, account *retry.Account, done func(*node.Response)) {
	d := node.NewDispatch(n.Node, n.sim.rng, call, account)
	var next func()
	next = func() {
		switch action := d.Next(n.sim.Now()); action.Kind {
		case node.ActionDone:
			n.RecordResponse(call, action.Response, d)
			done(action.Response)
		case node.ActionPause:
			n.sim.After(action.Pause, next)
		case node.ActionSend:
			to := n.sim.node(action.Target.Endpoint().Node)
			n.sim.After(oneWayDelay, func() {
				to.receive(action.Attempt, func(a *node.Response) {
					n.sim.After(oneWayDelay, func() {
						d.Observe(n.sim.Now(), a)
						next()
					})
				})
			})
		}
	}
	next()
}

func (n *callSimNode) receive(call *node.Call, respond func(*node.Response)) {
	if _, a := n.Guard().Arrive(n.sim.Now(), call, respond); a != nil {
		respond(a)
	}
}

func (s *callSim) node(name string) *callSimNode {
	for _, n := range s.nodes {
		if n.ID() == name {
			return n
		}
	}
	s.t.Fatalf("no node %s", name)
	return nil
}

// generateLoad sends root requests, at four times the normal rate from the 30th to the 40th
// second.
func (s *callSim) generateLoad() {
	rate := 100.0
	if e := s.Now().Sub(epoch); e >= 30*time.Second && e < 40*time.Second {
		rate = 400
	}
	s.After(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.generateLoad)
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	raw := callctx.Raw{Workspace: "w", Service: "front", HasLevel: true, Level: callctx.Level(s.rng.IntN(callctx.Levels)), Timeout: time.Second}
	call, allowance, refusal := n.NewRootCall(s.Now(), raw, "GET", fmt.Sprint(s.rng.IntN(50)))
	if refusal != nil {
		s.lines = append(s.lines, refusal.Error())
		return
	}
	call.Method, call.Target = "GET", "/"+call.Ctx.CallID
	n.dispatch(call, retry.NewAccount(allowance), func(a *node.Response) {
		s.lines = append(s.lines, fmt.Sprintf("%s %s %s %d", s.Now().Sub(epoch), n.ID(), call.Ctx.RequestID, a.Code))
	})
}

// simulateMinute runs a minute with a crash, a drain and a surge. It returns the outcomes of all
// requests and the events of all nodes.
func simulateMinute(t *testing.T, seed uint64) []string {
	s := newCallSim(t, seed)
	s.After(time.Second, s.generateLoad)
	s.After(10*time.Second, func() { s.nodes[2].upstreamCrashes++; s.nodes[2].UpstreamCrashed(s.Now()) })
	s.After(12*time.Second, s.nodes[2].announce)
	s.After(20*time.Second, func() { s.nodes[4].Guard().Drain(s.Now()) })
	s.Run(time.Minute)
	for _, n := range s.nodes {
		for _, e := range n.Ring().Events(timeline.Filter{}) {
			s.lines = append(s.lines, fmt.Sprint(e.HLC, e.Node, e.Kind, e.CallID, e.Upstream, e.Code, e.Detail))
		}
	}
	return s.lines
}

// Guards against decisions that depend on the wall clock or on a random source that is not
// seeded: two runs with the same seed must produce the same events.
func TestCallSimulationIsDeterministic(t *testing.T) {
	first := simulateMinute(t, 7)
	must.Greater(t, 5000, len(first))
	succeeded := 0
	for _, line := range first {
		if strings.HasSuffix(line, " 1000") {
			succeeded++
		}
	}
	must.Greater(t, 4000, succeeded)
	must.Eq(t, first, simulateMinute(t, 7))
	must.NotEq(t, first[100], simulateMinute(t, 8)[100])
}
