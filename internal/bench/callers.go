package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/standin/upstream"
)

const (
	// CallerTimeout is the time within which a caller needs its response.
	CallerTimeout = 4 * time.Second
	// attemptTimeout is the timeout of one attempt, after which the caller retries.
	attemptTimeout = 2 * time.Second
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts = 4
	// retryDelay is the delay before a retry. Callers ignore the Retry-After of the
	// response.
	retryDelay = 50 * time.Millisecond
	// distinctCallers is the number of different caller names.
	distinctCallers = 500
)

// Attempt is one attempt of a request and its outcome, as the caller saw it.
type Attempt struct {
	ID string
	// Code is the numbered result of the response; 0 without one.
	Code int
	// Ran tells whether an upstream ran the attempt, as far as the caller knows;
	// empty under the baseline.
	Ran result.Ran
	// Success reports a response with status 200 and a body of the length that the
	// response announced.
	Success bool
	// BodyComplete reports that the body was complete and unchanged.
	BodyComplete bool
	// ResponseRequest and ResponseService are the operation and the service that the
	// body names.
	ResponseRequest, ResponseService string
	// Err is the error or the problem detail of a failed attempt.
	Err string
}

// recordBody records the body of a success and reports whether it is the response to o.
func (a *Attempt) recordBody(body []byte, o *Outcome) bool {
	a.Success = true
	var resp upstream.Response
	if err := json.Unmarshal(body, &resp); err != nil {
		a.Err = err.Error()
		return false
	}
	a.BodyComplete = resp.IsComplete()
	a.ResponseRequest, a.ResponseService = resp.Op, resp.Service
	return a.BodyComplete && resp.Op == o.Op && resp.Service == o.Kind.Service
}

// Outcome is one caller's request with all its attempts.
type Outcome struct {
	Op      string
	Kind    Request
	Level   callctx.Level
	Arrived time.Duration // since the run's start
	Latency time.Duration
	// Good reports that the complete response to this request arrived within
	// CallerTimeout.
	Good bool
	// Poison reports that the request crashes every upstream that runs it, so that it
	// never succeeds.
	Poison bool
	// keyIssuedAt is the issue time of the request's idempotency key.
	keyIssuedAt time.Time
	Attempts    []Attempt
}

// loadGenerator sends requests in open loop: arrivals don't wait for responses.
type loadGenerator struct {
	world   *World
	client  *http.Client
	start   time.Time
	rng     *rand.Rand
	opCount atomic.Int64
	// poisonShare is the current probability that a request is marked Poison.
	poisonShare float64

	// maxLateness is the longest time from the moment at which a request was due
	// until it was sent.
	maxLateness time.Duration
	meter       meter

	mu       sync.Mutex
	outcomes []*Outcome
	wg       sync.WaitGroup
}

func newLoadGenerator(w *World) *loadGenerator {
	return &loadGenerator{
		world: w,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         w.pausableDial(w.network.Dialer(clientsLocation), nil),
			MaxIdleConnsPerHost: ConnsPerHost,
			MaxConnsPerHost:     ConnsPerHost,
		}},
		start: time.Now(),
		rng:   rand.New(rand.NewPCG(w.seed, 7)),
	}
}

