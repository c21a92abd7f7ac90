package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/platform"
)

// epoch is the start of every test's clock.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testTemplate has one parameter; step makes revisions differ.
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

func record(p *Publication) platform.Record {
	r, err := p.Record(epoch)
	if err != nil {
		panic(err)
	}
	return r
}

// history drives one log and several replicas that read it at their own pace.
// The oracle folds every record at once and keeps every state it went through.
type history struct {
	log      []platform.Record
	oldest   int64
	oracle   []*State
	stale    []platform.Record
	replicas []*Replica
	serial   int
}

func newHistory() *history {
	h := &history{oracle: []*State{NewState()}}
	for range 3 {
		h.replicas = append(h.replicas, NewReplica(nil))
	}
	return h
}

// startedHistory has two templates to make instances of.
func startedHistory() *history {
	h := newHistory()
	for _, name := range []string{"strict", "loose"} {
		h.append(record(&Publication{ID: name, Author: "ito", Template: testTemplate(name, 1, 0)}))
	}
	return h
}

func (h *history) now() *State { return h.oracle[len(h.oracle)-1] }

func (h *history) append(r platform.Record) {
	e := platform.Entry{Offset: int64(len(h.log)), Record: r}
	h.log = append(h.log, r)
	h.oracle = append(h.oracle, h.now().Apply(e))
}

func (h *history) page(from int64, most int) platform.Page {
	p := platform.Page{Next: from, Head: int64(len(h.log)), Oldest: h.oldest}
	for p.Next < p.Head && len(p.Entries) < most {
		p.Entries = append(p.Entries, platform.Entry{Offset: p.Next, Record: h.log[p.Next]})
		p.Next++
	}
	return p
}

// read makes one read of replica r, as Follow would.
func (h *history) read(r *Replica, most int) {
	if r.Next() < h.oldest {
		r.Truncated(h.oldest)
		return
	}
	r.Take(h.page(r.Next(), most))
}

func (h *history) catchUp(r *Replica) {
	for range 4 {
		h.read(r, len(h.log)+1)
	}
}

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
		p.Based = seen.TemplateVersion(name)
		return p
	}
	service := rapid.SampledFrom([]string{"letters", "tracker"}).Draw(t, "service")
	revision := 1
	if current, ok := seen.Template(name, 0); ok {
		revision = rapid.IntRange(max(0, current.Revision-4), current.Revision).Draw(t, "revision")
	}
	p.Instance = testInstance(service, name, revision, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "allowance")))
	p.Based = seen.InstanceVersion("chikugo", service)
	return p
}

func (h *history) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *Replica { return rapid.SampledFrom(h.replicas).Draw(t, "replica") }
	return map[string]func(*rapid.T){
		"publish": func(t *rapid.T) { h.append(record(h.publication(t))) },
		"repeat": func(t *rapid.T) {
			if len(h.log) > 0 {
				h.append(rapid.SampledFrom(h.log).Draw(t, "again"))
			}
		},
		"unknown": func(*rapid.T) { h.append(platform.Record{ID: "c", Kind: platform.KindClaim}) },
		"garbage": func(t *rapid.T) {
			kind := rapid.SampledFrom([]platform.Kind{platform.KindSnapshot, platform.KindInstance}).Draw(t, "kind")
			h.serial++
			h.append(platform.Record{ID: fmt.Sprint("g", h.serial), Kind: kind, Body: []byte(`{"format":1,"version":1}x`)})
		},
		"take snapshot": func(t *rapid.T) {
			h.serial++
			r, err := pick(t).State().SnapshotRecord(fmt.Sprint("s", h.serial), epoch)
			must.NoError(t, err)
			h.stale = append(h.stale, r)
		},
		"append snapshot": func(t *rapid.T) {
			if len(h.stale) > 0 {
				h.append(rapid.SampledFrom(h.stale).Draw(t, "snapshot"))
			}
		},
		"truncate": func(t *rapid.T) {
			h.oldest = rapid.Int64Range(h.oldest, int64(len(h.log))).Draw(t, "oldest")
		},
		"read": func(t *rapid.T) { h.read(pick(t), rapid.IntRange(1, 5).Draw(t, "most")) },
		"merge": func(t *rapid.T) {
			data, err := pick(t).State().Marshal()
			must.NoError(t, err)
			peer, err := UnmarshalState(data)
			must.NoError(t, err)
			pick(t).Merge(peer)
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(h.replicas)-1).Draw(t, "i")
			h.replicas[i] = NewReplica(nil)
		},
	}
}

