package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

const (
	// stopNotice is how long a stopping node goes on taking callers: the platform
	// asks once a second whether it is ready and believes the second no.
	stopNotice = 2500 * time.Millisecond
	// answerShare of the grace is kept for the last answers: nothing new is taken
	// then, so that what was read can end.
	answerShare = 0.3
	// stopReserve of the grace is kept for the end of the process: twice what the
	// last log lines may take.
	stopReserve = 400 * time.Millisecond
	// stopPollInterval is how often a stopping node looks whether callers wait.
	stopPollInterval = 20 * time.Millisecond
	// quietPeriod is how long no caller may have waited before the node ends.
	quietPeriod = 300 * time.Millisecond
)

// Stop ends the node without cutting a call: it says that it isn't ready, goes on
// serving who still comes, and closes once its callers have been answered or the grace
// is nearly over. It returns how many calls it cut.
//
// Until its last caller is answered the node can't end, and its upstream goes on
// taking calls of other nodes that find no other one, as far as these end in time. With
// a fixed bound they would be refused for seconds beside an idle upstream, where several
// nodes of a service are stopped in turn.
func (m *Mesh) Stop() int {
	started := time.Now()
	m.stopping.Store(true)
	m.node.Event(m.node.Now(), timeline.Event{Kind: timeline.DrainStarted, Upstream: m.cfg.NodeID})
	m.announceStop()
	grace := m.Settings().Stop.Grace.Std()
	end := started.Add(grace - stopReserve)
	m.node.Guard().EndBy(end)
	m.awaitNoCallers(started, started.Add(time.Duration((1-answerShare)*float64(grace))))
	m.node.Guard().Drain(m.node.Now())
	cut := m.shutdownServers(end)
	m.close()
	return cut
}

// Kill ends the node at once, as the end of its process would.
func (m *Mesh) Kill() {
	m.stopping.Store(true)
	m.close()
}

// announceStop tells the other nodes to send their calls elsewhere if they can.
func (m *Mesh) announceStop() {
	record := m.publisher.update(func(own *fleet.Member) {
		if own.State == fleet.Serving {
			own.State = fleet.Stopping
		}
	})
	m.members.learn(record)
	m.membersFollower.feed.close()
	m.routes.follower.feed.close()
}

// awaitNoCallers returns once no caller has waited for a while, or at end.
func (m *Mesh) awaitNoCallers(started, end time.Time) {
	quietSince := started
	for now := started; now.Before(end); now = time.Now() {
		if m.proxy.Roots() > 0 {
			quietSince = now
		}
		if now.Sub(started) >= stopNotice && now.Sub(quietSince) >= quietPeriod {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// shutdownServers takes no more connections and lets what was read end. It returns how
// many calls are left.
func (m *Mesh) shutdownServers(end time.Time) int {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for _, srv := range []*http.Server{m.servers.callers, m.servers.inner} {
		if err := srv.Shutdown(ctx); err != nil {
			m.logger.Warn().Err(err).Int("in_flight", m.InFlight()).Msg("the grace ended before the last answers")
		}
	}
	return m.InFlight()
}

// close ends the listeners and loops.
func (m *Mesh) close() {
	for _, srv := range m.servers.all() {
		if srv != nil {
			_ = srv.Close()
		}
	}
	m.cancel()
	m.peers.Close()
	m.upstream.Close()
	m.servers.control.CloseIdleConnections()
	m.platform.Close()
	m.goroutines.Wait()
}
