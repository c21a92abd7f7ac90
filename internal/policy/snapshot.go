package policy

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// formatVersion is the version of the snapshot document's format.
const formatVersion = 1

// SnapshotMark describes the newest snapshot in the log that a state has seen.
type SnapshotMark struct {
	// Version is the version of the state in the snapshot. A reader that starts from the snapshot
	// continues at this offset.
	Version Version `json:"version"`
	// Offset is the offset of the snapshot's record.
	Offset int64 `json:"offset"`
	// AtMillis is the time at which the snapshot was written, by the writer's clock, in
	// milliseconds since 1970.
	AtMillis int64 `json:"at_ms"`
}

// document is the JSON form of a State. Its lists are sorted, so that equal states have equal
// bytes. The behaviours that Lookup returns are not part of it; decoding resolves them again.
type document struct {
	Format    int           `json:"format"`
	Version   Version       `json:"version"`
	Snapshot  SnapshotMark  `json:"snapshot"`
	Templates []templateDoc `json:"templates"`
	Instances []instanceDoc `json:"instances"`
	Decisions []Decision    `json:"decisions"`
}

type templateDoc struct {
	Revisions []Template `json:"revisions"`
	Last      change     `json:"last"`
}

type instanceDoc struct {
	Instance Instance `json:"instance"`
	Last     change   `json:"last"`
}

// Marshal returns the state as JSON, for a snapshot record or a peer.
func (s *State) Marshal() ([]byte, error) {
	doc := document{Format: formatVersion, Version: s.version, Snapshot: s.snapshot, Decisions: s.decisions.list}
	for _, name := range slices.Sorted(maps.Keys(s.templates)) {
		t := s.templates[name]
		doc.Templates = append(doc.Templates, templateDoc{t.revisions, t.last})
	}
	for _, k := range s.instanceKeys() {
		i := s.instances[k]
		doc.Instances = append(doc.Instances, instanceDoc{i.instance, i.last})
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot at version %d: %w", s.version, err)
	}
	return data, nil
}

// jsonBytes returns the size of v in a snapshot.
func jsonBytes(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		// Not reached: a document has no values that JSON can't represent.
		return MaxStateBytes + 1
	}
	return len(data)
}

// UnmarshalState decodes and validates the output of Marshal. It returns either the complete
// state or an error, since a part of a configuration must not come into force.
func UnmarshalState(data []byte) (*State, error) {
	var doc document
	if errs := decodeStrict(data, &doc); len(errs) > 0 {
		return nil, errs
	}
	if doc.Format != formatVersion {
		return nil, FieldErrors{{"format", fmt.Sprint(doc.Format), fmt.Sprint(formatVersion)}}
	}
	if doc.Version < 0 {
		return nil, FieldErrors{{"version", fmt.Sprint(doc.Version), "at least 0"}}
	}
	s := NewState()
	s.version = doc.Version
	s.snapshot = doc.Snapshot
	for i := range doc.Templates {
		if err := s.loadTemplate(&doc.Templates[i]); err != nil {
			return nil, fmt.Errorf("templates[%d]: %w", i, err)
		}
	}
	for i := range doc.Instances {
		if err := s.loadInstance(&doc.Instances[i]); err != nil {
			return nil, fmt.Errorf("instances[%d]: %w", i, err)
		}
	}
	return s, s.loadDecisions(doc.Decisions)
}

func (s *State) loadTemplate(d *templateDoc) error {
	if len(d.Revisions) == 0 {
		return FieldErrors{{"revisions", "none", "at least one"}}
	}
	if err := s.checkLast(d.Last); err != nil {
		return err
	}
	name := d.Revisions[0].Name
	for i := range d.Revisions {
		r := &d.Revisions[i]
		if err := r.Validate(); err != nil {
			return err
		}
		if r.Name != name || i > 0 && r.Revision <= d.Revisions[i-1].Revision {
			return FieldErrors{{"revisions", fmt.Sprintf("%s/%d", r.Name, r.Revision), "one name with ascending revisions"}}
		}
	}
	if _, ok := s.templates[name]; ok {
		return FieldErrors{{"name", name, "unique"}}
	}
	entry := &templateEntry{revisions: d.Revisions, last: d.Last, bytes: jsonBytes(*d)}
	s.templates[name] = entry
	s.bytes += entry.bytes
	return nil
}

