package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/h1"
	"github.com/galenagrade/galenagrade/internal/lifetime"
	"github.com/galenagrade/galenagrade/internal/membudget"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const (
	// crashProbeTimeout limits the connection attempt that distinguishes a crashed upstream from a
	// single broken connection. The upstream is on loopback.
	crashProbeTimeout = 200 * time.Millisecond
	// upstreamDialTimeout limits connecting to the upstream, which is on the same VM. An upstream
	// at its connection limit does not respond.
	upstreamDialTimeout = time.Second
	// upstreamPathTimeout is the time without acknowledgements after which a connection to the upstream
	// fails. The upstream is on the same VM.
	upstreamPathTimeout = time.Second
	// upstreamIdleTimeout is shorter than the usual idle timeouts of servers, so that the node closes a
	// connection first and sends no call on a connection that the upstream is closing.
	upstreamIdleTimeout = 5 * time.Second
	// maxIdleUpstreamConns is the maximum number of idle connections to the upstream.
	maxIdleUpstreamConns = 1024
)

// Claimer writes claims of idempotency keys to the log.
type Claimer interface {
	// Claim returns nil once this guard holds the key of the call.
	Claim(ctx context.Context, call *node.Call) *result.Refusal
}

// Upstream runs admitted calls at the local upstream. It implements node.Runner and is safe for
// concurrent use.
type Upstream struct {
	// BeforeRun is called between the decision to run a call and its dispatch. Tests use it to delay
	// the dispatch, as in a paused process. It may be nil, and must be set before the first call.
	BeforeRun func(context.Context) error

	node    *node.Node
	claimer Claimer
	dialect Dialect
	// onQueued is called when a call is queued; may be nil.
	onQueued func()

	// refusesWithoutID is set once a failure without an ID was the first response on a connection.
	refusesWithoutID atomic.Bool
	// bodies bounds the memory of response bodies; nil does not.
	bodies *membudget.Budget

	runs runs

	mu   sync.Mutex
	pool *h1.Pool
}

// NewUpstream returns the runner of a node. Bind must be called before the first call.
func NewUpstream(claimer Claimer) *Upstream {
	return &Upstream{
		claimer: claimer,
		dialect: defaultDialect{},
		pool:    newUpstreamPool("", nil),
		runs:    newRuns(),
	}
}

// newUpstreamPool returns a pool that uses all its connections round robin. The upstream has at least
// as many slots as there are connections, and a connection that is reopened after low load may use up
// a slot.
func newUpstreamPool(addr string, bodies *membudget.Budget) *h1.Pool {
	return h1.NewPool(addr, h1.Config{
		Dial:         conns.NewDial(upstreamDialTimeout, upstreamPathTimeout),
		Idle:         upstreamIdleTimeout,
		MaxIdleConns: maxIdleUpstreamConns,
		MaxBody:      maxResponseBody,
		RoundRobin:   true,
		Budget:       bodies,
	})
}

// SetDialect sets the dialect of the upstream. It must be called before the first call.
func (u *Upstream) SetDialect(d Dialect) { u.dialect = d }

// SetBodyBudget bounds the memory of the upstream's response bodies. It must be called before SetAddr.
func (u *Upstream) SetBodyBudget(b *membudget.Budget) { u.bodies = b }

// OnQueued sets the function that is called when a call is queued. It must be set before the first
// call and must not block.
func (u *Upstream) OnQueued(f func()) { u.onQueued = f }

// Close closes the idle connections to the upstream.
func (u *Upstream) Close() { u.currentPool().Close() }

func (u *Upstream) currentPool() *h1.Pool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pool
}

// Bind sets the node whose guard admits the calls.
func (u *Upstream) Bind(n *node.Node) { u.node = n }

// SetAddr sets the address that the upstream announced. Connections to the earlier process are not
// reused.
func (u *Upstream) SetAddr(addr string) {
	u.mu.Lock()
	old := u.pool
	u.pool = newUpstreamPool(addr, u.bodies)
	u.mu.Unlock()
	old.Close()
}

// Addr returns the announced address; empty if there is none.
func (u *Upstream) Addr() string { return u.currentPool().Addr() }

// Serve runs a call at this node's guard and returns its response. If ctx ends or the call's deadline
// passes first, it detaches from the call and returns a refusal that says whether the call may have
// run.
func (u *Upstream) Serve(ctx context.Context, call *node.Call) *node.Response {
	if ctx.Err() == context.Canceled {
		return leftBefore(call)
	}
	guard := u.node.Guard()
	waiter := responseWaiters.Get().(*responseWaiter)
	token, resp := guard.Arrive(u.node.Now(), call, waiter.deliver)
	if resp != nil {
		return resp
	}
	if u.onQueued != nil {
		u.onQueued()
	}
	if _, bounded := ctx.Deadline(); !bounded {
		waiter.timer.Reset(time.Until(call.Ctx.Deadline))
	}
	select {
	case resp = <-waiter.responses:
		waiter.timer.Stop()
		responseWaiters.Put(waiter)
		return resp
	case <-ctx.Done():
		waiter.timer.Stop()
		return u.abandon(call, token, waiter.responses, contextRefusal(ctx.Err()))
	case <-waiter.timer.C:
		return u.abandon(call, token, waiter.responses, contextRefusal(context.DeadlineExceeded))
	}
}

