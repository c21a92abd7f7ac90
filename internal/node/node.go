// Package node implements the decisions that one node takes for a request: routing, admission,
// retries and idempotency. It does no I/O and reads no clock of its own: a Clock, a Runner and
// incoming messages are passed in, so that one goroutine can drive many nodes.
package node

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/dedup"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// Clock returns the current time. Its times carry a monotonic reading or come from a test
// harness.
type Clock interface {
	Now() time.Time
}

// Identity identifies a node process and its location.
type Identity struct {
	Node        string
	Incarnation uint64
	Region      string
	Zone        string
	// InnerAddr is the address for other nodes, IP:port.
	InnerAddr string
	// AdminAddr is the address for operators, IP:port.
	AdminAddr string
}

// Config configures a node.
type Config struct {
	Identity  Identity
	Clock     Clock
	Runner    Runner
	Authority Authority
	// Owners finds the owner of an idempotency key; nil means that no key has an owner.
	Owners   Owners
	Ring     *timeline.Ring
	Routing  routing.Config
	Retry    retry.Policy
	Throttle retry.ThrottleConfig
	Guard    GuardConfig
	// Seed seeds the generator of call IDs; every node needs a different one.
	Seed [32]byte
	// Sample is the sampling rate of events: they are recorded for one in Sample successful calls,
	// and for every refused or retried call.
	Sample int
	// Observer receives the end of every call; may be nil.
	Observer Observer
	// MaxReroutes is how many times a call that did not reach an upstream is sent to another one
	// without spending its retry allowance.
	MaxReroutes int
	// MaxQueue bounds the guard's queue, in addition to the bound of the template; 0 means no
	// further bound.
	MaxQueue int
	// MaxBody bounds a single body in bytes, in addition to the bound of the template; 0 means
	// no further bound.
	MaxBody int64
	// Metrics receives the node's metrics; nil discards them.
	Metrics *metrics.Set
	// OnRefused is called for every refusal that the node sends to a caller or to the local
	// upstream; may be nil. It must not block.
	OnRefused func(call *Call, r *result.Refusal)
	// OnEvent is called for every event that is added to the timeline; may be nil. It must not
	// block nor retain the event.
	OnEvent func(*timeline.Event)
	// OnCrash is called when the process of the local upstream crashed; may be nil.
	OnCrash func()
	// OnUpstreamLeaving is called after the local upstream said in a response that it leaves. The guard
	// refuses new calls by then. It may be nil.
	OnUpstreamLeaving func()
	// OnCrashRecords is called with crash records to be gossiped to the peers; may be nil. It
	// must not block.
	OnCrashRecords func([]quarantine.CrashRecord)
}

// Owners finds the guard that owns an idempotency key.
type Owners interface {
	// Owner returns the inner address of the owner; empty when unknown.
	Owner(service string, keyHash uint64) string
	// SetResendHorizon raises the time during which callers may resend keys of the local
	// service.
	SetResendHorizon(d time.Duration)
}

// Observer receives the end of calls at their entry or exit node. Its methods are called
// concurrently and must not block.
type Observer interface {
	// CallEnded reports how many retries this node made for a root request.
	CallEnded(requestID string, retries int)
}

// Node decides for the requests of one node about routing, admission, retries and idempotency. It is
// safe for concurrent use.
type Node struct {
	cfg     Config
	guard   *Guard
	sampler timeline.Sampler

	table   atomic.Pointer[routing.Table]
	policy  atomic.Pointer[policy.State]
	service atomic.Pointer[string] // of the local upstream; nil when none

	throttles   sync.Map // service name to *throttle
	peerNotices peerNotices
	// takesBack is set while this node takes back its calls that wait at a guard.
	takesBack atomic.Bool
	// usesSpeeds is set while this node weighs upstreams by the speeds that their guards report.
	usesSpeeds atomic.Bool

	// endpoints are the endpoints of the current routing table. Only the control loop, which
	// also sets the configuration, accesses endpoints and overrides.
	endpoints []routing.Endpoint
	overrides map[string]routing.Override

	idMu  sync.Mutex
	idSrc *rand.ChaCha8
	// numbered counts the attempts that have an origin.
	numbered atomic.Uint64
}

// New returns a node without a configuration, endpoints or a local upstream.
func New(cfg Config) *Node {
	if cfg.Metrics == nil {
		cfg.Metrics = discardedMetrics()
	}
	n := &Node{
		cfg:     cfg,
		sampler: timeline.NewSampler(cfg.Sample),
		idSrc:   rand.NewChaCha8(cfg.Seed),
	}
	now := cfg.Clock.Now()
	n.guard = NewGuard(cfg.Guard, cfg.Identity.Incarnation, cfg.Runner, cfg.Authority, now)
	n.guard.events = &eventRecorder{node: n}
	n.guard.onCrashRecords = n.gossip
	n.guard.onLeaving = cfg.OnUpstreamLeaving
	n.policy.Store(policy.NewState())
	n.table.Store(routing.NewTable(nil, cfg.Routing, n.self(), nil, now))
	return n
}

