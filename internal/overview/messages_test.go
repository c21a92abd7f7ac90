package overview

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// largeReport is the report of a node that calls several services for callers of many workspaces.
func largeReport(node int) *Report {
	r := report(fmt.Sprintf("node-%04d", node), 1)
	r.Incarnation = uint64(start.UnixNano())
	r.Workspaces, r.Calls = nil, nil
	for i := range MaxWorkspaces {
		r.Workspaces = append(r.Workspaces, WorkspaceDemand{fmt.Sprintf("workspace-%03d", i), 1 + float64(i)})
	}
	for i := range 8 {
		r.Calls = append(r.Calls, ServiceDemand{fmt.Sprintf("service-%04d", 8*(node%200)+i), 10 + float64(i)})
	}
	r.Upstream.Service = fmt.Sprintf("service-%04d", node%1700)
	r.Upstream.Kinds = nil
	for i := range 4 {
		r.Upstream.Kinds = append(r.Upstream.Kinds, KindTime{uint32(i), 0.1, 3})
	}
	return &r
}

// largeCollector holds the reports of a zone and the sums of 33 others, each with the services that the
// nodes of the zone call.
func largeCollector(nodes int) *Collector {
	c := NewCollector("r/a")
	for i := range nodes {
		_ = c.Add(start, largeReport(i))
	}
	last := largeReport(0)
	last.Sequence = 2
	_ = c.Add(start.Add(time.Second), last)
	sum, _ := c.Sum(start.Add(time.Second))
	for i := range 33 {
		z := sum
		z.Name = fmt.Sprintf("s/%d", i)
		// A service runs in a few zones.
		z.Services, z.Calls = nil, nil
		for k := range sum.Services {
			if (k+i)%11 == 0 {
				z.Services = append(z.Services, sum.Services[k])
			}
		}
		for k := range sum.Calls {
			if (k+i)%11 == 0 {
				z.Calls = append(z.Calls, sum.Calls[k])
			}
		}
		_ = c.AddZone(start.Add(time.Second), &z)
	}
	return c
}

// near reports whether two values are equal up to the precision of a message.
func near(a, b float64) bool { return math.Abs(a-b) <= 0.004*math.Abs(a) }

// Guards against a message that arrives as something else than what was sent.
func TestMessagesArriveAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := largeReport(rapid.IntRange(0, 300).Draw(t, "node"))
		r.Workspaces = r.Workspaces[:rapid.IntRange(0, MaxWorkspaces).Draw(t, "workspaces")]
		if rapid.Bool().Draw(t, "no upstream") {
			r.Upstream = nil
		}
		got, err := DecodeReport(r.Encode())
		must.NoError(t, err)
		must.NoError(t, got.Validate(start))
		must.Eq(t, []any{r.Node, r.Zone, r.Incarnation, r.Sequence, r.IntervalMillis}, []any{got.Node, got.Zone, got.Incarnation, got.Sequence, got.IntervalMillis})
		must.Eq(t, len(r.Workspaces), len(got.Workspaces))
		for i, w := range r.Workspaces {
			must.Eq(t, WorkspaceID(w.Workspace), got.Workspaces[i].Workspace)
			must.True(t, near(w.PerSecond, got.Workspaces[i].PerSecond))
		}
		must.Eq(t, r.Upstream == nil, got.Upstream == nil)
	})
	c := largeCollector(50)
	now := start.Add(time.Second)
	sum, _ := c.Sum(now)
	zone, err := DecodeZone(sum.Encode())
	must.NoError(t, err)
	must.NoError(t, zone.Validate())
	must.Len(t, len(sum.Services), zone.Services)
	r := largeReport(7)
	view := c.Answer(now, r)
	got, err := DecodeView(view.EncodeFor(r), r)
	must.NoError(t, err)
	r.SetKnown(got)
	again, err := DecodeView(view.EncodeFor(r), r)
	must.NoError(t, err)
	must.Eq(t, got, again)
	must.Less(t, len(view.EncodeFor(largeReport(7))), len(view.EncodeFor(r)))
	old := r.Encode()
	old[0] = wireVersion - 1
	_, err = DecodeReport(old)
	must.Error(t, err)
	must.Len(t, MaxTopWorkspaces, got.Top)
	names := map[string]string{}
	for _, w := range r.Workspaces {
		names[WorkspaceID(w.Workspace)] = w.Workspace
	}
	got.NameWorkspaces(names)
	for i, w := range view.Top {
		must.Eq(t, w.Workspace, got.Top[i].Workspace)
		must.True(t, near(w.PerSecond, got.Top[i].PerSecond))
	}
	must.Eq(t, len(view.Zones), len(got.Zones))
	for i := range view.Zones {
		must.Eq(t, view.Zones[i].Name, got.Zones[i].Name)
		must.Eq(t, len(view.Zones[i].Services), len(got.Zones[i].Services))
	}
	for _, w := range view.Workspaces {
		rate, known := got.Demand(w.Workspace)
		must.True(t, known && near(w.PerSecond, rate))
	}
	total, known := got.Service(r.Upstream.Service)
	must.True(t, known && total.Upstreams > 0 && len(total.Kinds) == 4)
}

