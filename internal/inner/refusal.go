package inner

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenagrade/galenagrade/internal/result"
)

// FromRefusal returns the header of a refused call. The sender sets UnusedAllowance, OwnerNode and
// Load.
func FromRefusal(callID string, r *result.Refusal) *AnswerHeader {
	return &AnswerHeader{
		CallId:       callID,
		Code:         uint32(r.Code),
		Detail:       r.Detail,
		RetryAfterUs: r.RetryAfter.Microseconds(),
		AllFull:      r.AllFull,
		OwnerAddr:    r.Owner,
	}
}

// ToRefusal converts a header into a refusal, whatever its code is.
func ToRefusal(h *AnswerHeader) *result.Refusal {
	return &result.Refusal{
		Code:       result.Code(h.Code),
		Detail:     h.Detail,
		RetryAfter: micros(h.RetryAfterUs),
		AllFull:    h.AllFull,
		Owner:      h.OwnerAddr,
	}
}

// clampAnswer returns h with a detail and a retry delay within the limits that the receiver checks.
// A detail may quote input of a caller. If the receiver rejected the header for its detail, a call
// that certainly did not run would be reported with an unknown outcome.
func clampAnswer(h *AnswerHeader) *AnswerHeader {
	detail := sanitizeText(h.Detail, MaxDetailLen)
	retryAfter := clampRetryAfter(h.RetryAfterUs)
	if detail == h.Detail && retryAfter == h.RetryAfterUs {
		return h
	}
	clamped := proto.CloneOf(h)
	clamped.Detail = detail
	clamped.RetryAfterUs = retryAfter
	return clamped
}

func clampRetryAfter(us int64) int64 {
	return min(max(0, us), int64(MaxRetryAfter/time.Microsecond))
}

// sanitizeText truncates s to bound bytes and replaces bytes other than printable ASCII by '?'.
func sanitizeText(s string, bound int) string {
	if checkText("", s, bound) == nil {
		return s
	}
	b := []byte(s[:min(len(s), bound)])
	for i := range b {
		if b[i] < ' ' || b[i] > '~' {
			b[i] = '?'
		}
	}
	return string(b)
}
