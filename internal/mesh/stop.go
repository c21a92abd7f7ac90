package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

const (
	// stopNotice is how long a stopping node keeps accepting callers: the platform checks
	// readiness once a second and acts on the second negative result.
	stopNotice = 2500 * time.Millisecond
	// responseShare is the share of the grace that is reserved for the last responses. During this
	// last part the node accepts no new requests, so that received ones can complete.
	responseShare = 0.3
	// stopReserve is the part of the grace that is reserved for the end of the process: 2 times
	// the time that the last log lines may take.
	stopReserve = 400 * time.Millisecond
	// answerReserve is the time for writing the last responses before the connections are closed.
	answerReserve = 100 * time.Millisecond
	// stopPollInterval is how often a stopping node checks whether callers wait for a response.
	stopPollInterval = 20 * time.Millisecond
	// quietPeriod is the time without a waiting caller after which the node stops.
	quietPeriod = 300 * time.Millisecond
)

// Stop stops the node without cutting a call. The node reports that it is not ready, keeps
// serving the callers that still arrive, and closes once all callers have their responses or the
// grace is nearly over. It returns the number of calls that were cut.
//
// The node can't stop until its last caller has a response. In the meantime its upstream accepts
// calls of other nodes for which no other upstream is available, if these calls end before the node
// stops. If several nodes of a service are stopped in turn and each refused such calls after a fixed
// time, calls would be refused for seconds while the upstream is idle.
func (m *Mesh) Stop() int {
	started := time.Now()
	m.stopping.Store(true)
	m.node.Event(m.node.Now(), timeline.Event{Kind: timeline.DrainStarted, Upstream: m.cfg.NodeID})
	m.announceStop()
	grace := m.Settings().Stop.Grace.Std()
	end := started.Add(grace - stopReserve)
	m.node.Guard().SetStopTime(end)
	window := stopWindow(started, grace, end)
	m.proxy.BeginStop(window)
	giveUp := time.AfterFunc(time.Until(window.AnswerBy), m.answerCallers)
	defer giveUp.Stop()
	m.awaitNoCallers(started, started.Add(time.Duration((1-responseShare)*float64(grace))))
	m.node.Guard().Drain(m.node.Now())
	cut := m.shutdownServers(end)
	m.close()
	return cut
}

// stopWindow returns what a node accepts from callers until its process ends. With a short grace callers
// have half of it to notice.
func stopWindow(started time.Time, grace time.Duration, end time.Time) node.StopWindow {
	return node.StopWindow{NoticedAt: started.Add(min(stopNotice, grace/2)), AnswerBy: end.Add(-answerReserve)}
}

// answerCallers gives up the requests that still wait, since an answer that says so is better than a
// closed connection.
func (m *Mesh) answerCallers() {
	if pending := m.proxy.PendingRoots(); pending > 0 {
		m.logger.Warn().Int("requests", pending).Msg("stop grace is nearly over; requests without a response are answered now")
	}
	m.giveUpCallers()
}

// Kill stops the node at once, as if its process ended.
func (m *Mesh) Kill() {
	m.stopping.Store(true)
	m.close()
}

// announceStop publishes that the node is stopping, so that other nodes send their calls
// elsewhere if they can.
func (m *Mesh) announceStop() {
	record := m.publisher.Update(func(own *fleet.Member) {
		if own.State == fleet.Serving {
			own.State = fleet.Stopping
		}
	})
	m.members.applyMember(record)
	m.membersFollower.Close()
	m.routes.follower.Close()
}

// awaitNoCallers returns once no caller has waited for a response for quietPeriod, or at end.
func (m *Mesh) awaitNoCallers(started, end time.Time) {
	quietSince := started
	for now := started; now.Before(end); now = time.Now() {
		if m.proxy.PendingRoots() > 0 {
			quietSince = now
		}
		if now.Sub(started) >= stopNotice && now.Sub(quietSince) >= quietPeriod {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// shutdownServers accepts no more connections and lets received requests complete. It returns
// the number of calls that are left.
func (m *Mesh) shutdownServers(end time.Time) int {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for _, srv := range []*http.Server{m.servers.callers, m.servers.inner} {
		if err := srv.Shutdown(ctx); err != nil {
			m.logger.Warn().Err(err).Int("in_flight", m.InFlight()).Msg("stop grace ended before the last responses; the remaining connections are closed")
		}
	}
	return m.InFlight()
}

// close stops the servers and the goroutines of the node.
func (m *Mesh) close() {
	for _, srv := range m.servers.all() {
		if srv != nil {
			_ = srv.Close()
		}
	}
	m.cancel()
	m.giveUpCallers()
	m.peers.Close()
	m.upstream.Close()
	m.servers.control.CloseIdleConnections()
	m.platform.Close()
	m.goroutines.Wait()
}
