package inner

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// FromContext returns the header of a call that is sent at now with a retry allowance. The sender
// sets BodyHash, TargetIncarnation, Reattach, Marks, FromNode and Hlc.
func FromContext(c *callctx.Context, now time.Time, allowance uint32) *CallHeader {
	h := &CallHeader{}
	SetContext(h, c, now, allowance)
	return h
}

// SetContext is FromContext for a header that has no fields set.
func SetContext(h *CallHeader, c *callctx.Context, now time.Time, allowance uint32) {
	h.CallId = c.CallID
	h.RequestId = c.RequestID
	h.ParentId = c.ParentID
	h.Workspace = c.Workspace
	h.Service = c.Service
	h.Level = uint32(c.Level)
	h.RemainingUs = clampMicros(c.Remaining(now))
	h.RootAgeUs = clampMicros(now.Sub(c.RootAdmitted))
	h.Depth = uint32(max(0, c.Depth))
	h.CallerHash = c.CallerHash
	h.Idempotent = c.Idempotent
	h.Key = c.Key
	h.Allowance = allowance
	h.TraceParent = c.TraceParent
	if !c.KeyIssued.IsZero() {
		h.KeyIssuedMs = c.KeyIssued.UnixMilli()
	}
}

// ToContext returns the context of a header received at now. The transmission time is unknown and
// not subtracted, so the deadline moves later by the one-way delay.
func ToContext(h *CallHeader, now time.Time) callctx.Context {
	c := callctx.Context{
		RequestID:    h.RequestId,
		CallID:       h.CallId,
		ParentID:     h.ParentId,
		Workspace:    h.Workspace,
		Service:      h.Service,
		Level:        callctx.Level(min(h.Level, callctx.Levels-1)),
		Deadline:     now.Add(micros(h.RemainingUs)),
		RootAdmitted: now.Add(-micros(h.RootAgeUs)),
		Depth:        int(h.Depth),
		CallerHash:   h.CallerHash,
		Idempotent:   h.Idempotent,
		Key:          h.Key,
		TraceParent:  h.TraceParent,
	}
	if h.KeyIssuedMs > 0 {
		c.KeyIssued = time.UnixMilli(h.KeyIssuedMs)
	}
	return c
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func clampMicros(d time.Duration) int64 {
	return min(max(0, d), MaxRemaining).Microseconds()
}
