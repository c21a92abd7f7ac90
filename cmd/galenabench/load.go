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
	Method    string        `default:"GET" help:"Method; other than GET it brings an idempotency key."`
	Path      string        `default:"/run" help:"Path."`
	Rate      float64       `default:"50" help:"Requests a second."`
	For       time.Duration `default:"5s" help:"How long to send."`
	Timeout   time.Duration `default:"5s" help:"How long an answer is of use."`
	Callers   int           `default:"100" help:"Distinct callers."`
	Token     string        `env:"GALENABENCH_TOKEN" help:"Bearer token, where nodes ask for one."`
	Seed      uint64        `default:"1" help:"Seed of arrivals."`
	Expect    float64       `default:"0" help:"Fail when the share of whole answers is below this."`
}

// loadReport is what callers got.
type loadReport struct {
	Sent      int            `json:"sent"`
	Whole     int            `json:"whole"`
	Goodput   float64        `json:"goodput"`
	Codes     map[string]int `json:"codes"`
	P50Millis float64        `json:"p50_ms"`
	P99Millis float64        `json:"p99_ms"`
	// RequestID is that of the last request that was refused, or else of the
	// last one: a start for galenactl timeline.
	RequestID string `json:"request_id"`
}

// Run sends and prints one JSON document.
func (c *loadCmd) Run() error {
	if c.Rate <= 0 || len(c.Target) == 0 {
		return errors.Errorf("--rate is %v with %d targets, must be above 0 with at least one", c.Rate, len(c.Target))
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

type loader struct {
	cfg    *loadCmd
	client *http.Client

	mu        sync.Mutex
	report    loadReport
	latencies []time.Duration
	refused   bool
}

// run makes Poisson arrivals, whatever becomes of earlier requests.
func (l *loader) run() loadReport {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 1))
	var wg sync.WaitGroup
	begin := time.Now()
	for due := 0.0; due < l.cfg.For.Seconds(); due += rng.ExpFloat64() / l.cfg.Rate {
		time.Sleep(time.Until(begin.Add(time.Duration(due * float64(time.Second)))))
		target := l.cfg.Target[rng.IntN(len(l.cfg.Target))]
		caller := rng.IntN(max(1, l.cfg.Callers))
		wg.Go(func() { l.send(target, caller) })
	}
	wg.Wait()
	return l.sum()
}

func (l *loader) send(target string, caller int) {
	began := time.Now()
	status, code, requestID := l.request(target, caller)
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	l.report.Codes[code]++
	whole := status > 0 && status < http.StatusBadRequest
	if whole {
		l.report.Whole++
		l.latencies = append(l.latencies, took)
	}
	if !whole || !l.refused {
		l.report.RequestID = requestID
	}
	l.refused = l.refused || !whole
}

// request returns status 0 when no answer came.
func (l *loader) request(target string, caller int) (status int, code, requestID string) {
	req, err := http.NewRequest(l.cfg.Method, url(target)+l.cfg.Path, bytes.NewReader(nil))
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

func codeName(resp *http.Response) string {
	n, err := strconv.Atoi(resp.Header.Get(result.HeaderResult))
	if err != nil {
		return fmt.Sprintf("status %d", resp.StatusCode)
	}
	return fmt.Sprintf("%d %s", n, result.Code(n))
}

func url(target string) string {
	if strings.Contains(target, "://") {
		return target
	}
	return "http://" + target
}

func (l *loader) sum() loadReport {
	r := l.report
	if r.Sent > 0 {
		r.Goodput = float64(r.Whole) / float64(r.Sent)
	}
	slices.Sort(l.latencies)
	r.P50Millis = quantile(l.latencies, 0.5)
	r.P99Millis = quantile(l.latencies, 0.99)
	return r
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[at].Microseconds()) / 1000
}
