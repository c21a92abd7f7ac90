package server

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/policy"
)

// ListTemplates implements admin.Backend.
func (b *backend) ListTemplates(context.Context) ([]*adminpb.TemplateSummary, error) {
	state := b.server.node.Policy()
	var list []*adminpb.TemplateSummary
	for _, t := range state.Templates() {
		s := &adminpb.TemplateSummary{Name: t.Name, Version: uint64(state.TemplateVersion(t.Name)), Description: t.Help}
		for _, p := range t.Parameters {
			s.Parameters = append(s.Parameters, p.Name)
		}
		list = append(list, s)
	}
	return list, nil
}

// ShowTemplate implements admin.Backend. Only the version in force can be shown: of older
// versions the node stores just the revisions that instances use, without their version
// numbers.
func (b *backend) ShowTemplate(_ context.Context, name string, version uint64) (*adminpb.ShowTemplateResponse, error) {
	state := b.server.node.Policy()
	t, ok := state.Template(name, 0)
	if !ok {
		return nil, admin.NotFound("template %s does not exist", name)
	}
	inForce := uint64(state.TemplateVersion(name))
	if version != 0 && version != inForce {
		return nil, admin.NotFound("version %d of template %s is not available; version %d is in force", version, name, inForce)
	}
	doc, err := json.Marshal(t)
	if err != nil {
		return nil, errors.Wrapf(err, "encode template %s", name)
	}
	return &adminpb.ShowTemplateResponse{Name: name, Version: inForce, DocumentJson: string(doc)}, nil
}

// ListInstances implements admin.Backend.
func (b *backend) ListInstances(_ context.Context, workspace string) ([]*adminpb.InstanceSummary, error) {
	state := b.server.node.Policy()
	var list []*adminpb.InstanceSummary
	for _, i := range state.Instances() {
		if !matches(workspace, i.Workspace) {
			continue
		}
		list = append(list, &adminpb.InstanceSummary{
			Workspace:       i.Workspace,
			Service:         i.Service,
			Template:        i.Template,
			TemplateVersion: uint64(state.TemplateVersion(i.Template)),
			Version:         uint64(state.InstanceVersion(i.Workspace, i.Service)),
		})
	}
	return list, nil
}

// ShowInstance implements admin.Backend.
func (b *backend) ShowInstance(_ context.Context, r *adminpb.ShowInstanceRequest) (*adminpb.ShowInstanceResponse, error) {
	state := b.server.node.Policy()
	inst, ok := findInstance(state, r.GetWorkspace(), r.GetService())
	if !ok {
		return nil, admin.NotFound("instance %s/%s does not exist", r.GetWorkspace(), r.GetService())
	}
	inForce := uint64(state.InstanceVersion(inst.Workspace, inst.Service))
	if r.GetVersion() != 0 && r.GetVersion() != inForce {
		return nil, admin.NotFound("version %d of instance %s/%s is not available; version %d is in force",
			r.GetVersion(), inst.Workspace, inst.Service, inForce)
	}
	doc, err := json.Marshal(inst)
	if err != nil {
		return nil, errors.Wrap(err, "encode instance")
	}
	effective, err := effectiveJSON(state, inst)
	if err != nil {
		return nil, err
	}
	return &adminpb.ShowInstanceResponse{
		Workspace: inst.Workspace, Service: inst.Service, Version: inForce,
		DocumentJson: string(doc), EffectiveJson: effective,
	}, nil
}

// effectiveJSON returns the behaviour in force of an instance as JSON, with the field names
// that templates use.
func effectiveJSON(state *policy.State, inst policy.Instance) (string, error) {
	eff, ok := state.Lookup(inst.Workspace, inst.Service)
	if !ok {
		return "", errors.Errorf("instance %s/%s has no behaviour", inst.Workspace, inst.Service)
	}
	fields := map[string]string{}
	for _, c := range policy.Diff(nil, eff) {
		fields[c.Field] = c.New
	}
	doc, err := json.Marshal(fields)
	return string(doc), errors.Wrap(err, "encode behaviour of the instance")
}
