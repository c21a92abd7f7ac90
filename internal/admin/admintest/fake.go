// Package admintest provides an in-memory admin.Backend for tests of the API and of its clients.
package admintest

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
)

// Fake is an admin.Backend that stores templates and instances in memory and returns the values of
// its exported fields otherwise. The fields must be set before the first call.
type Fake struct {
	// StatusResponse is the response of Status.
	StatusResponse *adminpb.StatusResponse
	// MemberList is the response of Members.
	MemberList []*adminpb.Member
	// Nodes maps the ID of a node to the workspaces that the node serves.
	Nodes map[string][]string
	// EventList contains the events, as JSON, that Timeline and Events return.
	EventList []string
	// Fail, if set, is the error of every call.
	Fail error

	mu        sync.Mutex
	templates map[string]*adminpb.ShowTemplateResponse
	// instances is keyed by "workspace/service".
	instances map[string]*adminpb.ShowInstanceResponse
	// latest is keyed by "template/name" or "workspace/service".
	latest map[string]change
	// templateOf maps "workspace/service" to the name of the instance's template.
	templateOf map[string]string
	// Drained contains the node IDs of all Drain calls.
	Drained []string
}

// change is the latest accepted change of a template or instance.
type change struct {
	operator, id string
	version      uint64
}

// New returns an empty Fake.
func New() *Fake {
	return &Fake{
		Nodes:      map[string][]string{},
		templates:  map[string]*adminpb.ShowTemplateResponse{},
		instances:  map[string]*adminpb.ShowInstanceResponse{},
		latest:     map[string]change{},
		templateOf: map[string]string{},
	}
}

// ListTemplates implements admin.Backend.
func (f *Fake) ListTemplates(context.Context) ([]*adminpb.TemplateSummary, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*adminpb.TemplateSummary
	for _, t := range f.templates {
		list = append(list, &adminpb.TemplateSummary{Name: t.Name, Version: t.Version})
	}
	return list, f.Fail
}

// ShowTemplate implements admin.Backend.
func (f *Fake) ShowTemplate(_ context.Context, name string, _ uint64) (*adminpb.ShowTemplateResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.templates[name]
	if !ok {
		return nil, admin.NotFound("template %s does not exist", name)
	}
	return t, f.Fail
}

// PublishTemplate implements admin.Backend.
func (f *Fake) PublishTemplate(_ context.Context, operator string, r *adminpb.PublishTemplateRequest) (*adminpb.Publication, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pub := f.decideLocked("template/"+r.Name, operator, r.ChangeId, r.BasedOn)
	if pub.Accepted {
		f.templates[r.Name] = &adminpb.ShowTemplateResponse{Name: r.Name, Version: pub.Version, DocumentJson: r.DocumentJson}
	}
	return pub, f.Fail
}

// decideLocked accepts a change if it is based on the latest version, or if it is a resend of the
// latest change.
func (f *Fake) decideLocked(name, operator, id string, basedOn uint64) *adminpb.Publication {
	last := f.latest[name]
	if last.id == id && id != "" {
		return &adminpb.Publication{Accepted: true, Version: last.version, ChangeId: id, NodesKnown: 3, NodesInForce: 3}
	}
	if basedOn != last.version {
		return &adminpb.Publication{
			Version: last.version, LostToVersion: last.version,
			LostToOperator: last.operator, LostToChangeId: last.id, ChangeId: id,
		}
	}
	f.latest[name] = change{operator, id, last.version + 1}
	return &adminpb.Publication{Accepted: true, Version: last.version + 1, ChangeId: id, NodesKnown: 3, NodesInForce: 3}
}

// ListInstances implements admin.Backend.
func (f *Fake) ListInstances(context.Context, string) ([]*adminpb.InstanceSummary, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*adminpb.InstanceSummary
	for _, i := range f.instances {
		list = append(list, &adminpb.InstanceSummary{
			Workspace: i.Workspace, Service: i.Service, Version: i.Version,
			Template: f.templateOf[i.Workspace+"/"+i.Service],
		})
	}
	return list, f.Fail
}

// ShowInstance implements admin.Backend.
func (f *Fake) ShowInstance(_ context.Context, r *adminpb.ShowInstanceRequest) (*adminpb.ShowInstanceResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.instances[r.Workspace+"/"+r.Service]
	if !ok {
		return nil, admin.NotFound("instance %s/%s does not exist", r.Workspace, r.Service)
	}
	return i, f.Fail
}

// SetInstance implements admin.Backend.
func (f *Fake) SetInstance(_ context.Context, operator string, r *adminpb.SetInstanceRequest) (*adminpb.Publication, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := r.Workspace + "/" + r.Service
	pub := f.decideLocked(name, operator, r.ChangeId, r.BasedOn)
	if pub.Accepted {
		f.instances[name] = &adminpb.ShowInstanceResponse{
			Workspace: r.Workspace, Service: r.Service, Version: pub.Version,
			DocumentJson: r.ValuesJson, EffectiveJson: r.ValuesJson,
		}
		f.templateOf[name] = r.Template
	}
	return pub, f.Fail
}

// DiffInstance implements admin.Backend. It compares the top-level fields only.
func (f *Fake) DiffInstance(_ context.Context, r *adminpb.DiffInstanceRequest) (*adminpb.DiffInstanceResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var old, new map[string]json.RawMessage
	resp := &adminpb.DiffInstanceResponse{}
	if i, ok := f.instances[r.Workspace+"/"+r.Service]; ok {
		_ = json.Unmarshal([]byte(i.DocumentJson), &old)
		resp.BasedOn = i.Version
	}
	if err := json.Unmarshal([]byte(r.ValuesJson), &new); err != nil {
		return nil, admin.Invalid("values_json: %v", err)
	}
	for k, v := range new {
		if string(old[k]) != string(v) {
			resp.Differences = append(resp.Differences, &adminpb.Difference{Path: k, FromJson: string(old[k]), ToJson: string(v)})
		}
	}
	return resp, f.Fail
}

// Status implements admin.Backend.
func (f *Fake) Status(context.Context, *adminpb.StatusRequest) (*adminpb.StatusResponse, error) {
	return f.StatusResponse, f.Fail
}

// Members implements admin.Backend.
func (f *Fake) Members(context.Context, *adminpb.MembersRequest) ([]*adminpb.Member, error) {
	return f.MemberList, f.Fail
}

// NodeWorkspaces implements admin.Backend.
func (f *Fake) NodeWorkspaces(_ context.Context, node string) ([]string, error) {
	w, ok := f.Nodes[node]
	if !ok {
		return nil, admin.NotFound("node %s does not exist", node)
	}
	return w, f.Fail
}

// Drain implements admin.Backend.
func (f *Fake) Drain(_ context.Context, _ string, r *adminpb.DrainRequest) (*adminpb.DrainResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Drained = append(f.Drained, r.NodeId)
	return &adminpb.DrainResponse{State: "draining", InFlight: 2}, f.Fail
}

// Timeline implements admin.Backend.
func (f *Fake) Timeline(context.Context, *adminpb.TimelineRequest) (*adminpb.TimelineResponse, error) {
	return &adminpb.TimelineResponse{EventsJson: f.EventList}, f.Fail
}

// Events implements admin.Backend. With follow, it blocks after the last event until ctx is done.
func (f *Fake) Events(ctx context.Context, r *adminpb.EventsRequest, send func(*adminpb.EventsResponse) error) error {
	for _, e := range f.EventList {
		if err := send(&adminpb.EventsResponse{EventJson: e}); err != nil {
			return err
		}
	}
	if r.Follow {
		<-ctx.Done()
	}
	return f.Fail
}
