package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const healthPath = "/health"

// workTime is how long a request works: a log-normal distribution with a mean and an upper bound.
type workTime struct {
	mean, max time.Duration
	spread    float64
}

func (w workTime) draw() time.Duration {
	factor := math.Exp(w.spread*rand.NormFloat64() - w.spread*w.spread/2)
	return min(time.Duration(float64(w.mean)*factor), w.max)
}

// run is one execution of a request at a backend.
type run struct {
	backend string
	at      time.Time
}

// ledger has the runs of all backends by request ID.
type ledger struct {
	rec  *record
	mu   sync.Mutex
	runs map[string][]run
}

func newLedger(rec *record) *ledger { return &ledger{rec: rec, runs: map[string][]run{}} }

// begin records that a backend began to work on a request.
func (l *ledger) begin(id, backend string) {
	l.mu.Lock()
	l.runs[id] = append(l.runs[id], run{backend, time.Now()})
	l.mu.Unlock()
	l.rec.note("run %s at %s", id, backend)
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// garbler decides how a faulty backend spoils the response to a request that ran. inPlace replaces the
// response, late follows the complete response; nil for none.
type garbler func(id string) (inPlace, late []byte)

// backend is an application server that speaks HTTP/1.1 as PROTOCOL.md says of backends.
type backend struct {
	rec           *record
	ledger        *ledger
	service, zone string
	address       string
	announce      string
	slots         int
	work          workTime
	// garble, if set, spoils responses. Late bytes arrive at the point where the next response on the
	// connection is expected.
	garble atomic.Pointer[garbler]

	mu       sync.Mutex
	id       string
	listener net.Listener
	conns    map[net.Conn]bool
	inUse    chan struct{}
	leaving  bool
	silent   bool // sends no reports any more
	sequence int64
	cancel   context.CancelFunc
}

var lifetimes atomic.Int64

// start starts a new lifetime of the backend.
func (b *backend) start() error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.mu.Lock()
	b.id = fmt.Sprintf("i-%08x", lifetimes.Add(1))
	b.listener, b.conns, b.inUse, b.cancel = l, map[net.Conn]bool{}, make(chan struct{}, b.slots), cancel
	b.sequence, b.leaving, b.silent = 0, false, false
	id := b.id
	b.mu.Unlock()
	b.rec.note("backend %s of %s started at %s", id, b.service, b.address)
	go b.accept(l, id)
	go b.report(ctx)
	return nil
}

// crash ends the lifetime: its connections are closed and its requests are dropped.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return
	}
	b.cancel()
	_ = b.listener.Close()
	b.listener = nil
	for c := range b.conns {
		_ = c.Close()
	}
}

func (b *backend) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c, id)
	}
}

// serve serves the requests of one connection, one at a time.
func (b *backend) serve(c net.Conn, instance string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			b.rec.note("late bytes from %s before the response to %s: %q", instance, req.Header.Get("X-Request-Id"), late)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		out, ran := b.respond(req, body, instance)
		if garble := b.garble.Load(); garble != nil && ran {
			var inPlace []byte
			inPlace, late = (*garble)(req.Header.Get("X-Request-Id"))
			if inPlace != nil {
				b.rec.note("bytes from %s in place of the response to %s: %q", instance, req.Header.Get("X-Request-Id"), inPlace)
				out = inPlace
			}
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// respond handles a request and returns the bytes of the response, and whether the request ran.
func (b *backend) respond(req *http.Request, body []byte, instance string) ([]byte, bool) {
	id := req.Header.Get("X-Request-Id")
	b.mu.Lock()
	leaving, inUse := b.leaving, b.inUse
	b.mu.Unlock()
	if req.URL.Path == healthPath {
		status := http.StatusOK
		if leaving {
			status = http.StatusServiceUnavailable
		}
		return response(status, []string{"X-Instance-Id: " + instance}, nil), false
	}
	if want := req.Header.Get("X-Expected-Instance"); want != "" && want != instance {
		return response(http.StatusMisdirectedRequest, []string{"X-Instance-Id: " + instance}, nil), false
	}
	select {
	case inUse <- struct{}{}:
	default:
		return response(http.StatusServiceUnavailable, []string{"X-Not-Executed: 1"}, nil), false
	}
	defer func() { <-inUse }()
	b.ledger.begin(id, instance)
	time.Sleep(b.work.draw())
	return response(http.StatusOK, []string{"X-Request-Id: " + id, "X-Server-Stamp: " + stamp(id)}, answerBody(id, body)), true
}

// stamp is the signature of a backend's response to a request.
func stamp(id string) string { return "stamp-" + id }

// answerBody is the body of the response to a request.
func answerBody(id string, body []byte) []byte {
	return []byte(fmt.Sprintf("done %s with %d bytes", id, len(body)))
}

func response(status int, fields []string, body []byte) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, f := range fields {
		out.WriteString(f + "\r\n")
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	return out.Bytes()
}

// report sends a liveness report about every reportInterval.
func (b *backend) report(ctx context.Context) {
	for ctx.Err() == nil {
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		if !silent {
			_ = b.send(ctx, b.heartbeat())
		}
		select {
		case <-time.After(reportInterval):
		case <-ctx.Done():
		}
	}
}

// message is a call to the node beside the backend.
type message struct{ call, id, body string }

// deregister sends the deregistration, after which the backend sends no more reports. It returns an
// error unless the node acknowledged it.
func (b *backend) deregister() error {
	b.mu.Lock()
	b.leaving, b.silent = true, true
	m := message{"instances.deregister", b.id, "{}"}
	b.mu.Unlock()
	return b.send(context.Background(), m)
}

// heartbeat returns the next liveness report.
func (b *backend) heartbeat() message {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	state := "ready"
	if b.leaving {
		state = "draining"
	}
	return message{"instances.heartbeat", b.id, fmt.Sprintf(
		`{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"cold_remaining":"0ms"}}`,
		b.address, b.service, b.zone, b.slots, state, b.sequence)}
}

var reportClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send sends a message to the node and returns an error unless it was acknowledged.
func (b *backend) send(ctx context.Context, m message) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.announce+"/rpc?call="+m.call+"&of="+m.id, bytes.NewReader([]byte(m.body)))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := reportClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
