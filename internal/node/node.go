// Package node is the path of a request through one node, its decisions put together:
// how calls are routed, admitted, retried and remembered. It does no
// I/O and reads no clock of its own: a Clock, a Runner and the messages that
// arrive are given to it, so that many nodes can be driven by one goroutine.
package node

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// Clock tells the time. Its times carry a monotonic reading, or the harness's.
type Clock interface {
	Now() time.Time
}

// Identity names a node process and where it is.
type Identity struct {
	Node        string
	Incarnation uint64
	Region      string
	Zone        string
	// InnerAddr is where other nodes reach it, IP:port.
	InnerAddr string
	// AdminAddr is where operators reach it, IP:port.
	AdminAddr string
}

// Config is what a node is made of.
type Config struct {
	Identity  Identity
	Clock     Clock
	Runner    Runner
	Authority Authority
	// Owners finds the owner of an idempotency key; may be nil.
	Owners   Owners
	Ring     *timeline.Ring
	Routing  routing.Config
	Retry    retry.Policy
	Throttle retry.ThrottleConfig
	Guard    GuardConfig
	// Seed feeds the call IDs; two nodes must not share one.
	Seed [32]byte
	// Sample keeps the events of one good call in that many; refused and
	// retried calls are always kept.
	Sample int
	// Observer may be nil.
	Observer Observer
	// Reroutes is how often a call that did not reach an upstream is sent to
	// another one without cost to its allowance.
	Reroutes int
	// MaxQueue bounds the guard's queue whatever a template asks for; 0 leaves
	// it to the template.
	MaxQueue int
	// MaxBody bounds one body in bytes whatever a template asks for; 0 leaves
	// it to the template.
	MaxBody int64
	// Metrics takes the node's numbers; nil keeps them nowhere.
	Metrics *metrics.Set
	// OnRefused is told of every refusal that leaves the node to a caller or
	// to the local upstream; may be nil. It must not block.
	OnRefused func(call *Call, r *result.Refusal)
	// OnEvent is told of every event that goes on the time line; may be nil. It
	// must not block nor keep the event.
	OnEvent func(*timeline.Event)
	// OnCrash is called when the local upstream's process died; may be nil.
	OnCrash func()
	// OnCrashRecords is given records of crashing requests for the peers; may be
	// nil. It must not block.
	OnCrashRecords func([]quarantine.CrashRecord)
}

// Owners finds the guard that owns an idempotency key.
type Owners interface {
	// Owner returns its inner address; empty when none is known.
	Owner(service string, keyHash uint64) string
	// SetResendHorizon raises the time in which keys of the local service may
	// be sent again.
	SetResendHorizon(d time.Duration)
}

// Observer is told how calls end at their entry or exit node. It is called
// concurrently and must not block.
type Observer interface {
	// CallEnded gives the retries made here on behalf of a root request.
	CallEnded(requestID string, retries int)
}

// Node is one node's decisions. Safe for concurrent use.
type Node struct {
	cfg     Config
	guard   *Guard
	sampler timeline.Sampler

	table   atomic.Pointer[routing.Table]
	policy  atomic.Pointer[policy.State]
	service atomic.Pointer[string] // of the local upstream; nil when none

	throttles sync.Map // service name to *throttle

	// endpoints are those of the table in force; only the control loop, which
	// also sets the configuration, touches them.
	endpoints []routing.Endpoint
	overrides map[string]routing.Override

	idMu  sync.Mutex
	idSrc *rand.ChaCha8
}

// New makes a node that knows nobody yet.
func New(cfg Config) *Node {
	if cfg.Metrics == nil {
		cfg.Metrics = unread()
	}
	n := &Node{
		cfg:     cfg,
		sampler: timeline.NewSampler(cfg.Sample),
		idSrc:   rand.NewChaCha8(cfg.Seed),
	}
	now := cfg.Clock.Now()
	n.guard = NewGuard(cfg.Guard, cfg.Identity.Incarnation, cfg.Runner, cfg.Authority, now)
	n.guard.observer = &observer{node: n}
	n.guard.onSuspects = n.spread
	n.policy.Store(policy.NewState())
	n.table.Store(routing.NewTable(nil, cfg.Routing, n.self(), nil, now))
	return n
}

// unread is where numbers go that nobody asked for.
var unread = sync.OnceValue(func() *metrics.Set { return metrics.New(1 << 16) })

