package metrics

import (
	"runtime"
	rtmetrics "runtime/metrics"

	gometrics "github.com/rcrowley/go-metrics"
)

// Names of the process's own numbers. cpu_ms is an estimate by the runtime,
// brought up to date at each garbage collection.
const (
	processGoroutines = "process.goroutines"
	processMemory     = "process.memory_bytes"
	processHeapLive   = "process.heap_live_bytes"
	processCPU        = "process.cpu_ms"
	processGCs        = "process.gc_cycles"
)

func (s *Set) registerProcess() {
	functions := map[string]func() int64{
		processGoroutines: func() int64 { return int64(runtime.NumGoroutine()) },
		processMemory:     func() int64 { return read("/memory/classes/total:bytes") },
		processHeapLive:   func() int64 { return read("/gc/heap/live:bytes") },
		processCPU:        func() int64 { return read("/cpu/classes/user:cpu-seconds") },
		processGCs:        func() int64 { return read("/gc/cycles/total:gc-cycles") },
	}
	for name, f := range functions {
		// The registry is new, so that no name can be taken.
		_ = s.registry.Register(name, gometrics.NewFunctionalGauge(f))
	}
}

// read returns a number of the runtime; seconds come as milliseconds.
func read(name string) int64 {
	sample := []rtmetrics.Sample{{Name: name}}
	rtmetrics.Read(sample)
	switch sample[0].Value.Kind() {
	case rtmetrics.KindUint64:
		return int64(sample[0].Value.Uint64())
	case rtmetrics.KindFloat64:
		return int64(sample[0].Value.Float64() * 1000)
	default:
		return 0
	}
}
