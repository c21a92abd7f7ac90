package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const (
	// CallPath is where a guard takes calls of other nodes.
	CallPath = "/call"
	// headerMethod and headerTarget carry the caller's request line.
	headerMethod = "Galena-Inner-Method"
	headerTarget = "Galena-Inner-Target"
	// maxAnswerBody bounds what is held of an answer, far above the templates'.
	maxAnswerBody = 64 << 20
)

func (s *sending) roundTrip(ctx context.Context, transport *http.Transport, attempt *node.Call) *node.Answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.peers.Scheme()+"://"+s.to.Addr+CallPath, nil)
	if err != nil {
		return node.Refused(attempt.Ctx.CallID, result.Refuse(result.Unreachable, "address %s: %v", s.to.Addr, err))
	}
	setBody(req, attempt.Body)
	header := attempt.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(headerMethod, attempt.Method)
	header.Set(headerTarget, attempt.Target)
	header.Set(inner.HeaderCall, inner.EncodeCall(s.encode(attempt)))
	req.Header = header
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return lost(ctx, attempt, err)
	}
	defer resp.Body.Close()
	return s.readInner(ctx, attempt, resp)
}

func (s *sending) encode(attempt *node.Call) *innerpb.CallHeader {
	h := inner.FromContext(&attempt.Ctx, s.peers.node.Now(), uint32(attempt.Allowance))
	h.BodyHash = attempt.BodyHash
	h.TargetIncarnation = formatIncarnation(s.to.Incarnation)
	h.Reattach = attempt.Reattach
	h.Marks = node.SuspectMessages(s.peers.node.Now(), attempt.Marks)
	h.FromNode = s.peers.node.ID()
	h.Hlc = s.peers.node.Stamp(attempt)
	return h
}

func lost(ctx context.Context, attempt *node.Call, err error) *node.Answer {
	if isDialError(err) {
		return node.Refused(attempt.Ctx.CallID, result.Refuse(result.Unreachable, "no connection: %v", err))
	}
	if ctx.Err() != nil {
		return node.Refused(attempt.Ctx.CallID, endedRefusal(ctx))
	}
	return node.Refused(attempt.Ctx.CallID, result.Refuse(result.LostAnswer, "the connection broke: %v", err))
}

// readInner checks that the answer is whole and of this call. A connection
// that delivers another call's answer shows as a differing call ID.
func (s *sending) readInner(ctx context.Context, attempt *node.Call, resp *http.Response) *node.Answer {
	h, err := inner.DecodeAnswer(resp.Header.Get(inner.HeaderAnswer))
	if err != nil {
		return node.Refused(attempt.Ctx.CallID, result.Refuse(result.AnswerMismatch, "answer header: %v", err))
	}
	if h.GetCallId() != attempt.Ctx.CallID {
		return node.Refused(attempt.Ctx.CallID, result.Refuse(result.AnswerMismatch, "answer is for call %.64q", h.GetCallId()))
	}
	s.peers.node.Heard(h.GetHlc())
	body, err := readSized(io.LimitReader(resp.Body, maxAnswerBody), resp.ContentLength)
	if err != nil && ctx.Err() != nil {
		return node.Refused(attempt.Ctx.CallID, endedRefusal(ctx))
	}
	if err != nil {
		return node.Refused(attempt.Ctx.CallID, result.Refuse(result.AnswerCut, "answer ended early: %v", err))
	}
	return decodeAnswer(h, resp, body, s.to.Node)
}

func decodeAnswer(h *innerpb.AnswerHeader, resp *http.Response, body []byte, from string) *node.Answer {
	a := &node.Answer{
		CallID:   h.GetCallId(),
		Code:     result.Code(h.GetCode()),
		Unused:   int(h.GetUnusedAllowance()),
		Load:     decodeLoad(h.GetLoad()),
		Crashed:  h.GetCrashedIncarnation(),
		Upstream: from,
	}
	if !h.GetWhole() {
		a.Refusal = &result.Refusal{
			Code:       a.Code,
			Detail:     h.GetDetail(),
			RetryAfter: time.Duration(h.GetRetryAfterUs()) * time.Microsecond,
			AllFull:    h.GetAllFull(),
			Owner:      h.GetOwnerAddr(),
		}
		return a
	}
	a.Status = resp.StatusCode
	a.Header = callctx.Forwardable(resp.Header)
	a.Body = body
	return a
}

