package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in for one lifetime of an application backend beside a node.
type backend struct {
	record  *recorder
	id      string
	born    int64
	service string
	zone    string
	addr    string
	control string
	slots   chan struct{}
	server  *http.Server
	stop    context.CancelFunc
	ctx     context.Context

	mu       sync.Mutex
	sequence int
	leaving  bool
	silent   bool
	// started counts the requests that this lifetime began to run.
	started int
	// work returns the time that a run takes; nil for the one that the request asks for.
	work func() time.Duration
}

func newID(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// startBackend starts a lifetime that listens on addr and reports to the control address of its node.
func startBackend(rec *recorder, service, zone, addr, control string, slots int) *backend {
	l, err := net.Listen("tcp", addr)
	check(err)
	b := &backend{record: rec, id: "i-" + newID(5), born: time.Now().UnixMilli(), service: service, zone: zone, addr: addr, control: control, slots: make(chan struct{}, slots)}
	b.ctx, b.stop = context.WithCancel(context.Background())
	b.server = &http.Server{Handler: b, BaseContext: func(net.Listener) context.Context { return b.ctx }, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	rec.log("backend %s (%s at %s) starts", b.id, service, addr)
	return b
}

// beats sends liveness reports until the lifetime ends or falls silent.
func (b *backend) beats() {
	for b.ctx.Err() == nil {
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		if !silent {
			b.send(b.nextBeat())
		}
		wait(b.ctx, 1500*time.Millisecond)
	}
}

// nextBeat returns the body of the next liveness report.
func (b *backend) nextBeat() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","sequence":%d,"cold_remaining":"0ms"}}`,
		b.addr, b.born, b.service, b.zone, cap(b.slots), b.sequence)
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (b *backend) send(body string) bool {
	resp, err := controlClient.Post("http://"+b.control+"/rpc?call=instances.heartbeat&of="+b.id, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode/100 == 2
}

// deregister reports that the lifetime leaves and returns when the report is acknowledged, or gives up.
func (b *backend) deregister() bool {
	b.mu.Lock()
	b.leaving, b.silent = true, true
	b.mu.Unlock()
	for range 20 {
		resp, err := controlClient.Post("http://"+b.control+"/rpc?call=instances.deregister&of="+b.id, "application/json",
			strings.NewReader(fmt.Sprintf(`{"born":%d}`, b.born)))
		if err == nil {
			_ = resp.Body.Close()
			b.record.log("backend %s says that it leaves: its node answers %d", b.id, resp.StatusCode)
			if resp.StatusCode/100 == 2 {
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func (b *backend) end() {
	b.stop()
	_ = b.server.Close()
	b.record.log("backend %s ends", b.id)
}

// ServeHTTP answers a health check or runs a request. The query "w" of a request is its work in
// milliseconds.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	leaving := b.leaving
	b.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", b.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != b.id {
		b.record.log("request %s reaches backend %s, expects %s: 421", id, b.id, want)
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.mu.Lock()
	b.started++
	b.mu.Unlock()
	b.record.run(id, b.id)
	asked, _ := strconv.Atoi(r.URL.Query().Get("w"))
	work := time.Duration(asked) * time.Millisecond
	if b.work != nil {
		work = b.work()
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		b.record.runEnded(id, b.id, "its connection closed")
		return
	}
	b.record.runEnded(id, b.id, "done")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", "stamp."+b.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer to %s with %d bytes", id, len(body))
}
