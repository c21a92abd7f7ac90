package admin

import (
	"context"
	"fmt"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
)

// Backend is what a node does for the API. The server has checked the token,
// the workspace, sizes and that documents are JSON before it calls; a Backend
// answers for all workspaces and the server leaves out what the token doesn't
// cover. Errors should be made with the functions of this package, so that
// the operator's exit code is right.
type Backend interface {
	ListTemplates(ctx context.Context) ([]*adminpb.TemplateSummary, error)
	ShowTemplate(ctx context.Context, name string, version uint64) (*adminpb.ShowTemplateResponse, error)
	// PublishTemplate returns once the record has been read back and decided.
	// Losing to another operator is no error: it is a Publication.
	PublishTemplate(ctx context.Context, operator string, r *adminpb.PublishTemplateRequest) (*adminpb.Publication, error)

	// ListInstances lists those of one workspace, or all when it is empty.
	ListInstances(ctx context.Context, workspace string) ([]*adminpb.InstanceSummary, error)
	ShowInstance(ctx context.Context, r *adminpb.ShowInstanceRequest) (*adminpb.ShowInstanceResponse, error)
	SetInstance(ctx context.Context, operator string, r *adminpb.SetInstanceRequest) (*adminpb.Publication, error)
	DiffInstance(ctx context.Context, r *adminpb.DiffInstanceRequest) (*adminpb.DiffInstanceResponse, error)

	Status(ctx context.Context, r *adminpb.StatusRequest) (*adminpb.StatusResponse, error)
	Members(ctx context.Context, r *adminpb.MembersRequest) ([]*adminpb.Member, error)
	// NodeWorkspaces returns the workspaces whose upstreams a node serves.
	NodeWorkspaces(ctx context.Context, nodeID string) ([]string, error)
	Drain(ctx context.Context, operator string, r *adminpb.DrainRequest) (*adminpb.DrainResponse, error)

	Timeline(ctx context.Context, r *adminpb.TimelineRequest) (*adminpb.TimelineResponse, error)
	// Events sends the events kept and, with follow, those to come, until ctx
	// ends or send fails.
	Events(ctx context.Context, r *adminpb.EventsRequest, send func(*adminpb.EventsResponse) error) error
}

// ErrorKind sorts errors by what an operator can do about them.
type ErrorKind int

const (
	// KindFailed is a fault of the node; a change may have taken effect.
	KindFailed ErrorKind = iota
	// KindNotFound: there is no such template, instance or node.
	KindNotFound
	// KindInvalid: the document or a value is at fault.
	KindInvalid
	// KindUnavailable: the log or a peer can't be reached; nothing was changed.
	KindUnavailable
	// KindUndecided: the change was sent and its fate is open. The same change
	// with the same change ID may be sent again.
	KindUndecided
)

// Error is an error of a Backend.
type Error struct {
	Kind ErrorKind
	Text string
}

// Error implements error.
func (e *Error) Error() string { return e.Text }

// NotFound makes an error of KindNotFound.
func NotFound(format string, args ...any) error {
	return &Error{KindNotFound, fmt.Sprintf(format, args...)}
}

// Invalid makes an error of KindInvalid; name the field, value and bound.
func Invalid(format string, args ...any) error {
	return &Error{KindInvalid, fmt.Sprintf(format, args...)}
}

// Unavailable makes an error of KindUnavailable.
func Unavailable(format string, args ...any) error {
	return &Error{KindUnavailable, fmt.Sprintf(format, args...)}
}

// Undecided makes an error of KindUndecided.
func Undecided(format string, args ...any) error {
	return &Error{KindUndecided, fmt.Sprintf(format, args...)}
}
