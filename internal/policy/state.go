package policy

import (
	"cmp"
	"maps"
	"slices"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// State is the fold of the log up to Version. It is immutable: Apply returns a new State, so that
// readers can share it through an atomic pointer.
type State struct {
	version   Version
	templates map[string]*templateEntry
	instances map[key]*instanceEntry
	// effective is the map that Lookup reads. It is one map, so that a call needs a single read.
	effective map[key]*Effective
	decisions *decisions
	snapshot  SnapshotMark
	// bytes is the encoded size of the templates and instances in a snapshot.
	bytes int
}

// key identifies an instance.
type key struct{ workspace, service string }

// change describes the publication that last changed an object.
type change struct {
	ID      string  `json:"id"`
	Author  string  `json:"author"`
	Version Version `json:"version"`
	What    string  `json:"what"`
}

type templateEntry struct {
	// revisions are in ascending order; the last one is current.
	revisions []Template
	last      change
	bytes     int
}

type instanceEntry struct {
	instance Instance
	last     change
	bytes    int
}

// NewState returns the state of an empty log.
func NewState() *State {
	return &State{
		templates: map[string]*templateEntry{},
		instances: map[key]*instanceEntry{},
		effective: map[key]*Effective{},
		decisions: &decisions{byID: map[string]int64{}},
	}
}

// EmptyAt returns a state without configuration at a version. An operator writes it as a snapshot
// to start again when records of the log have expired and no process that held the state is left;
// see docs/operations/log-outage.md.
func EmptyAt(v Version) *State {
	s := NewState()
	s.version = v
	return s
}

// Version returns the offset up to which the log is folded, which is the next offset to read.
func (s *State) Version() Version { return s.version }

// NewestChange returns the version of the last accepted change; 0 if there is none. Unlike
// Version it does not increase with the other records of the log.
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

// Lookup returns the behaviour in force for a service. It is shared and must not be changed.
func (s *State) Lookup(workspace, service string) (*Effective, bool) {
	e, ok := s.effective[key{workspace, service}]
	return e, ok
}

// Decision returns the decision on a publication; false if its record is not folded yet or the
// decision was dropped.
func (s *State) Decision(publicationID string) (Decision, bool) {
	return s.decisions.get(publicationID)
}

// TemplateVersion returns the BaseVersion for the next change of the template.
func (s *State) TemplateVersion(name string) Version {
	if t, ok := s.templates[name]; ok {
		return t.last.Version
	}
	return 0
}

// InstanceVersion returns the BaseVersion for the next change of the instance.
func (s *State) InstanceVersion(workspace, service string) Version {
	if i, ok := s.instances[key{workspace, service}]; ok {
		return i.last.Version
	}
	return 0
}

// Template returns a revision of a template; revision 0 means the current one. It is shared and
// must not be changed.
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

// Templates returns the current revision of each template, ordered by name.
func (s *State) Templates() []Template {
	out := make([]Template, 0, len(s.templates))
	for _, name := range slices.Sorted(maps.Keys(s.templates)) {
		t, _ := s.Template(name, 0)
		out = append(out, *t)
	}
	return out
}

// Instances returns the instances that are not withdrawn, ordered by workspace and service.
func (s *State) Instances() []Instance {
	out := make([]Instance, 0, len(s.instances))
	for _, k := range s.instanceKeys() {
		if i := s.instances[k].instance; !i.Withdrawn {
			out = append(out, i)
		}
	}
	return out
}

func (s *State) instanceKeys() []key {
	return slices.SortedFunc(maps.Keys(s.instances), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.service, b.service))
	})
}

// Gap reports whether entries between s and e are missing.
func (s *State) Gap(e logstore.Entry) bool { return Version(e.Offset) > s.version }

// Apply folds e and returns the resulting state. It returns s itself in these cases:
//
// An entry below the version of s is folded already.
//
// An entry after a gap is ignored, unless it is a snapshot newer than s. Folding past a gap would
// let replicas of one log differ.
//
// A publication with rules that this release does not know is not folded either, for the same
// reason. The behaviour in force stays, and Replica continues from a snapshot or a peer's state
// that was written by a release that can decide the publication.
func (s *State) Apply(e logstore.Entry) *State {
	if Version(e.Offset) < s.version {
		return s
	}
	if s.Gap(e) {
		return s.adoptSnapshot(e)
	}
	if needsNewerRules(e) {
		return s
	}
	next := *s
	next.version = Version(e.Offset) + 1
	switch e.Record.Kind {
	case logstore.KindTemplate, logstore.KindInstance:
		next.publish(e)
	case logstore.KindSnapshot:
		next.recordSnapshot(e)
	}
	return &next
}
