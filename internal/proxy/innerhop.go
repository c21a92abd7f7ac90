package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/h1"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/speed"
)

const (
	// CallPath is the path at which a guard receives calls of other nodes.
	CallPath = "/call"
	// headerMethod and headerTarget carry the request line of the caller's request.
	headerMethod = "Galena-Inner-Method"
	headerTarget = "Galena-Inner-Target"
	// headerHost carries the Host header of a request that matched a route.
	headerHost = "Galena-Inner-Host"
	// headerRepeat marks a call for which an earlier attempt may have reached an upstream.
	headerRepeat = "Galena-Inner-Repeat"
	// headerContinues marks a call with prior work: other calls of its tree were already served.
	headerContinues = "Galena-Inner-Continues"
	// headerSheds carries Response.ShedThreshold and Response.SheddingService if a deeper service
	// sheds calls.
	headerSheds = "Galena-Inner-Sheds"
	// headerTreesFail carries LoadReport.TreesFail if it is set.
	headerTreesFail = "Galena-Inner-Trees-Fail"
	// headerNotice carries LoadReport.Notice in responses and Call.KnownNotice in requests.
	headerNotice = "Galena-Inner-Notice"
	// headerSpeed carries LoadReport.Speed if it is known.
	headerSpeed = "Galena-Inner-Speed"
	// headerCause carries Response.Cause if a call that was made for the response failed.
	headerCause = "Galena-Inner-Cause"
	// headerHandBack carries Call.HandBacks and Call.Spare.
	headerHandBack = "Galena-Inner-Hand-Back"
	// headerFinishBy carries the time in milliseconds until Call.FinishBy if that is set.
	headerFinishBy = "Galena-Inner-Finish-Ms"
	// headerOrigin carries Call.Origin but for the sender's node: incarnation in hex and number.
	headerOrigin = "Galena-Inner-Origin"
	// headerConfig carries the version of the sender's routes in requests and responses. A node
	// that cannot reach the store detects from its peers that its routes are outdated.
	headerConfig = "Galena-Inner-Config"
	// maxResponseBody is the maximum size of a response body in bytes. The limits in templates are
	// much lower.
	maxResponseBody = 64 << 20
)

// roundTrip sends a call to the guard on a connection of pool and decodes the response.
func (c *peerCall) roundTrip(ctx context.Context, pool *h1.Pool, call *node.Call) *node.Response {
	out := outgoingRequests.Get().(*outgoingRequest)
	defer out.release()
	fields := append(out.fields[:0], h1.Field{Name: headerMethod, Value: call.Method}, h1.Field{Name: headerTarget, Value: call.Target})
	if call.Routed {
		fields = append(fields, h1.Field{Name: headerHost, Value: call.Host})
	}
	if call.IsRetry {
		fields = append(fields, h1.Field{Name: headerRepeat, Value: "1"})
	}
	if call.HasPriorWork {
		fields = append(fields, h1.Field{Name: headerContinues, Value: "1"})
	}
	if call.Room.Kind != 0 {
		fields = append(fields, h1.Field{Name: headerRoom, Value: encodeRoom(call.Room)})
	}
	if call.KnownNotice != nil {
		fields = append(fields, h1.Field{Name: headerNotice, Value: encodeNotice(call.KnownNotice)})
	}
	if call.HandBacks > 0 {
		fields = append(fields, h1.Field{Name: headerHandBack, Value: encodeHandBack(call, c.peers.node.Now())})
	}
	if !call.FinishBy.IsZero() {
		fields = append(fields, h1.Field{Name: headerFinishBy, Value: encodeFinishBy(call, c.peers.node.Now())})
	}
	if call.Origin.Number > 0 {
		fields = append(fields, h1.Field{Name: headerOrigin, Value: encodeOrigin(call.Origin)})
	}
	if version := c.peers.configVersion(); version > 0 {
		fields = append(fields, h1.Field{Name: headerConfig, Value: strconv.FormatInt(version, 10)})
	}
	fields = append(fields, h1.Field{Name: inner.HeaderCall, Value: c.encodeCall(call)})
	out.request = h1.Request{
		Method: http.MethodPost,
		Target: CallPath,
		Host:   c.addr,
		Header: call.Header,
		Fields: fields,
		Body:   call.Body,
	}
	resp, err := pool.Do(ctx, &out.request)
	if err != nil {
		return sendFailure(ctx, call, err)
	}
	c.peers.observeVersion(c.addr, resp.Header.Get(headerConfig))
	return c.decodeResponse(call, resp)
}

