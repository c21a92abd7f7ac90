// Package upstream stands in for a service's VM: a fixed number of slots, a
// service time, calls to deeper services, and the faults of real ones. It
// keeps its own count of what ran, independent of the nodes.
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

// Headers by which a test follows one logical operation along the chain.
const (
	// HeaderOp names the logical operation of the first caller.
	HeaderOp = "X-Bench-Op"
	// HeaderAttempt names one sending of it by the first caller.
	HeaderAttempt = "X-Bench-Attempt"
	// HeaderPoison crashes the upstream whose service it names.
	HeaderPoison = "X-Bench-Poison"
	// HeaderIssued is when the logical operation began; the keys of its calls
	// are no older.
	HeaderIssued = "X-Bench-Issued"
)

// Step is one call to a deeper service.
type Step struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
}

// Operation is what the service does for one path.
type Operation struct {
	// Mean service time of the own work, before the steps.
	Mean time.Duration `json:"mean"`
	// Fixed makes every service time the mean.
	Fixed bool `json:"fixed"`
	// Steps are made one after another while the slot is held.
	Steps []Step `json:"steps"`
}

// Config describes one upstream.
type Config struct {
	Name, Service string
	Slots         int
	// Connections bounds those open; more are closed at once.
	Connections int
	Operations  map[string]Operation
	Seed        uint64
}

// Child makes the calls to deeper services; it returns the status.
type Child func(ctx context.Context, step Step, parent http.Header) (status int, body []byte, err error)

// Run is one execution that began here.
type Run struct {
	// Upstream is the name of the upstream that ran it.
	Upstream                        string
	Op, Attempt, Service, Path, Key string
	// Poison says that it killed the upstream.
	Poison bool
	// Done says that it ran to its end.
	Done bool
}

// Ledger collects the executions of all upstreams. Safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs []*Run
}

func (l *Ledger) begin(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &r)
	return &r
}

func (l *Ledger) done(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Done = true
}

// Runs returns a copy of what was recorded.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Run, len(l.runs))
	for i, r := range l.runs {
		out[i] = *r
	}
	return out
}

// Server is one running upstream.
type Server struct {
	cfg    Config
	child  Child
	ledger *Ledger
	slots  chan struct{}
	slow   atomic.Int64 // factor on service times, in thousandths
	// waiting counts requests without a slot.
	waiting atomic.Int64

	mu       sync.Mutex
	rng      *rand.Rand
	listener net.Listener
	server   *http.Server
	addr     string
	crashes  int
	started  time.Time
	coldFor  time.Duration
	lastRun  time.Time
}

// New makes an upstream that is not listening yet.
func New(cfg Config, child Child, ledger *Ledger) *Server {
	s := &Server{
		cfg:    cfg,
		child:  child,
		ledger: ledger,
		slots:  make(chan struct{}, cfg.Slots),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	s.slow.Store(1000)
	return s
}

// Start listens on loopback; the first start chooses the address, later ones
// use it again, as a process restarted on its VM does.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("upstream %s: %w", s.cfg.Name, err)
	}
	s.addr = l.Addr().String()
	s.listener = &limitListener{Listener: l, room: make(chan struct{}, s.cfg.Connections)}
	// Errors of single connections are part of the experiments.
	s.server = &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	s.started = time.Now()
	go func(srv *http.Server, l net.Listener) { _ = srv.Serve(l) }(s.server, s.listener)
	return nil
}

// Addr returns where it listens.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Crash ends the process: every connection breaks.
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

// Up reports whether it listens.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}

// Crashes returns how often it died.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// SetSlowdown multiplies service times.
func (s *Server) SetSlowdown(factor float64) { s.slow.Store(int64(factor * 1000)) }

// SetCold makes service times fall from ten times to normal over d from the
// next start on.
func (s *Server) SetCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldFor = d
}

// coldFactor is the slowness of a process that has just started.
const coldFactor = 10

func (s *Server) serviceTime(op Operation) time.Duration {
	if op.Fixed {
		return op.Mean
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Half of it fixed, half exponential: a floor as real work has, and a tail.
	d := float64(op.Mean) * (0.5 + 0.5*min(s.rng.ExpFloat64(), 6))
	if left := s.coldFor - time.Since(s.started); left > 0 {
		d *= 1 + (coldFactor-1)*float64(left)/float64(s.coldFor)
	}
	return time.Duration(d * float64(s.slow.Load()) / 1000)
}

// ServeHTTP runs one request: it waits for a slot, works, and calls deeper.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	op, ok := s.cfg.Operations[r.URL.Path]
	if !ok {
		http.NotFound(w, r)
		return
	}
	ctx, cancel := withTimeout(r)
	defer cancel()
	if !s.takeSlot(ctx) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	defer func() { <-s.slots }()
	run := s.ledger.begin(Run{
		Upstream: s.cfg.Name,
		Op:       r.Header.Get(HeaderOp),
		Attempt:  r.Header.Get(HeaderAttempt),
		Service:  s.cfg.Service,
		Path:     r.URL.Path,
		Key:      r.Header.Get("Idempotency-Key"),
		Poison:   r.Header.Get(HeaderPoison) == s.cfg.Service,
	})
	s.began()
	if run.Poison {
		go s.Crash()
		<-r.Context().Done()
		return
	}
	s.execute(ctx, w, r, op, run)
}

// takeSlot waits for a slot, and reports false when ctx ends first.
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

// Load returns how many slots are in use and how many requests wait for one.
func (s *Server) Load() (busy, waiting int) {
	return len(s.slots), int(s.waiting.Load())
}

func (s *Server) began() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRun = time.Now()
}

// LastBegin returns when the last execution began.
func (s *Server) LastBegin() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRun
}

func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, op Operation, run *Run) {
	if !wait.For(ctx, s.serviceTime(op)) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	for _, step := range op.Steps {
		status, _, err := s.child(ctx, step, r.Header)
		if err != nil || status >= http.StatusBadRequest {
			w.Header().Set("Galena-Context", r.Header.Get("Galena-Context"))
			w.WriteHeader(http.StatusBadGateway)
			return
		}
	}
	s.ledger.done(run)
	s.answer(w, r)
}

// Answer is what an upstream sends back; Op lets the caller check that it is
// the answer to its own request.
type Answer struct {
	Op      string `json:"op"`
	Service string `json:"service"`
	Filler  string `json:"filler"`
}

// Complete reports whether nothing of the answer is missing.
func (a *Answer) Complete() bool { return a.Filler == filler }

// fillerBytes brings an answer to about 1 KB.
const fillerBytes = 900

var filler = fill(fillerBytes)

func fill(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(i%26)
	}
	return string(b)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(Answer{Op: r.Header.Get(HeaderOp), Service: s.cfg.Service, Filler: filler})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Galena-Context", r.Header.Get("Galena-Context"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	if d, err := time.ParseDuration(r.Header.Get("Galena-Timeout")); err == nil {
		return context.WithTimeout(r.Context(), d)
	}
	return context.WithCancel(r.Context())
}

// limitListener bounds the open connections; those beyond it are closed.
type limitListener struct {
	net.Listener
	room chan struct{}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.room <- struct{}{}:
			return conns.OnClose(c, func() { <-l.room }), nil
		default:
			_ = c.Close()
		}
	}
}
