package idempotency

import (
	"flag"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/result"
)

// A fixed seed makes each run draw the same cases; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20260101") }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testConfig() Config {
	return Config{MaxBytes: 4 * 700, KeepAnswers: 10 * time.Second, KeepKeys: time.Minute, MaxKeys: 6}
}

func keyNamed(name string) Key { return Key{Workspace: "chikugo", Service: "letters", Key: name} }

// modelKey is the true state of a key, independent of the table under test.
type modelKey struct {
	callID     string
	body       uint64
	running    bool // started, end not reported yet
	mayHaveRun bool // started, and not reported as not run
	response   string
	lastSeen   time.Time
}

// tableMachine drives a table with random operations, including hand-overs to a new table.
type tableMachine struct {
	now   time.Time
	table *Table
	keys  map[string]*modelKey
	calls int
}

func newTableMachine() *tableMachine {
	return &tableMachine{now: epoch, table: NewTable(testConfig()), keys: map[string]*modelKey{}}
}

func drawKey(t *rapid.T) string { return strconv.Itoa(rapid.IntRange(0, 8).Draw(t, "key")) }

func (m *tableMachine) Begin(t *rapid.T) {
	name := drawKey(t)
	body := rapid.Uint64Range(1, 2).Draw(t, "body")
	m.calls++
	callID := strconv.Itoa(m.calls)
	b := m.table.Begin(m.now, keyNamed(name), body, callID)
	k := m.keys[name]
	unused := k == nil || !k.mayHaveRun
	// An expired key may start again, but need not: a hand-over resets its time of last use.
	expired := !unused && !k.running && m.now.Sub(k.lastSeen) >= testConfig().KeepKeys
	if unused || (expired && (b.Kind == Start || b.Kind == TableFull)) {
		if b.Kind == TableFull {
			must.Eq(t, testConfig().MaxKeys, m.table.Len())
			return
		}
		must.Eq(t, Start, b.Kind)
		m.keys[name] = &modelKey{callID: callID, body: body, running: true, mayHaveRun: true, lastSeen: m.now}
		return
	}
	k.lastSeen = m.now
	switch b.Kind {
	case Conflict:
		must.NotEq(t, k.body, body)
	case Join:
		must.True(t, k.running)
		must.Eq(t, k.callID, b.RunningCallID)
	case Replay:
		must.Eq(t, k.response, string(b.Response.Body))
	case Unknown:
		must.False(t, k.running)
		must.Eq(t, k.response == "", b.Code == 0)
	default:
		t.Fatalf("key %s may have run, but Begin returned %v", name, b.Kind)
	}
}

func (m *tableMachine) report(t *rapid.T, reportEnd func(k *modelKey, key Key, callID string)) {
	name := drawKey(t)
	k := m.keys[name]
	if k == nil {
		t.Skip("never started")
	}
	if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
		reportEnd(&modelKey{}, keyNamed(name), "another call")
		return
	}
	if !k.running {
		t.Skip("not running")
	}
	reportEnd(k, keyNamed(name), k.callID)
	k.running = false
	k.lastSeen = m.now
}

func (m *tableMachine) Finish(t *rapid.T) {
	size := rapid.IntRange(1, 3000).Draw(t, "size")
	m.report(t, func(k *modelKey, key Key, callID string) {
		k.response = fmt.Sprintf("%0*s", size, callID)
		m.table.Finish(m.now, key, callID, Response{Code: result.OK, Status: 200, Body: []byte(k.response)})
	})
}

func (m *tableMachine) NotRun(t *rapid.T) {
	m.report(t, func(k *modelKey, key Key, callID string) {
		k.mayHaveRun = false
		m.table.NotRun(m.now, key, callID)
	})
}

func (m *tableMachine) Lost(t *rapid.T) {
	m.report(t, func(_ *modelKey, key Key, callID string) { m.table.MarkOutcomeUnknown(m.now, key, callID) })
}

func (m *tableMachine) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 25_000).Draw(t, "ms")) * time.Millisecond)
}

func (m *tableMachine) HandOver(t *rapid.T) {
	receiver := NewTable(testConfig())
	must.True(t, receiver.Import(m.now, m.table.Export(m.now, func(Key) bool { return true })))
	must.Eq(t, m.table.Len(), receiver.Len())
	m.table = receiver
	for _, k := range m.keys {
		if k.running {
			k.running = false
			k.lastSeen = m.now
		}
	}
}