// Guards against a message of another node that ends the process or breaks the sums.
func FuzzMessages(f *testing.F) {
	r := largeReport(1)
	z := sumReports("r/b", []*Report{r})
	f.Add(r.Encode())
	f.Add(z.Encode())
	z.Used = z.used()
	f.Add(z.Encode())
	f.Add((&View{Zones: []Zone{z}}).EncodeFor(r))
	r.SetKnown(&View{Zones: []Zone{z}})
	f.Add((&View{Zones: []Zone{z}}).EncodeFor(r))
	for _, seed := range [][]byte{nil, {0}, {wireVersion}, {wireVersion - 1, 1, 'n'}, {wireVersion, 1, 'n', 1, 'z', 255, 255, 255, 255, 255, 255, 255, 255, 255, 1}, r.Encode()[:40], append(r.Encode(), 0)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := NewCollector("r/a")
		known := largeReport(0)
		if got, err := DecodeReport(raw); err == nil {
			_ = c.Add(start, got)
			known = got
		}
		if got, err := DecodeZone(raw); err == nil {
			_ = c.AddZone(start, got)
		}
		if got, err := DecodeView(raw, known); err == nil && got.Validate() == nil {
			_, _ = got.Service("s")
		}
		now := start.Add(2 * time.Duration(known.IntervalMillis) * time.Millisecond)
		must.NoError(t, c.Answer(now, known).Validate())
		if sum, ok := c.Sum(now); ok {
			must.NoError(t, sum.Validate())
		}
	})
}

// BenchmarkReport measures a report and its answer at the collector of a zone.
func BenchmarkReport(b *testing.B) {
	for _, nodes := range []int{100, 412} {
		b.Run(fmt.Sprintf("%d_nodes_34_zones", nodes), func(b *testing.B) {
			c := largeCollector(nodes)
			raw := largeReport(5).Encode()
			now, answer := start.Add(time.Second), 0
			b.ReportAllocs()
			for b.Loop() {
				r, _ := DecodeReport(raw)
				r.Sequence = 3
				_ = c.Add(now, r)
				answer = len(c.Answer(now, r).EncodeFor(r))
			}
			b.ReportMetric(float64(len(raw)), "report_B")
			b.ReportMetric(float64(answer), "answer_B")
		})
	}
}

// BenchmarkSum measures adding up the reports of a zone, which a collector does four times in each
// interval.
func BenchmarkSum(b *testing.B) {
	for _, nodes := range []int{100, 412} {
		b.Run(fmt.Sprintf("%d_nodes_34_zones", nodes), func(b *testing.B) {
			c := largeCollector(nodes)
			now := start.Add(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				c.sums = nil
				c.refresh(now)
			}
			sum, _ := c.Sum(now)
			b.ReportMetric(float64(len(sum.Encode())), "sum_B")
			// The other zone uses what each eleventh sum holds, as in largeCollector.
			other := c.zones["s/0"]
			other.Used = other.used()
			c.zones["s/0"] = other
			sum, _ = c.SumFor("s/0", now)
			b.ReportMetric(float64(len(sum.Encode())), "sum_for_other_B")
		})
	}
}
