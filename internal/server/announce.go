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
	// maxSlots bounds the slots and connections of an announcement. It catches values that were
	// given in a wrong unit.
	maxSlots = 100_000
)

// announcementHandler serves the announcements of the local upstream. PUT /v1/upstream
// announces the upstream, which repeats it once a second. DELETE starts the drain before the
// upstream stops. GET returns the state of the drain: the upstream can stop once no calls are in
// flight.
type announcementHandler struct {
	server *Server

	mu            sync.Mutex
	current       *node.Announcement
	lastAnnounced time.Time
	// down reports whether the upstream crashed or its announcements expired after lastAnnounced.
	down bool
}

// upstreamState is the response to every request of the upstream: the state of the drain and
// the number of calls in flight.
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
		http.Error(w, "invalid announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	a.accept(announced)
	a.writeState(w)
}

// decodeAnnouncement reads one announcement and checks its bounds. Data after the JSON
// document is an error, so that a body with two documents is rejected.
func decodeAnnouncement(r io.Reader) (node.Announcement, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	var announced node.Announcement
	if err := dec.Decode(&announced); err != nil {
		return node.Announcement{}, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return node.Announcement{}, errors.New("unexpected data after the JSON document")
	}
	if fault := checkAnnouncement(announced); fault != "" {
		return node.Announcement{}, errors.New(fault)
	}
	return announced, nil
}

// checkAnnouncement returns a description of the first invalid field, or an empty string.
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

// accept stores an announcement. If the announcement is the first one, differs from the previous
// one, or follows a crash or an expiry, accept also puts the upstream into service and announces
// the node as a member.
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

// markDown records that the process of the upstream crashed, so that its next announcement
// puts it into service again.
func (a *announcementHandler) markDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = true
}

// checkExpiry treats an upstream as stopped once its announcements are missing for longer than
// the setting timing.upstream_silence: as a planned stop while the guard drains, otherwise as
// a crash.
func (a *announcementHandler) checkExpiry(now time.Time) {
	a.mu.Lock()
	expired := a.current != nil && !a.down && now.Sub(a.lastAnnounced) > a.server.cfg.Timing.UpstreamSilence.Std()
	if expired {
		a.down = true
	}
	a.mu.Unlock()
	if expired && a.server.node.Guard().Draining() {
		a.server.node.Event(now, timeline.Event{Kind: timeline.UpstreamLeft, Upstream: a.server.cfg.NodeID, Detail: "planned stop"})
		return
	}
	if expired {
		a.server.node.Event(now, timeline.Event{Kind: timeline.UpstreamLeft, Upstream: a.server.cfg.NodeID, Detail: "no announcement within timing.upstream_silence"})
		a.server.node.UpstreamCrashed(now)
	}
}

func (a *announcementHandler) writeState(w http.ResponseWriter) {
	g := a.server.node.Guard()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(upstreamState{Draining: g.Draining(), InFlight: g.Busy()})
}
