package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

const (
	// publishTimeout bounds the wait until a publication is read back from the log. The log
	// normally responds within milliseconds.
	publishTimeout = 10 * time.Second
	// responseMargin is reserved from the operator's deadline for returning the response.
	responseMargin = 250 * time.Millisecond
	// inForcePollInterval is the delay between two counts of the nodes that have a version in
	// force.
	inForcePollInterval = 100 * time.Millisecond
)

// PublishTemplate implements admin.Backend. A document without a revision gets the next
// revision.
func (b *backend) PublishTemplate(ctx context.Context, operator string, r *adminpb.PublishTemplateRequest) (*adminpb.Publication, error) {
	state := b.server.node.Policy()
	if earlier, ok := b.findDecision(state, r.GetChangeId(), "template "+r.GetName()); ok {
		return b.publicationMessage(ctx, earlier, r.GetWaitPercent(), r.GetWaitMs())
	}
	doc, err := completeTemplate(state, r.GetName(), r.GetDocumentJson())
	if err != nil {
		return nil, err
	}
	t, err := policy.DecodeTemplate(doc)
	if err != nil {
		return nil, admin.Invalid("document_json: %v", err)
	}
	if t.Name != r.GetName() {
		return nil, admin.Invalid("document_json.name is %q, must be %q", t.Name, r.GetName())
	}
	p := &policy.Publication{ID: r.GetChangeId(), Author: operator, BaseVersion: policy.Version(r.GetBasedOn()), Template: t}
	d, err := b.publish(ctx, state, p)
	if err != nil {
		return nil, err
	}
	return b.publicationMessage(ctx, d, r.GetWaitPercent(), r.GetWaitMs())
}

// completeTemplate adds the name and the revision to a document where they are missing.
func completeTemplate(state *policy.State, name, text string) ([]byte, error) {
	var doc map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &doc); err != nil {
		return nil, admin.Invalid("document_json: %v", err)
	}
	_, hasName := doc["name"]
	_, hasRevision := doc["revision"]
	if hasName && hasRevision {
		return []byte(text), nil
	}
	nextRevision := 1
	if current, ok := state.Template(name, 0); ok {
		nextRevision = current.Revision + 1
	}
	if !hasName {
		doc["name"] = json.RawMessage(strconv.Quote(name))
	}
	if !hasRevision {
		doc["revision"] = json.RawMessage(strconv.Itoa(nextRevision))
	}
	full, err := json.Marshal(doc)
	return full, errors.Wrap(err, "complete template")
}

// SetInstance implements admin.Backend.
func (b *backend) SetInstance(ctx context.Context, operator string, r *adminpb.SetInstanceRequest) (*adminpb.Publication, error) {
	state := b.server.node.Policy()
	if earlier, ok := b.findDecision(state, r.GetChangeId(), "instance "+r.GetWorkspace()+"/"+r.GetService()); ok {
		return b.publicationMessage(ctx, earlier, r.GetWaitPercent(), r.GetWaitMs())
	}
	inst, err := buildInstance(state, r.GetWorkspace(), r.GetService(), r.GetTemplate(), r.GetValuesJson(), r.GetMerge())
	if err != nil {
		return nil, err
	}
	p := &policy.Publication{ID: r.GetChangeId(), Author: operator, BaseVersion: policy.Version(r.GetBasedOn()), Instance: inst}
	d, err := b.publish(ctx, state, p)
	if err != nil {
		return nil, err
	}
	return b.publicationMessage(ctx, d, r.GetWaitPercent(), r.GetWaitMs())
}

// buildInstance returns the instance that a request describes. A request that names a template
// gets the current revision of that template; one that names none keeps the template and revision
// of the existing instance.
func buildInstance(state *policy.State, workspace, service, template, valuesJSON string, merge bool) (*policy.Instance, error) {
	inst := &policy.Instance{Workspace: workspace, Service: service, Values: map[string]string{}}
	old, exists := findInstance(state, workspace, service)
	if exists {
		inst.Template, inst.Revision = old.Template, old.Revision
	}
	if template != "" {
		t, ok := state.Template(template, 0)
		if !ok {
			return nil, admin.NotFound("template %s does not exist", template)
		}
		inst.Template, inst.Revision = t.Name, t.Revision
	}
	if inst.Template == "" {
		return nil, admin.Invalid("template is empty, must be given for the new instance %s/%s", workspace, service)
	}
	if merge && exists {
		maps.Copy(inst.Values, old.Values)
	}
	return inst, setValues(inst.Values, valuesJSON)
}

