package control

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/lease"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
)

// Guards against an odd record of another writer in the log that hides a living node, or ends it and every
// later process of it.
func TestOddRecordsOfMembersAreSkipped(t *testing.T) {
	const node = "n1"
	living := membership.Member{Identity: membership.Identity{Node: node, Incarnation: 7}, Service: "letters", InnerAddr: "10.0.0.1:80", Slots: 4}
	odd := func(change func(*membership.Member)) logstore.Record {
		m := living
		m.Incarnation++
		change(&m)
		return recordOf(t, logstore.KindJoin, membership.Join{Member: m})
	}
	greatest := membership.Identity{Node: node, Incarnation: math.MaxUint64}
	for name, record := range map[string]logstore.Record{
		"greatest incarnation":          odd(func(m *membership.Member) { m.Incarnation = math.MaxUint64 }),
		"port out of range":             odd(func(m *membership.Member) { m.InnerAddr = "10.0.0.1:99999" }),
		"no address":                    odd(func(m *membership.Member) { m.InnerAddr = "" }),
		"too many slots":                odd(func(m *membership.Member) { m.Slots = math.MaxInt }),
		"negative slots":                odd(func(m *membership.Member) { m.Slots = -1 }),
		"service not a name":            odd(func(m *membership.Member) { m.Service = "x\r\ny" }),
		"leaves for ever":               recordOf(t, logstore.KindLeave, membership.Leave{ID: greatest}),
		"evicted for ever":              recordOf(t, logstore.KindEvict, membership.Evict{ID: greatest}),
		"nested":                        {Kind: logstore.KindEvict, Body: json.RawMessage(strings.Repeat("[", 100_000))},
		"number too large":              {Kind: logstore.KindEvict, Body: json.RawMessage(`{"ID":{"n":"n1","i":1e999}}`)},
		"another type than the kind's":  {Kind: logstore.KindJoin, Body: json.RawMessage(`{"Member":[7]}`)},
		"without an incarnation at all": odd(func(m *membership.Member) { m.Incarnation = 0 }),
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReplica()
			take := func(offset int64, record logstore.Record) {
				record.ID = strings.Repeat("r", int(offset)+1)
				r.Take(time.Now(), logstore.Page{Entries: []logstore.Entry{{Offset: offset, Record: record}}, Next: offset + 1, Head: offset + 1})
			}
			take(0, recordOf(t, logstore.KindJoin, membership.Join{Member: living}))
			take(1, record)
			known, _ := r.Members().Member(node)
			must.EqOp(t, living, known)
			must.False(t, r.Members().Gone(living.Identity))
			must.EqOp(t, 2, r.Next())
		})
	}
}

// Guards against a takeover of another writer that takes slots from their owners whatever happens later.
func TestOddTakeoversAreSkipped(t *testing.T) {
	valid := lease.Takeover{Service: "letters", Slots: []int{1}, NewOwner: membership.Identity{Node: "n1", Incarnation: 7}, Addr: "10.0.0.1:80", Folded: 3}
	must.NoError(t, valid.Validate(3))
	for _, change := range []func(*lease.Takeover){
		func(t *lease.Takeover) { t.Folded = math.MaxInt64 },
		func(t *lease.Takeover) { t.Folded = -1 },
		func(t *lease.Takeover) { t.NewOwner.Incarnation = math.MaxUint64 },
		func(t *lease.Takeover) { t.NewOwner.Node = "" },
	} {
		odd := valid
		change(&odd)
		must.Error(t, odd.Validate(3))
	}
}

func recordOf(t *testing.T, kind logstore.Kind, body any) logstore.Record {
	raw, err := json.Marshal(body)
	must.NoError(t, err)
	return logstore.Record{Kind: kind, Body: raw}
}
