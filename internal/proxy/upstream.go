package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

const (
	// headerRan set to "no" by an upstream on a 429 or 503 promises that the
	// request had no effect. Without it a failure is never taken for a refusal.
	headerRan = "Galena-Ran"
	// crashProbeTimeout bounds the connection attempt that tells a crashed
	// upstream from a single broken connection; the upstream is on loopback.
	crashProbeTimeout = 200 * time.Millisecond
	// upstreamIdle stays below the idle timeouts usual for servers, so that
	// this side closes first and no call is sent into a closing connection.
	upstreamIdle = 2 * time.Second
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
	client  *http.Transport

	mu      sync.Mutex
	addr    string
	running map[string]context.Context
}

// NewUpstream makes the runner of a node; Bind must follow before calls.
func NewUpstream(claimer Claimer) *Upstream {
	return &Upstream{
		claimer: claimer,
		client: &http.Transport{
			MaxIdleConnsPerHost: 1024,
			IdleConnTimeout:     upstreamIdle,
			DisableCompression:  true,
		},
		running: make(map[string]context.Context),
	}
}

// Close closes the idle connections to the upstream.
func (u *Upstream) Close() { u.client.CloseIdleConnections() }

// Bind sets the node whose guard decides.
func (u *Upstream) Bind(n *node.Node) { u.node = n }

// SetAddr sets the address that the upstream announced.
func (u *Upstream) SetAddr(addr string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.addr = addr
}

// Addr returns the announced address; empty when there is none.
func (u *Upstream) Addr() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.addr
}

// Serve takes a call to its answer at this node's guard. When ctx ends first
// the attachment is given up and the answer says what may have happened.
func (u *Upstream) Serve(ctx context.Context, call *node.Call) *node.Answer {
	guard := u.node.Guard()
	ch := make(chan *node.Answer, 1)
	token, answer := guard.Arrive(u.node.Now(), call, func(a *node.Answer) { ch <- a })
	if answer != nil {
		return answer
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
func (u *Upstream) abandon(ctx context.Context, call *node.Call, token int, ch chan *node.Answer) *node.Answer {
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
		u.track(ctx, call.Ctx.CallID)
		defer u.untrack(call.Ctx.CallID)
		u.node.Guard().OnCancel(call.Ctx.CallID, cancel)
		answer := u.roundTrip(ctx, call, before)
		u.node.Guard().Finish(u.node.Now(), call.Ctx.CallID, answer)
	}()
}

func (u *Upstream) track(ctx context.Context, callID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[callID] = ctx
}

func (u *Upstream) untrack(callID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.running, callID)
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

func (u *Upstream) roundTrip(ctx context.Context, call *node.Call, before time.Time) *node.Answer {
	if !isPathTarget(call.Target) {
		return node.Refused(call.Ctx.CallID, badTarget())
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+u.Addr()+call.Target, nil)
	if err != nil {
		return node.Refused(call.Ctx.CallID, result.Refuse(result.BadContext, "request line: %v", err))
	}
	setUpstreamRequest(req, call)
	if u.BeforeRun != nil {
		_ = u.BeforeRun(ctx)
	}
	if !before.IsZero() && u.node.Now().After(before) {
		return node.Refused(call.Ctx.CallID, result.Refuse(result.NoAuthority, "the authority ended before dispatch"))
	}
	resp, err := u.client.RoundTrip(req)
	if err != nil {
		return u.failed(ctx, call, err)
	}
	defer resp.Body.Close()
	return u.read(ctx, call, resp)
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

// setUpstreamRequest fills the request.
func setUpstreamRequest(req *http.Request, call *node.Call) {
	req.Header = call.Header.Clone()
	req.Header.Set(callctx.HeaderContext, call.Ctx.CallID)
	req.Header.Set(callctx.HeaderWorkspace, call.Ctx.Workspace)
	req.Header.Set(callctx.HeaderPriority, call.Ctx.Level.String())
	req.Header.Set(callctx.HeaderTimeout, call.Ctx.Remaining(time.Now()).String())
	setBody(req, call.Body)
}

// setBody sets a body that net/http cannot rewind. It would send a request
// again when a reused connection breaks, if it can rewind the body and sees an
// idempotent method or an Idempotency-Key header. An upstream may have run the
// first one; and when the second one finds no connection, its error reads as
// if nothing had ever been sent.
func setBody(req *http.Request, body []byte) {
	req.GetBody = nil
	if len(body) == 0 {
		req.Body = unreplayable{}
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
}

// unreplayable is an empty body that net/http cannot take for http.NoBody.
type unreplayable struct{}

// Read implements io.Reader.
func (unreplayable) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (unreplayable) Close() error { return nil }

func (u *Upstream) failed(ctx context.Context, call *node.Call, err error) *node.Answer {
	if ctx.Err() != nil {
		return node.Refused(call.Ctx.CallID, endedRefusal(ctx))
	}
	if isDialError(err) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			u.crashed()
		}
		return node.Refused(call.Ctx.CallID, result.Refuse(result.NoUpstream, "the upstream takes no connection: %v", err))
	}
	a := node.Refused(call.Ctx.CallID, result.Refuse(result.LostAnswer, "the connection to the upstream broke: %v", err))
	a.Crashed = u.probeCrash()
	return a
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
	u.client.CloseIdleConnections()
	return u.node.UpstreamCrashed(u.node.Now())
}

func (u *Upstream) read(ctx context.Context, call *node.Call, resp *http.Response) *node.Answer {
	if got := resp.Header.Get(callctx.HeaderContext); got != "" && got != call.Ctx.CallID {
		return node.Refused(call.Ctx.CallID, result.Refuse(result.AnswerMismatch, "the upstream answered call %.64q", got))
	}
	limit := u.node.MaxBody(call)
	body, err := readSized(io.LimitReader(resp.Body, limit+1), resp.ContentLength)
	switch {
	case err != nil && ctx.Err() != nil:
		return node.Refused(call.Ctx.CallID, endedRefusal(ctx))
	case err != nil:
		a := node.Refused(call.Ctx.CallID, result.Refuse(result.AnswerCut, "the upstream's answer ended early: %v", err))
		a.Crashed = u.probeCrash()
		return a
	case int64(len(body)) > limit:
		return node.Refused(call.Ctx.CallID, result.Refuse(result.AnswerCut, "the upstream's answer exceeds %d bytes", limit))
	}
	return wholeAnswer(call, resp, body)
}

func wholeAnswer(call *node.Call, resp *http.Response, body []byte) *node.Answer {
	shed := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if shed && strings.EqualFold(resp.Header.Get(headerRan), string(result.RanNo)) {
		return node.Refused(call.Ctx.CallID, result.Refuse(result.UpstreamShed, "the upstream shed the call with status %d", resp.StatusCode))
	}
	code := result.OK
	if resp.StatusCode >= http.StatusInternalServerError {
		code = result.UpstreamFailed
	}
	return &node.Answer{
		CallID: call.Ctx.CallID,
		Code:   code,
		Status: resp.StatusCode,
		Header: callctx.Forwardable(resp.Header),
		Body:   body,
	}
}

// isDialError reports that no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
