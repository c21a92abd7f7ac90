package proxy

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/h1"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const (
	// crashProbeTimeout bounds the connection attempt that tells a crashed
	// upstream from a single broken connection; the upstream is on loopback.
	crashProbeTimeout = 200 * time.Millisecond
	// upstreamConnect bounds a connection to the upstream, which is on the same
	// VM: one that has more than it accepts doesn't answer.
	upstreamConnect = time.Second
	// upstreamSilence is how long the path to the upstream may be silent; it is on
	// the same VM.
	upstreamSilence = time.Second
	// upstreamIdle stays below the idle timeouts usual for servers, so that
	// this side closes first and no call is sent into a closing connection.
	upstreamIdle = 5 * time.Second
	// upstreamKept bounds the idle connections to the upstream.
	upstreamKept = 1024
)

// Claimer gets claims of idempotency keys into the log.
type Claimer interface {
	// Claim returns nil once this guard is known to hold the key of the call.
	Claim(ctx context.Context, call *node.Call) *result.Refusal
}

// Upstream runs admitted calls at the local upstream. It implements
// node.Runner. Safe for concurrent use.
type Upstream struct {
	// BeforeRun is called between the decision to run a call and its dispatch;
	// a test holds it there, as a paused process would. It may be nil, and must
	// be set before calls.
	BeforeRun func(context.Context) error

	node    *node.Node
	claimer Claimer
	dialect Dialect
	// queued is told when a call has to wait; may be nil.
	queued func()

	mu      sync.Mutex
	pool    *h1.Pool
	running map[string]context.Context
	// byRequest finds the running call of a request that callers named.
	byRequest map[string]string
}

// NewUpstream makes the runner of a node; Bind must follow before calls.
func NewUpstream(claimer Claimer) *Upstream {
	return &Upstream{
		claimer:   claimer,
		dialect:   ownDialect{},
		pool:      newUpstreamPool(""),
		running:   make(map[string]context.Context),
		byRequest: make(map[string]string),
	}
}

// newUpstreamPool keeps all connections in use, round robin: there are never more than the
// upstream has slots, and one that is opened anew after a lower load may hold a slot.
func newUpstreamPool(addr string) *h1.Pool {
	return h1.NewPool(addr, h1.Config{
		Dial:         conns.DetectSilence(&net.Dialer{Timeout: upstreamConnect}, upstreamSilence).DialContext,
		Idle:         upstreamIdle,
		MaxIdleConns: upstreamKept,
		MaxBody:      maxAnswerBody,
		RoundRobin:   true,
	})
}

// Speak sets how the upstream is spoken to; call it before the first call.
func (u *Upstream) Speak(d Dialect) { u.dialect = d }

// OnQueued sets what is told when a call has to wait; call it before the first
// call. It must not block.
func (u *Upstream) OnQueued(f func()) { u.queued = f }

// Close closes the idle connections to the upstream.
func (u *Upstream) Close() { u.connections().Close() }

func (u *Upstream) connections() *h1.Pool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pool
}

// Bind sets the node whose guard decides.
func (u *Upstream) Bind(n *node.Node) { u.node = n }

// SetAddr sets the address that the upstream announced. Connections to the
// process before are not used again.
func (u *Upstream) SetAddr(addr string) {
	u.mu.Lock()
	old := u.pool
	u.pool = newUpstreamPool(addr)
	u.mu.Unlock()
	old.Close()
}

// Addr returns the announced address; empty when there is none.
func (u *Upstream) Addr() string { return u.connections().Addr() }

// Serve takes a call to its answer at this node's guard. When ctx ends first
// the attachment is given up and the answer says what may have happened.
func (u *Upstream) Serve(ctx context.Context, call *node.Call) *node.Response {
	guard := u.node.Guard()
	ch := make(chan *node.Response, 1)
	token, answer := guard.Arrive(u.node.Now(), call, func(a *node.Response) { ch <- a })
	if answer != nil {
		return answer
	}
	if u.queued != nil {
		u.queued()
	}
	select {
	case answer = <-ch:
		return answer
	case <-ctx.Done():
		return u.abandon(ctx, call, token, ch)
	}
}

// abandon leaves the guard. A call that was still waiting has its truthful
// refusal in ch by the time Leave returns.
func (u *Upstream) abandon(ctx context.Context, call *node.Call, token int, ch chan *node.Response) *node.Response {
	u.node.Guard().Leave(u.node.Now(), call.Ctx.CallID, token)
	select {
	case a := <-ch:
		return a
	default:
	}
	return node.Refused(call.Ctx.CallID, endedRefusal(ctx))
}

func endedRefusal(ctx context.Context) *result.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Refuse(result.DeadlinePassed, "the deadline passed while the call was out")
	}
	return result.Refuse(result.CancelledRunning, "the caller left while the call was out")
}

// Claim implements node.Runner.
func (u *Upstream) Claim(call *node.Call) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), call.Ctx.Deadline)
		defer cancel()
		refusal := u.claimer.Claim(ctx, call)
		u.node.Guard().Claimed(u.node.Now(), call.Ctx.CallID, refusal)
	}()
}

// Run implements node.Runner. The run does not hang on the connection of the
// caller: a non-idempotent call goes on when its caller's link breaks.
func (u *Upstream) Run(call *node.Call, before time.Time) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), call.Ctx.Deadline)
		defer cancel()
		u.track(ctx, call)
		defer u.untrack(call)
		u.node.Guard().OnCancel(call.Ctx.CallID, cancel)
		answer := u.roundTrip(ctx, call, before)
		u.node.Guard().Finish(u.node.Now(), call.Ctx.CallID, answer)
	}()
}

