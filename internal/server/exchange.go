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
	// rpcTimeout bounds a control request, in addition to the time for which the receiver may hold
	// it.
	rpcTimeout = 500 * time.Millisecond
	// stateTimeout bounds the fetch of the whole control state of a peer.
	stateTimeout = 5 * time.Second
	// exchangePause is the delay between two exchanges without new records, and the delay before a
	// held request may be canceled and sent again for updates.
	exchangePause = 50 * time.Millisecond
)

// exchange continuously sends exchange requests to the peer that the plane selects. The peer
// holds each request until it has updates or a newer head observation.
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

// holdTime is how long a peer may hold a request. Most requests are answered by a newer head
// observation after about one exchange interval. The hold time is longer than the interval;
// otherwise the response would be sent just before that head observation arrives.
func (c *controlLoop) holdTime() time.Duration { return c.server.cfg.Timing.Exchange.Std() * 3 / 2 }

// exchangeWith makes one exchange and reports whether it returned records. A held request is
// canceled when this node gets updates, so that the next request carries them.
func (c *controlLoop) exchangeWith(ctx context.Context, peer control.Peer, hold time.Duration) bool {
	resp, sent, err := c.sendRequest(ctx, peer, hold)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil && hold > 0 {
		// The connection may be unresponsive although new ones work. Before the peer counts as
		// failed, the request is sent again over a new connection.
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

// sendRequest sends one exchange request. It returns the response and the time at which the
// request was sent. The error is context.Canceled when the request was canceled for updates.
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

// cancelForUpdates cancels a held request once this node has updates for the peer.
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

// fetch fetches and applies the whole control state of a peer.
func (c *controlLoop) fetch(peer control.Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	req := &innerpb.FetchStateRequest{From: control.Ref(c.self())}
	c.counters.fetches.Add(1)
	resp, err := c.clients.client(peer.Addr).FetchState(ctx, connect.NewRequest(req))
	if err != nil {
		c.server.logger.Warn().Err(err).Str("peer", peer.Addr).Msg("fetch of the control state of a peer failed; retried after a later exchange")
		return
	}
	c.withPlane(func(now time.Time, p *control.Plane) {
		if err := p.OnState(now, resp.Msg); err != nil {
			c.server.logger.Warn().Err(err).Str("peer", peer.Addr).Msg("control state fetched from a peer is invalid; its configuration and members are not applied")
		}
	})
}
