package policy

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// Guards against two changes that both come into force although two operators based them on the
// same version. The later one must have no effect, not even in part, and its conflict must be
// reported with the publication that caused it.
func TestConflictingChangesOfTwoOperators(t *testing.T) {
	h := newHistory()
	h.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	h.append(record(&Publication{ID: "i", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")}))
	baseVersion := h.current().InstanceVersion("chikugo", "letters")
	h.append(record(&Publication{ID: "a", Author: "ito", BaseVersion: baseVersion, Instance: testInstance("letters", "strict", 1, "3")}))
	h.append(record(&Publication{ID: "b", Author: "reyes", BaseVersion: baseVersion, Instance: testInstance("letters", "strict", 1, "4")}))
	e, _ := h.current().Lookup("chikugo", "letters")
	must.Eq(t, 3, e.RetryAllowance)
	d, ok := h.current().Decision("b")
	must.True(t, ok)
	must.Eq(t, Conflicted, d.Outcome)
	must.Eq(t, &ConflictingPublication{ID: "a", Author: "ito", Version: 3, What: "instance chikugo/letters: retry_allowance 1 -> 3"}, d.Conflict)
	must.ErrorContains(t, d.Err(), "lost to a by ito at version 3")
}

// Guards against a retry of an accepted publication that undoes a later change of another
// operator.
func TestRetryAfterLostAck(t *testing.T) {
	h := newHistory()
	h.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	first := record(&Publication{ID: "a", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")})
	h.append(first)
	h.append(record(&Publication{ID: "b", Author: "reyes", BaseVersion: 2, Instance: testInstance("letters", "strict", 1, "2")}))
	h.append(first)
	d, _ := h.current().Decision("a")
	must.Eq(t, Accepted, d.Outcome)
	must.Eq(t, 2, d.Version)
	e, _ := h.current().Lookup("chikugo", "letters")
	must.Eq(t, 2, e.RetryAllowance)
	must.Eq(t, 3, e.Version)
}

// Guards against a snapshot that is appended late and restores an older configuration.
func TestStaleSnapshotAfterNewerVersion(t *testing.T) {
	h := newHistory()
	h.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	h.append(record(&Publication{ID: "a", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")}))
	old, err := h.current().SnapshotRecord("s", epoch)
	must.NoError(t, err)
	h.append(record(&Publication{ID: "b", Author: "ito", BaseVersion: 2, Instance: testInstance("letters", "strict", 1, "2")}))
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
	must.Eq(t, h.current(), Merge(h.current(), stale))
	must.Eq(t, h.current(), Merge(stale, h.current()))
}

// Guards against a reader that folds across a gap of expired records.
func TestLaggingReaderWaitsForSnapshot(t *testing.T) {
	h := newHistory()
	h.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	h.append(record(&Publication{ID: "a", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")}))
	lagging := h.replicas[0]
	h.catchUp(lagging)
	h.append(record(&Publication{ID: "b", Author: "ito", BaseVersion: 2, Instance: testInstance("letters", "strict", 1, "2")}))
	h.append(record(&Publication{ID: "c", Author: "ito", Instance: testInstance("tracker", "strict", 1, "1")}))
	h.oldest = 3
	h.catchUp(lagging)
	must.True(t, lagging.Behind())
	must.Eq(t, 2, lagging.State().Version())
	snap, err := h.current().SnapshotRecord("s", epoch)
	must.NoError(t, err)
	h.append(snap)
	h.catchUp(lagging)
	must.False(t, lagging.Behind())
	must.Eq(t, mustMarshal(t, h.current()), mustMarshal(t, lagging.State()))
}

// Guards against a reader that adopts, across a gap, a snapshot from another log. Such a snapshot
// claims to fold more entries than there are before it.
func TestSnapshotAheadOfItsOffsetIsIgnored(t *testing.T) {
	r, err := EmptyAt(90).SnapshotRecord("s", epoch)
	must.NoError(t, err)
	s := NewState().Apply(logstore.Entry{Offset: 50, Record: r})
	must.Eq(t, 0, s.Version())
	s = s.Apply(logstore.Entry{Offset: 90, Record: r})
	must.Eq(t, 90, s.Version())
}

// Guards against a retry that undoes a change after the decision on the first attempt was
// dropped. It is decided again and must conflict, since the object never has the retry's
// BaseVersion again.
func TestRetryAfterDroppedDecisionConflicts(t *testing.T) {
	h := newHistory()
	first := record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)})
	h.append(first)
	for i := range maxDecisions + 10 {
		h.append(logstore.Record{ID: fmt.Sprint("x", i), Kind: logstore.KindInstance, Body: []byte("{}")})
	}
	_, ok := h.current().Decision("t")
	must.False(t, ok)
	h.append(first)
	d, _ := h.current().Decision("t")
	must.Eq(t, Conflicted, d.Outcome)
	must.Eq(t, 1, h.current().TemplateVersion("strict"))
	must.True(t, strings.Contains(d.Conflict.What, "created"))
	copied, err := UnmarshalState([]byte(mustMarshal(t, h.current())))
	must.NoError(t, err)
	must.Eq(t, mustMarshal(t, h.current()), mustMarshal(t, copied))
}

// Guards against an old release that folds past a publication with rules of a newer release. It
// would decide the publication differently, and its configuration would differ from then on.
func TestOldReleaseStopsBeforeNewRules(t *testing.T) {
	h := startedHistory()
	r := h.replicas[0]
	h.append(logstore.Record{ID: "n", Kind: logstore.KindInstance, Body: []byte(`{"id":"n","rules":2,"author":"ito","colour":1}`)})
	p := &Publication{ID: "i", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")}
	h.append(record(p))
	for range 3 {
		h.catchUp(r)
		must.True(t, r.Blocked() && r.Behind())
		must.Eq(t, 2, r.State().Version())
		must.Eq(t, 4, r.Next())
	}
	newer := EmptyAt(4)
	must.True(t, r.Merge(newer))
	must.False(t, r.Blocked() || r.Behind())
	h.log = append(h.log, record(p))
	h.catchUp(r)
	must.Eq(t, 5, r.State().Version())
}

// Guards against a configuration that outgrows a snapshot. Operators publish until the limit; the
// next publication is rejected with the size, and the snapshot still fits a record.
func TestConfigurationStaysWithinOneSnapshot(t *testing.T) {
	h := newHistory()
	help := strings.Repeat("x", MaxHelpBytes)
	var d Decision
	for i := 0; d.Outcome != Rejected; i++ {
		p := &Publication{ID: fmt.Sprint("t", i), Author: "ito", Template: testTemplate(fmt.Sprint("t", i), 1, i)}
		p.Template.Help = help
		h.append(record(p))
		h.oracle = h.oracle[len(h.oracle)-1:]
		d, _ = h.current().Decision(p.ID)
		must.Less(t, 5000, i)
	}
	must.ErrorContains(t, d.Err(), "must be at most 1310720 bytes in all")
	r, err := h.current().SnapshotRecord("s", epoch)
	must.NoError(t, err)
	must.Less(t, logstore.MaxRecordBytes, len(r.Body))
	copied, err := UnmarshalState(r.Body)
	must.NoError(t, err)
	must.Eq(t, h.current().bytes, copied.bytes)
}

// Guards against a withdrawn instance that a late retry of its creation restores.
func TestWithdrawnInstanceStaysWithdrawn(t *testing.T) {
	h := startedHistory()
	first := record(&Publication{ID: "i", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")})
	h.append(first)
	withdrawal := &Instance{Workspace: "chikugo", Service: "letters", Withdrawn: true}
	h.append(record(&Publication{ID: "w", Author: "ito", BaseVersion: 3, Instance: withdrawal}))
	for i := range maxDecisions {
		h.append(logstore.Record{ID: fmt.Sprint("x", i), Kind: logstore.KindInstance, Body: []byte("{}")})
	}
	h.append(first)
	copied, err := UnmarshalState([]byte(mustMarshal(t, h.current())))
	must.NoError(t, err)
	for _, s := range []*State{h.current(), copied} {
		_, ok := s.Lookup("chikugo", "letters")
		must.False(t, ok)
		must.SliceEmpty(t, s.Instances())
		must.Eq(t, 4, s.InstanceVersion("chikugo", "letters"))
	}
	secondWithdrawal, _ := h.current().Check(&Publication{ID: "w2", Author: "ito", BaseVersion: 4, Instance: withdrawal})
	must.Eq(t, Rejected, secondWithdrawal.Outcome)
	newInstance := testInstance("letters", "strict", 1, "2")
	h.append(record(&Publication{ID: "b", Author: "ito", BaseVersion: 4, Instance: newInstance}))
	e, ok := h.current().Lookup("chikugo", "letters")
	must.True(t, ok)
	must.Eq(t, 2, e.RetryAllowance)
}

// Guards against a restarted node that serves without state, or that accepts an emptied log as
// its own.
func TestRestartDuringLogOutage(t *testing.T) {
	h := startedHistory()
	h.append(record(&Publication{ID: "i", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")}))
	h.catchUp(h.replicas[0])
	started := NewReplica(nil)
	_, ok := started.State().Lookup("chikugo", "letters")
	must.False(t, ok)
	must.True(t, started.Merge(h.replicas[0].State()))
	must.False(t, started.Merge(h.oracle[2]))
	h.append(record(&Publication{ID: "j", Author: "ito", BaseVersion: 3, Instance: testInstance("letters", "strict", 1, "2")}))
	h.catchUp(started)
	e, _ := started.State().Lookup("chikugo", "letters")
	must.Eq(t, 2, e.RetryAllowance)
	must.False(t, started.HeadRegressed())
	started.Take(logstore.Page{Next: 4, Head: 0})
	must.True(t, started.HeadRegressed())
}

// Guards against a start that reads the whole log, or that misses a snapshot before the newest
// window.
func TestStartReadsNewestRecordsFirst(t *testing.T) {
	for _, after := range []int{10, 400} {
		h := startedHistory()
		claims := func(n int) {
			for range n {
				h.append(logstore.Record{ID: "c", Kind: logstore.KindClaim})
			}
		}
		claims(600)
		snap, err := h.current().SnapshotRecord("s", epoch)
		must.NoError(t, err)
		h.append(snap)
		claims(after)
		h.oldest = 2
		r := NewReplica(nil)
		r.window = 50
		reads := 0
		for ; int64(r.State().Version()) < int64(len(h.log)); reads++ {
			h.read(r, 10)
			must.Less(t, 200, reads)
		}
		must.Eq(t, after > 50, reads > 15)
		must.Eq(t, mustMarshal(t, h.current()), mustMarshal(t, r.State()))
	}
}