func (u *Upstream) track(ctx context.Context, call *node.Call) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[call.Ctx.CallID] = ctx
	u.byRequest[call.Ctx.RequestID] = call.Ctx.CallID
}

func (u *Upstream) untrack(call *node.Call) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.running, call.Ctx.CallID)
	if u.byRequest[call.Ctx.RequestID] == call.Ctx.CallID {
		delete(u.byRequest, call.Ctx.RequestID)
	}
}

// runningAs returns the ID of the call that runs here for a request that callers
// named; empty when there is none.
func (u *Upstream) runningAs(requestID string) string {
	if requestID == "" {
		return ""
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.byRequest[requestID]
}

// whileRunning bounds a child call by its parent: when the parent is
// cancelled, its children are doomed work.
func (u *Upstream) whileRunning(ctx context.Context, parentID string) (context.Context, func()) {
	u.mu.Lock()
	parent, ok := u.running[parentID]
	u.mu.Unlock()
	if !ok {
		return ctx, func() {}
	}
	child, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(parent, cancel)
	return child, func() { stop(); cancel() }
}

func (u *Upstream) roundTrip(ctx context.Context, call *node.Call, before time.Time) *node.Response {
	if !isPathTarget(call.Target) {
		return node.Refused(call.Ctx.CallID, badTarget())
	}
	if u.BeforeRun != nil {
		_ = u.BeforeRun(ctx)
	}
	if !before.IsZero() && u.node.Now().After(before) {
		return node.Refused(call.Ctx.CallID, result.Refuse(result.NoAuthority, "the authority ended before dispatch"))
	}
	pool := u.connections()
	header := maps.Clone(call.Header)
	if header == nil {
		header = make(http.Header)
	}
	u.dialect.Prepare(header, call, call.Ctx.Remaining(u.node.Now()))
	host := call.Host
	if host == "" {
		host = pool.Addr()
	}
	got, err := pool.Do(ctx, &h1.Request{
		Method:  call.Method,
		Target:  call.Target,
		Host:    host,
		Header:  header,
		Body:    call.Body,
		MaxBody: u.maxAnswer(call),
		Matches: func(h http.Header) bool { return u.dialect.Matches(h, call) },
	})
	if err != nil {
		return u.failed(ctx, call, err)
	}
	return u.answered(call, got)
}

// maxAnswer is the template's bound of a body; a call that came by a route has
// no template.
func (u *Upstream) maxAnswer(call *node.Call) int64 {
	if call.Routed {
		return maxAnswerBody
	}
	return u.node.MaxBody(call)
}

// isPathTarget reports whether a target stays on the host that it is put
// behind. Go takes "x:@host/" in a request line for an opaque URL and gives
// "@host/" as its target: behind the upstream's address that would turn the
// address into a user name, and the request would go to a host of the caller's
// choice.
func isPathTarget(target string) bool { return strings.HasPrefix(target, "/") }

func badTarget() *result.Refusal {
	return result.Refuse(result.BadContext, "the target of a request must begin with '/'")
}

func (u *Upstream) failed(ctx context.Context, call *node.Call, err error) *node.Response {
	var broken *h1.Error
	if !errors.As(err, &broken) {
		broken = &h1.Error{Stage: h1.StageSend, Cause: err}
	}
	id := call.Ctx.CallID
	if broken.Stage == h1.StageConnect {
		if errors.Is(err, syscall.ECONNREFUSED) {
			u.crashed()
		}
		return node.Refused(id, result.Refuse(result.NoUpstream, "the upstream takes no connection: %v", err))
	}
	if ctx.Err() != nil && broken.Stage != h1.StageMismatch {
		return node.Refused(id, endedRefusal(ctx))
	}
	a := node.Refused(id, brokenRefusal(broken))
	if broken.Stage != h1.StageTooLarge && broken.Stage != h1.StageMismatch {
		a.Crashed = u.probeCrash()
	}
	return a
}

func brokenRefusal(broken *h1.Error) *result.Refusal {
	switch broken.Stage {
	case h1.StageBody:
		return result.Refuse(result.AnswerCut, "the upstream's answer ended early: %v", broken.Cause)
	case h1.StageTooLarge:
		return result.Refuse(result.AnswerCut, "the upstream's answer exceeds %d bytes: %v", maxAnswerBody, broken.Cause)
	case h1.StageMismatch:
		return result.Refuse(result.AnswerMismatch, "the upstream answered another call: %v", broken.Cause)
	}
	return result.Refuse(result.LostAnswer, "the connection to the upstream broke: %v", broken)
}

// probeCrash tells a dead upstream from a single broken connection: all its
// connections break at once, but only a dead one refuses a new one. Any other
// error, such as this process running out of descriptors, says nothing about
// the upstream.
// It returns the incarnation that died, 0 when none did.
func (u *Upstream) probeCrash() uint64 {
	conn, err := net.DialTimeout("tcp", u.Addr(), crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return 0
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return 0
	}
	return u.crashed()
}

func (u *Upstream) crashed() uint64 {
	u.connections().Reset()
	return u.node.UpstreamCrashed(u.node.Now())
}

func (u *Upstream) answered(call *node.Call, got *h1.Response) *node.Response {
	if refusal := u.dialect.NotRun(got.Status, got.Header); refusal != nil {
		return node.Refused(call.Ctx.CallID, refusal)
	}
	code := result.OK
	if got.Status >= http.StatusInternalServerError {
		code = result.UpstreamFailed
	}
	return &node.Response{
		CallID: call.Ctx.CallID,
		Code:   code,
		Status: got.Status,
		Header: callctx.Forwardable(got.Header),
		Body:   got.Body,

		ShedsFrom: routing.NoThreshold,
	}
}
