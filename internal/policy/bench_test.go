package policy

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// plannedServices is the planned number of services.
const plannedServices = 1700

// plannedState returns a state with an instance for each planned service.
func plannedState(b *testing.B) *State {
	s := libraryState(b)
	for i := range plannedServices {
		p := &Publication{ID: fmt.Sprintf("0191b2c4-5d6e-7f80-9a1b-%012d", i), Author: "ito", Instance: &Instance{
			Workspace: fmt.Sprint("workspace-", i%40), Service: fmt.Sprint("service-", i), Template: "balanced", Revision: 1,
			Values: map[string]string{"default_timeout": "8s", "queue_limit": "75", "retry_allowance": "2", "slow_start": "20s"},
		}}
		s = s.Apply(logstore.Entry{Offset: int64(s.Version()), Record: record(p)})
	}
	must.Len(b, plannedServices, s.Instances())
	return s
}

// BenchmarkLookup looks up the behaviour of a service, as each call does.
func BenchmarkLookup(b *testing.B) {
	s := plannedState(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Lookup("workspace-7", "service-7"); !ok {
			b.Fatal("Lookup found no behaviour for workspace-7/service-7")
		}
	}
}

// BenchmarkApplyOther folds a record that is not a publication.
func BenchmarkApplyOther(b *testing.B) {
	s := plannedState(b)
	e := logstore.Entry{Record: logstore.Record{ID: "c", Kind: logstore.KindClaim}}
	b.ReportAllocs()
	for b.Loop() {
		e.Offset = int64(s.Version())
		s = s.Apply(e)
	}
}

// BenchmarkApplyInstance folds a changed instance.
func BenchmarkApplyInstance(b *testing.B) {
	s := plannedState(b)
	inst := s.Instances()[0]
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		p := &Publication{ID: fmt.Sprint("b", n), Author: "ito", BaseVersion: s.InstanceVersion(inst.Workspace, inst.Service), Instance: &inst}
		s = s.Apply(logstore.Entry{Offset: int64(s.Version()), Record: record(p)})
		if d, _ := s.Decision(p.ID); d.Outcome != Accepted {
			b.Fatal(d)
		}
	}
}

// BenchmarkStateMemory reports the memory of one state at the planned size.
func BenchmarkStateMemory(b *testing.B) {
	data, err := plannedState(b).Marshal()
	must.NoError(b, err)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, err := UnmarshalState(data)
		must.NoError(b, err)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-bytes")
		runtime.KeepAlive(s)
	}
}

// BenchmarkSnapshot encodes and decodes a state at the planned size.
func BenchmarkSnapshot(b *testing.B) {
	s := plannedState(b)
	b.ReportAllocs()
	for b.Loop() {
		data, err := s.Marshal()
		must.NoError(b, err)
		_, err = UnmarshalState(data)
		must.NoError(b, err)
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	}
}