func (s *State) loadInstance(d *instanceDoc) error {
	if err := s.checkLast(d.Last); err != nil {
		return err
	}
	if d.Instance.Withdrawn {
		return s.loadWithdrawnInstance(d)
	}
	t, ok := s.Template(d.Instance.Template, d.Instance.Revision)
	if !ok || d.Instance.Revision == 0 {
		return FieldErrors{{"template", fmt.Sprintf("%s/%d", d.Instance.Template, d.Instance.Revision), "in the snapshot"}}
	}
	e, errs := resolve(t, &d.Instance)
	if len(errs) > 0 {
		return errs
	}
	e.Version = d.Last.Version
	if err := s.addInstance(d); err != nil {
		return err
	}
	s.effective[key{d.Instance.Workspace, d.Instance.Service}] = e
	return nil
}

func (s *State) loadWithdrawnInstance(d *instanceDoc) error {
	if errs := d.Instance.checkWithdrawn(); len(errs) > 0 {
		return errs
	}
	return s.addInstance(d)
}

func (s *State) addInstance(d *instanceDoc) error {
	k := key{d.Instance.Workspace, d.Instance.Service}
	if _, ok := s.instances[k]; ok {
		return FieldErrors{{"instance", k.workspace + "/" + k.service, "unique"}}
	}
	entry := &instanceEntry{instance: d.Instance, last: d.Last, bytes: jsonBytes(*d)}
	s.instances[k] = entry
	s.bytes += entry.bytes
	return nil
}

func (s *State) checkLast(c change) error {
	if c.Version < 1 || c.Version > s.version {
		return FieldErrors{{"last.version", fmt.Sprint(c.Version), fmt.Sprintf("1..%d", s.version)}}
	}
	return nil
}

func (s *State) loadDecisions(list []Decision) error {
	if len(list) > maxDecisions {
		return FieldErrors{{"decisions", fmt.Sprint(len(list)), fmt.Sprintf("at most %d", maxDecisions)}}
	}
	d := &decisions{list: list, byID: make(map[string]int64, len(list))}
	for i := range list {
		d.byID[list[i].ID] = int64(i)
	}
	if len(d.byID) != len(list) {
		return FieldErrors{{"decisions", "an ID twice", "unique"}}
	}
	s.decisions = d
	return nil
}

// Merge returns the newer of two states of one log. Both are folds of prefixes of the same log,
// so the longer prefix contains everything that the shorter one accepted. Nothing is taken from
// the older state.
func Merge(a, b *State) *State {
	if a == nil || b != nil && b.version > a.version {
		return b
	}
	return a
}

// SnapshotRecord returns a log record with a snapshot of s and the time now.
func (s *State) SnapshotRecord(id string, now time.Time) (logstore.Record, error) {
	body, err := s.Marshal()
	if err != nil {
		return logstore.Record{}, err
	}
	if len(body) > logstore.MaxRecordBytes {
		return logstore.Record{}, FieldErrors{{"snapshot", fmt.Sprintf("%d bytes", len(body)), fmt.Sprintf("at most %d bytes", logstore.MaxRecordBytes)}}
	}
	return logstore.Record{ID: id, Kind: logstore.KindSnapshot, At: now, Body: body}, nil
}

// adoptSnapshot returns the state of the snapshot in e, an entry after a gap (see Gap). It returns
// s if e contains no newer valid snapshot. A snapshot whose version is above its own offset can't
// be the fold of the entries before it, and is ignored.
func (s *State) adoptSnapshot(e logstore.Entry) *State {
	version, ok := snapshotVersion(e)
	if !ok || version <= s.version {
		return s
	}
	snap, err := UnmarshalState(e.Record.Body)
	if err != nil {
		return s
	}
	return snap
}

// recordSnapshot records that e is a snapshot in the log. A slow process may append an old
// snapshot after a newer one; only the newest is recorded. The contents are not used: s has
// already folded all entries that the snapshot can contain.
func (s *State) recordSnapshot(e logstore.Entry) {
	version, ok := snapshotVersion(e)
	if !ok || version <= s.snapshot.Version {
		return
	}
	// A snapshot that no reader can decode must not delay the next one.
	if _, err := UnmarshalState(e.Record.Body); err == nil {
		s.snapshot = SnapshotMark{Version: version, Offset: e.Offset, AtMillis: e.Record.At.UnixMilli()}
	}
}

func snapshotVersion(e logstore.Entry) (Version, bool) {
	if e.Record.Kind != logstore.KindSnapshot {
		return 0, false
	}
	var head struct {
		Format  int     `json:"format"`
		Version Version `json:"version"`
	}
	if json.Unmarshal(e.Record.Body, &head) != nil || head.Format != formatVersion {
		return 0, false
	}
	return head.Version, head.Version > 0 && head.Version <= Version(e.Offset)
}

// Snapshot returns the newest snapshot in the log that s has seen.
func (s *State) Snapshot() SnapshotMark { return s.snapshot }