// leftBefore returns the response to a call whose sender left before the call was read. An earlier
// transmission of it may be running.
func leftBefore(call *node.Call) *node.Response {
	if call.Reattach {
		return node.Refused(call.Ctx.CallID, contextRefusal(context.Canceled))
	}
	return node.Refused(call.Ctx.CallID, unsentRefusal())
}

// abandon detaches from the guard and returns refusal. If the call was still queued, the guard's refusal
// is in responses when Leave returns.
func (u *Upstream) abandon(call *node.Call, token int, responses <-chan *node.Response, refusal *result.Refusal) *node.Response {
	u.node.Guard().Leave(u.node.Now(), call.Ctx.CallID, token)
	select {
	case resp := <-responses:
		return resp
	default:
	}
	return node.Refused(call.Ctx.CallID, refusal)
}

// contextRefusal returns the refusal of a call whose context ended with err.
func contextRefusal(err error) *result.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return result.Refuse(result.DeadlinePassed, "deadline passed while the call was in flight")
	}
	return result.Refuse(result.CancelledRunning, "caller disconnected while the call was in flight")
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

// Run implements node.Runner. The run is independent of the caller's connection: a call that is not
// idempotent continues if that connection fails.
func (u *Upstream) Run(call *node.Call, startBy time.Time) {
	go func() {
		ctx := lifetime.WithDeadline(context.Background(), call.Ctx.Deadline)
		defer ctx.Cancel()
		u.runs.begin(ctx, call)
		defer func() { u.runs.end(u.node.Now(), call, ctx.Err()) }()
		u.node.Guard().OnCancel(call.Ctx.CallID, ctx.Cancel)
		resp := u.roundTrip(ctx, call, startBy)
		u.node.Guard().Finish(u.node.Now(), call.Ctx.CallID, resp)
	}()
}

func (u *Upstream) roundTrip(ctx context.Context, call *node.Call, startBy time.Time) *node.Response {
	if !isPathTarget(call.Target) {
		return node.Refused(call.Ctx.CallID, badTargetRefusal())
	}
	if u.BeforeRun != nil {
		_ = u.BeforeRun(ctx)
	}
	if !startBy.IsZero() && u.node.Now().After(startBy) {
		return node.Refused(call.Ctx.CallID, result.Refuse(result.NoAuthority, "authority over the key expired before dispatch"))
	}
	pool := u.currentPool()
	host := call.Host
	if host == "" {
		host = pool.Addr()
	}
	out := outgoingRequests.Get().(*outgoingRequest)
	defer out.release()
	out.guard, out.callID = u.node.Guard(), call.Ctx.CallID
	out.request = h1.Request{
		StillWanted: out.isWanted,

		Method:  call.Method,
		Target:  call.Target,
		Host:    host,
		Header:  call.Header,
		Fields:  u.dialect.Prepare(out.fields[:0], call, call.Remaining(u.node.Now())),
		Body:    call.Body,
		MaxBody: u.responseBodyLimit(call),
		Classify: func(status int, h http.Header, reused bool) h1.Verdict {
			return u.classify(status, h, call, reused)
		},
	}
	httpResp, err := pool.Do(ctx, &out.request)
	if err != nil {
		return u.failureResponse(ctx, call, err)
	}
	// convertResponse removes the headers that are not for the caller.
	notice := u.noticeOf(httpResp)
	resp := u.convertResponse(call, httpResp)
	resp.Notice = notice
	return resp
}

// classify decides whether a response belongs to a call. A failure without an ID may be bytes that follow
// the response to an earlier request on the connection, and the upstream then runs the call. It counts
// for a call that may run once at most only if the upstream is known to refuse without an ID; otherwise
// the response is still to come.
func (u *Upstream) classify(status int, h http.Header, call *node.Call, reused bool) h1.Verdict {
	verdict := u.dialect.Classify(status, h, call)
	switch {
	case verdict != h1.Unidentified:
		return verdict
	case !reused:
		u.refusesWithoutID.Store(true)
	case !call.Ctx.Idempotent && !u.refusesWithoutID.Load():
		return h1.Skip
	}
	return h1.Accept
}

