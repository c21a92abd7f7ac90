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
	// askPause lies between two exchanges that brought nothing, and between a
	// question and its repetition for updates.
	askPause = 50 * time.Millisecond
)

// exchange asks the peer that the plane names, again and again: each question
// is held there until there are updates or a fresh proof.
func (c *controlLoop) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		woken := c.woken()
		var peer control.Peer
		var ok bool
		c.with(func(now time.Time, p *control.Plane) { peer, ok = p.NextExchange(now) })
		if !ok {
			wait.OrWoken(ctx, woken, idleWait)
			continue
		}
		began := time.Now()
		updated := c.ask(ctx, peer, c.hold())
		if !updated && time.Since(began) < askPause {
			wait.For(ctx, askPause)
		}
	}
}

// hold is how long a question may be held. Fresh proofs answer most of them
// after about an exchange; it is longer, or a question would be answered just
// before the proof that it waits for.
func (c *controlLoop) hold() time.Duration { return c.server.cfg.Timing.Exchange.Std() * 3 / 2 }

// ask makes one exchange and reports whether it brought records. A question
// that is held is given up for another one when this node has updates itself.
func (c *controlLoop) ask(ctx context.Context, peer control.Peer, hold time.Duration) bool {
	resp, sent, err := c.question(ctx, peer, hold)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil && hold > 0 {
		// The connection may have gone silent for good while new ones work:
		// before the peer is given up it is asked over a fresh one.
		c.clients.dropBefore(c.server.node.Now().Add(-hold - rpcTimeout))
		resp, sent, err = c.question(ctx, peer, 0)
	}
	if errors.Is(err, context.Canceled) {
		return false
	}
	if err != nil {
		c.clients.drop(peer.Addr)
		c.server.metrics.Inc(metrics.ControlExchangeFailures, 1)
		c.with(func(now time.Time, p *control.Plane) { p.OnRequestFailed(now, peer) })
		return false
	}
	c.clients.answer(peer.Addr)
	var fetch bool
	c.with(func(now time.Time, p *control.Plane) { fetch = p.OnResponse(now, sent, peer, resp) })
	if fetch {
		c.fetch(peer)
	}
	return len(resp.GetRecords()) > 0
}

// question sends one question and returns its answer and when it was sent. The
// error is context.Canceled when the question was given up for updates.
func (c *controlLoop) question(ctx context.Context, peer control.Peer, hold time.Duration) (*innerpb.ExchangeResponse, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+rpcTimeout)
	defer cancel()
	var q *innerpb.ExchangeRequest
	var sent time.Time
	c.with(func(now time.Time, p *control.Plane) { q, sent = p.NewRequest(now, hold), now })
	done := make(chan struct{})
	defer close(done)
	if hold > 0 {
		c.server.loop(func() { c.cancelForUpdates(ctx, cancel, done) })
	}
	c.counters.exchanges.Add(1)
	resp, err := c.clients.client(peer.Addr).Exchange(ctx, connect.NewRequest(q))
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
	wait.For(ctx, askPause)
	for ctx.Err() == nil {
		c.mu.Lock()
		due, woken := c.plane.RequestDue(), c.wake
		c.mu.Unlock()
		if due {
			cancel()
			return
		}
		select {
		case <-woken:
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
	c.with(func(now time.Time, p *control.Plane) {
		if err := p.OnState(now, resp.Msg); err != nil {
			c.server.logger.Warn().Err(err).Str("peer", peer.Addr).Msg("state was refused")
		}
	})
}
