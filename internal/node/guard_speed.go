package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/overview"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/speed"
)

// speedInterval is the least time between two computations of the speed.
const speedInterval = 50 * time.Millisecond

// pace holds the service times of the local upstream and its speed relative to its service.
type pace struct {
	enabled bool
	meter   speed.Meter
	// service are the mean service times of the service by kind of call, used until validUntil.
	service    map[uint32]float64
	validUntil time.Time
	// relative is the speed as of computedAt.
	relative   float64
	computedAt time.Time
}

// observe records the service time of a call that ended. One that was cut off took at least as long.
func (p *pace) observe(now time.Time, call *Call, a *Response, ran time.Duration) {
	if !p.enabled || !a.Complete() && a.Code != result.DeadlinePassed {
		return
	}
	p.meter.Observe(now, speed.Kind(call.Method, call.Target, call.Ctx.Depth > 0), ran)
	p.update(now)
}

func (p *pace) update(now time.Time) {
	if now.Sub(p.computedAt) < speedInterval {
		return
	}
	p.computedAt = now
	p.relative = speed.Unknown
	if p.enabled && now.Before(p.validUntil) {
		p.relative = p.meter.Relative(now, p.service)
	}
}

// reset removes the service times, which were those of another process.
func (p *pace) reset() { p.meter, p.relative = speed.Meter{}, speed.Unknown }

// SetSpeeds sets whether this node's guard measures the speed of its upstream and tells senders, and
// whether this node weighs upstreams by the speeds that it is told.
func (n *Node) SetSpeeds(enabled bool) {
	n.usesSpeeds.Store(enabled)
	n.guard.SetSpeeds(enabled)
}

// usedReport returns a report of a guard without its speed if this node doesn't use speeds.
func (d *Dispatch) usedReport(r *routing.LoadReport) *routing.LoadReport {
	if r == nil || r.Speed == speed.Unknown || d.node == nil || d.node.usesSpeeds.Load() {
		return r
	}
	withoutSpeed := *r
	withoutSpeed.Speed = speed.Unknown
	return &withoutSpeed
}

// SetSpeeds sets whether the guard measures the speed of its upstream and tells senders.
func (g *Guard) SetSpeeds(enabled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pace.enabled = enabled
	if !enabled {
		g.pace.reset()
	}
}

// SetServiceTimes sets the mean service times of the service by kind of call. Without newer ones the
// speed is unknown after speed.MaxAge.
func (g *Guard) SetServiceTimes(now time.Time, means map[uint32]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pace.service, g.pace.validUntil = means, now.Add(speed.MaxAge)
	g.pace.update(now)
}

// ServiceTimes returns the service times of the local upstream by kind of call.
func (g *Guard) ServiceTimes(now time.Time) []overview.KindTime {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pace.meter.Times(now)
}

// Speed returns the speed of the local upstream relative to its service; speed.Unknown if it isn't
// known.
func (g *Guard) Speed() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pace.relative
}