// maxInnerFields is the maximum number of header fields that roundTrip adds.
const maxInnerFields = 12

func (c *peerCall) encodeCall(call *node.Call) string {
	h := newCallHeader()
	defer releaseCallHeader(h)
	inner.SetContext(h, &call.Ctx, c.peers.node.Now(), uint32(call.Allowance))
	h.BodyHash = call.BodyHash
	h.TargetIncarnation = formatIncarnation(c.incarnation)
	h.Reattach = call.Reattach
	h.Marks = inner.CrashRecordMessages(c.peers.node.Now(), call.CrashRecords)
	h.FromNode = c.peers.node.ID()
	h.Hlc = c.peers.node.Stamp(call)
	return inner.EncodeCall(h)
}

// sendFailure returns the response for an exchange with a guard that failed with err.
func sendFailure(ctx context.Context, call *node.Call, err error) *node.Response {
	var exchangeErr *h1.Error
	if isUnsent(err) {
		return node.Refused(call.Ctx.CallID, unsentRefusal())
	}
	if errors.As(err, &exchangeErr) && exchangeErr.Stage == h1.StageConnect {
		return node.Refused(call.Ctx.CallID, result.Refuse(result.Unreachable, "connection to the guard failed: %v", exchangeErr.Cause))
	}
	if ctx.Err() != nil {
		return node.Refused(call.Ctx.CallID, contextRefusal(ctx.Err()))
	}
	if exchangeErr != nil && exchangeErr.Stage >= h1.StageBody {
		return node.Refused(call.Ctx.CallID, result.Refuse(result.AnswerCut, "response of the guard ended early: %v", err))
	}
	return node.Refused(call.Ctx.CallID, result.Refuse(result.LostAnswer, "connection to the guard failed before the response: %v", err))
}

// isUnsent reports whether an exchange failed because its caller left before anything was sent. That says
// nothing about the server.
func isUnsent(err error) bool {
	var exchangeErr *h1.Error
	return errors.As(err, &exchangeErr) && exchangeErr.Stage == h1.StageConnect && errors.Is(err, context.Canceled)
}

func unsentRefusal() *result.Refusal {
	return result.Refuse(result.Cancelled, "caller disconnected before the call was sent")
}

// decodeResponse checks that the response belongs to this call. A different call ID shows that the
// connection delivered the response to another call.
func (c *peerCall) decodeResponse(call *node.Call, resp *h1.Response) *node.Response {
	a := newAnswer()
	defer a.release()
	h := &a.header
	if err := inner.DecodeAnswerInto(h, resp.Header.Get(inner.HeaderAnswer)); err != nil {
		return node.Refused(call.Ctx.CallID, result.Refuse(result.AnswerMismatch, "response header of the guard is invalid: %v", err))
	}
	if h.GetCallId() != call.Ctx.CallID {
		return node.Refused(call.Ctx.CallID, result.Refuse(result.AnswerMismatch, "guard responded to call %.64q instead of this call", h.GetCallId()))
	}
	c.peers.node.ObserveClock(h.GetHlc())
	return decodeAnswer(h, resp, c.node)
}

func decodeAnswer(h *innerpb.AnswerHeader, httpResp *h1.Response, fromNode string) *node.Response {
	resp := &node.Response{
		CallID:          h.GetCallId(),
		Code:            result.Code(h.GetCode()),
		UnusedAllowance: int(h.GetUnusedAllowance()),
		Load:            decodeLoad(h.GetLoad()),
		Crashed:         h.GetCrashedIncarnation(),
		Upstream:        fromNode,
	}
	if resp.Load != nil {
		resp.Load.TreesFail = httpResp.Header.Get(headerTreesFail) != ""
		resp.Load.Speed = decodeSpeed(httpResp.Header.Get(headerSpeed))
		resp.Load.Notice = decodeNotice(httpResp.Header.Get(headerNotice))
	}
	resp.ShedThreshold, resp.SheddingService = decodeSheds(httpResp.Header.Get(headerSheds))
	resp.Cause = result.DecodeCause(httpResp.Header.Get(headerCause))
	if !h.GetWhole() {
		resp.Refusal = &result.Refusal{
			Code:       resp.Code,
			Detail:     h.GetDetail(),
			RetryAfter: time.Duration(h.GetRetryAfterUs()) * time.Microsecond,
			AllFull:    h.GetAllFull(),
			Owner:      h.GetOwnerAddr(),
		}
		return resp
	}
	resp.Status = httpResp.Status
	resp.Header = callctx.KeepForwardable(httpResp.Header)
	resp.Body = httpResp.Body
	return resp
}