// discardedMetrics receives the metrics of nodes that are configured without a metrics set.
var discardedMetrics = sync.OnceValue(func() *metrics.Set { return metrics.New(1 << 16) })

func (n *Node) self() routing.Self {
	id := n.cfg.Identity
	return routing.Self{Node: id.Node, Region: id.Region, Zone: id.Zone}
}

// ID returns the node's name.
func (n *Node) ID() string { return n.cfg.Identity.Node }

// Identity returns the identity of the node.
func (n *Node) Identity() Identity { return n.cfg.Identity }

// Incarnation returns the incarnation number of the node's process.
func (n *Node) Incarnation() uint64 { return n.cfg.Identity.Incarnation }

// Now reads the node's clock.
func (n *Node) Now() time.Time { return n.cfg.Clock.Now() }

// Guard returns the guard of the local upstream.
func (n *Node) Guard() *Guard { return n.guard }

// Ring returns the ring buffer of the node's timeline.
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

// idBytes is the length of a call ID: 128 random bits, so that IDs stay unique for years at
// 5.5 million calls per second.
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

// number sets the origin of an attempt. An idempotent call may run again and needs none.
func (n *Node) number(attempt *Call) {
	if attempt.Ctx.Idempotent {
		return
	}
	attempt.Origin = dedup.Origin{
		Sender: dedup.Sender{Node: n.ID(), Incarnation: n.Incarnation()},
		Number: n.numbered.Add(1),
	}
}

// SetEndpoints builds and publishes a new routing table. Only the control loop calls it, so
// that no two tables are built from the same predecessor.
func (n *Node) SetEndpoints(now time.Time, endpoints []routing.Endpoint) {
	n.endpoints = endpoints
	n.peerNotices.expire(now)
	n.buildTable(now)
}

func (n *Node) buildTable(now time.Time) {
	cfg := n.cfg.Routing
	n.overrides = routingOverrides(n.policy.Load())
	cfg.Services = n.overrides
	n.table.Store(routing.NewTable(n.table.Load(), cfg, n.self(), n.endpoints, now))
}

// SetPolicy applies a configuration. A configuration that is not newer than the current one is
// ignored, so that an accepted change is never reverted.
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

// NewRootCall builds the call of a caller's request from its headers and its template. It returns the
// call and the retry allowance of the call's tree.
func (n *Node) NewRootCall(now time.Time, raw callctx.Raw, method, caller string) (*Call, int, *result.Refusal) {
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
	if refusal := completeContext(call, raw, method, eff); refusal != nil {
		return nil, 0, refusal
	}
	n.cfg.Metrics.Inc(metrics.CallsReceived, 1)
	call.Sampled = n.Sampled(id)
	return call, eff.RetryAllowance, nil
}

// NewChildCall builds a call that the local upstream makes while it runs another call. It returns the
// call and the account of the running call, from which the retries of the child are paid.
func (n *Node) NewChildCall(now time.Time, raw callctx.Raw, method string) (*Call, *retry.Account, *result.Refusal) {
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
		return nil, nil, result.Refuse(result.TooDeep, "call depth is %d, limit is %d", parent.Depth+1, eff.MaxDepth)
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
	if refusal := completeContext(call, raw, method, eff); refusal != nil {
		return nil, nil, refusal
	}
	return call, account, nil
}

func completeContext(call *Call, raw callctx.Raw, method string, eff *policy.Effective) *result.Refusal {
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
		return nil, result.Refuse(result.Starting, "no configuration has reached this node yet").WithRetryAfter(time.Second)
	}
	return nil, result.Refuse(result.UnknownService, "workspace %q has no instance for service %q", workspace, service)
}

// defaultMaxBody bounds the bodies of services without an instance, in bytes.
const defaultMaxBody = 1 << 20

// MaxBody returns the size limit of a body held for the call, in bytes.
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

// RefuseCall returns the response to a call that is refused before it reaches the guard.
func (n *Node) RefuseCall(call *Call, r *result.Refusal) *Response {
	a := Refused(call.Ctx.CallID, r)
	a.UnusedAllowance = call.Allowance
	return a
}

// Owner implements Router.
func (n *Node) Owner(call *Call) string {
	if n.cfg.Owners == nil || !n.usesOwnership(call) {
		return ""
	}
	return n.NodeAt(call.Ctx.Service, n.cfg.Owners.Owner(call.Ctx.Service, call.IdempotencyKey().Hash()))
}

// usesOwnership reports whether the owner of the key's slot decides whether the call may run.
func (n *Node) usesOwnership(call *Call) bool {
	eff, ok := n.policy.Load().Lookup(call.Ctx.Workspace, call.Ctx.Service)
	return ok && eff.AtMostOnce == policy.AtMostOnceOwnership
}

// NeedsClaim reports whether a claim of the call's key must be in the log
// before the call runs.
func (n *Node) NeedsClaim(call *Call) bool { return !n.usesOwnership(call) }

// NodeAt implements Router.
func (n *Node) NodeAt(service, addr string) string {
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
