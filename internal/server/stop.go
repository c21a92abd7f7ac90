package server

import (
	"context"
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/timeline"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// drainPollInterval is how often a stopping node checks whether calls are in flight.
const drainPollInterval = 10 * time.Millisecond

// flushDelay is the time for written responses to leave the machine before the connections are
// closed.
const flushDelay = 20 * time.Millisecond

// BeginDrain refuses new calls as not run and starts the hand-over of the owned slots. The
// hand-over starts at once because calls are refused while their slot has no owner.
func (s *Server) BeginDrain() { s.beginDrain("") }

// beginDrain starts the drain. detail names who requested it and why.
func (s *Server) beginDrain(detail string) {
	s.drainOnce.Do(func() {
		s.node.Guard().Drain(s.node.Now())
		s.node.Event(s.node.Now(), timeline.Event{Kind: timeline.DrainStarted, Upstream: s.cfg.NodeID, Detail: detail})
		s.logger.Info().Str("reason", detail).Int("in_flight", s.node.Guard().Busy()).Msg("drain started; the node refuses new calls and hands over its slots")
		s.control.drain()
		s.spawn(func() {
			defer close(s.handedOver)
			ctx, cancel := s.contextUntilStopping()
			defer cancel()
			s.ownership.handOverAll(ctx)
		})
	})
}

// drainAndWait starts a drain that an operator requested, and waits for the calls in flight
// for at most the requested time.
func (s *Server) drainAndWait(ctx context.Context, request drainRequest) drainState {
	s.beginDrain(request.Operator + ": " + request.Reason)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMillis)*time.Millisecond)
	defer cancel()
	for s.node.Guard().Busy() > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPollInterval)
	}
	state := drainState{State: "draining", InFlight: s.node.Guard().Busy()}
	if state.InFlight == 0 {
		state.State = "drained"
	}
	return state
}

// Shutdown stops the node once its calls have ended: it refuses new calls, waits for those in
// flight until ctx ends, and closes the listeners. It returns the number of calls that it
// interrupted because they were still in flight when ctx ended.
func (s *Server) Shutdown(ctx context.Context) int {
	s.BeginDrain()
	s.awaitDrainNotice(ctx)
	for s.node.Guard().Busy() > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPollInterval)
	}
	select {
	case <-s.handedOver:
	case <-ctx.Done():
	}
	if ctx.Err() == nil {
		s.control.leave()
	}
	interrupted := s.closeServers(ctx)
	s.node.Event(s.node.Now(), timeline.Event{
		Kind: timeline.DrainFinished, Upstream: s.cfg.NodeID, Detail: fmt.Sprintf("%d calls interrupted", interrupted),
	})
	s.node.Event(s.node.Now(), timeline.Event{Kind: timeline.NodeStopped})
	return interrupted
}

// awaitDrainNotice waits for timing.drain_notice while the listeners stay open. In this time the
// other nodes learn that the node is leaving and stop sending calls to it. If the listeners closed
// earlier, connections would be refused and their calls would need a retry.
func (s *Server) awaitDrainNotice(ctx context.Context) {
	wait.For(ctx, s.cfg.Timing.DrainNotice.Std())
}

// InFlight returns the number of calls that the node holds in any role: calls that its guard
// runs or that wait there, and calls that it forwards to other guards.
func (s *Server) InFlight() int {
	return max(s.node.Guard().Busy(), int(s.proxy.Usage().Calls))
}

// closeServers waits until the handlers have ended, including those of calls that this node
// forwards to other guards. The listener for other nodes is closed once all their calls have a
// response, without a graceful shutdown of HTTP/2: that takes a second, in which new calls
// would get no response. It returns the number of calls that it interrupted because ctx ended
// first.
func (s *Server) closeServers(ctx context.Context) int {
	s.endStreams()
	s.control.endHeldRequests()
	interrupted := 0
	for _, srv := range s.servers {
		if srv == s.innerServer {
			continue
		}
		if err := srv.Shutdown(ctx); err != nil {
			interrupted = max(interrupted, s.InFlight())
			_ = srv.Close()
		}
	}
	for s.proxy.PendingPeerCalls() > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPollInterval)
	}
	interrupted = max(interrupted, s.node.Guard().Busy(), s.proxy.PendingPeerCalls())
	wait.For(ctx, flushDelay)
	_ = s.innerServer.Close()
	s.stop()
	s.backend.peers.close()
	s.peers.Close()
	s.control.clients.close()
	s.goroutines.Wait()
	return interrupted
}

// Kill stops the node at once, like a crash of its VM.
func (s *Server) Kill() {
	s.endStreams()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	s.stop()
	s.backend.peers.close()
	s.peers.Close()
	s.control.clients.close()
	s.goroutines.Wait()
}

// contextUntilStopping returns a context that ends when the listeners close. An interrupted
// stop then does not wait for a hand-over to a guard that is gone.
func (s *Server) contextUntilStopping() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		select {
		case <-s.stopping:
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// endStreams ends the event streams, which would otherwise run until their client disconnects.
func (s *Server) endStreams() { s.stopOnce.Do(func() { close(s.stopping) }) }