// CallHandler returns the handler that runs the calls of other nodes at this node's guard.
func (p *Proxy) CallHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.peerCallsPending.Add(1)
		defer p.peerCallsPending.Add(-1)
		p.peers.observeVersion("", r.Header.Get(headerConfig))
		call, refusal, err := p.receiveCall(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if refusal != nil {
			p.writeInner(w, call, p.node.RefuseCall(call, refusal))
			return
		}
		size := max(0, r.ContentLength)
		// A re-attachment is never refused by a limit: its call may be running here, and the refusal
		// would falsely report that it did not run.
		if refusal := p.gate.enter(size, !call.Reattach); refusal != nil {
			p.writeInner(w, call, p.node.RefuseCall(call, refusal))
			return
		}
		defer func() { p.gate.leave(size) }()
		body, memory, refusal := p.readGuardBody(w, r, call)
		defer memory.release()
		if refusal != nil {
			p.writeInner(w, call, p.node.RefuseCall(call, refusal))
			return
		}
		call.Body = body
		resp := p.upstream.Serve(r.Context(), call)
		size += p.gate.addBytes(int64(len(resp.Body)))
		p.writeInner(w, call, resp)
	})
}

// receiveCall decodes a call and checks that it is for this process. It returns an error if there is no
// valid call.
func (p *Proxy) receiveCall(r *http.Request) (*node.Call, *result.Refusal, error) {
	h := newCallHeader()
	defer releaseCallHeader(h)
	if err := inner.DecodeCallInto(h, r.Header.Get(inner.HeaderCall)); err != nil {
		return nil, nil, err
	}
	call := p.decodeCall(h, r)
	// The request is this node's own, and none of its other headers is read after this.
	call.Header = callctx.KeepForwardable(r.Header)
	return call, p.checkIncarnation(h, call), nil
}

// checkIncarnation refuses a call that is addressed to an earlier process at this address. In a
// deployment with routes, this process accepts the call if it serves the same service: after a power
// failure all nodes know only the earlier incarnations of each other, and would refuse all calls
// until they have read the new records. A re-attachment to an earlier process is always refused,
// since it requests the result of a call in that process, which this process does not know.
func (p *Proxy) checkIncarnation(h *innerpb.CallHeader, call *node.Call) *result.Refusal {
	own := p.incarnation
	if h.GetTargetIncarnation() == own {
		return nil
	}
	if published := p.publishedIncarnation.Load(); published != nil && h.GetTargetIncarnation() == *published {
		return nil
	}
	if !call.Reattach && p.predecessorService != "" && call.Ctx.Service == p.predecessorService {
		return nil
	}
	return result.Refuse(result.Unreachable, "incarnation %s has been replaced by %s", h.GetTargetIncarnation(), own)
}

func (p *Proxy) decodeCall(h *innerpb.CallHeader, r *http.Request) *node.Call {
	p.node.ObserveClock(h.GetHlc())
	call := &node.Call{
		Ctx:          inner.ToContext(h, p.node.Now()),
		Method:       r.Header.Get(headerMethod),
		Target:       r.Header.Get(headerTarget),
		Host:         r.Header.Get(headerHost),
		Routed:       r.Header.Get(headerHost) != "",
		IsRetry:      r.Header.Get(headerRepeat) != "",
		HasPriorWork: r.Header.Get(headerContinues) != "",
		Room:         decodeRoom(r.Header.Get(headerRoom)),
		KnownNotice:  decodeNotice(r.Header.Get(headerNotice)),
		BodyHash:     h.GetBodyHash(),
		Allowance:    int(h.GetAllowance()),
		CrashRecords: inner.CrashRecords(p.node.Now(), h.GetMarks()),
		Reattach:     h.GetReattach(),
		FinishBy:     decodeFinishBy(r.Header.Get(headerFinishBy), p.node.Now()),
		Sampled:      h.GetHlc() != 0 || p.node.Sampled(h.GetRequestId()),
	}
	if !call.Ctx.Idempotent {
		call.Origin = decodeOrigin(h.GetFromNode(), r.Header.Get(headerOrigin))
	}
	call.HandBacks, call.Spare = decodeHandBack(r.Header.Get(headerHandBack), p.node.Now())
	return call
}

