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
	// MaxMessageBytes bounds one message in either direction; a timeline is
	// the largest.
	MaxMessageBytes = 16 << 20
	// MaxDocumentBytes bounds a template or an instance. Planned changes are
	// of about 1 KB.
	MaxDocumentBytes = 64 << 10
	// MaxNameLen bounds names and IDs, in bytes.
	MaxNameLen = 128
	// MaxReasonLen bounds free text.
	MaxReasonLen = 512
	// MaxEvents bounds the events of one answer.
	MaxEvents = 20_000
	// MaxWait bounds how long a call waits for a change to be in force or for
	// a drain.
	MaxWait = 10 * time.Minute
	// MaxFollowers bounds the open event streams of a node.
	MaxFollowers = 32
)

// problems gathers the first fault of a request.
type problems struct{ err error }

func (p *problems) add(field, value, bound string) {
	if p.err == nil {
		p.err = connect.NewError(connect.CodeInvalidArgument,
			errors.Errorf("%s is %s, must be %s", field, value, bound))
	}
}

// name checks an optional name.
func (p *problems) name(field, v string) {
	if len(v) > MaxNameLen {
		p.add(field, fmt.Sprintf("%d bytes long", len(v)), fmt.Sprintf("at most %d", MaxNameLen))
	}
	for _, r := range v {
		if r <= ' ' || r > '~' {
			p.add(field, fmt.Sprintf("%q", v), "printable ASCII without blanks")
		}
	}
}

func (p *problems) required(field, v string) {
	if v == "" {
		p.add(field, "empty", "given")
	}
	p.name(field, v)
}

func (p *problems) text(field, v string) {
	if len(v) > MaxReasonLen {
		p.add(field, fmt.Sprintf("%d bytes long", len(v)), fmt.Sprintf("at most %d", MaxReasonLen))
	}
}

// object checks a JSON document that must be an object.
func (p *problems) object(field, doc string) {
	if len(doc) > MaxDocumentBytes {
		p.add(field, fmt.Sprintf("%d bytes long", len(doc)), fmt.Sprintf("at most %d", MaxDocumentBytes))
		return
	}
	var o map[string]json.RawMessage
	if err := json.Unmarshal([]byte(doc), &o); err != nil || o == nil {
		p.add(field, "no JSON object", "one")
	}
}

func (p *problems) wait(percent uint32, ms int64) {
	if percent > 100 {
		p.add("wait_percent", fmt.Sprint(percent), "at most 100")
	}
	if ms < 0 || ms > MaxWait.Milliseconds() {
		p.add("wait_ms", fmt.Sprint(ms), fmt.Sprintf("between 0 and %d", MaxWait.Milliseconds()))
	}
}

func (p *problems) events(n uint32) {
	if n > MaxEvents {
		p.add("max_events", fmt.Sprint(n), fmt.Sprintf("at most %d", MaxEvents))
	}
}

func (p *problems) filter(f *adminpb.EventFilter) {
	p.name("filter.workspace", f.GetWorkspace())
	p.name("filter.call_id", f.GetCallId())
	p.name("filter.request_id", f.GetRequestId())
	p.name("filter.upstream", f.GetUpstream())
	if n := len(f.GetKinds()); n > MaxNameLen {
		p.add("filter.kinds", fmt.Sprintf("%d long", n), fmt.Sprintf("at most %d", MaxNameLen))
	}
	for i, k := range f.GetKinds() {
		p.name(fmt.Sprintf("filter.kinds[%d]", i), k)
	}
}

// connectError maps an error of a Backend.
func connectError(err error) error {
	if err == nil {
		return nil
	}
	var ce *connect.Error
	if errors.As(err, &ce) {
		return err
	}
	return connect.NewError(codeFor(err), err)
}

func codeFor(err error) connect.Code {
	var e *Error
	switch {
	case errors.As(err, &e):
		return codeOf(e.Kind)
	case errors.Is(err, context.Canceled):
		return connect.CodeCanceled
	case errors.Is(err, context.DeadlineExceeded):
		return connect.CodeDeadlineExceeded
	default:
		return connect.CodeInternal
	}
}

func codeOf(k ErrorKind) connect.Code {
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
