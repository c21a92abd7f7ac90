package mesh

import (
	"context"
	"time"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

const (
	// stopNotice is how long a stopping node goes on taking callers: the platform
	// asks once a second whether it is ready and believes the second no.
	stopNotice = 2500 * time.Millisecond
	// stopReserve of the grace is kept for closing.
	stopReserve = 400 * time.Millisecond
	// stopPoll is how often a stopping node looks whether calls are in flight.
	stopPoll = 20 * time.Millisecond
	// quietFor is how long no call may have been in flight before the node ends.
	quietFor = 300 * time.Millisecond
)

// Stop ends the node without cutting a call: it says that it isn't ready, goes
// on serving who still comes, and closes once nobody has for a while or the
// grace is nearly over. It returns how many calls it cut.
func (m *Mesh) Stop() int {
	begun := time.Now()
	m.stopping.Store(true)
	m.node.Event(m.node.Now(), timeline.Event{Kind: timeline.DrainStarted, Upstream: m.cfg.NodeID})
	m.leave()
	m.awaitQuiet(begun)
	cut := m.InFlight()
	m.close()
	return cut
}

// leave tells the other nodes to send their calls elsewhere, and refuses those
// that come all the same: taken, one of several seconds would still run when the
// grace ends, and be cut. A refusal costs its sender a millisecond.
func (m *Mesh) leave() {
	m.node.Guard().Drain(m.node.Now())

	record := m.publisher.update(func(own *fleet.Member) {
		if own.State == fleet.Serving {
			own.State = fleet.Leaving
		}
	})
	m.members.learn(record)
}

func (m *Mesh) awaitQuiet(begun time.Time) {
	end := begun.Add(m.cfg.Stop.Grace.Std() - stopReserve)
	quietSince := begun
	for now := begun; now.Before(end); now = time.Now() {
		if m.InFlight() > 0 {
			quietSince = now
		}
		if now.Sub(begun) >= stopNotice && now.Sub(quietSince) >= quietFor {
			return
		}
		time.Sleep(stopPoll)
	}
}

// close ends the listeners and loops; what is in flight gets the rest of the
// reserve.
func (m *Mesh) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancel()
	for _, srv := range m.servers.all() {
		if srv != nil {
			_ = srv.Shutdown(ctx)
		}
	}
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
	m.loops.Wait()
}
