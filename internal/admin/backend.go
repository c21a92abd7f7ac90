package admin

import (
	"context"
	"fmt"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
)

// Backend performs the operations of the API. Before each call, the server checks the token, the
// workspace, sizes, and that documents are JSON. A Backend returns data of all workspaces; the server
// removes what the token doesn't cover. Backends should create errors with the functions of this
// package, so that the operator's command exits with the right code.
type Backend interface {
	// ListTemplates returns all templates.
	ListTemplates(ctx context.Context) ([]*adminpb.TemplateSummary, error)
	// ShowTemplate returns a version of a template. Version 0 means the version in force.
	ShowTemplate(ctx context.Context, name string, version uint64) (*adminpb.ShowTemplateResponse, error)
	// PublishTemplate returns once the record has been read back from the log and decided. A version
	// conflict with another change is reported in the Publication, not as an error.
	PublishTemplate(ctx context.Context, operator string, r *adminpb.PublishTemplateRequest) (*adminpb.Publication, error)

	// ListInstances returns the instances of a workspace, or of all workspaces if it is empty.
	ListInstances(ctx context.Context, workspace string) ([]*adminpb.InstanceSummary, error)
	// ShowInstance returns an instance as published and with all defaults filled in.
	ShowInstance(ctx context.Context, r *adminpb.ShowInstanceRequest) (*adminpb.ShowInstanceResponse, error)
	// SetInstance publishes an instance. It returns under the same conditions as PublishTemplate.
	SetInstance(ctx context.Context, operator string, r *adminpb.SetInstanceRequest) (*adminpb.Publication, error)
	// DiffInstance compares proposed values with the instance in force. It publishes nothing.
	DiffInstance(ctx context.Context, r *adminpb.DiffInstanceRequest) (*adminpb.DiffInstanceResponse, error)

	// Status returns the state of the known nodes.
	Status(ctx context.Context, r *adminpb.StatusRequest) (*adminpb.StatusResponse, error)
	// Members returns the known members.
	Members(ctx context.Context, r *adminpb.MembersRequest) ([]*adminpb.Member, error)
	// NodeWorkspaces returns the workspaces of the upstreams that a node serves.
	NodeWorkspaces(ctx context.Context, nodeID string) ([]string, error)
	// Drain starts draining a node and optionally waits for its calls in flight.
	Drain(ctx context.Context, operator string, r *adminpb.DrainRequest) (*adminpb.DrainResponse, error)

	// Timeline returns stored events, oldest first.
	Timeline(ctx context.Context, r *adminpb.TimelineRequest) (*adminpb.TimelineResponse, error)
	// Events sends the stored events. With follow, it also sends new events until ctx is done or
	// send fails.
	Events(ctx context.Context, r *adminpb.EventsRequest, send func(*adminpb.EventsResponse) error) error
}

// ErrorKind classifies errors by the operator's possible reactions.
type ErrorKind int

const (
	// KindFailed means that the node failed. A change may have taken effect.
	KindFailed ErrorKind = iota
	// KindNotFound means that the template, instance or node does not exist.
	KindNotFound
	// KindInvalid means that the document or a value is invalid.
	KindInvalid
	// KindUnavailable means that the log or a peer is unreachable. Nothing was changed.
	KindUnavailable
	// KindUndecided means that the change was sent and its outcome is unknown. The operator may
	// resend the same change with the same change ID.
	KindUndecided
)

// Error is an error of a Backend with its kind.
type Error struct {
	Kind ErrorKind
	// Text is the message for the operator.
	Text string
}

// Error implements error.
func (e *Error) Error() string { return e.Text }

// NotFound returns an error of KindNotFound.
func NotFound(format string, args ...any) error {
	return &Error{KindNotFound, fmt.Sprintf(format, args...)}
}

// Invalid returns an error of KindInvalid. The text should contain the field, its value and the
// allowed values.
func Invalid(format string, args ...any) error {
	return &Error{KindInvalid, fmt.Sprintf(format, args...)}
}

// Unavailable returns an error of KindUnavailable.
func Unavailable(format string, args ...any) error {
	return &Error{KindUnavailable, fmt.Sprintf(format, args...)}
}

// Undecided returns an error of KindUndecided.
func Undecided(format string, args ...any) error {
	return &Error{KindUndecided, fmt.Sprintf(format, args...)}
}
