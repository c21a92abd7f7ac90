package timeline

import (
	"bytes"
	"encoding/xml"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

// Guards against a merged timeline in which, due to clock skew, the receipt of a message precedes
// its sending.
func TestMergeOrdersSendBeforeReceive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []string{"a", "b", "c"}
		clocks := make([]Clock, len(nodes))
		skews := rapid.SliceOfN(rapid.IntRange(-15_000, 15_000), 3, 3).Draw(t, "skews")
		streams := make([][]Event, len(nodes))
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for i := range steps {
			from := rapid.IntRange(0, 2).Draw(t, "from")
			to := rapid.IntRange(0, 2).Draw(t, "to")
			now := t0.Add(time.Duration(i/4) * time.Millisecond)
			at := func(n int) time.Time { return now.Add(time.Duration(skews[n]) * time.Millisecond) }
			id := string(rune('A' + i))
			sent := clocks[from].Now(at(from))
			got := clocks[to].Receive(sent, at(to))
			streams[from] = append(streams[from], Event{HLC: sent, Node: nodes[from], Kind: CallRouted, CallID: id})
			streams[to] = append(streams[to], Event{HLC: got, Node: nodes[to], Kind: CallStarted, CallID: id})
		}
		merged := Merge(streams...)
		must.Len(t, 2*steps, merged)
		for i := range steps {
			id := string(rune('A' + i))
			f := Filter{CallID: id}
			pair := Select(merged, f)
			must.Eq(t, CallRouted, pair[0].Kind)
			must.Eq(t, CallStarted, pair[1].Kind)
		}
		must.Eq(t, merged, Merge(merged, streams[0]), must.Sprint("duplicate events must be merged into one"))
	})
}

// Guards against adopting the time of a node whose clock is an hour ahead: all later events of all
// nodes would carry that time.
func TestReceiveIgnoresTimestampTooFarAhead(t *testing.T) {
	var c Clock
	c.Now(t0)
	got := c.Receive(HLCAt(t0.Add(time.Hour)), t0)
	must.Less(t, HLCAt(t0.Add(time.Millisecond)), got)
}

// Guards against a text form that loses precision or does not sort in timestamp order, and against
// accepting malformed text.
func TestHLCText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := HLC(rapid.Uint64Range(0, uint64(HLCAt(time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)))).Draw(t, "a"))
		b := a.Next(t0)
		parsed, err := ParseHLC(a.String())
		must.NoError(t, err)
		must.Eq(t, a, parsed)
		must.True(t, a.String() < b.String(), must.Sprint("text must sort in timestamp order"))
	})
	for _, bad := range []string{"", "2026-05-01T09:00:00.250Z", "2026-05-01T09:00:00.250Z+99999", "x+00001"} {
		_, err := ParseHLC(bad)
		must.Error(t, err)
	}
}

// Guards against a full ring that returns other events than the latest, returns them out of order, or
// reports a wrong number of events that a reader missed. A plain slice provides the expected events.
func TestRingKeepsTheLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		r := NewRing("n", size, &Clock{})
		var model []string
		read := uint64(0)
		seen, missed := 0, 0
		for i := range rapid.IntRange(0, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "read") {
				events, next, lost := r.Since(read, Filter{})
				read, seen, missed = next, seen+len(events), missed+int(lost)
				continue
			}
			id := string(rune('A' + i))
			r.Add(t0, Event{Kind: CallStarted, CallID: id})
			model = append(model, id)
		}
		want := model[max(0, len(model)-size):]
		var got []string
		for _, e := range r.Events(Filter{}) {
			got = append(got, e.CallID)
		}
		must.Eq(t, want, got, must.Sprint("events kept"))
		must.Eq(t, len(want), r.Len())
		must.Eq(t, uint64(len(model)-len(want)), r.Evicted())
		must.Eq(t, int(read), seen+missed)
	})
}

// Guards against followers that are not woken by a new event, or that wait for an event that the ring
// already has.
func TestRingWakesFollowers(t *testing.T) {
	r := NewRing("n", 4, &Clock{})
	woken := r.Wait(r.Position())
	select {
	case <-woken:
		t.Fatal("woken without an event")
	default:
	}
	r.Add(t0, Event{Kind: NodeStarted})
	<-woken
	<-r.Wait(0)
}

// Guards against lost events and duplicate timestamps when several goroutines add events.
func TestRingConcurrentAdd(t *testing.T) {
	r := NewRing("n", 1000, &Clock{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 200 {
				r.Add(t0, Event{Kind: CallStarted})
			}
		})
	}
	wg.Wait()
	events := r.Events(Filter{})
	must.Len(t, 800, events)
	must.True(t, slices.IsSortedFunc(events, compareEvents))
	must.Len(t, 800, Merge(events), must.Sprint("timestamps must be unique"))
}

