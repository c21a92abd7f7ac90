package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/galenagrade/galenagrade/internal/fleet"
)

const (
	// adoptionReports is how long after its start a node tries to adopt the upstream beside it, in
	// intervals between two reports of an upstream. One report may be lost.
	adoptionReports = 2
	// adoptionPollInterval is the pause between two attempts. Routes and the record of the
	// node's previous process arrive from the store some 20 ms after the start.
	adoptionPollInterval = 50 * time.Millisecond
	// healthCheckTimeout bounds a health check of the upstream. The check is queued for a slot of
	// the upstream like any request.
	healthCheckTimeout = 500 * time.Millisecond
)

// adoptUpstream takes the upstream beside the node into service before its first report.
//
// It covers a node that is restarted while its upstream keeps running. Without adoption, every
// call for that upstream is refused ("no upstream is announced to this node") until its next
// report, seconds later, although it is idle. If several nodes of a service are restarted in
// turn, the service can be without any upstream for that time. The node's previous process has
// published a record of the upstream, and a health check shows whether the upstream is still that
// process and accepts work. Both are needed: the record may describe a process that has ended, and
// the health check does not report the number of slots.
func (m *Mesh) adoptUpstream(ctx context.Context) {
	deadline := time.Now().Add(adoptionReports * m.cfg.Upstream.ReportInterval.Std())
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

// predecessorUpstream returns the record of the node's previous process if it describes an
// upstream in service.
func (m *Mesh) predecessorUpstream() (fleet.Member, bool) {
	record, known := m.members.predecessor(m.cfg.NodeID, m.node.Incarnation())
	active := record.State == fleet.Serving || record.State == fleet.Stopping
	return record, known && active && record.Service == m.cfg.Service && record.Upstream != "" && record.Slots > 0
}

// upstreamID returns the ID that the upstream reports in a health check. It is empty when the
// check can't be sent, gets no response, or the upstream accepts no work.
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
		m.logger.Error().Str("path", path).Err(err).Msg("health check path of the routes forms no valid URL; upstream not adopted")
		return ""
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		m.rateLimited.Debug().Str("address", m.cfg.UpstreamAddress).Err(err).Msg("health check of the upstream failed; upstream not adopted yet")
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	return m.platform.Identify(resp.StatusCode, resp.Header)
}
