package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const (
	// reportTimeout bounds how long a report waits for its acknowledgement. Upstreams wait a second.
	reportTimeout = 800 * time.Millisecond
	// recordWait is how long after the start reports wait for the record of the node's previous process.
	// Where neither the store nor a node of the zone can be reached, the upstream is served without it:
	// the entry nodes know from the same record that it left.
	recordWait = 6 * introductionInterval
	// maxPostponed bounds the reports that wait for the record of the node's previous process. They
	// come from one upstream, and delayed ones from its earlier processes.
	maxPostponed = 8
)

// localUpstream applies the reports of the upstream beside the node. It implements
// UpstreamReports.
type localUpstream struct {
	mesh *Mesh

	mu    sync.Mutex
	known fleet.LocalUpstream
	// postponed are the reports that came before the record of the node's previous process, oldest
	// first.
	postponed []fleet.Report
	// recordMissing is true if the record of the previous process was not read within recordWait.
	recordMissing bool
}

// Reported implements UpstreamReports. When it returns, a reported drain is in force at the guard and
// in the store, since acknowledging a report commits the node and its next process to it.
func (l *localUpstream) Reported(ctx context.Context, r fleet.Report) error {
	if err := l.checkOwn(&r); err != nil {
		return err
	}
	l.applyOrPostpone(r)
	if !r.Leaving {
		return nil
	}
	return l.awaitWritten(ctx)
}

// checkOwn returns an error for a report that can't be of the upstream beside the node, which is on the
// same VM and of the service in the settings.
func (l *localUpstream) checkOwn(r *fleet.Report) error {
	cfg := l.mesh.cfg
	if r.Service != cfg.Service {
		return errors.Errorf("report of upstream %s names service %s, that of the node is %s", r.ID, r.Service, cfg.Service)
	}
	if !fleet.SameHost(r.Address, cfg.UpstreamAddress) {
		return errors.Errorf("report of upstream %s names address %s, that of the node's upstream is %s", r.ID, r.Address, cfg.UpstreamAddress)
	}
	return nil
}

// Departed implements UpstreamReports.
func (l *localUpstream) Departed(ctx context.Context, id string, startedAt int64) error {
	l.depart(id, startedAt)
	return l.awaitWritten(ctx)
}

// applyOrPostpone applies a report, unless it would put a process into service before the record of the
// node's previous process is read. That record says which processes have left.
func (l *localUpstream) applyOrPostpone(r fleet.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Leaving || l.known.Heard() || l.knowsRecordLocked() {
		l.applyLocked(r)
		return
	}
	l.postponed = append(l.postponed, r)
	l.postponed = l.postponed[max(0, len(l.postponed)-maxPostponed):]
	l.mesh.logger.Info().Str("upstream", r.ID).Int64("sequence", r.Sequence).Int64("born", r.StartedAt).Msg("upstream report takes effect when the record of the node's previous process is read")
}

// knowsRecordLocked reports whether the record of the node's previous process is applied, or is not
// waited for.
func (l *localUpstream) knowsRecordLocked() bool {
	return l.mesh.cfg.FirstStart || l.recordMissing || l.mesh.members.isOwnZoneRead()
}

// awaitRecord ends the wait for the record of the node's previous process after recordWait.
func (l *localUpstream) awaitRecord(ctx context.Context) {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.mesh.members.ownZoneRead:
		return
	case <-ctx.Done():
		return
	}
	l.mu.Lock()
	l.recordMissing = true
	l.mu.Unlock()
	l.mesh.logger.Warn().Dur("waited_ms", recordWait).Msg("record of the previous process of the node not read; reports of the upstream take effect without it")
	l.applyPostponed()
}

// applyPostponed applies the reports that came before the record of the node's previous process.
func (l *localUpstream) applyPostponed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.postponed {
		l.applyLocked(r)
	}
	l.postponed = nil
}

// awaitWritten waits until the store has the newest record of the node, and with it the last departure.
func (l *localUpstream) awaitWritten(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	newest := l.mesh.publisher.Newest()
	return errors.Wrap(l.mesh.publisher.AwaitWritten(ctx, newest.Revision), "departure is not in the store")
}

// onPredecessor applies what the record of a previous process of the node says of the upstream.
func (l *localUpstream) onPredecessor(record fleet.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	history := record.History()
	left := l.known.Restore(history) == fleet.Left
	l.mesh.logger.Info().Str("upstream", history.Process.ID).Int64("born", history.Process.StartedAt).Bool("left", history.Left).
		Int("predecessors", len(history.Predecessors)).Uint64("record_incarnation", record.Incarnation).Uint64("revision", record.Revision).
		Msg("record of the previous process of the node applied")
	if left {
		r, _ := l.known.Current()
		l.onLeft(r, "recorded")
		return
	}
	l.mesh.publisher.Prepare(func(own *fleet.Member) { own.SetHistory(l.known.History()) })
}

func (l *localUpstream) applyLocked(r fleet.Report) {
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
	r, _ = l.known.Current()
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

// adoptable reports whether the upstream of a record may be adopted.
func (l *localUpstream) adoptable(record *fleet.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Adoptable(record.History().Process)
}

// isHeard reports whether an upstream has reported or was adopted.
func (l *localUpstream) isHeard() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Heard()
}

func (l *localUpstream) depart(id string, startedAt int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.known.Departed(l.mesh.node.Now(), id, startedAt) {
	case fleet.Left:
		r, _ := l.known.Current()
		l.onLeft(r, "departed")
	case fleet.Noted:
		l.onNoted(id, startedAt)
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
	if l.known.Departed(l.mesh.node.Now(), r.ID, l.mesh.node.Guard().Process().StartedAt) == fleet.Left {
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
// report that says so, "departed" for a departure message, "response" for a response and "recorded" for
// the record of a previous process of the node.
func (l *localUpstream) onLeft(r fleet.Report, how string) {
	m := l.mesh
	m.node.Guard().Drain(m.node.Now())
	l.publish(r, fleet.Leaving)
	m.logger.Info().Str("upstream", r.ID).Str("how", how).Int64("sequence", r.Sequence).Int("in_flight", m.node.Guard().Busy()).Msg("upstream left; new calls to it are refused")
}

// onNoted publishes that a process will not be taken into service, though it has not reported.
func (l *localUpstream) onNoted(id string, startedAt int64) {
	record := l.mesh.publisher.Update(func(own *fleet.Member) { own.SetHistory(l.known.History()) })
	l.mesh.members.applyMember(record)
	l.mesh.logger.Info().Str("upstream", id).Int64("born", startedAt).Msg("upstream left before it reported to this process of the node; its reports will be ignored")
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
		own.SetHistory(l.known.History())
		own.Slots = r.Slots
		own.ServesSince = since
		own.State = state
	})
	l.mesh.members.applyMember(record)
}
