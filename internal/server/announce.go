package server

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

const (
	// maxAnnouncement bounds the body of an announcement, in bytes.
	maxAnnouncement = 4 << 10
	// maxSlots bounds what an upstream may announce, a guard against a unit
	// mistaken for another.
	maxSlots = 100_000
)

// announcements is what the local upstream tells its node:
// PUT /v1/upstream announces it, once a second; DELETE says that it is
// leaving; GET shows whether it may go.
type announcements struct {
	server *Server

	mu      sync.Mutex
	current *node.Announcement
	last    time.Time
	down    bool
}

// upstreamState is the answer to the upstream.
type upstreamState struct {
	Draining bool `json:"draining"`
	InFlight int  `json:"in_flight"`
}

// ServeHTTP implements http.Handler.
func (a *announcements) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		a.put(w, r)
	case http.MethodDelete:
		a.server.BeginDrain()
		a.answer(w)
	case http.MethodGet:
		a.answer(w)
	default:
		w.Header().Set("Allow", "GET, PUT, DELETE")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (a *announcements) put(w http.ResponseWriter, r *http.Request) {
	got, err := decodeAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	a.accept(got)
	a.answer(w)
}

// decodeAnnouncement reads one announcement and checks its bounds. What follows
// it is an error: two documents in one body are no announcement.
func decodeAnnouncement(r io.Reader) (node.Announcement, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	var got node.Announcement
	if err := dec.Decode(&got); err != nil {
		return node.Announcement{}, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return node.Announcement{}, errors.New("something follows the document")
	}
	if fault := checkAnnouncement(got); fault != "" {
		return node.Announcement{}, errors.New(fault)
	}
	return got, nil
}

func checkAnnouncement(a node.Announcement) string {
	if !callctx.ValidName(a.Service) {
		return "service must have 1 to 64 letters, digits, '-', '_' or '.'"
	}
	if addr, err := netip.ParseAddrPort(a.Address); err != nil || addr.Port() == 0 {
		return "address must be IP:port with a port from 1 to 65535"
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return "slots must be from 1 to 100000"
	}
	if a.Connections < 0 || a.Connections > maxSlots {
		return "connections must be from 0 to 100000"
	}
	return ""
}

func (a *announcements) accept(got node.Announcement) {
	now := a.server.node.Now()
	a.mu.Lock()
	first := a.current == nil || a.down || *a.current != got
	a.current = &got
	a.last = now
	a.down = false
	a.mu.Unlock()
	if !first {
		return
	}
	a.server.upstream.SetAddr(got.Address)
	a.server.node.UpstreamAnnounced(now, got)
	a.server.control.join(got)
}

// crashed notes that the upstream's process died, so that its next
// announcement takes it into service again.
func (a *announcements) crashed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = true
}

// check holds an upstream that stopped announcing itself for gone.
func (a *announcements) check(now time.Time) {
	a.mu.Lock()
	silent := a.current != nil && !a.down && now.Sub(a.last) > a.server.cfg.Timing.UpstreamSilence.Std()
	if silent {
		a.down = true
	}
	a.mu.Unlock()
	if silent && a.server.node.Guard().Draining() {
		a.server.node.Event(now, timeline.Event{Kind: timeline.UpstreamLeft, Upstream: a.server.cfg.NodeID, Detail: "as planned"})
		return
	}
	if silent {
		a.server.node.Event(now, timeline.Event{Kind: timeline.UpstreamLeft, Upstream: a.server.cfg.NodeID, Detail: "no announcement"})
		a.server.node.UpstreamCrashed(now)
	}
}

func (a *announcements) answer(w http.ResponseWriter) {
	g := a.server.node.Guard()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(upstreamState{Draining: g.Draining(), InFlight: g.Busy()})
}