func findInstance(state *policy.State, workspace, service string) (policy.Instance, bool) {
	for _, i := range state.Instances() {
		if i.Workspace == workspace && i.Service == service {
			return i, true
		}
	}
	return policy.Instance{}, false
}

// setValues copies JSON scalars into values, which are stored as text. null removes a value.
func setValues(values map[string]string, doc string) error {
	dec := json.NewDecoder(bytes.NewReader([]byte(doc)))
	dec.UseNumber()
	var given map[string]any
	if err := dec.Decode(&given); err != nil {
		return admin.Invalid("values_json: %v", err)
	}
	for name, v := range given {
		switch v := v.(type) {
		case nil:
			delete(values, name)
		case string:
			values[name] = v
		case bool:
			values[name] = strconv.FormatBool(v)
		case json.Number:
			values[name] = v.String()
		default:
			return admin.Invalid("values_json.%s is an object or an array, must be a string, a number or true or false", name)
		}
	}
	return nil
}

// findDecision returns the decision on a change that was already sent. A change ID that was
// used for another object is not a resend and is refused by publish.
func (b *backend) findDecision(state *policy.State, changeID, object string) (policy.Decision, bool) {
	d, ok := state.Decision(changeID)
	return d, ok && d.Object == object
}

// publish appends p to the log, waits until it is read back and returns the decision on it.
func (b *backend) publish(ctx context.Context, state *policy.State, p *policy.Publication) (policy.Decision, error) {
	if d, ok := state.Decision(p.ID); ok {
		return d, admin.Invalid("change_id is %q, which is the ID of a change of %s, must be a new ID for a change of %s", p.ID, d.Object, p.Object())
	}
	if have := versionOf(state, p); p.BaseVersion > have {
		return policy.Decision{}, admin.Unavailable("this node lags: it has %s at version %d, the change is based on %d", p.Object(), have, p.BaseVersion)
	}
	if d, ok := decideLocally(state, p); ok {
		return d, nil
	}
	rec, err := p.Record(b.server.node.Now())
	if err != nil {
		return policy.Decision{}, admin.Invalid("%v", err)
	}
	sendCtx, cancel := appendContext(ctx)
	defer cancel()
	if _, err := b.server.appender.Append(sendCtx, rec); err != nil {
		return policy.Decision{}, appendFailure(p, err)
	}
	b.server.control.awaitApplied()
	b.server.metrics.Observe(metrics.PublishTime, b.server.node.Now().Sub(rec.At))
	d, ok := b.server.node.Policy().Decision(p.ID)
	if !ok {
		return d, admin.Undecided("change %s was read back, but its decision is no longer stored on this node", p.ID)
	}
	b.recordDecision(p, &d)
	return d, nil
}

// versionOf returns the version that this node has of the object that p changes. If the base
// version of p is newer, publish refuses p: this node would take the values that p does not change
// from its older version, and would so revert the changes made between the two versions.
func versionOf(state *policy.State, p *policy.Publication) policy.Version {
	if p.Template != nil {
		return state.TemplateVersion(p.Template.Name)
	}
	return state.InstanceVersion(p.Instance.Workspace, p.Instance.Service)
}

// recordDecision logs the decision on a publication and adds it to the timeline.
func (b *backend) recordDecision(p *policy.Publication, d *policy.Decision) {
	e := timeline.Event{Kind: timeline.PublicationDecided, Detail: fmt.Sprintf("%s by %s: %s", d.Object, d.Author, d.Outcome)}
	if p.Instance != nil {
		e.Workspace, e.Service = p.Instance.Workspace, p.Instance.Service
	}
	if d.Conflict != nil {
		e.Detail += " to " + d.Conflict.Author + ", change " + d.Conflict.ID
	}
	b.server.node.Event(b.server.node.Now(), e)
	b.server.logger.Info().Str("change", d.ID).Str("object", d.Object).Str("author", d.Author).
		Str("outcome", string(d.Outcome)).Int64("version", int64(d.Version)).Msg("publication decided")
}