// Operators publish, appends repeat, slow processes write old snapshots,
// records expire, processes restart with nothing and take a peer's state. At
// each moment every replica must hold exactly what the whole log up to its
// version says, however it came there, and no object's version may fall.
func TestEveryReplicaDecidesTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := startedHistory()
		actions := h.actions()
		floor := map[*Replica]*State{}
		actions[""] = func(t *rapid.T) {
			for i, r := range h.replicas {
				s := r.State()
				want := mustMarshal(t, h.oracle[s.Version()])
				must.Eq(t, want, mustMarshal(t, s), must.Sprintf("replica %d", i))
				must.Eq(t, h.oracle[s.Version()].effective, s.effective)
				must.Eq(t, h.oracle[s.Version()].decisions.list, s.decisions.list)
				if before := floor[r]; before != nil {
					mustNotFall(t, before, s)
				}
				floor[r] = s
			}
			if n := len(h.oracle); n > 1 {
				mustNotFall(t, h.oracle[n-2], h.oracle[n-1])
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

func mustNotFall(t rapid.TB, before, after *State) {
	must.GreaterEq(t, before.Version(), after.Version())
	for k, e := range before.effective {
		now, ok := after.Lookup(k.workspace, k.service)
		must.True(t, ok)
		must.GreaterEq(t, e.Version, now.Version)
	}
	for name, entry := range before.templates {
		must.GreaterEq(t, entry.last.Version, after.TemplateVersion(name))
	}
}

// As long as records expire only below what the newest snapshot folds, every
// reader comes to the head, wherever it stopped and with whatever it started.
func TestExpiryBelowSnapshotLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := startedHistory()
		actions := h.actions()
		actions["truncate"] = func(t *rapid.T) {
			if v := int64(h.now().Snapshot().Version); v > h.oldest {
				h.oldest = rapid.Int64Range(h.oldest, v).Draw(t, "oldest")
			}
		}
		t.Repeat(actions)
		for _, r := range append(h.replicas, NewReplica(nil)) {
			h.catchUp(r)
			must.False(t, r.Behind())
			must.Eq(t, mustMarshal(t, h.now()), mustMarshal(t, r.State()))
		}
	})
}

