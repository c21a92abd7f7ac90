package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/galenagrade/galenagrade/internal/fleet"
)

const (
	// adoptionWindow is how long after its start a node looks for the upstream beside it:
	// twice the pause between two reports of an upstream, which come every 1.5 s.
	adoptionWindow = 3 * time.Second
	// adoptionPollInterval is the pause between two looks. Routes and the node's earlier record
	// come from the store some 20 ms after the start.
	adoptionPollInterval = 50 * time.Millisecond
	// healthCheckTimeout bounds a question for the upstream's health, which waits for a slot
	// like a request.
	healthCheckTimeout = 500 * time.Millisecond
)

// adoptUpstream takes the upstream beside the node into service before it reports.
//
// The failure it guards against: a node is restarted while its upstream goes on. Until
// the upstream's next report, up to 1.5 s later, every call for it was refused ("no
// upstream is announced to this node") though it was idle; where several nodes of a
// service are restarted in turn, there was none left. The node's earlier process has
// left a record of the upstream, and the upstream says by its health whether it is
// still that one and takes work. Neither alone would do: a record may be of a process
// that is gone, and health doesn't tell the slots.
func (m *Mesh) adoptUpstream(ctx context.Context) {
	deadline := time.Now().Add(adoptionWindow)
	poll := time.NewTicker(adoptionPollInterval)
	defer poll.Stop()
	for time.Now().Before(deadline) && !m.local.isKnown() && !m.stopping.Load() {
		if record, ok := m.predecessorUpstream(); ok && m.upstreamID(ctx) == record.Upstream && m.local.adopt(&record, m.cfg.UpstreamAddress) {
			return
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

// predecessorUpstream returns the record that the node's earlier process left, if it speaks of an
// upstream at work.
func (m *Mesh) predecessorUpstream() (fleet.Member, bool) {
	record, known := m.members.predecessor(m.cfg.NodeID, m.node.Incarnation())
	active := record.State == fleet.Serving || record.State == fleet.Stopping
	return record, known && active && record.Service == m.cfg.Service && record.Upstream != "" && record.Slots > 0
}

// upstreamID asks the upstream who it is; empty when it can't be asked, doesn't answer or
// takes no work.
func (m *Mesh) upstreamID(ctx context.Context) string {
	table := m.proxy.Routes()
	if table == nil {
		return ""
	}
	path := table.Config().HealthPath(m.cfg.Service)
	if path == "" {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.cfg.UpstreamAddress+path, nil)
	if err != nil {
		m.logger.Error().Str("path", path).Err(err).Msg("health path is no path")
		return ""
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		m.rateLimited.Debug().Str("address", m.cfg.UpstreamAddress).Err(err).Msg("upstream not asked for its health")
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	return m.platform.Identify(resp.StatusCode, resp.Header)
}