// noticeOf returns what the upstream says about itself in a response. It returns nil for an invalid
// notice, which changes nothing, and for a response of another process at the upstream's address.
func (u *Upstream) noticeOf(httpResp *h1.Response) *routing.UpstreamNotice {
	if httpResp.Status == http.StatusMisdirectedRequest {
		return nil
	}
	notice, err := u.dialect.Notice(httpResp.Header)
	if err != nil {
		u.node.RecordInvalidNotice(err)
		return nil
	}
	if notice == silentNotice {
		return &silentNotice
	}
	shared := notice // only a notice that says something is allocated
	return &shared
}

// silentNotice is the notice of all responses that say nothing. It must not be modified.
var silentNotice routing.UpstreamNotice

// responseBodyLimit returns the maximum size of the response body, which the template sets. A call
// that matched a route has no template.
func (u *Upstream) responseBodyLimit(call *node.Call) int64 {
	if call.Routed {
		return maxResponseBody
	}
	return u.node.MaxBody(call)
}

// isPathTarget reports whether a target is a path on the host it is sent to. Go parses "x:@host/" in
// a request line as an opaque URL with the target "@host/". Appended to the upstream's address, this
// would turn the address into a user name, and the request would go to a host that the caller
// chooses.
func isPathTarget(target string) bool { return strings.HasPrefix(target, "/") }

func badTargetRefusal() *result.Refusal {
	return result.Refuse(result.BadContext, "request target must begin with '/'")
}

// failureResponse returns the response for an exchange with the upstream that failed with err. It
// records a crash if the upstream refuses connections.
func (u *Upstream) failureResponse(ctx context.Context, call *node.Call, err error) *node.Response {
	var exchangeErr *h1.Error
	if !errors.As(err, &exchangeErr) {
		exchangeErr = &h1.Error{Stage: h1.StageSend, Cause: err}
	}
	id := call.Ctx.CallID
	if isUnsent(err) {
		return node.Refused(id, unsentRefusal())
	}
	if exchangeErr.Stage == h1.StageConnect {
		if errors.Is(err, syscall.ECONNREFUSED) {
			u.recordCrash()
		}
		return node.Refused(id, result.Refuse(result.NoUpstream, "connection to the upstream failed: %v", err))
	}
	responded := exchangeErr.Stage == h1.StageMismatch || exchangeErr.Stage == h1.StageMalformed
	if ctx.Err() != nil && !responded {
		return node.Refused(id, contextRefusal(ctx.Err()))
	}
	resp := node.Refused(id, failureRefusal(exchangeErr))
	if !responded && exchangeErr.Stage != h1.StageTooLarge {
		resp.Crashed = u.probeCrash()
	}
	return resp
}

func failureRefusal(exchangeErr *h1.Error) *result.Refusal {
	switch exchangeErr.Stage {
	case h1.StageBody:
		return result.Refuse(result.AnswerCut, "response of the upstream ended early: %v", exchangeErr.Cause)
	case h1.StageTooLarge:
		return result.Refuse(result.AnswerCut, "response of the upstream is too large: %v", exchangeErr.Cause)
	case h1.StageMismatch:
		return result.Refuse(result.AnswerMismatch, "upstream responded to another call: %v", exchangeErr.Cause)
	case h1.StageMalformed:
		return result.Refuse(result.LostAnswer, "upstream sent what is not a response: %v", exchangeErr.Cause)
	}
	return result.Refuse(result.LostAnswer, "connection to the upstream failed before the response: %v", exchangeErr)
}

// probeCrash distinguishes a crashed upstream from a single broken connection. A crash breaks all
// connections, but only a crashed upstream refuses a new one. Any other error, for example too many
// open file descriptors in this process, gives no information about the upstream.
// It returns the incarnation that crashed; 0 if none did.
func (u *Upstream) probeCrash() uint64 {
	conn, err := net.DialTimeout("tcp", u.Addr(), crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return 0
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return 0
	}
	return u.recordCrash()
}

func (u *Upstream) recordCrash() uint64 {
	u.currentPool().Reset()
	return u.node.UpstreamCrashed(u.node.Now())
}

// convertResponse converts the upstream's HTTP response.
func (u *Upstream) convertResponse(call *node.Call, httpResp *h1.Response) *node.Response {
	if refusal := u.dialect.NotRun(httpResp.Status, httpResp.Header); refusal != nil {
		return node.Refused(call.Ctx.CallID, refusal)
	}
	code := result.OK
	if httpResp.Status >= http.StatusInternalServerError {
		code = result.UpstreamFailed
	}
	return &node.Response{
		CallID: call.Ctx.CallID,
		Code:   code,
		Status: httpResp.Status,
		Header: callctx.KeepForwardable(httpResp.Header),
		Body:   httpResp.Body,

		ShedThreshold: routing.NoThreshold,
	}
}
