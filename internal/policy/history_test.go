package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// epoch is the start of the clock in every test.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testTemplate returns a template with one parameter; step makes revisions differ.
func testTemplate(name string, revision, step int) *Template {
	return &Template{
		Name: name, Revision: revision,
		Parameters: []Parameter{{Name: "allowance", Type: TypeInt, Unit: "retries", Default: "1", Max: "4"}},
		Behaviour:  Behaviour{RetryAllowance: "$allowance", MaxDepth: Value(fmt.Sprint(1 + step%32))},
	}
}

func testInstance(service, template string, revision int, allowance string) *Instance {
	return &Instance{
		Workspace: "chikugo", Service: service, Template: template, Revision: revision,
		Values: map[string]string{"allowance": allowance},
	}
}

func record(p *Publication) logstore.Record {
	r, err := p.Record(epoch)
	if err != nil {
		panic(err)
	}
	return r
}

// history drives one log and several replicas that read it at different speeds. The oracle folds
// every record at once and keeps the state after each.
type history struct {
	log       []logstore.Record
	oldest    int64
	oracle    []*State
	snapshots []logstore.Record
	replicas  []*Replica
	serial    int
}

func newHistory() *history {
	h := &history{oracle: []*State{NewState()}}
	for range 3 {
		h.replicas = append(h.replicas, newReplica())
	}
	return h
}

// newReplica returns an empty replica with a window so small that scans jump to it.
func newReplica() *Replica {
	r := NewReplica(nil)
	r.window = 4
	return r
}

// startedHistory returns a history with two accepted templates.
func startedHistory() *history {
	h := newHistory()
	for _, name := range []string{"strict", "loose"} {
		h.append(record(&Publication{ID: name, Author: "ito", Template: testTemplate(name, 1, 0)}))
	}
	return h
}

func (h *history) current() *State { return h.oracle[len(h.oracle)-1] }

func (h *history) append(r logstore.Record) {
	e := logstore.Entry{Offset: int64(len(h.log)), Record: r}
	h.log = append(h.log, r)
	h.oracle = append(h.oracle, h.current().Apply(e))
}

func (h *history) page(from int64, limit int) logstore.Page {
	p := logstore.Page{Next: from, Head: int64(len(h.log)), Oldest: h.oldest}
	for p.Next < p.Head && len(p.Entries) < limit {
		p.Entries = append(p.Entries, logstore.Entry{Offset: p.Next, Record: h.log[p.Next]})
		p.Next++
	}
	return p
}

// read makes one read of replica r, as logstore.Follow does.
func (h *history) read(r *Replica, limit int) {
	if r.Next() < h.oldest {
		r.Truncated(h.oldest)
		return
	}
	r.Take(h.page(r.Next(), limit))
}

// catchUp reads until r has reached the head, if it can.
func (h *history) catchUp(r *Replica) {
	for range 12 {
		h.read(r, len(h.log)/2+1)
	}
}

// publication draws a publication based on the state of one of the replicas.
func (h *history) publication(t *rapid.T) *Publication {
	h.serial++
	p := &Publication{ID: fmt.Sprint("p", h.serial), Author: rapid.SampledFrom([]string{"ito", "reyes"}).Draw(t, "author")}
	name := rapid.SampledFrom([]string{"strict", "loose"}).Draw(t, "template")
	seen := rapid.SampledFrom(h.replicas).Draw(t, "seen").State()
	if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
		revision := 1
		if current, ok := seen.Template(name, 0); ok {
			revision = current.Revision + rapid.IntRange(0, 1).Draw(t, "step")
		}
		p.Template = testTemplate(name, revision, h.serial)
		p.BaseVersion = seen.TemplateVersion(name)
		return p
	}
	service := rapid.SampledFrom([]string{"letters", "tracker"}).Draw(t, "service")
	revision := 1
	if rapid.IntRange(0, 6).Draw(t, "withdraw") == 0 {
		p.Instance = &Instance{Workspace: "chikugo", Service: service, Withdrawn: true}
		p.BaseVersion = seen.InstanceVersion("chikugo", service)
		return p
	}
	if current, ok := seen.Template(name, 0); ok {
		revision = rapid.IntRange(max(0, current.Revision-4), current.Revision).Draw(t, "revision")
	}
	p.Instance = testInstance(service, name, revision, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "allowance")))
	p.BaseVersion = seen.InstanceVersion("chikugo", service)
	return p
}

