package server

import (
	"context"
	"time"

	"github.com/galenagrade/galenagrade/internal/timeline"
)

// idleCheck is how often a stopping node looks whether calls are in flight.
const idleCheck = 10 * time.Millisecond

// flushTime is left for answers that are written to leave the machine.
const flushTime = 20 * time.Millisecond

// BeginDrain refuses new calls, truthfully, and hands the owned keys over: the
// sooner they have a new owner, the fewer calls meet none.
func (s *Server) BeginDrain() {
	s.drainOnce.Do(s.beginDrain)
}

func (s *Server) beginDrain() {
	s.node.Guard().Drain(s.node.Now())
	s.node.Event(s.node.Now(), timeline.Event{Kind: timeline.DrainStarted})
	s.control.drain()
	s.loop(func() {
		defer close(s.handedOver)
		s.own.handOverAll(context.Background())
	})
}

// Shutdown stops the node without cutting a call: it refuses new ones, waits
// for those in flight until ctx ends, and closes. It returns how many calls it
// cut.
func (s *Server) Shutdown(ctx context.Context) int {
	s.BeginDrain()
	s.awaitNotice(ctx)
	for s.node.Guard().Busy() > 0 && ctx.Err() == nil {
		sleep(ctx, idleCheck)
	}
	cut := s.node.Guard().Busy()
	select {
	case <-s.handedOver:
	case <-ctx.Done():
	}
	s.control.leave()
	s.closeServers(ctx)
	s.node.Event(s.node.Now(), timeline.Event{Kind: timeline.NodeStopped})
	return cut
}

// awaitNotice leaves the listeners open long enough for everyone to learn that
// the node is leaving: a connection refused before that costs its caller a
// retry.
func (s *Server) awaitNotice(ctx context.Context) {
	sleep(ctx, s.cfg.Timing.DrainNotice.Std())
}

// closeServers lets handlers end: a call that this node took from a caller for
// another guard is also in flight. The listener for other nodes is closed
// once all their calls are answered, without the second that a graceful end of
// HTTP/2 takes: callers that come meanwhile would find nobody.
func (s *Server) closeServers(ctx context.Context) {
	s.control.endHeld()
	for _, srv := range s.servers {
		if srv == s.innerServer {
			continue
		}
		if err := srv.Shutdown(ctx); err != nil {
			_ = srv.Close()
		}
	}
	for s.proxy.Answering() > 0 && ctx.Err() == nil {
		sleep(ctx, idleCheck)
	}
	sleep(ctx, flushTime)
	_ = s.innerServer.Close()
	s.stop()
	s.peers.Close()
	s.control.clients.close()
	s.loops.Wait()
}

// Kill stops the node at once, as a crash of its VM would.
func (s *Server) Kill() {
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	s.stop()
	s.peers.Close()
	s.control.clients.close()
	s.loops.Wait()
}
