package policy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/galenagrade/galenagrade/internal/platform"
)

// State is the fold of the log up to Version. It is immutable: Apply returns
// another one, so a reader may keep it behind an atomic pointer.
type State struct {
	version   Version
	templates map[string]*templateEntry
	instances map[key]*instanceEntry
	// effective is what Lookup reads; one map so that a call costs one read.
	effective map[key]*Effective
	decisions *decisions
	snapshot  SnapshotMark
}

type key struct{ workspace, service string }

// change names the publication that last changed an object.
type change struct {
	ID      string  `json:"id"`
	Author  string  `json:"author"`
	Version Version `json:"version"`
	What    string  `json:"what"`
}

type templateEntry struct {
	// revisions ascend by one; the last is current.
	revisions []Template
	last      change
}

type instanceEntry struct {
	instance Instance
	last     change
}

// NewState returns the fold of nothing.
func NewState() *State {
	return &State{
		templates: map[string]*templateEntry{},
		instances: map[key]*instanceEntry{},
		effective: map[key]*Effective{},
		decisions: &decisions{byID: map[string]int64{}},
	}
}

// EmptyAt returns a state without configuration at a version. Written as a
// snapshot it lets an operator start anew when the log has expired and no
// process that held the state is left; see docs/operations/log-outage.md.
func EmptyAt(v Version) *State {
	s := NewState()
	s.version = v
	return s
}

// Version returns the offset up to which the log is folded: the next to read.
func (s *State) Version() Version { return s.version }

// NewestChange returns the version of the last accepted change in force; 0
// when there is none. Version also counts the log's other records.
func (s *State) NewestChange() Version {
	var newest Version
	for _, t := range s.templates {
		newest = max(newest, t.last.Version)
	}
	for _, i := range s.instances {
		newest = max(newest, i.last.Version)
	}
	return newest
}

// Lookup returns the behaviour in force; it is shared and must not be changed.
func (s *State) Lookup(workspace, service string) (*Effective, bool) {
	e, ok := s.effective[key{workspace, service}]
	return e, ok
}

// Decision returns what became of a publication; false when it is not folded
// yet or long forgotten.
func (s *State) Decision(publicationID string) (Decision, bool) {
	return s.decisions.get(publicationID)
}

// TemplateVersion returns the version to base a change of the template on.
func (s *State) TemplateVersion(name string) Version {
	if t, ok := s.templates[name]; ok {
		return t.last.Version
	}
	return 0
}

// InstanceVersion returns the version to base a change of the instance on.
func (s *State) InstanceVersion(workspace, service string) Version {
	if i, ok := s.instances[key{workspace, service}]; ok {
		return i.last.Version
	}
	return 0
}

// Template returns a revision; revision 0 means the current one. It is shared
// and must not be changed.
func (s *State) Template(name string, revision int) (*Template, bool) {
	t, ok := s.templates[name]
	if !ok {
		return nil, false
	}
	if revision == 0 {
		return &t.revisions[len(t.revisions)-1], true
	}
	for i := range t.revisions {
		if t.revisions[i].Revision == revision {
			return &t.revisions[i], true
		}
	}
	return nil, false
}

// Templates returns the current revision of each template by name.
func (s *State) Templates() []Template {
	out := make([]Template, 0, len(s.templates))
	for _, name := range slices.Sorted(maps.Keys(s.templates)) {
		t, _ := s.Template(name, 0)
		out = append(out, *t)
	}
	return out
}

// Instances returns all instances by workspace and service.
func (s *State) Instances() []Instance {
	out := make([]Instance, 0, len(s.instances))
	for _, k := range s.instanceKeys() {
		out = append(out, s.instances[k].instance)
	}
	return out
}

func (s *State) instanceKeys() []key {
	return slices.SortedFunc(maps.Keys(s.instances), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.service, b.service))
	})
}

// Gap reports whether entries between s and e are missing.
func (s *State) Gap(e platform.Entry) bool { return Version(e.Offset) > s.version }

// Apply folds e and returns the state after it. An entry that is folded
// already changes nothing. Neither does one after a gap, unless it is a
// snapshot newer than s: folding past a gap would let replicas of one log
// differ.
func (s *State) Apply(e platform.Entry) *State {
	if Version(e.Offset) < s.version {
		return s
	}
	if s.Gap(e) {
		return s.adopt(e)
	}
	next := *s
	next.version = Version(e.Offset) + 1
	switch e.Record.Kind {
	case platform.KindTemplate, platform.KindInstance:
		next.publish(e)
	case platform.KindSnapshot:
		next.mark(e)
	}
	return &next
}

// Check decides p as if it came next in the log, and returns what it would
// change in force. It is what an operator sees before publishing.
func (s *State) Check(p *Publication) (Decision, []Change) {
	o := s.decide(p, s.version+1)
	return o.decision, o.changes
}

// outcome is a decision with what it puts in place when accepted.
type outcome struct {
	decision  Decision
	changes   []Change
	template  *templateEntry
	instance  *instanceEntry
	effective *Effective
}

// publish folds one publication into a state that is not shared yet. A record
// whose ID was decided before is a repeat after a lost acknowledgement: it
// must neither be decided again nor be told that it lost to itself.
func (s *State) publish(e platform.Entry) {
	if _, ok := s.decisions.get(e.Record.ID); ok {
		return
	}
	o := s.decideEntry(e)
	s.decisions = s.decisions.with(o.decision)
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
	}
}

