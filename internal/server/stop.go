package server

import (
	"context"
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/timeline"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// drainPollInterval is how often a stopping node looks whether calls are in flight.
const drainPollInterval = 10 * time.Millisecond

// flushDelay is left for answers that are written to leave the machine.
const flushDelay = 20 * time.Millisecond

// BeginDrain refuses new calls, truthfully, and hands the owned keys over: the
// sooner they have a new owner, the fewer calls meet none.
func (s *Server) BeginDrain() { s.beginDrain("") }

// beginDrain says in detail who asked for it.
func (s *Server) beginDrain(detail string) {
	s.drainOnce.Do(func() {
		s.node.Guard().Drain(s.node.Now())
		s.node.Event(s.node.Now(), timeline.Event{Kind: timeline.DrainStarted, Upstream: s.cfg.NodeID, Detail: detail})
		s.logger.Info().Str("reason", detail).Int("in_flight", s.node.Guard().Busy()).Msg("draining")
		s.control.drain()
		s.spawn(func() {
			defer close(s.handedOver)
			ctx, cancel := s.contextUntilStopping()
			defer cancel()
			s.ownership.handOverAll(ctx)
		})
	})
}

// drainAndWait drains at an operator's word and waits as long as asked for the
// calls in flight.
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

// Shutdown stops the node without cutting a call: it refuses new ones, waits
// for those in flight until ctx ends, and closes. It returns how many calls it
// cut.
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
	cut := s.closeServers(ctx)
	s.node.Event(s.node.Now(), timeline.Event{
		Kind: timeline.DrainFinished, Upstream: s.cfg.NodeID, Detail: fmt.Sprintf("%d calls cut", cut),
	})
	s.node.Event(s.node.Now(), timeline.Event{Kind: timeline.NodeStopped})
	return cut
}

// awaitDrainNotice leaves the listeners open long enough for everyone to learn that
// the node is leaving: a connection refused before that costs its caller a
// retry.
func (s *Server) awaitDrainNotice(ctx context.Context) {
	wait.For(ctx, s.cfg.Timing.DrainNotice.Std())
}

// InFlight returns how many calls the node holds in any role: those that its
// guard runs or that wait there, and those that it took for other guards.
func (s *Server) InFlight() int {
	return max(s.node.Guard().Busy(), int(s.proxy.Held().Calls))
}

// closeServers lets handlers end: a call that this node took from a caller for
// another guard is also in flight. The listener for other nodes is closed
// once all their calls are answered, without the second that a graceful end of
// HTTP/2 takes: callers that come meanwhile would find nobody. It returns how
// many calls it cut when ctx ended first.
func (s *Server) closeServers(ctx context.Context) int {
	s.endStreams()
	s.control.endHeldRequests()
	cut := 0
	for _, srv := range s.servers {
		if srv == s.innerServer {
			continue
		}
		if err := srv.Shutdown(ctx); err != nil {
			cut = max(cut, s.InFlight())
			_ = srv.Close()
		}
	}
	for s.proxy.Answering() > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPollInterval)
	}
	cut = max(cut, s.node.Guard().Busy(), s.proxy.Answering())
	wait.For(ctx, flushDelay)
	_ = s.innerServer.Close()
	s.stop()
	s.backend.peers.close()
	s.peers.Close()
	s.control.clients.close()
	s.goroutines.Wait()
	return cut
}

// Kill stops the node at once, as a crash of its VM would.
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

// contextUntilStopping returns a context that ends when the listeners close: a stop
// that was cut short must not wait for a hand-over to a guard that is gone.
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

// endStreams ends what would otherwise go on until its reader leaves.
func (s *Server) endStreams() { s.stopOnce.Do(func() { close(s.stopping) }) }