func (n *Node) self() routing.Self {
	id := n.cfg.Identity
	return routing.Self{Node: id.Node, Region: id.Region, Zone: id.Zone}
}

// ID returns the node's name.
func (n *Node) ID() string { return n.cfg.Identity.Node }

// Identity returns who and where the node is.
func (n *Node) Identity() Identity { return n.cfg.Identity }

// Incarnation returns the number of this process of the node.
func (n *Node) Incarnation() uint64 { return n.cfg.Identity.Incarnation }

// Now reads the node's clock.
func (n *Node) Now() time.Time { return n.cfg.Clock.Now() }

// Guard returns the way into the local upstream.
func (n *Node) Guard() *Guard { return n.guard }

// Ring returns the node's time line.
func (n *Node) Ring() *timeline.Ring { return n.cfg.Ring }

// Table implements Router.
func (n *Node) Table() *routing.Table { return n.table.Load() }

// Policy returns the configuration in force.
func (n *Node) Policy() *policy.State { return n.policy.Load() }

// RetryPolicy implements Router.
func (n *Node) RetryPolicy() retry.Policy { return n.cfg.Retry }

// Throttle implements Router.
func (n *Node) Throttle(service string) *retry.Throttle {
	if t, ok := n.throttles.Load(service); ok {
		return t.(*throttle).Throttle
	}
	cfg := n.throttleConfig(service)
	t, _ := n.throttles.LoadOrStore(service, &throttle{retry.NewThrottle(cfg), cfg})
	return t.(*throttle).Throttle
}

// idBytes gives 128 random bits: no two of 5.5 million calls a second over
// years will share one.
const idBytes = 16

// NewID implements Router.
func (n *Node) NewID() string {
	var raw [idBytes]byte
	n.idMu.Lock()
	_, _ = n.idSrc.Read(raw[:])
	n.idMu.Unlock()
	var text [2 * idBytes]byte
	hex.Encode(text[:], raw[:])
	return string(text[:])
}

// SetEndpoints puts a new routing table in force. Only the control loop calls
// it, so that no two tables are built from the same predecessor.
func (n *Node) SetEndpoints(now time.Time, endpoints []routing.Endpoint) {
	n.endpoints = endpoints
	n.buildTable(now)
}

func (n *Node) buildTable(now time.Time) {
	cfg := n.cfg.Routing
	n.overrides = routingOverrides(n.policy.Load())
	cfg.Services = n.overrides
	n.table.Store(routing.NewTable(n.table.Load(), cfg, n.self(), n.endpoints, now))
}

// SetPolicy puts a configuration in force. An older one than that in force is
// ignored: what was accepted never reverts.
func (n *Node) SetPolicy(now time.Time, s *policy.State) {
	old := n.policy.Load()
	if s.Version() <= old.Version() {
		return
	}
	n.policy.Store(s)
	change := s.NewestChange()
	if change == old.NewestChange() {
		return
	}
	n.reconfigure(now)
	n.Event(now, timeline.Event{Kind: timeline.ConfigApplied, Detail: fmt.Sprintf("version %d", change)})
}

// Root completes the context of a caller's request and returns the retry
// allowance of its tree.
func (n *Node) Root(now time.Time, raw callctx.Raw, method, caller string) (*Call, int, *result.Refusal) {
	eff, refusal := n.lookup(raw.Workspace, raw.Service)
	if refusal != nil {
		return nil, 0, refusal
	}
	timeout := raw.Timeout
	if timeout == 0 {
		timeout = eff.DefaultTimeout
	}
	level := eff.DefaultLevel
	if raw.HasLevel {
		level = raw.Level
	}
	id := n.NewID()
	call := &Call{Ctx: callctx.Context{
		RequestID:    id,
		CallID:       id,
		Workspace:    raw.Workspace,
		Service:      raw.Service,
		Level:        level,
		Deadline:     now.Add(min(timeout, eff.MaxTimeout)),
		RootAdmitted: now,
		CallerHash:   callctx.HashCaller(raw.Workspace, caller),
	}}
	if refusal := completeKey(call, raw, method, eff); refusal != nil {
		return nil, 0, refusal
	}
	n.cfg.Metrics.Inc(metrics.CallsReceived, 1)
	call.Sampled = n.Sampled(id)
	return call, eff.RetryAllowance, nil
}