func (m *tableMachine) Check(t *rapid.T) {
	must.LessEq(t, testConfig().MaxKeys, m.table.Len())
	must.LessEq(t, testConfig().MaxBytes, m.table.Bytes())
	must.GreaterEq(t, 0, m.table.Bytes())
}

// Guards against a key that starts twice without a report that the first call did not run.
func TestNeverTwoStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableMachine()
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// Guards against a second run of a call whose response was evicted because MaxBytes was reached.
func TestEvictedResponseKeepsCode(t *testing.T) {
	tab := NewTable(Config{MaxBytes: 1000, KeepAnswers: time.Minute, KeepKeys: time.Minute, MaxKeys: 10})
	for _, name := range []string{"a", "b"} {
		must.Eq(t, Start, tab.Begin(epoch, keyNamed(name), 1, name).Kind)
		tab.Finish(epoch, keyNamed(name), name, Response{Code: result.OK, Body: make([]byte, 400)})
	}
	b := tab.Begin(epoch, keyNamed("a"), 1, "again")
	must.Eq(t, BeginResult{Kind: Unknown, Code: result.OK}, b)
	must.Eq(t, Replay, tab.Begin(epoch, keyNamed("b"), 1, "again").Kind)
}

// Guards against a full table that removes a recently used key to make space for a new one: a
// resend of the removed key would run its call again. The new key must be refused until an old one
// has expired.
func TestFullTableRejectsNewKeys(t *testing.T) {
	cfg := testConfig()
	tab := NewTable(cfg)
	for i := range cfg.MaxKeys {
		name := strconv.Itoa(i)
		tab.Begin(epoch, keyNamed(name), 1, name)
		tab.MarkOutcomeUnknown(epoch, keyNamed(name), name)
	}
	must.Eq(t, TableFull, tab.Begin(epoch, keyNamed("new"), 1, "c").Kind)
	must.False(t, tab.Import(epoch, []Entry{{Key: keyNamed("other")}}))
	must.Eq(t, Unknown, tab.Begin(epoch, keyNamed("0"), 1, "c").Kind)
	must.Eq(t, Start, tab.Begin(epoch.Add(cfg.KeepKeys), keyNamed("new"), 1, "c").Kind)
}

// Guards against a configuration that keeps keys for a shorter time than their responses.
func TestConfigValidate(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	c := DefaultConfig()
	c.KeepKeys = c.KeepAnswers - time.Second
	must.ErrorContains(t, c.Validate(), "KeepKeys = 4m59s, must be at least KeepAnswers = 5m0s")
}

// Guards against a wrong creation time, read from a valid key or from one that is neither a UUIDv7
// nor a ULID.
func TestIssuedAt(t *testing.T) {
	cases := map[string]int64{
		"01ARZ3NDEKTSV4RRFFQ69G5FAV":           1469922850259, // the ULID specification
		"01arz3ndektsv4rrffq69g5fav":           1469922850259,
		"017F22E2-79B0-7CC3-98C4-DC0C0C07398F": 1645557742000, // RFC 9562, A.6
	}
	for key, ms := range cases {
		at, ok := IssuedAt(key)
		must.True(t, ok, must.Sprint(key))
		must.Eq(t, ms, at.UnixMilli(), must.Sprint(key))
	}
	for _, key := range []string{"", "order-17", "81ARZ3NDEKTSV4RRFFQ69G5FAV", "01ARZ3NDEKTSV4RRFFQ69G5FAU", "919108f7-52d1-4320-9bac-f847db4148a8"} {
		_, ok := IssuedAt(key)
		must.False(t, ok, must.Sprint(key))
	}
}

// BenchmarkBeginFinish reports the cost of one key with its response.
func BenchmarkBeginFinish(b *testing.B) {
	tab := NewTable(DefaultConfig())
	body := make([]byte, 1024)
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(25 * time.Millisecond) // 40 keys per second
		k := keyNamed(strconv.Itoa(i))
		tab.Begin(now, k, 1, "c")
		tab.Finish(now, k, "c", Response{Code: result.OK, Body: body})
	}
}

// BenchmarkKeyBytes reports the memory that one key takes without its response.
func BenchmarkKeyBytes(b *testing.B) {
	const n = 50_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		tab := NewTable(DefaultConfig())
		for i := range n {
			k := keyNamed(fmt.Sprintf("01ARZ3NDEKTSV4RRFFQ%07d", i))
			tab.Begin(epoch, k, 1, fmt.Sprintf("call-%020d", i))
			tab.MarkOutcomeUnknown(epoch, k, fmt.Sprintf("call-%020d", i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/key")
		runtime.KeepAlive(tab)
	}
}