func (s *State) decideEntry(e platform.Entry) outcome {
	version := Version(e.Offset) + 1
	p, errs := decodePublication(e.Record.Body)
	if p == nil {
		return rejected(Decision{ID: e.Record.ID, Version: version}, errs)
	}
	if p.ID != e.Record.ID || p.kind() != e.Record.Kind {
		errs.add("publication.id", clip(p.ID), "the ID of its record, under the record's kind")
		return rejected(Decision{ID: e.Record.ID, Version: version}, errs)
	}
	return s.decide(p, version)
}

func (s *State) decide(p *Publication, version Version) outcome {
	d := Decision{ID: p.ID, Author: clip(p.Author), Object: clip(p.Object()), Version: version}
	if p.Author == "" || len(p.Author) > MaxNameBytes {
		return rejected(d, FieldErrors{{"publication.author", clip(p.Author), "1..64 bytes"}})
	}
	if p.Based < 0 || p.Based >= version {
		return rejected(d, FieldErrors{{"publication.based", strconv.FormatInt(int64(p.Based), 10), "a version below " + strconv.FormatInt(int64(version), 10)}})
	}
	if p.Template != nil {
		return s.decideTemplate(p, d)
	}
	return s.decideInstance(p, d)
}

func (s *State) decideTemplate(p *Publication, d Decision) outcome {
	old := s.templates[p.Template.Name]
	if old != nil && old.last.Version != p.Based {
		return lost(d, old.last)
	}
	errs := p.Template.check()
	want := 1
	if old != nil {
		want = old.revisions[len(old.revisions)-1].Revision + 1
	} else if p.Based != 0 {
		errs.add("publication.based", strconv.FormatInt(int64(p.Based), 10), "0: there is no such template")
	}
	if p.Template.Revision != want {
		errs.add("template.revision", strconv.Itoa(p.Template.Revision), strconv.Itoa(want))
	}
	if len(errs) > 0 {
		return rejected(d, errs)
	}
	d.Outcome = Accepted
	changes := s.templateChanges(p.Template)
	entry := &templateEntry{last: change{p.ID, p.Author, d.Version, d.Object + ": created"}}
	if old != nil {
		entry.last.What = summarize(d.Object, changes)
		entry.revisions = s.keptRevisions(old)
	}
	entry.revisions = append(entry.revisions, *p.Template)
	return outcome{decision: d, changes: changes, template: entry}
}

// keptRevisions bounds the revisions of one template: those that an instance
// uses and the newest few.
func (s *State) keptRevisions(t *templateEntry) []Template {
	const newest = 3
	used := map[int]bool{}
	name := t.revisions[0].Name
	for _, i := range s.instances {
		if i.instance.Template == name {
			used[i.instance.Revision] = true
		}
	}
	kept := make([]Template, 0, len(t.revisions)+1)
	for i := range t.revisions {
		if i >= len(t.revisions)-newest || used[t.revisions[i].Revision] {
			kept = append(kept, t.revisions[i])
		}
	}
	return kept
}

// templateChanges compares t under its defaults with the current revision.
func (s *State) templateChanges(t *Template) []Change {
	var old *Effective
	probe := &Instance{Workspace: "w", Service: "s"}
	if was, ok := s.Template(t.Name, 0); ok {
		old, _ = resolve(was, probe)
	}
	now, _ := resolve(t, probe)
	return Diff(old, now)
}

func (s *State) decideInstance(p *Publication, d Decision) outcome {
	inst := p.Instance
	k := key{inst.Workspace, inst.Service}
	old := s.instances[k]
	if old != nil && old.last.Version != p.Based {
		return lost(d, old.last)
	}
	var errs FieldErrors
	if old == nil && p.Based != 0 {
		errs.add("publication.based", strconv.FormatInt(int64(p.Based), 10), "0: there is no such instance")
	}
	t, ok := s.Template(inst.Template, inst.Revision)
	if !ok || inst.Revision == 0 {
		errs.add("instance.template", fmt.Sprintf("%s/%d", clip(inst.Template), inst.Revision), "an accepted template and revision")
		return rejected(d, errs)
	}
	e, more := resolve(t, inst)
	if errs = append(errs, more...); len(errs) > 0 {
		return rejected(d, errs)
	}
	d.Outcome = Accepted
	e.Version = d.Version
	changes := append(sourceChange(s.effective[k], e), Diff(s.effective[k], e)...)
	last := change{p.ID, p.Author, d.Version, fmt.Sprintf("%s: created from %s/%d", d.Object, t.Name, t.Revision)}
	if old != nil {
		last.What = summarize(d.Object, changes)
	}
	return outcome{decision: d, changes: changes, instance: &instanceEntry{instance: *inst, last: last}, effective: e}
}

func sourceChange(old, new *Effective) []Change {
	is := fmt.Sprintf("%s/%d", new.Template, new.Revision)
	was := ""
	if old != nil {
		was = fmt.Sprintf("%s/%d", old.Template, old.Revision)
	}
	if was == is {
		return nil
	}
	return []Change{{Field: "template", Old: was, New: is}}
}

func lost(d Decision, to change) outcome {
	d.Outcome = Lost
	d.Lost = &LostTo{ID: to.ID, Author: to.Author, Version: to.Version, What: to.What}
	return outcome{decision: d}
}

func rejected(d Decision, errs FieldErrors) outcome {
	d.Outcome = Rejected
	d.Errors = errs[:min(len(errs), maxDecisionErrors)]
	return outcome{decision: d}
}
