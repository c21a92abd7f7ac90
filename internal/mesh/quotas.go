package mesh

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/quota"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routes"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const (
	// quotaPath is the path at which a node grants tokens of workspaces' quotas to other nodes.
	quotaPath = "/quota"
	// quotaRequestTimeout bounds a request for a token, to which a holder responds from memory.
	quotaRequestTimeout = 150 * time.Millisecond
	// quotaUnknownRetryAfter is the retry-after of a refusal when no holder responds.
	quotaUnknownRetryAfter = 500 * time.Millisecond
	// maxNextToken bounds the time for which a holder that says that it is empty is not asked.
	maxNextToken = time.Minute
)

// quotas enforces the quotas of workspaces. It implements proxy.Quota.
type quotas struct {
	mesh   *Mesh
	ledger *quota.Ledger

	mu sync.Mutex
	// nodes are the nodes of the current ring.
	nodes []quota.Node
}

// grant is another node's response to a request for a token.
type grant struct {
	Granted bool `json:"granted,omitempty"`
	// NextMillis is the time until that node has its next token, in milliseconds.
	NextMillis int64 `json:"next_ms,omitempty"`
}

func newQuotas(m *Mesh) *quotas {
	return &quotas{mesh: m, ledger: quota.NewLedger(m.cfg.NodeID, zoneName(m.cfg.Region, m.cfg.Zone))}
}

func zoneName(region, zone string) string { return region + "/" + zone }

// setEndpoints sets the nodes that hold quotas. Calls must not overlap.
func (q *quotas) setEndpoints(endpoints []routing.Endpoint) {
	nodes := make([]quota.Node, 0, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		nodes = append(nodes, quota.Node{Name: e.Node, Zone: zoneName(e.Region, e.Zone), Address: e.Addr})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if slices.Equal(nodes, q.nodes) {
		return
	}
	q.nodes = nodes
	q.ledger.SetRing(quota.NewRing(nodes))
}

// setRoutes puts the quotas of a configuration in force.
func (q *quotas) setRoutes(config *routes.Config) {
	limits := make(map[string]quota.Limit)
	for i := range config.Workspaces {
		if w := &config.Workspaces[i]; w.Limited() {
			limits[w.Name] = quota.Limit{Rate: w.Rate, Burst: w.Burst}
		}
	}
	s := q.mesh.Settings().Quotas
	q.ledger.SetLimits(time.Now(), limits, quota.Tolerance{Window: s.Window.Std(), Overage: s.Overage, Slack: s.Slack})
}

// Take implements proxy.Quota.
func (q *quotas) Take(ctx context.Context, workspace string) *result.Refusal {
	decision := q.ledger.Take(time.Now(), workspace, rand.Float64(), q.mesh.unreachable)
	if decision.Granted {
		return nil
	}
	responded := 0
	for i := range decision.Holders {
		granted, err := q.requestToken(ctx, &decision.Holders[i], workspace)
		if granted {
			return nil
		}
		if err == nil {
			responded++
		}
	}
	if decision.Unknown || len(decision.Holders) > 0 && responded == 0 {
		return result.Refuse(result.QuotaUnknown, "no node that holds a part of the quota of %s responds", workspace).WithRetryAfter(quotaUnknownRetryAfter)
	}
	retryAfter := q.ledger.Refuse(time.Now(), workspace, rand.Float64())
	return result.Refuse(result.QuotaExceeded, "the quota of %s is exhausted at this node and at %d other nodes that responded", workspace, responded).WithRetryAfter(retryAfter)
}

// requestToken requests a token from a holder. An error means that the holder did not respond.
func (q *quotas) requestToken(ctx context.Context, holder *quota.Node, workspace string) (granted bool, err error) {
	q.mesh.metrics.Inc(metrics.QuotaAsked, 1)
	response, err := q.mesh.sendTokenRequest(ctx, holder, workspace)
	now := time.Now()
	switch {
	case err != nil && ctx.Err() != nil:
		return false, err
	case err != nil:
		q.ledger.MarkUnresponsive(now, holder.Name)
		q.mesh.rateLimited.Warn().Str("member", holder.Name).Str("workspace", workspace).Err(err).Msg("quota token request to a holder failed; the holder is skipped for a while")
		return false, err
	case response.Granted:
		q.ledger.RecordGrant(workspace)
		return true, nil
	}
	next := min(max(0, response.NextMillis), maxNextToken.Milliseconds())
	q.ledger.MarkEmpty(now, workspace, holder.Name, time.Duration(next)*time.Millisecond)
	return false, nil
}

// Return implements proxy.Quota.
func (q *quotas) Return(workspace string) { q.ledger.Return(time.Now(), workspace) }

// sendTokenRequest sends a request for a token to another node.
func (m *Mesh) sendTokenRequest(ctx context.Context, holder *quota.Node, workspace string) (grant, error) {
	ctx, cancel := context.WithTimeout(ctx, quotaRequestTimeout)
	defer cancel()
	query := url.Values{"of": {holder.Name}, "workspace": {workspace}}
	response, err := m.peers.Query(ctx, holder.Address, quotaPath+"?"+query.Encode())
	if err != nil {
		return grant{}, err
	}
	if response.Status != http.StatusOK {
		return grant{}, &statusError{response.Status}
	}
	var g grant
	if err := json.Unmarshal(response.Body, &g); err != nil {
		return grant{}, errors.Wrap(err, "decode quota grant of another node")
	}
	return g, nil
}

// serveQuota responds to another node's request for a token.
func (m *Mesh) serveQuota(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("of") != m.cfg.NodeID {
		http.Error(w, "request is meant for another node; its address belongs to this node", http.StatusMisdirectedRequest)
		return
	}
	granted, untilNext := m.quotas.ledger.Grant(time.Now(), query.Get("workspace"))
	if granted {
		m.metrics.Inc(metrics.QuotaGranted, 1)
	}
	omitUnusedHeaders(w)
	m.sendJSON(w, &grant{Granted: granted, NextMillis: untilNext.Milliseconds()})
}

// states returns the quotas as this node sees them, sorted by workspace.
func (q *quotas) states() []quota.State {
	states := q.ledger.States(time.Now())
	slices.SortFunc(states, func(a, b quota.State) int { return strings.Compare(a.Workspace, b.Workspace) })
	return states
}
