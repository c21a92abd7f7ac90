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
	// maxAnnouncementBytes bounds the body of an announcement, in bytes.
	maxAnnouncementBytes = 4 << 10
	// maxSlots bounds what an upstream may announce, a guard against a unit
	// mistaken for another.
	maxSlots = 100_000
)

// announcementHandler is what the local upstream tells its node:
// PUT /v1/upstream announces it, once a second; DELETE says that it is
// leaving; GET shows whether it may go.
type announcementHandler struct {
	server *Server

	mu            sync.Mutex
	current       *node.Announcement
	lastAnnounced time.Time
	down          bool
}

// upstreamState is the answer to the upstream.
type upstreamState struct {
	Draining bool `json:"draining"`
	InFlight int  `json:"in_flight"`
}

// ServeHTTP implements http.Handler.
func (a *announcementHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		a.put(w, r)
	case http.MethodDelete:
		a.server.BeginDrain()
		a.writeState(w)
	case http.MethodGet:
		a.writeState(w)
	default:
		w.Header().Set("Allow", "GET, PUT, DELETE")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (a *announcementHandler) put(w http.ResponseWriter, r *http.Request) {
	announced, err := decodeAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	a.accept(announced)
	a.writeState(w)
}

// decodeAnnouncement reads one announcement and checks its bounds. What follows
// it is an error: two documents in one body are no announcement.
func decodeAnnouncement(r io.Reader) (node.Announcement, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	var announced node.Announcement
	if err := dec.Decode(&announced); err != nil {
		return node.Announcement{}, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return node.Announcement{}, errors.New("something follows the document")
	}
	if fault := checkAnnouncement(announced); fault != "" {
		return node.Announcement{}, errors.New(fault)
	}
	return announced, nil
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

func (a *announcementHandler) accept(announced node.Announcement) {
	now := a.server.node.Now()
	a.mu.Lock()
	changed := a.current == nil || a.down || *a.current != announced
	a.current = &announced
	a.lastAnnounced = now
	a.down = false
	a.mu.Unlock()
	if !changed {
		return
	}
	a.server.upstream.SetAddr(announced.Address)
	a.server.node.UpstreamAnnounced(now, announced)
	a.server.control.join(announced)
}

// markDown notes that the upstream's process died, so that its next
// announcement takes it into service again.
func (a *announcementHandler) markDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = true
}

// checkExpiry holds an upstream that stopped announcing itself for gone.
func (a *announcementHandler) checkExpiry(now time.Time) {
	a.mu.Lock()
	expired := a.current != nil && !a.down && now.Sub(a.lastAnnounced) > a.server.cfg.Timing.UpstreamSilence.Std()
	if expired {
		a.down = true
	}
	a.mu.Unlock()
	if expired && a.server.node.Guard().Draining() {
		a.server.node.Event(now, timeline.Event{Kind: timeline.UpstreamLeft, Upstream: a.server.cfg.NodeID, Detail: "as planned"})
		return
	}
	if expired {
		a.server.node.Event(now, timeline.Event{Kind: timeline.UpstreamLeft, Upstream: a.server.cfg.NodeID, Detail: "no announcement"})
		a.server.node.UpstreamCrashed(now)
	}
}

func (a *announcementHandler) writeState(w http.ResponseWriter) {
	g := a.server.node.Guard()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(upstreamState{Draining: g.Draining(), InFlight: g.Busy()})
}
