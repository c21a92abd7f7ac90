package policy

import (
	"fmt"
	"maps"
	"strconv"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// Check decides p as the next publication in the log without applying it, and returns the changes
// that it would make to the behaviour in force. Operators use it before they publish.
func (s *State) Check(p *Publication) (Decision, []Change) {
	o := s.decide(p, s.version+1)
	return o.decision, o.changes
}

// outcome is a decision and, if it is accepted, the new entries of the state.
type outcome struct {
	decision  Decision
	changes   []Change
	template  *templateEntry
	instance  *instanceEntry
	effective *Effective
	// bytes is the size of the state after the publication.
	bytes int
}

// publish folds one publication into a state that is not shared yet. A record whose ID is already
// decided is a retry after a lost acknowledgement. It is ignored: deciding it again would report
// a conflict with itself.
func (s *State) publish(e logstore.Entry) {
	if _, ok := s.decisions.get(e.Record.ID); ok {
		return
	}
	o := s.decideEntry(e)
	s.decisions = s.decisions.with(o.decision)
	s.bytes = o.bytes
	if o.template != nil {
		s.templates = maps.Clone(s.templates)
		s.templates[o.template.revisions[0].Name] = o.template
	}
	if o.instance != nil {
		k := key{o.instance.instance.Workspace, o.instance.instance.Service}
		s.instances = maps.Clone(s.instances)
		s.effective = maps.Clone(s.effective)
		s.instances[k] = o.instance
		s.effective[k] = o.effective
		if o.effective == nil {
			delete(s.effective, k)
		}
	}
}

func (s *State) decideEntry(e logstore.Entry) outcome {
	version := Version(e.Offset) + 1
	p, errs := decodePublication(e.Record.Body)
	if p == nil {
		return s.rejected(Decision{ID: e.Record.ID, Version: version}, errs)
	}
	if p.ID != e.Record.ID || p.kind() != e.Record.Kind {
		errs.add("publication.id", clip(p.ID), "the ID of its record, under the record's kind")
		return s.rejected(Decision{ID: e.Record.ID, Version: version}, errs)
	}
	return s.decide(p, version)
}

func (s *State) decide(p *Publication, version Version) outcome {
	d := Decision{ID: p.ID, Author: clip(p.Author), Object: clip(p.Object()), Version: version}
	if p.Author == "" || len(p.Author) > MaxNameBytes {
		return s.rejected(d, FieldErrors{{"publication.author", clip(p.Author), "1..64 bytes"}})
	}
	if p.BaseVersion < 0 || p.BaseVersion >= version {
		return s.rejected(d, FieldErrors{{"publication.based", strconv.FormatInt(int64(p.BaseVersion), 10), "a version below " + strconv.FormatInt(int64(version), 10)}})
	}
	if p.Template != nil {
		return s.decideTemplate(p, d)
	}
	return s.decideInstance(p, d)
}

func (s *State) decideTemplate(p *Publication, d Decision) outcome {
	old := s.templates[p.Template.Name]
	if old != nil && old.last.Version != p.BaseVersion {
		return s.conflict(d, old.last)
	}
	errs := p.Template.check()
	want := 1
	if old != nil {
		want = old.revisions[len(old.revisions)-1].Revision + 1
	} else if p.BaseVersion != 0 {
		errs.add("publication.based", strconv.FormatInt(int64(p.BaseVersion), 10), "0: there is no such template")
	}
	if p.Template.Revision != want {
		errs.add("template.revision", strconv.Itoa(p.Template.Revision), strconv.Itoa(want))
	}
	if len(errs) > 0 {
		return s.rejected(d, errs)
	}
	d.Outcome = Accepted
	changes := s.templateChanges(p.Template)
	entry := &templateEntry{last: change{p.ID, p.Author, d.Version, d.Object + ": created"}}
	if old != nil {
		entry.last.What = summarize(d.Object, changes)
		entry.revisions = s.retainedRevisions(old)
	}
	entry.revisions = append(entry.revisions, *p.Template)
	entry.bytes = jsonBytes(templateDoc{entry.revisions, entry.last})
	oldBytes := 0
	if old != nil {
		oldBytes = old.bytes
	}
	return s.limitSize(outcome{decision: d, changes: changes, template: entry}, entry.bytes-oldBytes)
}

// limitSize rejects o if the state would no longer fit a snapshot. Changes that do not increase
// the size pass.
func (s *State) limitSize(o outcome, growth int) outcome {
	o.bytes = s.bytes + growth
	if o.bytes > MaxStateBytes && growth > 0 {
		errs := FieldErrors{{"configuration", fmt.Sprintf("%d bytes", o.bytes), fmt.Sprintf("at most %d bytes in all", MaxStateBytes)}}
		return s.rejected(o.decision, errs)
	}
	return o
}

// retainedRevisions returns the revisions of a template that the state keeps: those that an
// instance uses and the newest 3.
func (s *State) retainedRevisions(t *templateEntry) []Template {
	const newestRetained = 3
	used := map[int]bool{}
	name := t.revisions[0].Name
	for _, i := range s.instances {
		if i.instance.Template == name {
			used[i.instance.Revision] = true
		}
	}
	retained := make([]Template, 0, len(t.revisions)+1)
	for i := range t.revisions {
		if i >= len(t.revisions)-newestRetained || used[t.revisions[i].Revision] {
			retained = append(retained, t.revisions[i])
		}
	}
	return retained
}

// templateChanges compares t with the current revision, both with the defaults of their
// parameters.
func (s *State) templateChanges(t *Template) []Change {
	var old *Effective
	probe := &Instance{Workspace: "w", Service: "s"}
	if current, ok := s.Template(t.Name, 0); ok {
		old, _ = resolve(current, probe)
	}
	updated, _ := resolve(t, probe)
	return Diff(old, updated)
}

func (s *State) decideInstance(p *Publication, d Decision) outcome {
	inst := p.Instance
	k := key{inst.Workspace, inst.Service}
	old := s.instances[k]
	if old != nil && old.last.Version != p.BaseVersion {
		return s.conflict(d, old.last)
	}
	var errs FieldErrors
	if old == nil && p.BaseVersion != 0 {
		errs.add("publication.based", strconv.FormatInt(int64(p.BaseVersion), 10), "0: there is no such instance")
	}
	if inst.Withdrawn {
		return s.decideWithdrawal(inst, old, d)
	}
	t, ok := s.Template(inst.Template, inst.Revision)
	if !ok || inst.Revision == 0 {
		errs.add("instance.template", fmt.Sprintf("%s/%d", clip(inst.Template), inst.Revision), "an accepted template and revision")
		return s.rejected(d, errs)
	}
	e, resolveErrs := resolve(t, inst)
	if errs = append(errs, resolveErrs...); len(errs) > 0 {
		return s.rejected(d, errs)
	}
	d.Outcome = Accepted
	e.Version = d.Version
	changes := append(revisionChange(s.effective[k], e), Diff(s.effective[k], e)...)
	last := change{p.ID, p.Author, d.Version, fmt.Sprintf("%s: created from %s/%d", d.Object, t.Name, t.Revision)}
	if old != nil {
		last.What = summarize(d.Object, changes)
	}
	entry := &instanceEntry{instance: *inst, last: last}
	entry.bytes = jsonBytes(instanceDoc{entry.instance, entry.last})
	oldBytes := 0
	if old != nil {
		oldBytes = old.bytes
	}
	return s.limitSize(outcome{decision: d, changes: changes, instance: entry, effective: e}, entry.bytes-oldBytes)
}

// decideWithdrawal removes the behaviour of an instance and keeps the version of the object.
func (s *State) decideWithdrawal(inst *Instance, old *instanceEntry, d Decision) outcome {
	if errs := inst.checkWithdrawn(); len(errs) > 0 {
		return s.rejected(d, errs)
	}
	if old == nil || old.instance.Withdrawn {
		return s.rejected(d, FieldErrors{{"instance.withdrawn", "true", "set for an instance in force"}})
	}
	d.Outcome = Accepted
	inForce := s.effective[key{inst.Workspace, inst.Service}]
	changes := []Change{{Field: "template", Old: fmt.Sprintf("%s/%d", inForce.Template, inForce.Revision)}}
	entry := &instanceEntry{instance: *inst, last: change{d.ID, d.Author, d.Version, d.Object + ": withdrawn"}}
	entry.bytes = jsonBytes(instanceDoc{entry.instance, entry.last})
	return s.limitSize(outcome{decision: d, changes: changes, instance: entry}, entry.bytes-old.bytes)
}

func (i *Instance) checkWithdrawn() FieldErrors {
	var errs FieldErrors
	checkName(&errs, "instance.workspace", i.Workspace)
	checkName(&errs, "instance.service", i.Service)
	if i.Template != "" || i.Revision != 0 || len(i.Values) > 0 {
		errs.add("instance.template", i.Template, "absent, with revision and values, when withdrawn")
	}
	return errs
}

// revisionChange returns the change of the template and revision; none if both are equal.
func revisionChange(old, new *Effective) []Change {
	newSource := fmt.Sprintf("%s/%d", new.Template, new.Revision)
	oldSource := ""
	if old != nil {
		oldSource = fmt.Sprintf("%s/%d", old.Template, old.Revision)
	}
	if oldSource == newSource {
		return nil
	}
	return []Change{{Field: "template", Old: oldSource, New: newSource}}
}

// conflict returns the outcome of a publication whose BaseVersion is not the version of the
// object.
func (s *State) conflict(d Decision, conflicting change) outcome {
	d.Outcome = Conflicted
	d.Conflict = &ConflictingPublication{ID: conflicting.ID, Author: conflicting.Author, Version: conflicting.Version, What: conflicting.What}
	return outcome{decision: d, bytes: s.bytes}
}

func (s *State) rejected(d Decision, errs FieldErrors) outcome {
	d.Outcome = Rejected
	d.Errors = errs[:min(len(errs), maxDecisionErrors)]
	return outcome{decision: d, bytes: s.bytes}
}
