package inner

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenagrade/galenagrade/internal/result"
)

// FromRefusal makes the header of a refused call. The sender fills in
// UnusedAllowance, OwnerNode and Load.
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

// ToRefusal makes the refusal out of a header, whatever its code is.
func ToRefusal(h *AnswerHeader) *result.Refusal {
	return &result.Refusal{
		Code:       result.Code(h.Code),
		Detail:     h.Detail,
		RetryAfter: micros(h.RetryAfterUs),
		AllFull:    h.AllFull,
		Owner:      h.OwnerAddr,
	}
}

// withinBounds returns h with a detail and a pause that the receiver takes. A
// detail may quote what a caller sent; were the header refused for it, a call
// that provably did not run would be reported as of unknown outcome.
func withinBounds(h *AnswerHeader) *AnswerHeader {
	detail := cleanText(h.Detail, MaxDetailLen)
	pause := clampRetryAfter(h.RetryAfterUs)
	if detail == h.Detail && pause == h.RetryAfterUs {
		return h
	}
	c := proto.CloneOf(h)
	c.Detail = detail
	c.RetryAfterUs = pause
	return c
}

func clampRetryAfter(us int64) int64 {
	return min(max(0, us), int64(MaxRetryAfter/time.Microsecond))
}

// cleanText cuts s and puts '?' in place of what isn't printable ASCII.
func cleanText(s string, bound int) string {
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
