package proxy

import (
	"context"
	"errors"
	"io"
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
)

const (
	// CallPath is where a guard takes calls of other nodes.
	CallPath = "/call"
	// headerMethod and headerTarget carry the caller's request line.
	headerMethod = "Galena-Inner-Method"
	headerTarget = "Galena-Inner-Target"
	// headerHost carries the Host of a caller's request that came by a route.
	headerHost = "Galena-Inner-Host"
	// headerRepeat marks a call of which an earlier attempt may have reached an
	// upstream.
	headerRepeat = "Galena-Inner-Repeat"
	// headerContinues marks a call of a tree of which others were served already.
	headerContinues = "Galena-Inner-Continues"
	// headerSheds carries Answer.ShedsFrom and Answer.ShedsBy where something is shed.
	headerSheds = "Galena-Inner-Sheds"
	// headerCause carries Answer.Cause where a call made for the answer failed.
	headerCause = "Galena-Inner-Cause"
	// headerConfig carries the version of the sender's routes, both ways: a node
	// cut off from the store learns from its peers that it is behind.
	headerConfig = "Galena-Inner-Config"
	// maxAnswerBody bounds what is held of an answer, far above the templates'.
	maxAnswerBody = 64 << 20
)

func (s *sending) roundTrip(ctx context.Context, pool *h1.Pool, attempt *node.Call) *node.Response {
	header := make(http.Header, len(attempt.Header)+innerHeaders)
	for name, values := range attempt.Header {
		header[name] = values
	}
	header.Set(headerMethod, attempt.Method)
	header.Set(headerTarget, attempt.Target)
	if attempt.Routed {
		header.Set(headerHost, attempt.Host)
	}
	if attempt.IsRetry {
		header.Set(headerRepeat, "1")
	}
	if attempt.HasPriorWork {
		header.Set(headerContinues, "1")
	}
	if version := s.peers.configVersion(); version > 0 {
		header.Set(headerConfig, strconv.FormatInt(version, 10))
	}
	header.Set(inner.HeaderCall, inner.EncodeCall(s.encode(attempt)))
	got, err := pool.Do(ctx, &h1.Request{
		Method: http.MethodPost,
		Target: CallPath,
		Host:   s.to.Addr,
		Header: header,
		Body:   attempt.Body,
	})
	if err != nil {
		return lost(ctx, attempt, err)
	}
	s.peers.heardVersion(s.to.Addr, got.Header.Get(headerConfig))
	return s.readInner(attempt, got)
}

// innerHeaders is how many headers a hop adds.
const innerHeaders = 7

func (s *sending) encode(attempt *node.Call) *innerpb.CallHeader {
	h := inner.FromContext(&attempt.Ctx, s.peers.node.Now(), uint32(attempt.Allowance))
	h.BodyHash = attempt.BodyHash
	h.TargetIncarnation = formatIncarnation(s.to.Incarnation)
	h.Reattach = attempt.Reattach
	h.Marks = inner.CrashRecordMessages(s.peers.node.Now(), attempt.CrashRecords)
	h.FromNode = s.peers.node.ID()
	h.Hlc = s.peers.node.Stamp(attempt)
	return h
}

func lost(ctx context.Context, attempt *node.Call, err error) *node.Response {
	var failed *h1.Error
	if errors.As(err, &failed) && failed.Stage == h1.StageConnect {
		return node.Refused(attempt.Ctx.CallID, result.Refuse(result.Unreachable, "no connection: %v", failed.Cause))
	}
	if ctx.Err() != nil {
		return node.Refused(attempt.Ctx.CallID, endedRefusal(ctx))
	}
	if failed != nil && failed.Stage >= h1.StageBody {
		return node.Refused(attempt.Ctx.CallID, result.Refuse(result.AnswerCut, "answer ended early: %v", err))
	}
	return node.Refused(attempt.Ctx.CallID, result.Refuse(result.LostAnswer, "the connection broke: %v", err))
}

// readInner checks that the answer is of this call. A connection that delivers
// another call's answer shows as a differing call ID.
func (s *sending) readInner(attempt *node.Call, got *h1.Response) *node.Response {
	h, err := inner.DecodeAnswer(got.Header.Get(inner.HeaderAnswer))
	if err != nil {
		return node.Refused(attempt.Ctx.CallID, result.Refuse(result.AnswerMismatch, "answer header: %v", err))
	}
	if h.GetCallId() != attempt.Ctx.CallID {
		return node.Refused(attempt.Ctx.CallID, result.Refuse(result.AnswerMismatch, "answer is for call %.64q", h.GetCallId()))
	}
	s.peers.node.ObserveClock(h.GetHlc())
	return decodeAnswer(h, got, s.to.Node)
}