// Two operators publish a change of one instance, both based on what they see.
// The first in the log is in force; the second is told by whom, at which
// version and in what it lost, and nothing of it is in force.
func TestRacingOperators(t *testing.T) {
	h := newHistory()
	h.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	h.append(record(&Publication{ID: "i", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")}))
	based := h.now().InstanceVersion("chikugo", "letters")
	h.append(record(&Publication{ID: "a", Author: "ito", Based: based, Instance: testInstance("letters", "strict", 1, "3")}))
	h.append(record(&Publication{ID: "b", Author: "reyes", Based: based, Instance: testInstance("letters", "strict", 1, "4")}))
	e, _ := h.now().Lookup("chikugo", "letters")
	must.Eq(t, 3, e.RetryAllowance)
	d, ok := h.now().Decision("b")
	must.True(t, ok)
	must.Eq(t, Lost, d.Outcome)
	must.Eq(t, &LostTo{ID: "a", Author: "ito", Version: 3, What: "instance chikugo/letters: retry_allowance 1 -> 3"}, d.Lost)
	must.ErrorContains(t, d.Err(), "lost to a by ito at version 3")
}

// A publication takes effect, its acknowledgement is lost, and it is sent
// again, after another operator's change. The author must read "accepted", and
// the repeat must not undo the other's change.
func TestRepeatAfterLostAck(t *testing.T) {
	h := newHistory()
	h.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	first := record(&Publication{ID: "a", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")})
	h.append(first)
	h.append(record(&Publication{ID: "b", Author: "reyes", Based: 2, Instance: testInstance("letters", "strict", 1, "2")}))
	h.append(first)
	d, _ := h.now().Decision("a")
	must.Eq(t, Accepted, d.Outcome)
	must.Eq(t, 2, d.Version)
	e, _ := h.now().Lookup("chikugo", "letters")
	must.Eq(t, 2, e.RetryAllowance)
	must.Eq(t, 3, e.Version)
}

// A process takes a snapshot, is paused, and appends it after a newer version
// was accepted. Readers that follow keep the newer version; one that starts
// from the old snapshot folds on and comes to the same. Cause: a slow writer.
func TestStaleSnapshotAfterNewerVersion(t *testing.T) {
	h := newHistory()
	h.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	h.append(record(&Publication{ID: "a", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")}))
	old, err := h.now().SnapshotRecord("s", epoch)
	must.NoError(t, err)
	h.append(record(&Publication{ID: "b", Author: "ito", Based: 2, Instance: testInstance("letters", "strict", 1, "2")}))
	h.append(old)
	h.oldest = 2
	for _, r := range []*Replica{h.replicas[0], NewReplica(h.oracle[3])} {
		h.catchUp(r)
		e, ok := r.State().Lookup("chikugo", "letters")
		must.True(t, ok)
		must.Eq(t, 2, e.RetryAllowance)
	}
	stale, err := UnmarshalState(old.Body)
	must.NoError(t, err)
	must.Eq(t, h.now(), Merge(h.now(), stale))
	must.Eq(t, h.now(), Merge(stale, h.now()))
}

// A reader is cut off while the records it has not read expire. It must not
// fold what is left over the gap: that would miss what was accepted there. It
// keeps what it has, says that it is behind, and goes on from the snapshot.
func TestExpiryWithReaderAway(t *testing.T) {
	h := newHistory()
	h.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	h.append(record(&Publication{ID: "a", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")}))
	away := h.replicas[0]
	h.catchUp(away)
	h.append(record(&Publication{ID: "b", Author: "ito", Based: 2, Instance: testInstance("letters", "strict", 1, "2")}))
	h.append(record(&Publication{ID: "c", Author: "ito", Instance: testInstance("tracker", "strict", 1, "1")}))
	h.oldest = 3
	h.catchUp(away)
	must.True(t, away.Behind())
	must.Eq(t, 2, away.State().Version())
	snap, err := h.now().SnapshotRecord("s", epoch)
	must.NoError(t, err)
	h.append(snap)
	h.catchUp(away)
	must.False(t, away.Behind())
	must.Eq(t, mustMarshal(t, h.now()), mustMarshal(t, away.State()))
}

// A snapshot that claims to fold more than stood before it is not from this
// log; a reader across a gap must not take it.
func TestSnapshotFromTheFutureIsIgnored(t *testing.T) {
	r, err := EmptyAt(90).SnapshotRecord("s", epoch)
	must.NoError(t, err)
	s := NewState().Apply(platform.Entry{Offset: 50, Record: r})
	must.Eq(t, 0, s.Version())
	s = s.Apply(platform.Entry{Offset: 90, Record: r})
	must.Eq(t, 90, s.Version())
}

// A repeat that comes after its decision was forgotten is decided again. It
// loses: the version that it was based on never comes back.
func TestForgottenRepeatUndoesNothing(t *testing.T) {
	h := newHistory()
	first := record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)})
	h.append(first)
	for i := range maxDecisions + 10 {
		h.append(platform.Record{ID: fmt.Sprint("x", i), Kind: platform.KindInstance, Body: []byte("{}")})
	}
	_, ok := h.now().Decision("t")
	must.False(t, ok)
	h.append(first)
	d, _ := h.now().Decision("t")
	must.Eq(t, Lost, d.Outcome)
	must.Eq(t, 1, h.now().TemplateVersion("strict"))
	must.True(t, strings.Contains(d.Lost.What, "created"))
	copied, err := UnmarshalState([]byte(mustMarshal(t, h.now())))
	must.NoError(t, err)
	must.Eq(t, mustMarshal(t, h.now()), mustMarshal(t, copied))
}
