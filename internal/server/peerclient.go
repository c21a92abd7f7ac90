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
	// reportPath and drainPath are paths on the inner port, which only nodes can reach.
	reportPath = "/v1/report"
	drainPath  = "/v1/drain"
	// peerTimeout bounds one request to one node. A healthy node responds within milliseconds,
	// also across zones.
	peerTimeout = time.Second
	// allPeersTimeout bounds the requests to all nodes together, so that many unreachable nodes do
	// not delay the response by the sum of their timeouts.
	allPeersTimeout = 5 * time.Second
	// maxParallelRequests bounds the requests in flight at a time.
	maxParallelRequests = 32
	// maxMessageBytes bounds a request or response of the paths above, in bytes.
	maxMessageBytes = 16 << 10
)

// report is the state of a node, sent to the node that handles an operator's request.
type report struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	// Folded is the offset up to which the node has applied the log.
	Folded uint64 `json:"folded"`
	// Change is the version of the last accepted change in force.
	Change       uint64 `json:"change"`
	UpstreamAddr string `json:"upstream_addr,omitempty"`
	InFlight     int    `json:"in_flight"`
	Limit        int    `json:"limit"`
	Draining     bool   `json:"draining"`
}

// drainRequest requests that a node accepts no new calls.
type drainRequest struct {
	Operator   string `json:"operator"`
	Reason     string `json:"reason"`
	WaitMillis int64  `json:"wait_ms"`
}

// drainState is the progress of a drain.
type drainState struct {
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
}

// reportResult is the response of one member. err is set when the request failed. age is the
// time since the last response of the member, negative when there was none.
type reportResult struct {
	report report
	age    time.Duration
	err    error
}

// peerClient sends requests of operators to other nodes. Safe for concurrent use.
type peerClient struct {
	server *Server
	client *http.Client

	mu sync.Mutex
	// lastResponse is the time of the last response of each present member.
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

// reports requests a report from each member, including this node, and returns the results in
// the order of the members.
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

// pruneLocked removes the entries of nodes that are no longer members.
func (p *peerClient) pruneLocked() {
	present := map[membership.Identity]bool{}
	for _, m := range p.server.control.knownMembers() {
		present[m.Identity] = true
	}
	maps.DeleteFunc(p.lastResponse, func(id membership.Identity, _ time.Time) bool { return !present[id] })
}

// forEach runs f for every member, with bounds on parallel requests and on time.
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
		return r, errors.Errorf("the response came from incarnation %s", r.Incarnation)
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

// call sends in as JSON to a path on the inner port of a member and decodes the JSON response
// into out.
func (p *peerClient) call(ctx context.Context, m membership.Member, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, p.url(m)+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "no response")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("response has status %s", resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxMessageBytes)).Decode(out)
	return errors.Wrap(err, "decode response")
}

func (p *peerClient) url(m membership.Member) string {
	return p.server.peers.Scheme() + "://" + m.InnerAddr
}

func (p *peerClient) controlClient(m membership.Member) innerpbconnect.ControlClient {
	return inner.NewControlClient(p.client, p.url(m))
}

// report returns the state of this node.
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

// registerPeerHandlers registers the handlers for requests of other nodes.
func (s *Server) registerPeerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+reportPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.report())
	})
	mux.HandleFunc("POST "+drainPath, func(w http.ResponseWriter, r *http.Request) {
		var request drainRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&request); err != nil {
			http.Error(w, "decode drain request: "+err.Error(), http.StatusBadRequest)
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
