package server

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb/innerpbconnect"
	"github.com/galenagrade/galenagrade/internal/membership"
)

const (
	// reportPath and drainPath are on the inner port, which only nodes reach.
	reportPath = "/v1/report"
	drainPath  = "/v1/drain"
	// askTimeout bounds one question to one node. A healthy one answers
	// within milliseconds, also over zones.
	askTimeout = time.Second
	// askAllTimeout bounds the questions to all nodes together: with many that
	// are gone, the rest must not wait for each of their timeouts.
	askAllTimeout = 5 * time.Second
	// askParallel bounds the questions that are out at a time.
	askParallel = 32
	// maxReport bounds an answer to one of the paths above, in bytes.
	maxReport = 16 << 10
)

// report is what a node says of itself to the node that an operator asked.
type report struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	// Folded is the offset up to which the log is folded.
	Folded uint64 `json:"folded"`
	// Change is the version of the last accepted change in force.
	Change       uint64 `json:"change"`
	UpstreamAddr string `json:"upstream_addr,omitempty"`
	InFlight     int    `json:"in_flight"`
	Limit        int    `json:"limit"`
	Draining     bool   `json:"draining"`
}

// drainOrder asks a node to take no new calls.
type drainOrder struct {
	Operator   string `json:"operator"`
	Reason     string `json:"reason"`
	WaitMillis int64  `json:"wait_ms"`
}

// drainState is how far a drain has come.
type drainState struct {
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
}

// asked is one member's answer; err is set when there was none. age is the
// time since the node was last heard, negative when it never was.
type asked struct {
	report report
	age    time.Duration
	err    error
}

// peerOps asks other nodes on behalf of operators. Safe for concurrent use.
type peerOps struct {
	server *Server
	client *http.Client

	mu sync.Mutex
	// heard holds when each present member last answered.
	heard map[membership.Identity]time.Time
}

func newPeerOps(s *Server) *peerOps {
	return &peerOps{
		server: s,
		client: &http.Client{Transport: s.peers.ControlTransport()},
		heard:  map[membership.Identity]time.Time{},
	}
}

func (p *peerOps) close() { p.client.CloseIdleConnections() }

// reports asks each member, this node included, and returns the answers in
// the members' order.
func (p *peerOps) reports(ctx context.Context, members []membership.Member) []asked {
	out := make([]asked, len(members))
	p.each(ctx, members, func(ctx context.Context, i int) {
		out[i].report, out[i].err = p.report(ctx, members[i])
	})
	now := p.server.node.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, m := range members {
		if out[i].err == nil {
			p.heard[m.Identity] = now
		}
		out[i].age = -time.Millisecond
		if at, ok := p.heard[m.Identity]; ok {
			out[i].age = now.Sub(at)
		}
	}
	p.forgetLocked()
	return out
}

// forgetLocked keeps the memory to present members.
func (p *peerOps) forgetLocked() {
	present := map[membership.Identity]bool{}
	for _, m := range p.server.control.known() {
		present[m.Identity] = true
	}
	maps.DeleteFunc(p.heard, func(id membership.Identity, _ time.Time) bool { return !present[id] })
}

// each runs f for every member with bounds on number and time.
func (p *peerOps) each(ctx context.Context, members []membership.Member, f func(ctx context.Context, i int)) {
	ctx, cancel := context.WithTimeout(ctx, askAllTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(askParallel)
	for i := range members {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			f(ctx, i)
			return nil
		})
	}
	_ = g.Wait()
}

func (p *peerOps) own(m membership.Member) bool {
	return m.Node == p.server.cfg.NodeID && m.Incarnation == p.server.node.Incarnation()
}

func (p *peerOps) report(ctx context.Context, m membership.Member) (report, error) {
	if p.own(m) {
		return p.server.report(), nil
	}
	var r report
	if err := p.call(ctx, m, http.MethodGet, reportPath, nil, &r); err != nil {
		return r, err
	}
	if r.Incarnation != formatIncarnation(m.Incarnation) {
		return r, errors.Errorf("incarnation %s answered", r.Incarnation)
	}
	return r, nil
}

func (p *peerOps) drain(ctx context.Context, m membership.Member, order drainOrder) (drainState, error) {
	var s drainState
	ctx, cancel := context.WithTimeout(ctx, askTimeout+time.Duration(order.WaitMillis)*time.Millisecond)
	defer cancel()
	err := p.call(ctx, m, http.MethodPost, drainPath, order, &s)
	return s, err
}

func (p *peerOps) call(ctx context.Context, m membership.Member, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req, err := http.NewRequestWithContext(ctx, method, p.url(m)+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "address")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "no answer")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("answered %s", resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(out)
	return errors.Wrap(err, "answer")
}

func (p *peerOps) url(m membership.Member) string {
	return p.server.peers.Scheme() + "://" + m.InnerAddr
}

func (p *peerOps) control(m membership.Member) innerpbconnect.ControlClient {
	return inner.NewControlClient(p.client, p.url(m))
}

// report is what this node says of itself.
func (s *Server) report() report {
	state := s.node.Policy()
	load := s.node.Guard().Load()
	return report{
		Node:         s.cfg.NodeID,
		Incarnation:  formatIncarnation(s.node.Incarnation()),
		Folded:       uint64(state.Version()),
		Change:       uint64(state.NewestChange()),
		UpstreamAddr: s.upstream.Addr(),
		InFlight:     load.InFlight,
		Limit:        load.Limit,
		Draining:     load.Draining,
	}
}

// opsHandler serves other nodes' questions.
func (s *Server) opsHandler(mux *http.ServeMux) {
	mux.HandleFunc("GET "+reportPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.report())
	})
	mux.HandleFunc("POST "+drainPath, func(w http.ResponseWriter, r *http.Request) {
		var order drainOrder
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReport)).Decode(&order); err != nil {
			http.Error(w, "drain: "+err.Error(), http.StatusBadRequest)
			return
		}
		order.WaitMillis = min(order.WaitMillis, admin.MaxWait.Milliseconds())
		writeJSON(w, s.drainFor(r.Context(), order))
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func formatIncarnation(i uint64) string { return strconv.FormatUint(i, 16) }

func formatCount(n uint64) string { return strconv.FormatUint(n, 10) }