// decideLocally decides publications whose outcome no later record can change: a version
// conflict with a newer version of the object, or a document that is invalid by itself. Errors
// that may exist only because this node lags are left to the log.
func decideLocally(state *policy.State, p *policy.Publication) (policy.Decision, bool) {
	d, _ := state.Check(p)
	switch d.Outcome {
	case policy.Conflicted:
		return d, p.BaseVersion < d.Conflict.Version
	case policy.Rejected:
		for _, e := range d.Errors {
			if e.Field == "publication.based" || e.Field == "instance.template" || e.Field == "template.revision" {
				return d, false
			}
		}
		return d, true
	}
	return d, false
}

// appendContext returns a context that ends after publishTimeout, or responseMargin before the
// deadline of ctx.
func appendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := publishTimeout
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, max(0, time.Until(end)-responseMargin))
	}
	return context.WithTimeout(ctx, limit)
}

// appendFailure turns the error of an append into the error for the operator.
func appendFailure(p *policy.Publication, err error) error {
	switch {
	case errors.Is(err, logstore.ErrUncertain):
		return admin.Undecided("change %s may be in the log: %v", p.ID, err)
	case errors.Is(err, logstore.ErrBadRequest):
		return admin.Invalid("change %s: %v", p.ID, err)
	}
	return admin.Unavailable("change %s was not published: %v", p.ID, err)
}

// publicationMessage turns a decision into the response to the operator. For an accepted
// change, it waits as requested and counts the nodes that have it in force.
func (b *backend) publicationMessage(ctx context.Context, d policy.Decision, percent uint32, waitMillis int64) (*adminpb.Publication, error) {
	if d.Outcome == policy.Rejected {
		return nil, admin.Invalid("%s: %v", d.Object, d.Errors)
	}
	pub := &adminpb.Publication{ChangeId: d.ID, Accepted: d.Outcome == policy.Accepted, Version: uint64(d.Version)}
	if d.Conflict != nil {
		pub.Version = uint64(d.Conflict.Version)
		pub.LostToVersion = uint64(d.Conflict.Version)
		pub.LostToOperator = d.Conflict.Author
		pub.LostToChangeId = d.Conflict.ID
		pub.Detail = d.Conflict.What
		return pub, nil
	}
	pub.Offset = uint64(d.Version) - 1
	inForce, known := b.awaitInForce(ctx, d.Version, percent, time.Duration(waitMillis)*time.Millisecond)
	pub.NodesInForce, pub.NodesKnown = uint32(inForce), uint32(known)
	return pub, nil
}

// DiffInstance implements admin.Backend. It compares the behaviour in force with that of the
// proposed instance, including default values.
func (b *backend) DiffInstance(_ context.Context, r *adminpb.DiffInstanceRequest) (*adminpb.DiffInstanceResponse, error) {
	state := b.server.node.Policy()
	inst, err := buildInstance(state, r.GetWorkspace(), r.GetService(), r.GetTemplate(), r.GetValuesJson(), r.GetMerge())
	if err != nil {
		return nil, err
	}
	baseVersion := state.InstanceVersion(r.GetWorkspace(), r.GetService())
	d, changes := state.Check(&policy.Publication{ID: "diff", Author: "diff", BaseVersion: baseVersion, Instance: inst})
	if d.Outcome == policy.Rejected {
		return nil, admin.Invalid("%v", d.Errors)
	}
	resp := &adminpb.DiffInstanceResponse{BasedOn: uint64(baseVersion)}
	for _, c := range changes {
		resp.Differences = append(resp.Differences, &adminpb.Difference{
			Path: c.Field, FromJson: quoteOrEmpty(c.Old), ToJson: quoteOrEmpty(c.New),
		})
	}
	return resp, nil
}

func quoteOrEmpty(s string) string {
	if s == "" {
		return ""
	}
	return fmt.Sprintf("%q", s)
}
