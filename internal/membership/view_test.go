package membership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// A fixed seed makes each run draw the same cases; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20260101") }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drawID(t *rapid.T) Identity {
	return Identity{
		Node:        fmt.Sprintf("n%d", rapid.IntRange(0, 4).Draw(t, "node")),
		Incarnation: rapid.Uint64Range(1, 5).Draw(t, "incarnation"),
	}
}

func drawRecord(t *rapid.T) Record {
	id := drawID(t)
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return Leave{ID: id}
	case 1:
		return Evict{ID: id}
	}
	return Join{Member: Member{
		Identity:  id,
		Zone:      "saga",
		Service:   "letters",
		InnerAddr: fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(0, 4).Draw(t, "addr")),
		JoinedAt:  epoch.Add(time.Duration(id.Incarnation) * time.Second),
	}}
}

// Guards against a removed member that is added again when records arrive late or out of order,
// and against folds that differ after a restart or from a snapshot.
func TestViewFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 40).Draw(t, "records")
		var entries []Entry
		v := &View{}
		gone := map[Identity]bool{}
		for i, rec := range records {
			entries = append(entries, Entry{Offset: int64(2 * i), Record: rec})
			before := v
			v = v.Apply(int64(2*i), encodeAndDecode(t, rec))
			switch r := rec.(type) {
			case Leave:
				gone[r.ID] = true
			case Evict:
				gone[r.ID] = true
			}
			checkView(t, before, v, gone)
		}
		foldedAtOnce := (&View{}).ApplyAll(entries)
		must.Eq(t, v.Members(), foldedAtOnce.Members())
		must.Eq(t, v.Members(), foldedAtOnce.ApplyAll(entries).Members())
		must.Eq(t, v.Digest(), foldedAtOnce.Digest())
		cut := rapid.IntRange(0, len(entries)).Draw(t, "cut")
		b, err := (&View{}).ApplyAll(entries[:cut]).Marshal()
		must.NoError(t, err)
		snap, err := Unmarshal(b)
		must.NoError(t, err)
		must.Eq(t, v.Members(), snap.ApplyAll(entries[cut:]).Members())
	})
}

func encodeAndDecode(t *rapid.T, rec Record) Record {
	b, err := MarshalRecord(rec)
	must.NoError(t, err)
	decoded, err := UnmarshalRecord(b)
	must.NoError(t, err)
	return decoded
}

func checkView(t *rapid.T, before, v *View, gone map[Identity]bool) {
	addrs := map[string]bool{}
	for _, m := range v.Members() {
		must.False(t, gone[m.Identity], must.Sprintf("%v is a member again after it has left or was evicted", m.Identity))
		must.False(t, addrs[m.InnerAddr], must.Sprintf("two members at %s", m.InnerAddr))
		addrs[m.InnerAddr] = true
		if old, ok := before.Member(m.Node); ok {
			must.GreaterEq(t, old.Incarnation, m.Incarnation)
		}
	}
}

// Guards against members of another zone, workspace or service in a selection.
func TestViewSelects(t *testing.T) {
	v := (&View{}).ApplyAll([]Entry{
		{0, Join{Member{Identity: Identity{"a", 1}, Region: "r", Zone: "saga", Service: "letters", InnerAddr: "1"}}},
		{1, Join{Member{Identity: Identity{"b", 1}, Region: "r", Zone: "yame", Service: "letters", Workspace: "x", InnerAddr: "2"}}},
	})
	must.Len(t, 1, v.InZone("r", "saga"))
	must.Len(t, 2, v.ByService("x", "letters"))
	must.Len(t, 1, v.ByService("y", "letters"))
	n := v.Narrow(func(m Member) bool { return m.Zone == "yame" })
	must.True(t, n.Live(Identity{"b", 1}) && !n.Live(Identity{"a", 1}))
}

// Guards against exchanges of a zone that do not form one tree with the leader as its root, and
// against a process with more children than the budget of 2 KB/s allows.
func TestTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 420).Draw(t, "n")
		live := make([]Identity, n)
		for i := range live {
			live[i] = Identity{Node: fmt.Sprintf("n%03d", i), Incarnation: 1}
		}
		leader := live[rapid.IntRange(0, n-1).Draw(t, "leader")]
		children := map[Identity]int{}
		for _, id := range live {
			hops := 0
			for at := id; at != leader; hops++ {
				p, ok := Parent(at, leader, live)
				must.True(t, ok)
				must.Less(t, 4, hops)
				at = p
			}
			if p, ok := Parent(id, leader, live); ok {
				children[p]++
			}
		}
		for _, c := range children {
			must.LessEq(t, Fanout, c)
		}
	})
}

// Guards against a valid configuration that is rejected, or an invalid one that is accepted.
func TestConfigsValidate(t *testing.T) {
	must.NoError(t, DefaultDetectorConfig().Validate())
	must.NoError(t, DefaultElectorConfig().Validate())
	c := DefaultDetectorConfig()
	c.ProbeTimeout = time.Second
	must.ErrorContains(t, c.Validate(), "ProbeTimeout = 1s, must be above 0 and below half of Interval = 1s")
}
