package mesh

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/h1"
	"github.com/galenagrade/galenagrade/internal/routing"
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
	// maxHealthBodyBytes is the maximum size of the body of its response.
	maxHealthBodyBytes = 1 << 20
)

// closeField asks a server to close the connection after the response.
var closeField = h1.Field{Name: "Connection", Value: "close"}

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
	for time.Now().Before(deadline) && !m.local.isHeard() && !m.stopping.Load() {
		if record, ok := m.predecessorUpstream(); ok && m.adoptHealthy(ctx, &record) {
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
	record, known := m.members.predecessor()
	active := record.State == fleet.Serving || record.State == fleet.Stopping
	adoptable := m.local.adoptable(&record)
	return record, known && active && adoptable && record.Service == m.cfg.Service && record.Upstream != "" && record.Slots > 0
}

// adoptHealthy adopts the upstream of a record if its response to a health check shows that it is the
// same process and accepts work. What the response says about the upstream is in force before the first
// call.
func (m *Mesh) adoptHealthy(ctx context.Context, record *fleet.Member) bool {
	health := m.checkHealth(ctx)
	if health == nil || health.id != record.Upstream || health.notice.Leaving {
		return false
	}
	return m.local.adopt(record, m.cfg.UpstreamAddress, health.notice)
}

// upstreamHealth is the response of the upstream to a health check.
type upstreamHealth struct {
	// id is the ID of the process; empty if it accepts no work.
	id     string
	notice routing.UpstreamNotice
}

// checkHealth returns nil when the check can't be sent or gets no valid response.
func (m *Mesh) checkHealth(ctx context.Context) *upstreamHealth {
	table := m.proxy.Routes()
	if table == nil {
		return nil
	}
	path := table.Config().HealthPath(m.cfg.Service)
	if path == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	target, err := url.ParseRequestURI(path)
	if err != nil {
		m.logger.Error().Str("path", path).Err(err).Msg("health check path of the routes forms no valid URL; upstream not adopted")
		return nil
	}
	pool := h1.NewPool(m.cfg.UpstreamAddress, h1.Config{Dial: conns.ReportResets((&net.Dialer{}).DialContext), MaxBody: maxHealthBodyBytes})
	resp, err := pool.Do(ctx, &h1.Request{
		Method: http.MethodGet,
		Target: target.RequestURI(),
		Host:   m.cfg.UpstreamAddress,
		Fields: []h1.Field{closeField},
	})
	if err != nil {
		m.rateLimited.Debug().Str("address", m.cfg.UpstreamAddress).Err(err).Msg("health check of the upstream failed; upstream not adopted yet")
		return nil
	}
	health := &upstreamHealth{id: m.platform.Identify(resp.Status, resp.Header)}
	if health.notice, err = m.platform.Notice(resp.Header); err != nil {
		m.node.RecordInvalidNotice(err)
	}
	return health
}
