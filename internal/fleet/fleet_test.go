package fleet

import (
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var testNow = time.Unix(1_000_000, 0)

func member(node string, incarnation, revision uint64, state State) Member {
	return Member{Node: node, Incarnation: incarnation, Revision: revision, Address: addressOf(node), Service: "s", Slots: 4, State: state}
}

// addressOf returns an address of its own for each of the nodes of a test.
func addressOf(node string) string {
	sum := crc32.ChecksumIEEE([]byte(node))
	return fmt.Sprintf("10.%d.%d.%d:1", byte(sum>>16), byte(sum>>8), byte(sum))
}

// Guards against calls to an old incarnation, after its record arrived late.
func TestLateRecordOfAnOldIncarnation(t *testing.T) {
	r := NewRegistry()
	must.True(t, r.Apply(member("n", 2, 1, Serving)))
	must.False(t, r.Apply(member("n", 1, 9, Leaving)))
	got := r.Endpoints()
	must.Len(t, 1, got)
	must.EqOp(t, 2, got[0].Incarnation)
	must.False(t, got[0].Draining)
}

// Guards against two endpoints with one address. The VM of a node no longer exists, and its
// address is assigned to a node of another service. Only the later node may have the endpoint.
func TestReusedAddressBelongsToTheLaterNode(t *testing.T) {
	r := NewRegistry()
	old, next := member("old", 1, 1, Serving), member("next", 2, 1, Serving)
	next.Address, next.Service = old.Address, "other"
	r.Apply(next)
	r.Apply(old)
	got := r.Endpoints()
	must.Len(t, 1, got)
	must.EqOp(t, "next", got[0].Node)
}

// Guards against nodes that compute different endpoints from the same records, which they read in
// different orders and some twice.
func TestEndpointsDoNotDependOnRecordOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Member
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			records = append(records, member(
				rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
				rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				uint64(len(records)+1),
				rapid.SampledFrom([]State{Serving, Leaving, Gone}).Draw(t, "state")))
		}
		first, second := NewRegistry(), NewRegistry()
		for _, m := range records {
			first.Apply(m)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, seed))
		for range 2 {
			for _, i := range rng.Perm(len(records)) {
				second.Apply(records[i])
			}
		}
		must.Eq(t, first.Endpoints(), second.Endpoints())
	})
}

// Guards against a field that is lost when a record is encoded.
func TestMemberRoundTrip(t *testing.T) {
	m := member("n", 7, 3, Serving)
	raw, err := m.Encode()
	must.NoError(t, err)
	got, err := DecodeMember(raw, testNow)
	must.NoError(t, err)
	must.Eq(t, m, got)
}

// FuzzDecodeMember decodes arbitrary bytes, since records may come from other writers.
func FuzzDecodeMember(f *testing.F) {
	m := member("n", 7, 3, Serving)
	raw, _ := m.Encode()
	f.Add(raw)
	f.Add([]byte(`{"node":1}`))
	f.Add([]byte("\xff{"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := DecodeMember(raw, testNow)
		if err != nil {
			return
		}
		must.NoError(t, m.Validate(testNow))
		NewRegistry().Apply(m)
	})
}

func report(id string, startedAt, sequence int64) Report {
	return Report{ID: id, Service: "s", Address: "a:1", Slots: 4, StartedAt: startedAt, Sequence: sequence}
}

// Guards against calls to a dead process of an upstream, after its report arrived late.
func TestLateReportOfReplacedProcess(t *testing.T) {
	var u LocalUpstream
	must.EqOp(t, Started, u.Apply(report("old", 100, 5)))
	must.EqOp(t, Started, u.Apply(report("new", 200, 1)))
	must.EqOp(t, Outdated, u.Apply(report("old", 100, 6)))
	must.EqOp(t, Outdated, u.Departed(time.UnixMilli(150), "old", 100))
	got, serving := u.Current()
	must.EqOp(t, "new", got.ID)
	must.True(t, serving)
}

// Guards against calls to a dead process of an upstream, after its report arrived late, if upstreams
// do not report their start time.
func TestLateReportWithoutStartTime(t *testing.T) {
	var u LocalUpstream
	u.Apply(report("old", 0, 5))
	must.EqOp(t, Started, u.Apply(report("new", 0, 1)))
	must.EqOp(t, Outdated, u.Apply(report("old", 0, 6)))
	got, _ := u.Current()
	must.EqOp(t, "new", got.ID)
}

// Guards against a restarted upstream that stays out of service. It restarts with the same ID,
// its sequence starts again, and the drain of its old process must not apply to it.
func TestSameIDStartsAgain(t *testing.T) {
	var u LocalUpstream
	u.Apply(report("u", 100, 50))
	leaving := report("u", 100, 51)
	leaving.Leaving = true
	must.EqOp(t, Left, u.Apply(leaving))
	must.EqOp(t, Outdated, u.Apply(report("u", 100, 49)))
	must.EqOp(t, Started, u.Apply(report("u", 200, 1)))
	must.EqOp(t, Outdated, u.Departed(time.UnixMilli(150), "u", 100))
	_, serving := u.Current()
	must.True(t, serving)
}

// Guards against new work for a process that has left. It reports once more without Leaving, but
// its departure was acknowledged, so it must stay out of service.
func TestLeavingIsFinal(t *testing.T) {
	var u LocalUpstream
	u.Apply(report("u", 100, 1))
	must.EqOp(t, Left, u.Departed(time.UnixMilli(150), "u", 0))
	must.EqOp(t, Unchanged, u.Apply(report("u", 100, 2)))
	resized := report("u", 100, 3)
	resized.Slots++
	must.EqOp(t, Unchanged, u.Apply(resized))
	_, serving := u.Current()
	must.False(t, serving)
}
