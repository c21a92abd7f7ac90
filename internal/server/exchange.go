package server

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/galenagrade/galenagrade/internal/control"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// rpcTimeout bounds a control message beyond the time it may be held.
	rpcTimeout = 500 * time.Millisecond
	// stateTimeout bounds the fetching of a whole state.
	stateTimeout = 5 * time.Second
	// exchangePause lies between two exchanges that brought nothing, and between a
	// question and its repetition for updates.
	exchangePause = 50 * time.Millisecond
)

// exchange asks the peer that the plane names, again and again: each question
// is held there until there are updates or a fresh proof.
func (c *controlLoop) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		updated := c.updateSignal()
		var peer control.Peer
		var ok bool
		c.withPlane(func(now time.Time, p *control.Plane) { peer, ok = p.NextExchange(now) })
		if !ok {
			wait.OrWoken(ctx, updated, idleInterval)
			continue
		}
		began := time.Now()
		gotRecords := c.exchangeWith(ctx, peer, c.holdTime())
		if !gotRecords && time.Since(began) < exchangePause {
			wait.For(ctx, exchangePause)
		}
	}
}

// holdTime is how long a question may be held. Fresh proofs answer most of them
// after about an exchange; it is longer, or a question would be answered just
// before the proof that it waits for.
func (c *controlLoop) holdTime() time.Duration { return c.server.cfg.Timing.Exchange.Std() * 3 / 2 }

// exchangeWith makes one exchange and reports whether it brought records. A question
// that is held is given up for another one when this node has updates itself.
func (c *controlLoop) exchangeWith(ctx context.Context, peer control.Peer, hold time.Duration) bool {
	resp, sent, err := c.sendRequest(ctx, peer, hold)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil && hold > 0 {
		// The connection may have gone silent for good while new ones work:
		// before the peer is given up it is asked over a fresh one.
		c.clients.dropUnresponsive(c.server.node.Now().Add(-hold - rpcTimeout))
		resp, sent, err = c.sendRequest(ctx, peer, 0)
	}
	if errors.Is(err, context.Canceled) {
		return false
	}
	if err != nil {
		c.clients.drop(peer.Addr)
		c.server.metrics.Inc(metrics.ControlExchangeFailures, 1)
		c.withPlane(func(now time.Time, p *control.Plane) { p.OnRequestFailed(now, peer) })
		return false
	}
	c.clients.recordResponse(peer.Addr)
	var fetch bool
	c.withPlane(func(now time.Time, p *control.Plane) { fetch = p.OnResponse(now, sent, peer, resp) })
	if fetch {
		c.fetch(peer)
	}
	return len(resp.GetRecords()) > 0
}

// sendRequest sends one sendRequest and returns its answer and when it was sent. The
// error is context.Canceled when the sendRequest was given up for updates.
func (c *controlLoop) sendRequest(ctx context.Context, peer control.Peer, hold time.Duration) (*innerpb.ExchangeResponse, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+rpcTimeout)
	defer cancel()
	var req *innerpb.ExchangeRequest
	var sent time.Time
	c.withPlane(func(now time.Time, p *control.Plane) { req, sent = p.NewRequest(now, hold), now })
	done := make(chan struct{})
	defer close(done)
	if hold > 0 {
		c.server.spawn(func() { c.cancelForUpdates(ctx, cancel, done) })
	}
	c.counters.exchanges.Add(1)
	resp, err := c.clients.client(peer.Addr).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		if ctx.Err() != nil {
			return nil, sent, ctx.Err()
		}
		return nil, sent, err
	}
	return resp.Msg, sent, nil
}

// cancelForUpdates ends a held question once this node has updates for its peer.
func (c *controlLoop) cancelForUpdates(ctx context.Context, cancel context.CancelFunc, done <-chan struct{}) {
	wait.For(ctx, exchangePause)
	for ctx.Err() == nil {
		c.mu.Lock()
		due, updated := c.plane.RequestDue(), c.updated
		c.mu.Unlock()
		if due {
			cancel()
			return
		}
		select {
		case <-updated:
		case <-done:
			return
		case <-ctx.Done():
		}
	}
}

// fetch takes over a peer's whole state.
func (c *controlLoop) fetch(peer control.Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	req := &innerpb.FetchStateRequest{From: control.Ref(c.self())}
	c.counters.fetches.Add(1)
	resp, err := c.clients.client(peer.Addr).FetchState(ctx, connect.NewRequest(req))
	if err != nil {
		c.server.logger.Warn().Err(err).Str("peer", peer.Addr).Msg("state was not fetched")
		return
	}
	c.withPlane(func(now time.Time, p *control.Plane) {
		if err := p.OnState(now, resp.Msg); err != nil {
			c.server.logger.Warn().Err(err).Str("peer", peer.Addr).Msg("state was refused")
		}
	})
}