// actions returns the random steps of the property tests.
func (h *history) actions() map[string]func(*rapid.T) {
	randomReplica := func(t *rapid.T) *Replica { return rapid.SampledFrom(h.replicas).Draw(t, "replica") }
	return map[string]func(*rapid.T){
		"publish": func(t *rapid.T) { h.append(record(h.publication(t))) },
		"repeat": func(t *rapid.T) {
			if len(h.log) > 0 {
				h.append(rapid.SampledFrom(h.log).Draw(t, "again"))
			}
		},
		"unknown": func(*rapid.T) { h.append(logstore.Record{ID: "c", Kind: logstore.KindClaim}) },
		"garbage": func(t *rapid.T) {
			kind := rapid.SampledFrom([]logstore.Kind{logstore.KindSnapshot, logstore.KindInstance}).Draw(t, "kind")
			h.serial++
			h.append(logstore.Record{ID: fmt.Sprint("g", h.serial), Kind: kind, Body: []byte(`{"format":1,"version":1}x`)})
		},
		"take snapshot": func(t *rapid.T) {
			h.serial++
			r, err := randomReplica(t).State().SnapshotRecord(fmt.Sprint("s", h.serial), epoch)
			must.NoError(t, err)
			h.snapshots = append(h.snapshots, r)
		},
		"append snapshot": func(t *rapid.T) {
			if len(h.snapshots) > 0 {
				h.append(rapid.SampledFrom(h.snapshots).Draw(t, "snapshot"))
			}
		},
		"truncate": func(t *rapid.T) {
			h.oldest = rapid.Int64Range(h.oldest, int64(len(h.log))).Draw(t, "oldest")
		},
		"read": func(t *rapid.T) { h.read(randomReplica(t), rapid.IntRange(1, 5).Draw(t, "most")) },
		"merge": func(t *rapid.T) {
			data, err := randomReplica(t).State().Marshal()
			must.NoError(t, err)
			peer, err := UnmarshalState(data)
			must.NoError(t, err)
			randomReplica(t).Merge(peer)
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(h.replicas)-1).Draw(t, "i")
			h.replicas[i] = newReplica()
		},
	}
}

// Guards against replicas with different configurations at the same version, whether they read
// records, scanned for a snapshot, merged a peer's state or restarted.
func TestEveryReplicaDecidesTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := startedHistory()
		actions := h.actions()
		lastSeen := map[*Replica]*State{}
		actions[""] = func(t *rapid.T) {
			for i, r := range h.replicas {
				s := r.State()
				want := mustMarshal(t, h.oracle[s.Version()])
				must.Eq(t, want, mustMarshal(t, s), must.Sprintf("replica %d", i))
				must.Eq(t, h.oracle[s.Version()].effective, s.effective)
				must.Eq(t, h.oracle[s.Version()].decisions.list, s.decisions.list)
				if before := lastSeen[r]; before != nil {
					mustNotDecrease(t, before, s)
				}
				lastSeen[r] = s
			}
			if n := len(h.oracle); n > 1 {
				mustNotDecrease(t, h.oracle[n-2], h.oracle[n-1])
			}
		}
		t.Repeat(actions)
	})
}

func mustMarshal(t rapid.TB, s *State) string {
	data, err := s.Marshal()
	must.NoError(t, err)
	return string(data)
}

// mustNotDecrease checks that no version decreases, and that an object with the same last change
// has the same behaviour.
func mustNotDecrease(t rapid.TB, before, after *State) {
	must.GreaterEq(t, before.Version(), after.Version())
	for k, entry := range before.instances {
		must.GreaterEq(t, entry.last.Version, after.InstanceVersion(k.workspace, k.service))
		if entry.last == after.instances[k].last {
			must.Eq(t, before.effective[k], after.effective[k])
		}
	}
	for name, entry := range before.templates {
		must.GreaterEq(t, entry.last.Version, after.TemplateVersion(name))
	}
}

// Guards against a replica that can't reach the head of the log after records have expired, although
// all expired records are below the version of the newest snapshot. The replica may have stopped at
// any offset and may have started with any state.
func TestExpiryBelowSnapshotLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := startedHistory()
		actions := h.actions()
		actions["truncate"] = func(t *rapid.T) {
			if v := int64(h.current().Snapshot().Version); v > h.oldest {
				h.oldest = rapid.Int64Range(h.oldest, v).Draw(t, "oldest")
			}
		}
		t.Repeat(actions)
		for _, r := range append(h.replicas, newReplica(), NewReplica(nil)) {
			h.catchUp(r)
			must.False(t, r.Behind())
			must.Eq(t, mustMarshal(t, h.current()), mustMarshal(t, r.State()))
		}
	})
}