// offer generates Poisson arrivals at a rate, in requests per second, for d. It
// wakes every 2 ms and starts all requests that are due, so that a late timer
// delays arrivals but drops none.
func (g *loadGenerator) offer(rate float64, d time.Duration) {
	begin := time.Now()
	due := g.rng.ExpFloat64() / rate
	for {
		elapsed := time.Since(begin)
		for due <= elapsed.Seconds() {
			if due > d.Seconds() {
				return
			}
			g.maxLateness = max(g.maxLateness, time.Since(begin)-time.Duration(due*float64(time.Second)))
			g.startRequest()
			due += g.rng.ExpFloat64() / rate
		}
		if elapsed >= d {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (g *loadGenerator) startRequest() {
	o := &Outcome{
		Op:          fmt.Sprintf("op%d", g.opCount.Add(1)),
		Kind:        g.pickKind(),
		Level:       g.pickLevel(),
		Arrived:     time.Since(g.start),
		keyIssuedAt: time.Now(),
	}
	o.Poison = g.rng.Float64() < g.poisonShare
	caller := strconv.Itoa(g.rng.IntN(distinctCallers))
	vms := g.world.allVMs()
	entry := vms[g.rng.IntN(len(vms))]
	retryEntry := vms[g.rng.IntN(len(vms))]
	g.meter.recordArrival()
	g.mu.Lock()
	g.outcomes = append(g.outcomes, o)
	g.mu.Unlock()
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.sendWithRetries(o, caller, []*vm{entry, retryEntry})
	}()
}

func (g *loadGenerator) pickKind() Request {
	x := g.rng.Float64()
	for _, k := range g.world.deployment.Mix {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return g.world.deployment.Mix[0]
}

func (g *loadGenerator) pickLevel() callctx.Level {
	x := g.rng.Float64()
	for l, share := range g.world.deployment.LevelShares {
		if x -= share; x < 0 {
			return callctx.Level(l)
		}
	}
	return callctx.LevelLow
}

// sendWithRetries sends attempts until one succeeds, CallerTimeout has passed or
// MaxAttempts is reached. The attempts use the entry nodes in turn.
func (g *loadGenerator) sendWithRetries(o *Outcome, caller string, entries []*vm) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), CallerTimeout)
	defer cancel()
	for i := range MaxAttempts {
		a := Attempt{ID: o.Op + "." + strconv.Itoa(i)}
		ok := g.sendAttempt(ctx, o, &a, caller, entries[i%len(entries)])
		o.Attempts = append(o.Attempts, a)
		if ok {
			o.Latency = time.Since(began)
			o.Good = o.Latency <= CallerTimeout
			if o.Good {
				g.meter.recordResponse(o.Latency, g.world.deployment.Worth[o.Level])
			}
			return
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return
		}
	}
}

func (g *loadGenerator) sendAttempt(ctx context.Context, o *Outcome, a *Attempt, caller string, entry *vm) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(upstream.HeaderOp, o.Op)
	header.Set(upstream.HeaderAttempt, a.ID)
	issuedAt := o.keyIssuedAt.UTC().Format(time.RFC3339Nano)
	header.Set(callctx.HeaderIssuedAt, issuedAt)
	header.Set(upstream.HeaderIssued, issuedAt)
	if o.Poison {
		header.Set(upstream.HeaderPoison, o.Kind.Service)
	}
	if g.world.policy == PolicyBaseline {
		return g.sendBaselineAttempt(ctx, o, a, header)
	}
	addr, _ := entry.addresses()
	req, err := http.NewRequestWithContext(ctx, o.Kind.Method, "http://"+addr+o.Kind.Path+"?q="+o.Op, nil)
	if err != nil {
		return false
	}
	req.Header = header
	header.Set(callctx.HeaderWorkspace, g.world.deployment.Name)
	header.Set(callctx.HeaderService, o.Kind.Service)
	header.Set(callctx.HeaderPriority, o.Level.String())
	header.Set(callctx.HeaderTimeout, attemptTimeout.String())
	header.Set(callctx.HeaderCaller, caller)
	if o.Kind.Keyed() {
		header.Set(callctx.HeaderKey, o.Op)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		a.Err = err.Error()
		a.Ran = ranAfterError(err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	a.Code, _ = strconv.Atoi(resp.Header.Get(result.HeaderResult))
	a.Ran = result.Code(a.Code).Ran()
	if resp.StatusCode != http.StatusOK {
		var p result.Problem
		_ = json.NewDecoder(resp.Body).Decode(&p)
		a.Err = p.Detail
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.Err = err.Error()
		return false
	}
	return a.recordBody(body, o)
}

// ranAfterError returns the Ran of an attempt without a response. If the dial failed,
// the attempt did not run; after any other error it may have run.
func ranAfterError(err error) result.Ran {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.RanNo
	}
	return result.RanUnknown
}

func (g *loadGenerator) sendBaselineAttempt(ctx context.Context, o *Outcome, a *Attempt, header http.Header) bool {
	step := upstream.Step{Service: o.Kind.Service, Method: o.Kind.Method, Path: o.Kind.Path}
	status, body, err := g.world.baseline.call(ctx, clientsLocation, step, header)
	if err != nil || status != http.StatusOK {
		return false
	}
	return a.recordBody(body, o)
}

func (g *loadGenerator) wait() []*Outcome {
	g.wg.Wait()
	g.client.CloseIdleConnections()
	return g.outcomes
}