// Child completes the context of a call that the local upstream makes for a
// call that it runs. The account of that call pays its retries.
func (n *Node) Child(now time.Time, raw callctx.Raw, method string) (*Call, *retry.Account, *result.Refusal) {
	running, account, ok := n.guard.parent(raw.Parent)
	if !ok {
		return nil, nil, result.Refuse(result.ParentGone, "call %s is not running here", raw.Parent)
	}
	parent := running.Ctx
	eff, refusal := n.lookup(parent.Workspace, raw.Service)
	if refusal != nil {
		return nil, nil, refusal
	}
	if parent.Depth+1 > eff.MaxDepth {
		return nil, nil, result.Refuse(result.TooDeep, "depth %d, bound %d", parent.Depth+1, eff.MaxDepth)
	}
	n.cfg.Metrics.Inc(metrics.CallsFromUpstream, 1)
	call := &Call{Ctx: parent, Sampled: running.Sampled}
	call.Ctx.CallID = n.NewID()
	call.Ctx.ParentID = parent.CallID
	call.Ctx.Service = raw.Service
	call.Ctx.Depth = parent.Depth + 1
	call.Ctx.TraceParent = raw.TraceParent
	if raw.Timeout > 0 && now.Add(raw.Timeout).Before(parent.Deadline) {
		call.Ctx.Deadline = now.Add(raw.Timeout)
	}
	if refusal := completeKey(call, raw, method, eff); refusal != nil {
		return nil, nil, refusal
	}
	return call, account, nil
}

func completeKey(call *Call, raw callctx.Raw, method string, eff *policy.Effective) *result.Refusal {
	call.Ctx.Idempotent = raw.Idempotent || eff.Idempotent(method)
	call.Ctx.Key = raw.Key
	call.Ctx.KeyIssued = raw.KeyIssued
	if call.Ctx.TraceParent == "" {
		call.Ctx.TraceParent = raw.TraceParent
	}
	if eff.KeyRequired && !call.Ctx.Idempotent && raw.Key == "" {
		return result.Refuse(result.KeyRequired, "%s %s needs header %s", method, eff.Service, callctx.HeaderKey)
	}
	return nil
}

func (n *Node) lookup(workspace, service string) (*policy.Effective, *result.Refusal) {
	if workspace == "" || service == "" {
		return nil, result.Refuse(result.BadContext, "headers %s and %s are required", callctx.HeaderWorkspace, callctx.HeaderService)
	}
	state := n.policy.Load()
	if eff, ok := state.Lookup(workspace, service); ok {
		return eff, nil
	}
	if state.Version() == 0 {
		return nil, result.Refuse(result.Starting, "no configuration has reached this node yet").After(time.Second)
	}
	return nil, result.Refuse(result.UnknownService, "workspace %q has no instance for service %q", workspace, service)
}

// defaultMaxBody bounds the bodies of services without an instance, in bytes.
const defaultMaxBody = 1 << 20

// MaxBody returns the bound of a body held for the call, in bytes.
func (n *Node) MaxBody(call *Call) int64 {
	bound := int64(defaultMaxBody)
	if eff, ok := n.policy.Load().Lookup(call.Ctx.Workspace, call.Ctx.Service); ok {
		bound = eff.MaxBody
	}
	if n.cfg.MaxBody > 0 {
		bound = min(bound, n.cfg.MaxBody)
	}
	return bound
}

// RefuseCall makes the answer to a call that the guard never saw.
func (n *Node) RefuseCall(call *Call, r *result.Refusal) *Response {
	a := Refused(call.Ctx.CallID, r)
	a.Unused = call.Allowance
	return a
}

// Owner implements Router.
func (n *Node) Owner(call *Call) string {
	if n.cfg.Owners == nil || !n.owned(call) {
		return ""
	}
	return n.At(call.Ctx.Service, n.cfg.Owners.Owner(call.Ctx.Service, call.IdempotencyKey().Hash()))
}

// owned reports whether the call's key is decided by the owner of its slot.
func (n *Node) owned(call *Call) bool {
	eff, ok := n.policy.Load().Lookup(call.Ctx.Workspace, call.Ctx.Service)
	return ok && eff.AtMostOnce == policy.AtMostOnceOwnership
}

// NeedsClaim reports whether a claim of the call's key must be in the log
// before the call runs.
func (n *Node) NeedsClaim(call *Call) bool { return !n.owned(call) }

// At implements Router.
func (n *Node) At(service, addr string) string {
	if addr == "" {
		return ""
	}
	for _, t := range n.table.Load().Targets(service) {
		if e := t.Endpoint(); e.Addr == addr {
			return e.Node
		}
	}
	return ""
}