func decodeAnswer(h *innerpb.AnswerHeader, got *h1.Response, from string) *node.Response {
	a := &node.Response{
		CallID:   h.GetCallId(),
		Code:     result.Code(h.GetCode()),
		Unused:   int(h.GetUnusedAllowance()),
		Load:     decodeLoad(h.GetLoad()),
		Crashed:  h.GetCrashedIncarnation(),
		Upstream: from,
	}
	a.ShedsFrom, a.ShedsBy = decodeSheds(got.Header.Get(headerSheds))
	a.Cause = result.DecodeCause(got.Header.Get(headerCause))
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
	a.Status = got.Status
	a.Header = callctx.Forwardable(got.Header)
	a.Body = got.Body
	return a
}

// CallHandler serves the calls of other nodes at this node's guard.
func (p *Proxy) CallHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.answering.Add(1)
		defer p.answering.Add(-1)
		p.peers.heardVersion("", r.Header.Get(headerConfig))
		h, err := inner.DecodeCall(r.Header.Get(inner.HeaderCall))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		call := p.decodeCall(h, r)
		if refusal := p.forAnother(h, call); refusal != nil {
			p.writeInner(w, call, p.node.RefuseCall(call, refusal))
			return
		}
		size := max(0, r.ContentLength)
		// A re-attachment is never rejected: its call may be running here,
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

// forAnother refuses a call that is meant for an earlier process at this address.
// Where routes are served, the successor takes it if it serves the same service:
// after a loss of power all nodes know each other's earlier processes only, and would
// refuse all calls until each has read the new records. A re-attachment asks
// for what the earlier process ran, which this one can't tell.
func (p *Proxy) forAnother(h *innerpb.CallHeader, call *node.Call) *result.Refusal {
	own := formatIncarnation(p.node.Incarnation())
	if h.GetTargetIncarnation() == own {
		return nil
	}
	if !call.Reattach && p.successorOf != "" && call.Ctx.Service == p.successorOf {
		return nil
	}
	return result.Refuse(result.Unreachable, "incarnation %s has been replaced by %s", h.GetTargetIncarnation(), own)
}

func (p *Proxy) decodeCall(h *innerpb.CallHeader, r *http.Request) *node.Call {
	p.node.ObserveClock(h.GetHlc())
	return &node.Call{
		Ctx:          *inner.ToContext(h, p.node.Now()),
		Method:       r.Header.Get(headerMethod),
		Target:       r.Header.Get(headerTarget),
		Host:         r.Header.Get(headerHost),
		Routed:       r.Header.Get(headerHost) != "",
		IsRetry:      r.Header.Get(headerRepeat) != "",
		HasPriorWork: r.Header.Get(headerContinues) != "",
		Header:       callctx.Forwardable(r.Header),
		BodyHash:     h.GetBodyHash(),
		Allowance:    int(h.GetAllowance()),
		CrashRecords: inner.CrashRecords(p.node.Now(), h.GetMarks()),
		Reattach:     h.GetReattach(),
		Sampled:      h.GetHlc() != 0 || p.node.Sampled(h.GetRequestId()),
	}
}

func (p *Proxy) writeInner(w http.ResponseWriter, call *node.Call, a *node.Response) {
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
	if a.ShedsFrom != routing.NoThreshold {
		out.Set(headerSheds, encodeSheds(a))
	}
	if a.Cause != nil {
		out.Set(headerCause, a.Cause.Encode())
	}
	if version := p.peers.configVersion(); version > 0 {
		out.Set(headerConfig, strconv.FormatInt(version, 10))
	}
	if _, given := out["Date"]; !given {
		out["Date"] = nil // nobody reads it between nodes
	}
	out.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(status)
	_, _ = w.Write(a.Body)
}

func encodeSheds(a *node.Response) string {
	return strconv.FormatUint(uint64(a.ShedsFrom), 10) + " " + a.ShedsBy
}

// decodeSheds reads what encodeSheds wrote; what can't be read sheds nothing.
func decodeSheds(text string) (from uint32, by string) {
	number, by, _ := strings.Cut(text, " ")
	rank, err := strconv.ParseUint(number, 10, 32)
	if err != nil || !callctx.ValidName(by) {
		return routing.NoThreshold, ""
	}
	return uint32(rank), by
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
