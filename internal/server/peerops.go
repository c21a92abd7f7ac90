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
	// peerTimeout bounds one question to one node. A healthy one answers
	// within milliseconds, also over zones.
	peerTimeout = time.Second
	// allPeersTimeout bounds the questions to all nodes together: with many that
	// are gone, the rest must not wait for each of their timeouts.
	allPeersTimeout = 5 * time.Second
	// maxParallelRequests bounds the questions that are out at a time.
	maxParallelRequests = 32
	// maxMessageBytes bounds an answer to one of the paths above, in bytes.
	maxMessageBytes = 16 << 10
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

// drainRequest asks a node to take no new calls.
type drainRequest struct {
	Operator   string `json:"operator"`
	Reason     string `json:"reason"`
	WaitMillis int64  `json:"wait_ms"`
}

// drainState is how far a drain has come.
type drainState struct {
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
}

// reportResult is one member's answer; err is set when there was none. age is the
// time since the node was last heard, negative when it never was.
type reportResult struct {
	report report
	age    time.Duration
	err    error
}

// peerClient asks other nodes on behalf of operators. Safe for concurrent use.
type peerClient struct {
	server *Server
	client *http.Client

	mu sync.Mutex
	// lastResponse holds when each present member last answered.
	lastResponse map[membership.Identity]time.Time
}

func newPeerClient(s *Server) *peerClient {
	return &peerClient{
		server:       s,
		client:       &http.Client{Transport: s.peers.ControlTransport()},
		lastResponse: map[membership.Identity]time.Time{},
	}
}

func (p *peerClient) close() { p.client.CloseIdleConnections() }

// reports asks each member, this node included, and returns the answers in
// the members' order.
func (p *peerClient) reports(ctx context.Context, members []membership.Member) []reportResult {
	out := make([]reportResult, len(members))
	p.forEach(ctx, members, func(ctx context.Context, i int) {
		out[i].report, out[i].err = p.report(ctx, members[i])
	})
	now := p.server.node.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, m := range members {
		if out[i].err == nil {
			p.lastResponse[m.Identity] = now
		}
		out[i].age = -time.Millisecond
		if at, ok := p.lastResponse[m.Identity]; ok {
			out[i].age = now.Sub(at)
		}
	}
	p.pruneLocked()
	return out
}

// pruneLocked keeps the memory to present members.
func (p *peerClient) pruneLocked() {
	present := map[membership.Identity]bool{}
	for _, m := range p.server.control.knownMembers() {
		present[m.Identity] = true
	}
	maps.DeleteFunc(p.lastResponse, func(id membership.Identity, _ time.Time) bool { return !present[id] })
}

// forEach runs f for every member with bounds on number and time.
func (p *peerClient) forEach(ctx context.Context, members []membership.Member, f func(ctx context.Context, i int)) {
	ctx, cancel := context.WithTimeout(ctx, allPeersTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxParallelRequests)
	for i := range members {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			f(ctx, i)
			return nil
		})
	}
	_ = g.Wait()
}

func (p *peerClient) isSelf(m membership.Member) bool {
	return m.Node == p.server.cfg.NodeID && m.Incarnation == p.server.node.Incarnation()
}

func (p *peerClient) report(ctx context.Context, m membership.Member) (report, error) {
	if p.isSelf(m) {
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

func (p *peerClient) drain(ctx context.Context, m membership.Member, request drainRequest) (drainState, error) {
	var s drainState
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+time.Duration(request.WaitMillis)*time.Millisecond)
	defer cancel()
	err := p.call(ctx, m, http.MethodPost, drainPath, request, &s)
	return s, err
}

func (p *peerClient) call(ctx context.Context, m membership.Member, method, path string, in, out any) error {
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxMessageBytes)).Decode(out)
	return errors.Wrap(err, "answer")
}

func (p *peerClient) url(m membership.Member) string {
	return p.server.peers.Scheme() + "://" + m.InnerAddr
}

func (p *peerClient) controlClient(m membership.Member) innerpbconnect.ControlClient {
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

// registerPeerHandlers serves other nodes' questions.
func (s *Server) registerPeerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+reportPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.report())
	})
	mux.HandleFunc("POST "+drainPath, func(w http.ResponseWriter, r *http.Request) {
		var request drainRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&request); err != nil {
			http.Error(w, "drain: "+err.Error(), http.StatusBadRequest)
			return
		}
		request.WaitMillis = min(request.WaitMillis, admin.MaxWait.Milliseconds())
		writeJSON(w, s.drainAndWait(r.Context(), request))
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func formatIncarnation(i uint64) string { return strconv.FormatUint(i, 16) }

func formatCount(n uint64) string { return strconv.FormatUint(n, 10) }
