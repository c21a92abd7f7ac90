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
	// Patience is how long an answer is of use to a caller.
	Patience = 4 * time.Second
	// sendTimeout is when a caller gives a sending up and sends again.
	sendTimeout = 2 * time.Second
	// MaxSends bounds the sendings of one request.
	MaxSends = 4
	// resendPause is how soon a caller sends again, whatever it was told.
	resendPause = 50 * time.Millisecond
	// callersPerLevel is how many distinct callers there are.
	distinctCallers = 500
)

// Sending is one sending of a request and its end.
type Sending struct {
	Attempt string
	Code    int
	// Ran is what the caller knows of the effect; empty under the baseline.
	Ran result.Ran
	// Success says that a good status came with a body that ended as announced.
	Success bool
	// Whole says that the body was a complete answer.
	Whole bool
	// AnswerTo and AnswerFrom are what the answer names.
	AnswerTo, AnswerFrom string
	Err                  string
}

// take notes what a success carried and reports whether it is the answer to o.
func (s *Sending) take(body []byte, o *Outcome) bool {
	s.Success = true
	var a upstream.Response
	if err := json.Unmarshal(body, &a); err != nil {
		s.Err = err.Error()
		return false
	}
	s.Whole = a.IsComplete()
	s.AnswerTo, s.AnswerFrom = a.Op, a.Service
	return s.Whole && a.Op == o.Op && a.Service == o.Kind.Service
}

// Outcome is one caller's request from its first sending to its end.
type Outcome struct {
	Op      string
	Kind    Request
	Level   callctx.Level
	Arrived time.Duration // since the run's start
	Latency time.Duration
	Good    bool
	// Poison requests crash the upstreams that run them and can't be answered.
	Poison bool
	// issued is when the request's key was made.
	issued time.Time
	Sends  []Sending
}

// callers makes open-loop arrivals.
type callers struct {
	world  *World
	client *http.Client
	start  time.Time
	rng    *rand.Rand
	next   atomic.Int64
	// poison is the share of poisonous requests at present.
	poison float64

	// late is how far arrivals fell behind their time at worst.
	late  time.Duration
	meter meter

	mu       sync.Mutex
	outcomes []*Outcome
	wg       sync.WaitGroup
}

func newCallers(w *World) *callers {
	return &callers{
		world: w,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         w.holding(w.network.Dialer(clients), nil),
			MaxIdleConnsPerHost: ConnsPerHost,
			MaxConnsPerHost:     ConnsPerHost,
		}},
		start: time.Now(),
		rng:   rand.New(rand.NewPCG(w.seed, 7)),
	}
}

// offer makes Poisson arrivals at a rate for a time. It sleeps in steps of a
// few milliseconds and makes what is due, so that a late timer loses nothing.
func (c *callers) offer(rate float64, d time.Duration) {
	begin := time.Now()
	due := c.rng.ExpFloat64() / rate
	for {
		elapsed := time.Since(begin)
		for due <= elapsed.Seconds() {
			if due > d.Seconds() {
				return
			}
			c.late = max(c.late, time.Since(begin)-time.Duration(due*float64(time.Second)))
			c.arrive()
			due += c.rng.ExpFloat64() / rate
		}
		if elapsed >= d {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (c *callers) arrive() {
	o := &Outcome{
		Op:      fmt.Sprintf("op%d", c.next.Add(1)),
		Kind:    c.pickKind(),
		Level:   c.pickLevel(),
		Arrived: time.Since(c.start),
		issued:  time.Now(),
	}
	o.Poison = c.rng.Float64() < c.poison
	caller := strconv.Itoa(c.rng.IntN(distinctCallers))
	vms := c.world.all()
	entry := vms[c.rng.IntN(len(vms))]
	again := vms[c.rng.IntN(len(vms))]
	c.meter.arrived()
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.request(o, caller, []*vm{entry, again})
	}()
}

func (c *callers) pickKind() Request {
	x := c.rng.Float64()
	for _, k := range c.world.deployment.Mix {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return c.world.deployment.Mix[0]
}

func (c *callers) pickLevel() callctx.Level {
	x := c.rng.Float64()
	for l, share := range c.world.deployment.LevelShares {
		if x -= share; x < 0 {
			return callctx.Level(l)
		}
	}
	return callctx.LevelLow
}

// request sends until there is an answer, patience ends or the sends do.
func (c *callers) request(o *Outcome, caller string, entries []*vm) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), Patience)
	defer cancel()
	for i := range MaxSends {
		s := Sending{Attempt: o.Op + "." + strconv.Itoa(i)}
		ok := c.send(ctx, o, &s, caller, entries[i%len(entries)])
		o.Sends = append(o.Sends, s)
		if ok {
			o.Latency = time.Since(began)
			o.Good = o.Latency <= Patience
			if o.Good {
				c.meter.answered(o.Latency, c.world.deployment.Worth[o.Level])
			}
			return
		}
		select {
		case <-time.After(resendPause):
		case <-ctx.Done():
			return
		}
	}
}

func (c *callers) send(ctx context.Context, o *Outcome, s *Sending, caller string, entry *vm) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(upstream.HeaderOp, o.Op)
	header.Set(upstream.HeaderAttempt, s.Attempt)
	issued := o.issued.UTC().Format(time.RFC3339Nano)
	header.Set(callctx.HeaderIssuedAt, issued)
	header.Set(upstream.HeaderIssued, issued)
	if o.Poison {
		header.Set(upstream.HeaderPoison, o.Kind.Service)
	}
	if c.world.policy == PolicyBaseline {
		return c.sendBaseline(ctx, o, s, header)
	}
	to, _ := entry.entry()
	req, err := http.NewRequestWithContext(ctx, o.Kind.Method, "http://"+to+o.Kind.Path+"?q="+o.Op, nil)
	if err != nil {
		return false
	}
	req.Header = header
	header.Set(callctx.HeaderWorkspace, c.world.deployment.Name)
	header.Set(callctx.HeaderService, o.Kind.Service)
	header.Set(callctx.HeaderPriority, o.Level.String())
	header.Set(callctx.HeaderTimeout, sendTimeout.String())
	header.Set(callctx.HeaderCaller, caller)
	if o.Kind.Keyed() {
		header.Set(callctx.HeaderKey, o.Op)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		s.Err = err.Error()
		s.Ran = ranUnsent(err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	s.Code, _ = strconv.Atoi(resp.Header.Get(result.HeaderResult))
	s.Ran = result.Code(s.Code).Ran()
	if resp.StatusCode != http.StatusOK {
		var p result.Problem
		_ = json.NewDecoder(resp.Body).Decode(&p)
		s.Err = p.Detail
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.Err = err.Error()
		return false
	}
	return s.take(body, o)
}

// ranUnsent tells what a caller knows of a sending without an answer: no
// connection, nothing run.
func ranUnsent(err error) result.Ran {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.RanNo
	}
	return result.RanUnknown
}

func (c *callers) sendBaseline(ctx context.Context, o *Outcome, s *Sending, header http.Header) bool {
	step := upstream.Step{Service: o.Kind.Service, Method: o.Kind.Method, Path: o.Kind.Path}
	status, body, err := c.world.baseline.call(ctx, clients, step, header)
	if err != nil || status != http.StatusOK {
		return false
	}
	return s.take(body, o)
}

func (c *callers) wait() []*Outcome {
	c.wg.Wait()
	c.client.CloseIdleConnections()
	return c.outcomes
}
