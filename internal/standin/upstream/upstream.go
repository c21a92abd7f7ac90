// Package upstream is a stand-in for an upstream: it has a fixed number of slots
// and a service time, calls deeper services, and can crash, slow down and
// start cold. It records its executions in a Ledger, independently of the nodes.
package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// Headers that identify one logical operation along the call chain.
const (
	// HeaderOp is the ID of the first caller's logical operation.
	HeaderOp = "X-Bench-Op"
	// HeaderAttempt is the ID of one attempt of the operation by the first caller.
	HeaderAttempt = "X-Bench-Attempt"
	// HeaderPoison is the name of the service whose upstream crashes when it runs
	// the request.
	HeaderPoison = "X-Bench-Poison"
	// HeaderIssued is the start time of the logical operation, in RFC 3339. Calls to
	// deeper services send it as the issue time of their idempotency keys, so no key
	// is older.
	HeaderIssued = "X-Bench-Issued"
)

// Step is one call to a deeper service.
type Step struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
}

// Operation describes how the service handles requests for one path.
type Operation struct {
	// Mean is the mean service time without the steps, which follow it.
	Mean time.Duration `json:"mean"`
	// Fixed makes every service time equal to Mean.
	Fixed bool `json:"fixed"`
	// Steps are called one after another, while the request occupies its slot.
	Steps []Step `json:"steps"`
}

// Config describes one upstream.
type Config struct {
	Name, Service string
	// Slots is the number of requests that run at a time; others wait.
	Slots int
	// Connections bounds the open connections; those beyond it are closed at
	// once.
	Connections int
	// Operations are by path; a request for another path gets 404.
	Operations map[string]Operation
	// Seed seeds the random service times.
	Seed uint64
}

// CallFunc calls a deeper service for the request whose headers are parent. It
// returns the HTTP status and the body of the response.
type CallFunc func(ctx context.Context, step Step, parent http.Header) (status int, body []byte, err error)

// Server is one upstream. Safe for concurrent use.
type Server struct {
	cfg           Config
	call          CallFunc
	ledger        *Ledger
	slots         chan struct{}
	slowdownMilli atomic.Int64 // factor on service times, in thousandths
	// waiting counts the requests that wait for a slot.
	waiting atomic.Int64
	// notice is what the upstream says about itself in its responses.
	notice atomic.Pointer[Notice]
	// arrivals counts the requests that reached the upstream.
	arrivals atomic.Int64

	mu           sync.Mutex
	rng          *rand.Rand
	listener     net.Listener
	server       *http.Server
	addr         string
	crashes      int
	started      time.Time
	warmup       time.Duration
	lastRunStart time.Time
}

// New returns an upstream that doesn't listen yet.
func New(cfg Config, call CallFunc, ledger *Ledger) *Server {
	s := &Server{
		cfg:    cfg,
		call:   call,
		ledger: ledger,
		slots:  make(chan struct{}, cfg.Slots),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	s.slowdownMilli.Store(1000)
	return s
}

// Start listens on loopback and serves. The first start picks a free port; later
// ones reuse it, like a process that restarts on its VM.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("start upstream %s: %w", s.cfg.Name, err)
	}
	s.addr = l.Addr().String()
	s.listener = &limitListener{Listener: l, permits: make(chan struct{}, s.cfg.Connections)}
	// Connection errors are expected here: the experiments inject them.
	s.server = &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	s.started = time.Now()
	go func(srv *http.Server, l net.Listener) { _ = srv.Serve(l) }(s.server, s.listener)
	return nil
}

