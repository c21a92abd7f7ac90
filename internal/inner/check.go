package inner

import (
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

// Bounds of the fields of a header. Lengths are in bytes.
const (
	MaxIDLen = 128
	// MaxRequestIDLen is that of the IDs that callers and upstreams give.
	MaxRequestIDLen = callctx.MaxRequestIDLen
	MaxNameLen      = 128
	MaxKeyLen       = 256
	MaxTraceLen     = 256
	MaxDetailLen    = 512
	MaxAddrLen      = 64
	// MaxDepth bounds a chain on the wire. Planned chains are 10 deep; the
	// template's own bound is lower.
	MaxDepth = 64
	// MaxAllowance bounds the retries that one call may carry.
	MaxAllowance = 1 << 16
	// MaxRemaining bounds the time left and the age of a root.
	MaxRemaining = 24 * time.Hour
	// MaxRetryAfter bounds the pause that an answer asks for.
	MaxRetryAfter = time.Hour
)

// FieldError says which field of a header is out of bounds.
type FieldError struct {
	Field string
	Value string
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("inner header: %s is %s, must be %s", e.Field, e.Value, e.Bound)
}

func checkCall(h *CallHeader) error {
	if err := checkCallNames(h); err != nil {
		return err
	}
	if h.Level >= callctx.Levels {
		return outOf("level", uint64(h.Level), callctx.Levels-1)
	}
	if err := checkMicros("remaining_us", h.RemainingUs, MaxRemaining); err != nil {
		return err
	}
	if err := checkMicros("root_age_us", h.RootAgeUs, MaxRemaining); err != nil {
		return err
	}
	if h.Depth > MaxDepth {
		return outOf("depth", uint64(h.Depth), MaxDepth)
	}
	if h.Allowance > MaxAllowance {
		return outOf("allowance", uint64(h.Allowance), MaxAllowance)
	}
	if h.KeyIssuedMs < 0 {
		return &FieldError{"key_issued_ms", fmt.Sprint(h.KeyIssuedMs), "at least 0"}
	}
	return nil
}

func checkCallNames(h *CallHeader) error {
	if err := checkName("call_id", h.CallId, MaxIDLen, true); err != nil {
		return err
	}
	if err := checkName("request_id", h.RequestId, MaxRequestIDLen, true); err != nil {
		return err
	}
	if err := checkName("parent_id", h.ParentId, MaxIDLen, false); err != nil {
		return err
	}
	if err := checkName("workspace", h.Workspace, MaxNameLen, true); err != nil {
		return err
	}
	if err := checkName("service", h.Service, MaxNameLen, true); err != nil {
		return err
	}
	if err := checkText("key", h.Key, MaxKeyLen); err != nil {
		return err
	}
	if err := checkName("target_incarnation", h.TargetIncarnation, MaxIDLen, false); err != nil {
		return err
	}
	if err := checkText("trace_parent", h.TraceParent, MaxTraceLen); err != nil {
		return err
	}
	return checkName("from_node", h.FromNode, MaxNameLen, false)
}

func checkAnswer(h *AnswerHeader) error {
	if err := checkName("call_id", h.CallId, MaxIDLen, true); err != nil {
		return err
	}
	if !knownCode(h.Code) {
		return &FieldError{"code", fmt.Sprint(h.Code), "between 1000 and 5999"}
	}
	if h.UnusedAllowance > MaxAllowance {
		return outOf("unused_allowance", uint64(h.UnusedAllowance), MaxAllowance)
	}
	if err := checkText("detail", h.Detail, MaxDetailLen); err != nil {
		return err
	}
	if err := checkMicros("retry_after_us", h.RetryAfterUs, MaxRetryAfter); err != nil {
		return err
	}
	if err := checkName("owner_addr", h.OwnerAddr, MaxAddrLen, false); err != nil {
		return err
	}
	if err := checkName("owner_node", h.OwnerNode, MaxNameLen, false); err != nil {
		return err
	}
	return checkName("load.incarnation", h.GetLoad().GetIncarnation(), MaxIDLen, false)
}

// knownCode accepts the whole range of numbers: a newer node may use a code
// that this one lacks, and an undeclared code reads as outcome unknown.
func knownCode(code uint32) bool {
	return code >= uint32(result.OK) && code < 6000
}

func checkMicros(field string, us int64, bound time.Duration) error {
	if us < 0 || us > bound.Microseconds() {
		return &FieldError{field, fmt.Sprint(us), fmt.Sprintf("between 0 and %d", bound.Microseconds())}
	}
	return nil
}

// checkName accepts printable ASCII without blanks.
func checkName(field, s string, bound int, required bool) error {
	if required && s == "" {
		return &FieldError{field, "empty", "given"}
	}
	return checkBytes(field, s, bound, '!')
}

// checkText accepts printable ASCII with blanks.
func checkText(field, s string, bound int) error {
	return checkBytes(field, s, bound, ' ')
}

func checkBytes(field, s string, bound int, lowest byte) error {
	if len(s) > bound {
		return &FieldError{field, fmt.Sprintf("%d bytes long", len(s)), fmt.Sprintf("at most %d", bound)}
	}
	for i := 0; i < len(s); i++ {
		if s[i] < lowest || s[i] > '~' {
			return &FieldError{field, fmt.Sprintf("%q", s), "printable ASCII"}
		}
	}
	return nil
}

func outOf(field string, v, bound uint64) error {
	return &FieldError{field, fmt.Sprint(v), fmt.Sprintf("at most %d", bound)}
}
