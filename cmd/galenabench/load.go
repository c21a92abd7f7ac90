package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

type loadCmd struct {
	Target    []string      `default:"127.0.0.1:7100" help:"Caller addresses of nodes, IP:port or URL; requests are spread over them."`
	Workspace string        `required:"" help:"Workspace of the callers."`
	Service   string        `required:"" help:"Service that they call."`
	Method    string        `default:"GET" help:"Method; requests other than GET carry an idempotency key."`
	Path      string        `default:"/run" help:"Path."`
	Rate      float64       `default:"50" help:"Requests a second."`
	Duration  time.Duration `name:"for" default:"5s" help:"How long to send."`
	Timeout   time.Duration `default:"5s" help:"Timeout of a request."`
	Callers   int           `default:"100" help:"Distinct callers."`
	Token     string        `env:"GALENABENCH_TOKEN" help:"Bearer token, for nodes that require one."`
	Seed      uint64        `default:"1" help:"Seed of arrivals."`
	Expect    float64       `default:"0" help:"Fail when the share of successful responses is below this."`
}

// loadReport is the result of a load run, as seen by the callers.
type loadReport struct {
	Sent      int            `json:"sent"`
	Succeeded int            `json:"whole"`
	Goodput   float64        `json:"goodput"`
	Codes     map[string]int `json:"codes"`
	P50Millis float64        `json:"p50_ms"`
	P99Millis float64        `json:"p99_ms"`
	// RequestID is the ID of the last request that failed, or of the last request when none failed. It
	// can be passed to galenactl timeline.
	RequestID string `json:"request_id"`
}

// Run sends the requests and prints the report as one JSON document.
func (c *loadCmd) Run() error {
	if c.Rate <= 0 || len(c.Target) == 0 {
		return errors.Errorf("--rate is %v and must be above 0; --target has %d addresses and must have at least 1", c.Rate, len(c.Target))
	}
	l := &loader{cfg: c, client: &http.Client{
		Timeout:   c.Timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}}
	l.report.Codes = map[string]int{}
	r := l.run()
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return errors.Wrap(err, "write report")
	}
	if r.Goodput < c.Expect {
		return errors.Errorf("goodput is %.4f, expected at least %.4f", r.Goodput, c.Expect)
	}
	return nil
}

// loader sends the requests and collects their results; mu guards the fields below it.
type loader struct {
	cfg    *loadCmd
	client *http.Client

	mu        sync.Mutex
	report    loadReport
	latencies []time.Duration
	anyFailed bool
}

// run sends requests as a Poisson process. It does not wait for earlier requests (open loop).
func (l *loader) run() loadReport {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 1))
	var wg sync.WaitGroup
	start := time.Now()
	for offsetSeconds := 0.0; offsetSeconds < l.cfg.Duration.Seconds(); offsetSeconds += rng.ExpFloat64() / l.cfg.Rate {
		time.Sleep(time.Until(start.Add(time.Duration(offsetSeconds * float64(time.Second)))))
		target := l.cfg.Target[rng.IntN(len(l.cfg.Target))]
		caller := rng.IntN(max(1, l.cfg.Callers))
		wg.Go(func() { l.send(target, caller) })
	}
	wg.Wait()
	return l.summarize()
}

// send sends one request and records its result. Success means that a complete response arrived with a
// status below 400.
func (l *loader) send(target string, caller int) {
	start := time.Now()
	status, code, requestID := l.request(target, caller)
	latency := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	l.report.Codes[code]++
	succeeded := status > 0 && status < http.StatusBadRequest
	if succeeded {
		l.report.Succeeded++
		l.latencies = append(l.latencies, latency)
	}
	if !succeeded || !l.anyFailed {
		l.report.RequestID = requestID
	}
	l.anyFailed = l.anyFailed || !succeeded
}

// request sends one request. It returns status 0 when no complete response arrived; code is the name
// under which the report counts the result.
func (l *loader) request(target string, caller int) (status int, code, requestID string) {
	req, err := http.NewRequest(l.cfg.Method, baseURL(target)+l.cfg.Path, bytes.NewReader(nil))
	if err != nil {
		return 0, "bad request", ""
	}
	req.Header.Set(callctx.HeaderWorkspace, l.cfg.Workspace)
	req.Header.Set(callctx.HeaderService, l.cfg.Service)
	req.Header.Set(callctx.HeaderTimeout, l.cfg.Timeout.String())
	req.Header.Set(callctx.HeaderCaller, strconv.Itoa(caller))
	if l.cfg.Method != http.MethodGet {
		req.Header.Set(callctx.HeaderKey, uuid.NewString())
	}
	if l.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+l.cfg.Token)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, "no answer", ""
	}
	defer resp.Body.Close()
	requestID = resp.Header.Get(callctx.HeaderRequestID)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, "cut answer", requestID
	}
	return resp.StatusCode, codeName(resp), requestID
}

// codeName returns the number and name of the response's result code, or the HTTP status when the
// response has none.
func codeName(resp *http.Response) string {
	n, err := strconv.Atoi(resp.Header.Get(result.HeaderResult))
	if err != nil {
		return fmt.Sprintf("status %d", resp.StatusCode)
	}
	return fmt.Sprintf("%d %s", n, result.Code(n))
}

// baseURL returns target as a URL; the scheme defaults to http.
func baseURL(target string) string {
	if strings.Contains(target, "://") {
		return target
	}
	return "http://" + target
}

// summarize computes the goodput and the latencies of successful requests.
func (l *loader) summarize() loadReport {
	r := l.report
	if r.Sent > 0 {
		r.Goodput = float64(r.Succeeded) / float64(r.Sent)
	}
	slices.Sort(l.latencies)
	r.P50Millis = quantile(l.latencies, 0.5)
	r.P99Millis = quantile(l.latencies, 0.99)
	return r
}

// quantile returns the q-quantile of sorted durations in milliseconds, or 0 when there are none.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[index].Microseconds()) / 1000
}
