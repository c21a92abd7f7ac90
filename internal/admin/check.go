package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
)

// Bounds of a request.
const (
	// MaxMessageBytes is the maximum size of a response, both sent and accepted. Timelines are the
	// largest responses.
	MaxMessageBytes = 16 << 20
	// MaxDocumentBytes is the maximum size of a template or an instance. Changes are expected to have
	// about 1 KB.
	MaxDocumentBytes = 64 << 10
	// MaxNameLen is the maximum length of names and IDs in bytes.
	MaxNameLen = 128
	// MaxReasonLen is the maximum length of free text in bytes.
	MaxReasonLen = 512
	// MaxEvents is the maximum number of events in one response.
	MaxEvents = 20_000
	// MaxWait is the maximum time for which a call waits until a change is in force or a node is
	// drained.
	MaxWait = 10 * time.Minute
	// MaxEventStreams is the maximum number of open event streams of a node.
	MaxEventStreams = 32
)

// requestValidator checks the fields of a request. err is the error of the first invalid field.
type requestValidator struct{ err error }

// add stores the error of an invalid field unless there is an error already.
func (c *requestValidator) add(field, value, bound string) {
	if c.err == nil {
		c.err = connect.NewError(connect.CodeInvalidArgument,
			errors.Errorf("%s is %s, must be %s", field, value, bound))
	}
}

// name checks an optional name.
func (c *requestValidator) name(field, v string) {
	if len(v) > MaxNameLen {
		c.add(field, fmt.Sprintf("%d bytes long", len(v)), fmt.Sprintf("at most %d", MaxNameLen))
	}
	for _, r := range v {
		if r <= ' ' || r > '~' {
			c.add(field, fmt.Sprintf("%q", v), "printable ASCII without blanks")
		}
	}
}

func (c *requestValidator) required(field, v string) {
	if v == "" {
		c.add(field, "empty", "given")
	}
	c.name(field, v)
}

// text checks the length of free text.
func (c *requestValidator) text(field, v string) {
	if len(v) > MaxReasonLen {
		c.add(field, fmt.Sprintf("%d bytes long", len(v)), fmt.Sprintf("at most %d", MaxReasonLen))
	}
}

// object checks a JSON document that must be an object.
func (c *requestValidator) object(field, doc string) {
	if len(doc) > MaxDocumentBytes {
		c.add(field, fmt.Sprintf("%d bytes long", len(doc)), fmt.Sprintf("at most %d", MaxDocumentBytes))
		return
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal([]byte(doc), &object); err != nil || object == nil {
		c.add(field, "not a JSON object", "one")
	}
}

// wait checks the fields that control how long a call waits for its effect.
func (c *requestValidator) wait(percent uint32, ms int64) {
	if percent > 100 {
		c.add("wait_percent", fmt.Sprint(percent), "at most 100")
	}
	if ms < 0 || ms > MaxWait.Milliseconds() {
		c.add("wait_ms", fmt.Sprint(ms), fmt.Sprintf("between 0 and %d", MaxWait.Milliseconds()))
	}
}

func (c *requestValidator) events(n uint32) {
	if n > MaxEvents {
		c.add("max_events", fmt.Sprint(n), fmt.Sprintf("at most %d", MaxEvents))
	}
}

func (c *requestValidator) filter(f *adminpb.EventFilter) {
	c.name("filter.workspace", f.GetWorkspace())
	c.name("filter.call_id", f.GetCallId())
	c.name("filter.request_id", f.GetRequestId())
	c.name("filter.upstream", f.GetUpstream())
	if n := len(f.GetKinds()); n > MaxNameLen {
		c.add("filter.kinds", fmt.Sprintf("%d long", n), fmt.Sprintf("at most %d", MaxNameLen))
	}
	for i, k := range f.GetKinds() {
		c.name(fmt.Sprintf("filter.kinds[%d]", i), k)
	}
}

// connectError converts an error of a Backend to a *connect.Error.
func connectError(err error) error {
	if err == nil {
		return nil
	}
	var ce *connect.Error
	if errors.As(err, &ce) {
		return err
	}
	return connect.NewError(errorCode(err), err)
}

// errorCode returns the RPC status code of an error of a Backend.
func errorCode(err error) connect.Code {
	var e *Error
	switch {
	case errors.As(err, &e):
		return kindCode(e.Kind)
	case errors.Is(err, context.Canceled):
		return connect.CodeCanceled
	case errors.Is(err, context.DeadlineExceeded):
		return connect.CodeDeadlineExceeded
	default:
		return connect.CodeInternal
	}
}

func kindCode(k ErrorKind) connect.Code {
	switch k {
	case KindNotFound:
		return connect.CodeNotFound
	case KindInvalid:
		return connect.CodeInvalidArgument
	case KindUnavailable:
		return connect.CodeUnavailable
	case KindUndecided:
		return connect.CodeAborted
	default:
		return connect.CodeInternal
	}
}
