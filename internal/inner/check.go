package inner

import (
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

// Limits of the header fields. Lengths are in bytes.
const (
	// MaxIDLen is the limit for call IDs, parent IDs and incarnations.
	MaxIDLen = 128
	// MaxRequestIDLen is the limit for request IDs, which callers and upstreams choose.
	MaxRequestIDLen = callctx.MaxRequestIDLen
	// MaxNameLen is the limit for the names of workspaces, services and nodes.
	MaxNameLen = 128
	// MaxKeyLen is the limit for idempotency keys.
	MaxKeyLen = 256
	// MaxTraceLen is the limit for trace parents.
	MaxTraceLen = 256
	// MaxDetailLen is the limit for the detail of a refusal.
	MaxDetailLen = 512
	// MaxAddrLen is the limit for inner addresses.
	MaxAddrLen = 64
	// MaxDepth limits the call depth in a header. Call chains are up to 10 deep by design, and
	// templates set a limit below MaxDepth.
	MaxDepth = 64
	// MaxAllowance limits the retries that one call can carry.
	MaxAllowance = 1 << 16
	// MaxRemaining limits the remaining time of a call and the age of its root.
	MaxRemaining = 24 * time.Hour
	// MaxRetryAfter limits the retry delay in a response.
	MaxRetryAfter = time.Hour
)

// FieldError reports a field of a header or a control message that is out of bounds, with its value
// and the limit.
type FieldError struct {
	Field string
	Value string
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("inner protocol: %s is %s, must be %s", e.Field, e.Value, e.Bound)
}

func checkCall(h *CallHeader) error {
	if err := checkCallNames(h); err != nil {
		return err
	}
	if h.Level >= callctx.Levels {
		return aboveMax("level", uint64(h.Level), callctx.Levels-1)
	}
	if err := checkMicros("remaining_us", h.RemainingUs, MaxRemaining); err != nil {
		return err
	}
	if err := checkMicros("root_age_us", h.RootAgeUs, MaxRemaining); err != nil {
		return err
	}
	if h.Depth > MaxDepth {
		return aboveMax("depth", uint64(h.Depth), MaxDepth)
	}
	if h.Allowance > MaxAllowance {
		return aboveMax("allowance", uint64(h.Allowance), MaxAllowance)
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
	if !codeInRange(h.Code) {
		return &FieldError{"code", fmt.Sprint(h.Code), "between 1000 and 5999"}
	}
	if h.UnusedAllowance > MaxAllowance {
		return aboveMax("unused_allowance", uint64(h.UnusedAllowance), MaxAllowance)
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

// codeInRange accepts the whole range of result codes. A newer node may send a code that this node
// does not declare; an undeclared code is treated as an unknown outcome.
func codeInRange(code uint32) bool {
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

func checkBytes(field, s string, bound int, minByte byte) error {
	if len(s) > bound {
		return &FieldError{field, fmt.Sprintf("%d bytes long", len(s)), fmt.Sprintf("at most %d", bound)}
	}
	for i := 0; i < len(s); i++ {
		if s[i] < minByte || s[i] > '~' {
			return &FieldError{field, fmt.Sprintf("%q", s), "printable ASCII"}
		}
	}
	return nil
}

func aboveMax(field string, v, bound uint64) error {
	return &FieldError{field, fmt.Sprint(v), fmt.Sprintf("at most %d", bound)}
}
