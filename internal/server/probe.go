package server

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/galenagrade/galenagrade/internal/control"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/quarantine"
)

const (
	// probeTimeout bounds a direct probe. It also bounds an indirect probe, which requests that
	// another node, the helper, probes the target. helperTimeout bounds the probe that the helper
	// sends to the target; it is shorter, so that the helper's response arrives in time.
	probeTimeout  = 400 * time.Millisecond
	helperTimeout = 300 * time.Millisecond
)

func (c *controlLoop) self() membership.Identity {
	id := c.server.node.Identity()
	return membership.Identity{Node: id.Node, Incarnation: id.Incarnation}
}

// perform runs each action of the plane in its own goroutine.
func (c *controlLoop) perform(ctx context.Context, actions []control.Action) {
	for _, a := range actions {
		c.server.spawn(func() { c.performOne(ctx, a) })
	}
}

func (c *controlLoop) performOne(ctx context.Context, a control.Action) {
	switch a := a.(type) {
	case control.AppendRecord:
		c.append(ctx, a.Record)
	case control.SendProbe:
		from, ok := c.probe(ctx, a.To.Addr, probeTimeout)
		var more []control.Action
		c.withPlane(func(now time.Time, p *control.Plane) { more = p.OnProbe(now, a.To.ID, from, ok) })
		c.perform(ctx, more)
	case control.SendProbeVia:
		reached := c.probeVia(ctx, a.Helper, a.Target)
		c.withPlane(func(now time.Time, p *control.Plane) { p.OnProbeVia(now, a.Target.ID, reached) })
	case control.CheckEvict:
		alive := false
		for _, h := range a.Helpers {
			alive = alive || c.probeVia(ctx, h, a.Target)
		}
		var more []control.Action
		c.withPlane(func(now time.Time, p *control.Plane) { more = p.OnEvictChecked(now, a.Target.ID, alive) })
		c.perform(ctx, more)
	}
}

// probe requests the identity of the node at an address.
func (c *controlLoop) probe(ctx context.Context, addr string, timeout time.Duration) (membership.Identity, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.counters.probes.Add(1)
	resp, err := c.clients.client(addr).Probe(ctx, connect.NewRequest(&innerpb.ProbeRequest{}))
	if err != nil {
		c.clients.drop(addr)
		c.server.metrics.Inc(metrics.ProbesFailed, 1)
		return membership.Identity{}, false
	}
	return control.IdentityOf(resp.Msg.GetFrom()), true
}

// probeVia requests that a helper probes a target. The target counts as reached only if the
// same incarnation responded.
func (c *controlLoop) probeVia(ctx context.Context, helper, target control.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ref := control.Ref(target.ID)
	ref.InnerAddr = target.Addr
	req := &innerpb.ProbeRequest{Indirect: ref, TargetIncarnation: ref.Incarnation}
	c.counters.probes.Add(1)
	resp, err := c.clients.client(helper.Addr).Probe(ctx, connect.NewRequest(req))
	if err != nil {
		c.clients.drop(helper.Addr)
		return false
	}
	return resp.Msg.GetReached()
}

// gossipCrashRecords sends new crash records to the guards of the same service in the zone.
// All other nodes receive them through the exchange.
func (c *controlLoop) gossipCrashRecords(ctx context.Context) {
	now := c.server.node.Now()
	known := c.server.node.Guard().CrashRecords(now)
	var fresh []quarantine.CrashRecord
	var peers []control.Peer
	c.withPlane(func(now time.Time, p *control.Plane) {
		fresh = p.SetCrashRecords(now, known)
		peers = p.ServicePeers()
	})
	if len(fresh) == 0 {
		return
	}
	req := &innerpb.SpreadSuspectsRequest{From: control.Ref(c.self())}
	for _, s := range fresh {
		req.Suspects = append(req.Suspects, inner.CrashRecordMessage(now, s))
	}
	for _, peer := range peers {
		c.server.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
			defer cancel()
			c.counters.gossips.Add(1)
			// An error is ignored: the next exchanges carry the crash records of a lost message.
			_, _ = c.clients.client(peer.Addr).SpreadSuspects(ctx, connect.NewRequest(req))
		})
	}
}
