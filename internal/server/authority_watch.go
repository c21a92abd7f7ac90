package server

import (
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/lease"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// checkAuthority records the loss and the return of authority on the timeline. Authority is the
// permission to start calls with keys of an owned slot. While it is lost, such calls are refused.
func (o *ownership) checkAuthority(now time.Time) {
	st := o.state.Status(now)
	lapsed := lapsedSlots(&st)
	o.mu.Lock()
	before := o.lapsed
	o.lapsed = lapsed
	o.mu.Unlock()
	switch {
	case before == 0 && lapsed > 0:
		o.server.metrics.Inc(metrics.AuthorityLapses, 1)
		o.recordAuthorityChange(now, timeline.AuthorityLost, &st, lapsed)
	case before > 0 && lapsed == 0:
		o.recordAuthorityChange(now, timeline.AuthorityGained, &st, lapsed)
	}
}

// lapsedSlots returns the number of slots without authority: this guard owns them according to the
// log, has not released them, and their takeover is in effect, but it may not start calls for them.
func lapsedSlots(st *lease.Status) int {
	return max(0, st.Owned-st.Released-st.Waiting-st.Ready)
}

func (o *ownership) recordAuthorityChange(now time.Time, kind timeline.Kind, st *lease.Status, lapsed int) {
	detail := fmt.Sprintf("%d of %d slots without authority, head observation %s old, promises %d of %d",
		lapsed, st.Owned, st.HeadAge.Round(time.Millisecond), st.Promises, st.Contenders)
	o.server.node.Event(now, timeline.Event{Kind: kind, Service: o.state.Local(), Upstream: o.server.cfg.NodeID, Detail: detail})
	o.server.logger.Warn().Str("event", string(kind)).Str("why", detail).Msg("authority over slots changed; calls with keys of slots without authority are refused")
}

// refreshOwnership updates the gauges of slot ownership.
func (s *Server) refreshOwnership() {
	st := s.ownership.state.Status(s.node.Now())
	s.metrics.SetGauge(metrics.SlotsOwned, int64(st.Owned))
	s.metrics.SetGauge(metrics.AuthorityAgeMillis, st.HeadAge.Milliseconds())
}

// countPromise counts the response to a promise request. requested is false when the request
// names no slots.
func (o *ownership) countPromise(requested, granted bool) {
	switch {
	case granted:
		o.server.metrics.Inc(metrics.PromisesGiven, 1)
	case requested:
		o.server.metrics.Inc(metrics.PromisesRefused, 1)
	}
}
