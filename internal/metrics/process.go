package metrics

import (
	"runtime"
	rtmetrics "runtime/metrics"

	gometrics "github.com/rcrowley/go-metrics"
)

// Names of the process metrics. process.cpu_ms is an estimate by the Go runtime, which updates it at
// each garbage collection.
const (
	processGoroutines = "process.goroutines"
	processMemory     = "process.memory_bytes"
	processHeapLive   = "process.heap_live_bytes"
	processCPU        = "process.cpu_ms"
	processGCs        = "process.gc_cycles"
)

func (s *Set) registerProcess() {
	gauges := map[string]func() int64{
		processGoroutines: func() int64 { return int64(runtime.NumGoroutine()) },
		processMemory:     func() int64 { return readRuntimeMetric("/memory/classes/total:bytes") },
		processHeapLive:   func() int64 { return readRuntimeMetric("/gc/heap/live:bytes") },
		processCPU:        func() int64 { return readRuntimeMetric("/cpu/classes/user:cpu-seconds") },
		processGCs:        func() int64 { return readRuntimeMetric("/gc/cycles/total:gc-cycles") },
	}
	for name, f := range gauges {
		// Register fails only on a duplicate name, and the registry is new.
		_ = s.registry.Register(name, gometrics.NewFunctionalGauge(f))
	}
}

// readRuntimeMetric returns a metric of the Go runtime. It converts seconds to milliseconds.
func readRuntimeMetric(name string) int64 {
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
