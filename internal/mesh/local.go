package mesh

import (
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// localUpstream applies the reports of the upstream beside the node. It implements
// UpstreamReports.
type localUpstream struct {
	mesh *Mesh

	mu    sync.Mutex
	known fleet.LocalUpstream
}

// Reported implements UpstreamReports. When it returns, a reported drain is in force at the guard,
// since acknowledging a report commits the node to it.
func (l *localUpstream) Reported(r fleet.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Service != l.mesh.cfg.Service {
		l.mesh.logger.Warn().Str("upstream", r.ID).Str("service", r.Service).Msg("upstream report names another service; report ignored")
		return
	}
	before, served := l.known.Current()
	change := l.known.Apply(r)
	if served && before.ID == r.ID && before.StartedAt == 0 && change != fleet.Started {
		l.mesh.node.Guard().SetProcess(processOf(r))
	}
	switch change {
	case fleet.Started:
		l.onStarted(r, served)
	case fleet.Left:
		l.onLeft(r, "reported")
	case fleet.Updated:
		if r.Address != l.mesh.upstream.Addr() {
			l.mesh.upstream.SetAddr(r.Address)
		}
		l.publish(r, fleet.Serving)
	case fleet.Outdated:
		l.mesh.logger.Info().Str("upstream", r.ID).Int64("sequence", r.Sequence).Int64("born", r.StartedAt).Msg("upstream report is older than the newest one; report ignored")
	case fleet.Unchanged:
		l.resumeServing(r)
	}
}

// adopt takes an upstream into service that was already running when the node started: the guard
// accepts calls for it, and the node publishes a record of it. notice is what it said about itself,
// and not that it is leaving. It reports false if an upstream has reported in the meantime.
func (l *localUpstream) adopt(record *fleet.Member, address string, notice routing.UpstreamNotice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := fleet.Report{ID: record.Upstream, Service: record.Service, Address: address, Slots: record.Slots}
	if !l.known.Adopt(r) {
		return false
	}
	m := l.mesh
	m.platform.SetUpstream(r.ID)
	m.upstream.SetAddr(r.Address)
	m.node.UpstreamReplaced(m.node.Now(), announcementOf(r))
	m.node.Guard().ApplyNotice(m.node.Now(), notice)
	l.publishServingSince(r, fleet.Serving, record.ServesSince)
	m.logger.Info().Str("upstream", r.ID).Str("address", r.Address).Int("slots", r.Slots).
		Uint64("record_incarnation", record.Incarnation).Msg("running upstream adopted after the start of the node; it takes calls")
	return true
}

// isKnown reports whether an upstream has reported or was adopted.
func (l *localUpstream) isKnown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, _ := l.known.Current()
	return r.ID != ""
}

// Departed implements UpstreamReports.
func (l *localUpstream) Departed(id string, startedAt int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known.Departed(id, startedAt) == fleet.Left {
		r, _ := l.known.Current()
		l.onLeft(r, "departed")
	}
}

func announcementOf(r fleet.Report) node.Announcement {
	return node.Announcement{Service: r.Service, Address: r.Address, Slots: r.Slots, Process: processOf(r)}
}

func processOf(r fleet.Report) routing.Process {
	return routing.Process{ID: r.ID, StartedAt: r.StartedAt}
}

// saidLeaving publishes that the upstream leaves, after its guard learned it from a response. Such an
// upstream may report its drain late or, if it departs without a drain, never.
func (l *localUpstream) saidLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mesh.node.Guard().Draining() {
		return // another process is in service by now
	}
	r, _ := l.known.Current()
	if l.known.Departed(r.ID, l.mesh.node.Guard().Process().StartedAt) == fleet.Left {
		l.onLeft(r, "response")
	}
}

// onStarted takes a new process into service. If another process served until now and never
// reported that it leaves, that process has crashed.
func (l *localUpstream) onStarted(r fleet.Report, served bool) {
	m := l.mesh
	now := m.node.Now()
	if served {
		m.node.UpstreamCrashed(now)
	}
	m.platform.SetUpstream(r.ID)
	m.upstream.SetAddr(r.Address)
	m.node.UpstreamReplaced(now, announcementOf(r))
	l.publish(r, fleet.Serving)
	m.logger.Info().Str("upstream", r.ID).Str("address", r.Address).Int("slots", r.Slots).Int64("born", r.StartedAt).
		Str("version", r.Version).Dur("cold_ms", r.ColdFor).Bool("predecessor_died", served).Msg("upstream started; it takes calls")
}

// resumeServing makes the guard accept calls again for an upstream that was considered dead. A
// refused connection marks an upstream as dead, but a further report of the same process shows that
// the process has not ended.
func (l *localUpstream) resumeServing(r fleet.Report) {
	m := l.mesh
	if _, serving := l.known.Current(); !serving || m.node.Guard().Serving() {
		return
	}
	m.node.UpstreamResumed(m.node.Now(), announcementOf(r))
	m.logger.Info().Str("upstream", r.ID).Int64("sequence", r.Sequence).Msg("upstream still reports after it was considered dead; it takes calls again")
}

// onLeft refuses new calls to the upstream and publishes that it leaves. how is "reported" for a
// report that says so, "departed" for a departure message and "response" for a response.
func (l *localUpstream) onLeft(r fleet.Report, how string) {
	m := l.mesh
	m.node.Guard().Drain(m.node.Now())
	l.publish(r, fleet.Leaving)
	m.logger.Info().Str("upstream", r.ID).Str("how", how).Int64("sequence", r.Sequence).Int("in_flight", m.node.Guard().Busy()).Msg("upstream left; new calls to it are refused")
}

// servesSince returns now in Unix milliseconds for an upstream that reports that it is still slow
// after its start, and 0 otherwise: an upstream that reports no slowness has been warm for longer
// than any slow start takes.
func servesSince(r fleet.Report, now time.Time) int64 {
	if r.ColdFor <= 0 {
		return 0
	}
	return now.UnixMilli()
}

// publish writes the node's own record to the store and applies it at this node at once.
func (l *localUpstream) publish(r fleet.Report, state fleet.State) {
	l.publishServingSince(r, state, servesSince(r, l.mesh.node.Now()))
}

func (l *localUpstream) publishServingSince(r fleet.Report, state fleet.State, since int64) {
	if l.mesh.stopping.Load() && state == fleet.Serving {
		state = fleet.Stopping
	}
	record := l.mesh.publisher.Update(func(own *fleet.Member) {
		own.Upstream = r.ID
		own.Slots = r.Slots
		own.ServesSince = since
		own.State = state
	})
	l.mesh.members.applyMember(record)
}
