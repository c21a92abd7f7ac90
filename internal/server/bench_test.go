package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// BenchmarkHop compares a call through an entry node and a guard node with the same call made
// directly, in one run. The metric added-us/op is the difference of the mean durations in
// microseconds. Allocations include those of caller, nodes and upstream.
func BenchmarkHop(b *testing.B) {
	cluster := newTestCluster(b)
	quiet := func(cfg *settings.Node) {
		cfg.Limits.TimelineSample = 1 << 20
		cfg.Timing.UpstreamSilence = settings.Duration(time.Minute)
	}
	entry, guard := cluster.start("entry", quiet), cluster.start("guard", quiet)
	cluster.publishInstance(entry, "archive")
	up := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Length", "1024")
		_, _ = rw.Write(make([]byte, 1024))
	}))
	b.Cleanup(up.Close)
	cluster.announceAddress(guard, "archive", up.Listener.Addr().String())
	cluster.awaitTargets("archive", 1, entry)
	callersAddr, _, _, _ := entry.Addresses()
	var direct, viaNodes, directCPU, viaNodesCPU time.Duration
	b.ReportAllocs()
	for b.Loop() {
		start, startCPU := time.Now(), processorTime(b)
		must.Eq(b, http.StatusOK, cluster.get(up.Listener.Addr().String()))
		middle, middleCPU := time.Now(), processorTime(b)
		must.Eq(b, http.StatusOK, cluster.get(callersAddr))
		direct += middle.Sub(start)
		viaNodes += time.Since(middle)
		directCPU += middleCPU - startCPU
		viaNodesCPU += processorTime(b) - middleCPU
	}
	b.ReportMetric(float64((viaNodesCPU-directCPU).Microseconds())/float64(b.N), "added-cpu-us/op")
	b.ReportMetric(float64((viaNodes-direct).Microseconds())/float64(b.N), "added-us/op")
	b.ReportMetric(float64(viaNodes)/float64(direct), "through/direct")
}

// processorTime returns the CPU time that the process used in user and system mode.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (cluster *testCluster) get(addr string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/search", nil)
	must.NoError(cluster.t, err)
	req.Header.Set(callctx.HeaderWorkspace, "chikugo")
	req.Header.Set(callctx.HeaderService, "archive")
	resp, err := cluster.http.Do(req)
	must.NoError(cluster.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(cluster.t, err)
	must.NoError(cluster.t, resp.Body.Close())
	return resp.StatusCode
}
