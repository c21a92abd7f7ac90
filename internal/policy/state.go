package policy

import (
	"cmp"
	"maps"
	"slices"

	"github.com/galenagrade/galenagrade/internal/logstore"
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
	// bytes is the size of templates and instances in a snapshot.
	bytes int
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
	bytes     int
}

type instanceEntry struct {
	instance Instance
	last     change
	bytes    int
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

// Instances returns the instances in force by workspace and service.
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

// Apply folds e and returns the state after it. An entry that is folded
// already changes nothing. Neither does one after a gap, unless it is a
// snapshot newer than s: folding past a gap would let replicas of one log
// differ. For the same reason a state stays before a publication whose rules
// this release does not know; it keeps what is in force, and Replica goes on
// from the snapshot or peer of a release that could decide.
func (s *State) Apply(e logstore.Entry) *State {
	if Version(e.Offset) < s.version {
		return s
	}
	if s.Gap(e) {
		return s.adopt(e)
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
		next.mark(e)
	}
	return &next
}