// usualAnswerFields is the number of header fields that most responses to calls have for themselves.
const usualAnswerFields = 4

func (p *Proxy) writeInner(w http.ResponseWriter, call *node.Call, resp *node.Response) {
	status := resp.Status
	if !resp.Complete() {
		status = http.StatusOK
	}
	out := w.Header()
	for name, values := range resp.Header {
		out[name] = values
	}
	values := make([]string, 0, usualAnswerFields) // one list for the values of all fields
	set := func(name, value string) {
		values = append(values, value)
		out[name] = values[len(values)-1 : len(values) : len(values)]
	}
	set(inner.HeaderAnswer, p.encodeAnswer(call, resp))
	if resp.ShedThreshold != routing.NoThreshold {
		set(headerSheds, encodeSheds(resp))
	}
	if resp.Load != nil && resp.Load.TreesFail {
		set(headerTreesFail, "1")
	}
	if resp.Load != nil && resp.Load.Speed != speed.Unknown {
		set(headerSpeed, encodeSpeed(resp.Load.Speed))
	}
	if resp.Load != nil && resp.Load.Notice != nil {
		set(headerNotice, encodeNotice(resp.Load.Notice))
	}
	if resp.Cause != nil {
		set(headerCause, resp.Cause.Encode())
	}
	if version := p.peers.configVersion(); version > 0 {
		set(headerConfig, strconv.FormatInt(version, 10))
	}
	if _, ok := out["Date"]; !ok {
		out["Date"] = nil // suppresses the header, which nodes do not read
	}
	set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(status)
	_, _ = w.Write(resp.Body)
}

func (p *Proxy) encodeAnswer(call *node.Call, resp *node.Response) string {
	a := newAnswer()
	defer a.release()
	h := &a.header
	h.CallId = resp.CallID
	h.Code = uint32(resp.Code)
	h.UnusedAllowance = uint32(resp.UnusedAllowance)
	if resp.Load != nil {
		p.encodeLoad(&a.load, resp.Load)
		h.Load = &a.load
	}
	h.CrashedIncarnation = resp.Crashed
	h.Whole = resp.Complete()
	h.Hlc = p.node.Stamp(call)
	if refusal := resp.Refusal; refusal != nil {
		h.Detail = refusal.Detail
		h.RetryAfterUs = refusal.RetryAfter.Microseconds()
		h.AllFull = refusal.AllFull
		h.OwnerAddr = refusal.Owner
	}
	return inner.EncodeAnswer(h)
}

func encodeSheds(resp *node.Response) string {
	return strconv.FormatUint(uint64(resp.ShedThreshold), 10) + " " + resp.SheddingService
}

// decodeSheds parses a value of encodeSheds. An invalid value means that no service sheds calls.
func decodeSheds(text string) (threshold uint32, service string) {
	if text == "" {
		return routing.NoThreshold, "" // most responses have none; strconv's error would allocate
	}
	rankText, service, _ := strings.Cut(text, " ")
	rank, err := strconv.ParseUint(rankText, 10, 32)
	if err != nil || !callctx.ValidName(service) {
		return routing.NoThreshold, ""
	}
	return uint32(rank), service
}

func (p *Proxy) encodeLoad(into *innerpb.Load, l *routing.LoadReport) {
	into.InFlight = uint32(l.InFlight)
	into.Queued = uint32(l.Queued)
	into.Limit = uint32(l.Limit)
	into.Threshold = l.Threshold
	into.Overloaded = l.Overloaded
	into.Draining = l.Draining
	into.Incarnation = p.incarnation
	if l.Incarnation != p.node.Incarnation() {
		into.Incarnation = formatIncarnation(l.Incarnation)
	}
}

func decodeLoad(l *innerpb.Load) *routing.LoadReport {
	if l == nil {
		return nil
	}
	incarnation, err := strconv.ParseUint(l.GetIncarnation(), 16, 64)
	if err != nil {
		return nil
	}
	return &routing.LoadReport{
		InFlight:    int(l.GetInFlight()),
		Queued:      int(l.GetQueued()),
		Limit:       int(l.GetLimit()),
		Threshold:   l.GetThreshold(),
		Overloaded:  l.GetOverloaded(),
		Draining:    l.GetDraining(),
		Incarnation: incarnation,
	}
}

func formatIncarnation(i uint64) string { return strconv.FormatUint(i, 16) }