// Guards against a filter that ignores a condition or rejects a matching event.
func TestFilter(t *testing.T) {
	e := Event{HLC: 5, Kind: CallRefused, CallID: "c", RequestID: "r", Workspace: "w", Upstream: "u"}
	for _, f := range []Filter{
		{}, {CallID: "c"}, {RequestID: "r", Workspace: "w"}, {Upstream: "u", After: 4},
		{Kinds: []Kind{CallStarted, CallRefused}},
	} {
		must.True(t, f.Match(&e))
	}
	for _, f := range []Filter{
		{CallID: "x"}, {RequestID: "x"}, {Workspace: "x"}, {Upstream: "x"}, {After: 5},
		{Kinds: []Kind{CallStarted}},
	} {
		must.False(t, f.Match(&e))
	}
}

// Guards against a sampler that keeps far more or fewer requests than configured.
func TestSamplerKeepsConfiguredShare(t *testing.T) {
	s := NewSampler(16)
	kept := 0
	for i := range 16_000 {
		if s.Keep("request-" + time.Duration(i).String()) {
			kept++
		}
	}
	must.Between(t, 800, kept, 1200)
	must.True(t, NewSampler(0).Keep("any"))
}

// Guards against events that change when written and read, and against accepting malformed lines or
// more events than the limit.
func TestJSONLinesRoundTrip(t *testing.T) {
	events := []Event{
		{HLC: HLCAt(t0), Node: "a", Kind: CallReceived, CallID: "c1", Workspace: "chikugo"},
		{HLC: HLCAt(t0) + 1, Node: "b", Kind: CallRefused, Code: 2001, Detail: "limit <5>"},
	}
	var buf bytes.Buffer
	must.NoError(t, WriteJSONLines(&buf, events))
	must.StrContains(t, buf.String(), `"hlc":"2026-05-01T09:00:00.000Z+00001"`)
	got, err := ReadJSONLines(strings.NewReader(buf.String()+"\n"), 2)
	must.NoError(t, err)
	must.Eq(t, events, got)
	_, err = ReadJSONLines(&buf, 1)
	must.ErrorContains(t, err, "more than 1 events")
	_, err = ReadJSONLines(strings.NewReader("{}\nnonsense"), 5)
	must.ErrorContains(t, err, "line 2")
}

// Guards against events whose texts produce malformed XML, overlapping labels in a lane or labels
// beyond the edge of the picture.
func TestPictureIsReadable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 12, 40)
		r := NewRing("n", 200, &Clock{})
		for range rapid.IntRange(0, 80).Draw(t, "events") {
			r.Add(t0.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms"))*time.Millisecond), Event{
				Node:     rapid.SampledFrom([]string{"a", "b", "<c&>"}).Draw(t, "node"),
				Kind:     rapid.SampledFrom([]Kind{CallReceived, CallRefused, Takeover, "newer"}).Draw(t, "kind"),
				Upstream: text.Draw(t, "upstream"), RequestID: text.Draw(t, "request"), Detail: text.Draw(t, "detail"),
			})
		}
		events := r.Events(Filter{})
		var buf bytes.Buffer
		must.NoError(t, WriteSVG(&buf, "fuzz <title>", events))
		dec := xml.NewDecoder(&buf)
		for {
			_, err := dec.Token()
			if err == io.EOF {
				break
			}
			must.NoError(t, err)
		}
		for _, l := range newLayout(events).lanes {
			checkLabels(t, l.marks)
		}
	})
}

func checkLabels(t *rapid.T, marks []mark) {
	for i, a := range marks {
		if a.row < 0 {
			continue
		}
		end := a.labelX + float64(len(a.label))*charWidth
		must.LessEq(t, float64(pictureWidth), end)
		for _, b := range marks[i+1:] {
			if b.row == a.row {
				must.LessEq(t, b.labelX, end)
			}
		}
	}
}

// Guards against a declared kind without a palette entry: it would be drawn as a process event and
// be missing from Kinds.
func TestEveryKindHasAColour(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	must.NoError(t, err)
	declared := 0
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "Kind" {
			return true
		}
		v, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		must.NoError(t, err)
		must.MapContainsKey(t, groupByKind, Kind(v))
		declared++
		return true
	})
	must.Len(t, declared, Kinds())
}

func BenchmarkRingAdd(b *testing.B) {
	r := NewRing("kurume-letters-1", 8192, &Clock{})
	e := Event{Kind: CallStarted, CallID: "c", RequestID: "r", Workspace: "chikugo", Service: "letters"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Add(t0, e)
		}
	})
}

func BenchmarkSamplerKeep(b *testing.B) {
	s := NewSampler(64)
	b.ReportAllocs()
	for b.Loop() {
		s.Keep("0196d2f0-6f4e-7c52-9f0b-6d7f6f0a1c11")
	}
}

// Guards against an operations page whose table of kinds differs from the code. Operators choose
// filters from that table.
func TestDocumentedKindsMatchCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/timeline.md")
	must.NoError(t, err)
	documented := map[Kind]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| ([a-z ]+) \\| (`.*`) \\|$").FindAllStringSubmatch(string(page), -1) {
		for _, k := range strings.Fields(strings.ReplaceAll(row[2], "`", "")) {
			documented[Kind(k)] = row[1]
		}
	}
	must.MapLen(t, len(Kinds()), documented)
	for _, k := range Kinds() {
		must.Eq(t, groupFor(k).name, documented[k], must.Sprint(k))
	}
}
