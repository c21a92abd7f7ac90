package bench

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/standin/upstream"
)

// AddedLatency is the latency, in µs, that a hop through the nodes adds to a direct
// call: the difference of the quantiles of both kinds of call, which alternate in one
// run.
type AddedLatency struct {
	Rate      float64 `json:"rate_rps"`
	Nodes     int     `json:"nodes"`
	Calls     int     `json:"calls"`
	DirectP50 int64   `json:"direct_p50_us"`
	DirectP99 int64   `json:"direct_p99_us"`
	AddedP50  int64   `json:"added_p50_us"`
	AddedP99  int64   `json:"added_p99_us"`
	Failed    int     `json:"failed"`
}

const (
	echoServiceTime = 5 * time.Millisecond
	entryService    = "front"
	// cooldown is the pause before a measurement, in which connections and goroutines
	// of an earlier run end.
	cooldown    = 2 * time.Second
	echoService = "echo"
)

// latencyDeployment returns four nodes in one zone. Callers use the two nodes that
// don't serve the called service as entry nodes, so that each call takes one hop.
func latencyDeployment() *Deployment {
	op := map[string]upstream.Operation{"/echo": {Mean: echoServiceTime, Fixed: true}}
	return &Deployment{
		Name: "latency", Region: "local", Zones: []string{"one"},
		Services: []Service{
			{Name: entryService, Upstreams: 2, Slots: 100, Connections: 1000, Operations: op},
			{Name: echoService, Upstreams: 2, Slots: 100, Connections: 1000, Operations: op},
		},
		Mix: []Request{{Name: "echo", Service: echoService, Method: get, Path: "/echo", Share: 1}},
	}
}

// MeasureAddedLatency makes rate calls per second for d, every other one directly to
// the upstream, and returns the added latency.
func MeasureAddedLatency(rate float64, d time.Duration, seed uint64) (AddedLatency, error) {
	// An earlier run in this process leaves closing connections and garbage on the
	// heap, which would disturb the measurement.
	time.Sleep(cooldown)
	runtime.GC()
	w, err := NewWorld(latencyDeployment(), PolicyGalenagrade, seed)
	if err != nil {
		return AddedLatency{}, err
	}
	defer w.Close()
	warmup := &latencyRun{world: w, client: latencyClient()}
	warmup.offer(rate, time.Second)
	run := &latencyRun{world: w, client: warmup.client}
	run.offer(rate, d)
	if len(run.direct) == 0 || len(run.routed) == 0 {
		return AddedLatency{}, errors.New("added latency is unknown: no direct call or no routed call succeeded")
	}
	slices.Sort(run.direct)
	slices.Sort(run.routed)
	micros := func(list []time.Duration, q float64) int64 { return quantile(list, q).Microseconds() }
	return AddedLatency{
		Rate: rate, Nodes: len(w.allVMs()), Calls: len(run.direct) + len(run.routed), Failed: run.failed,
		DirectP50: micros(run.direct, 0.50),
		DirectP99: micros(run.direct, 0.99),
		AddedP50:  micros(run.routed, 0.50) - micros(run.direct, 0.50),
		AddedP99:  micros(run.routed, 0.99) - micros(run.direct, 0.99),
	}, nil
}

func latencyClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: ConnsPerHost}}
}

// latencyRun makes calls at a constant rate and collects their latencies by kind.
type latencyRun struct {
	world  *World
	client *http.Client

	mu             sync.Mutex
	direct, routed []time.Duration
	failed         int
	wg             sync.WaitGroup
}

func (l *latencyRun) offer(rate float64, d time.Duration) {
	begin := time.Now()
	for i := 0; ; i++ {
		due := time.Duration(float64(i) / rate * float64(time.Second))
		if due >= d {
			break
		}
		if wait := due - time.Since(begin); wait > 0 {
			time.Sleep(wait)
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.call(i)
		}()
	}
	l.wg.Wait()
}

func (l *latencyRun) call(i int) {
	fronts, echoes := l.world.upstreamsOf(entryService), l.world.upstreamsOf(echoService)
	pick := i / 2
	addr := echoes[pick%len(echoes)].server.Addr()
	direct := i%2 == 0
	if !direct {
		addr, _ = fronts[pick%len(fronts)].addresses()
	}
	req, err := http.NewRequestWithContext(context.Background(), get, "http://"+addr+"/echo", nil)
	if err != nil {
		return
	}
	req.Header.Set(callctx.HeaderWorkspace, "latency")
	req.Header.Set(callctx.HeaderService, echoService)
	began := time.Now()
	ok := l.do(req)
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !ok:
		l.failed++
	case direct:
		l.direct = append(l.direct, took)
	default:
		l.routed = append(l.routed, took)
	}
}

func (l *latencyRun) do(req *http.Request) bool {
	resp, err := l.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