// Addr returns the listen address; empty before the first Start.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Crash emulates the crash of the process: it closes the listener and all
// connections at once.
func (s *Server) Crash() {
	s.mu.Lock()
	srv := s.server
	s.server = nil
	s.crashes++
	s.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// Up reports whether the upstream listens.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}

// Crashes returns the number of crashes.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// SetSlowdown sets the factor on all service times that are not fixed.
func (s *Server) SetSlowdown(factor float64) { s.slowdownMilli.Store(int64(factor * 1000)) }

// SetWarmup makes service times fall linearly from 10 times the normal to the normal
// value over d after each start from now on.
func (s *Server) SetWarmup(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmup = d
}

// warmupSlowdown is the factor on service times right after a start with warmup.
const warmupSlowdown = 10

func (s *Server) serviceTime(op Operation) time.Duration {
	if op.Fixed {
		return op.Mean
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Half of the mean is a constant part, which gives a minimum, as real work has.
	// The other half is the mean of an exponential part, which gives a long tail and
	// is cut at 6 times its mean.
	d := float64(op.Mean) * (0.5 + 0.5*min(s.rng.ExpFloat64(), 6))
	if remaining := s.warmup - time.Since(s.started); remaining > 0 {
		d *= 1 + (warmupSlowdown-1)*float64(remaining)/float64(s.warmup)
	}
	return time.Duration(d * float64(s.slowdownMilli.Load()) / 1000)
}

// ServeHTTP handles one request: it waits for a slot, sleeps for the service time
// and calls the steps. The response is 504 if the deadline passes before the end of
// the service time, and 502 if a step fails.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.arrivals.Add(1)
	s.addNotice(w.Header())
	op, ok := s.cfg.Operations[r.URL.Path]
	if !ok {
		http.NotFound(w, r)
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if !s.takeSlot(ctx) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	defer func() { <-s.slots }()
	run := s.ledger.start(Run{
		Upstream: s.cfg.Name,
		Op:       r.Header.Get(HeaderOp),
		Attempt:  r.Header.Get(HeaderAttempt),
		Service:  s.cfg.Service,
		Path:     r.URL.Path,
		Key:      r.Header.Get("Idempotency-Key"),
		Poison:   r.Header.Get(HeaderPoison) == s.cfg.Service,
	})
	s.recordRunStart()
	if run.Poison {
		go s.Crash()
		<-r.Context().Done()
		return
	}
	s.execute(ctx, w, r, op, run)
}

// takeSlot waits for a slot. It returns false when ctx ends first.
func (s *Server) takeSlot(ctx context.Context) bool {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Load returns the number of slots in use and of requests that wait for one.
func (s *Server) Load() (busy, waiting int) {
	return len(s.slots), int(s.waiting.Load())
}

func (s *Server) recordRunStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRunStart = time.Now()
}

// LastRunStart returns the start time of the latest execution; zero before the first.
func (s *Server) LastRunStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRunStart
}

func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, op Operation, run *Run) {
	if !wait.For(ctx, s.serviceTime(op)) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	for _, step := range op.Steps {
		status, _, err := s.call(ctx, step, r.Header)
		if err != nil || status >= http.StatusBadRequest {
			w.Header().Set("Galena-Context", r.Header.Get("Galena-Context"))
			w.WriteHeader(http.StatusBadGateway)
			return
		}
	}
	s.ledger.complete(run)
	s.writeResponse(w, r)
}

// Response is the body of an upstream's response. Op lets the caller check that
// the response belongs to its own request.
type Response struct {
	Op      string `json:"op"`
	Service string `json:"service"`
	Filler  string `json:"filler"`
}

// IsComplete reports whether the filler arrived in full and unchanged.
func (r *Response) IsComplete() bool { return r.Filler == filler }

// fillerBytes makes a response about 1 KB long.
const fillerBytes = 900

var filler = newFiller(fillerBytes)

func newFiller(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(i%26)
	}
	return string(b)
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(Response{Op: r.Header.Get(HeaderOp), Service: s.cfg.Service, Filler: filler})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Galena-Context", r.Header.Get("Galena-Context"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// requestContext returns the context of r, bounded by its Galena-Timeout header.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	if d, err := time.ParseDuration(r.Header.Get("Galena-Timeout")); err == nil {
		return context.WithTimeout(r.Context(), d)
	}
	return context.WithCancel(r.Context())
}

// limitListener bounds the open connections: it closes accepted ones beyond the
// limit at once.
type limitListener struct {
	net.Listener
	permits chan struct{}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.permits <- struct{}{}:
			return conns.OnClose(c, func() { <-l.permits }), nil
		default:
			_ = c.Close()
		}
	}
}