// CallHandler serves the calls of other nodes at this node's guard.
func (p *Proxy) CallHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.answering.Add(1)
		defer p.answering.Add(-1)
		h, err := inner.DecodeCall(r.Header.Get(inner.HeaderCall))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		call := p.decodeCall(h, r)
		if own := formatIncarnation(p.node.Incarnation()); h.GetTargetIncarnation() != own {
			p.writeInner(w, call, p.node.RefuseCall(call, result.Refuse(result.Unreachable, "incarnation %s has been replaced by %s", h.GetTargetIncarnation(), own)))
			return
		}
		size := max(0, r.ContentLength)
		// A re-attachment is never turned away: its call may be running here,
		// and "not run" would then be false.
		if refusal := p.gate.enter(size, !call.Reattach); refusal != nil {
			p.writeInner(w, call, p.node.RefuseCall(call, refusal))
			return
		}
		defer func() { p.gate.leave(size) }()
		body, err := readSized(io.LimitReader(r.Body, maxAnswerBody), r.ContentLength)
		if err != nil {
			p.writeInner(w, call, p.node.RefuseCall(call, result.Refuse(result.BadContext, "body ended early: %v", err)))
			return
		}
		call.Body = body
		ctx, cancel := context.WithDeadline(r.Context(), call.Ctx.Deadline)
		defer cancel()
		answer := p.upstream.Serve(ctx, call)
		size += p.gate.hold(int64(len(answer.Body)))
		p.writeInner(w, call, answer)
	})
}

func (p *Proxy) decodeCall(h *innerpb.CallHeader, r *http.Request) *node.Call {
	p.node.Heard(h.GetHlc())
	return &node.Call{
		Ctx:       *inner.ToContext(h, p.node.Now()),
		Method:    r.Header.Get(headerMethod),
		Target:    r.Header.Get(headerTarget),
		Header:    callctx.Forwardable(r.Header),
		BodyHash:  h.GetBodyHash(),
		Allowance: int(h.GetAllowance()),
		Marks:     node.Suspects(p.node.Now(), h.GetMarks()),
		Reattach:  h.GetReattach(),
		Kept:      h.GetHlc() != 0 || p.node.Sampled(h.GetRequestId()),
	}
}

func (p *Proxy) writeInner(w http.ResponseWriter, call *node.Call, a *node.Answer) {
	h := &innerpb.AnswerHeader{
		CallId:             a.CallID,
		Code:               uint32(a.Code),
		UnusedAllowance:    uint32(a.Unused),
		Load:               encodeLoad(a.Load),
		CrashedIncarnation: a.Crashed,
		Whole:              a.Whole(),
		Hlc:                p.node.Stamp(call),
	}
	status := a.Status
	if !a.Whole() {
		status = http.StatusOK
		h.Detail = a.Refusal.Detail
		h.RetryAfterUs = a.Refusal.RetryAfter.Microseconds()
		h.AllFull = a.Refusal.AllFull
		h.OwnerAddr = a.Refusal.Owner
	}
	out := w.Header()
	for name, values := range a.Header {
		out[name] = values
	}
	out.Set(inner.HeaderAnswer, inner.EncodeAnswer(h))
	out.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(status)
	_, _ = w.Write(a.Body)
}

func encodeLoad(l *routing.LoadReport) *innerpb.Load {
	if l == nil {
		return nil
	}
	return &innerpb.Load{
		InFlight:    uint32(l.InFlight),
		Queued:      uint32(l.Queued),
		Limit:       uint32(l.Limit),
		Threshold:   l.Threshold,
		Overloaded:  l.Overloaded,
		Draining:    l.Draining,
		Incarnation: formatIncarnation(l.Incarnation),
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
