package mesh

import (
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/handback"
	"github.com/galenagrade/galenagrade/internal/overview"
	"github.com/galenagrade/galenagrade/internal/speed"
)

// applyBalance applies the settings by which calls are spread over uneven upstreams.
func (m *Mesh) applyBalance() {
	b := m.Settings().Balance
	m.node.SetHandBack(b.HandBack)
	m.node.SetSpeeds(b.Speeds)
}

// unevenLoad reports the service times of the local upstream, and passes what the view says of its
// service to the guard. It implements overviewSource and overviewConsumer.
type unevenLoad struct {
	mesh *Mesh
	// isNormal reports whether the speed was in the normal range last.
	isNormal bool
}

// fillReport implements overviewSource.
func (u *unevenLoad) fillReport(now time.Time, r *overview.Report) {
	if r.Upstream != nil && u.mesh.Settings().Balance.Speeds {
		r.Upstream.Kinds = u.mesh.node.Guard().ServiceTimes(now)
	}
}

// viewChanged implements overviewConsumer.
func (u *unevenLoad) viewChanged(now time.Time, v *overview.View) {
	if v == nil {
		return // what the guard holds expires
	}
	guard := u.mesh.node.Guard()
	guard.SetServiceTimes(now, speed.ServiceTimes(v, u.mesh.cfg.Service))
	guard.SetSpareSlots(spareSlotsOf(now, v, u.mesh.cfg.Region, u.mesh.cfg.Service))
	u.logSpeed(guard.Speed())
}

// logSpeed logs when the speed of the local upstream leaves the normal range, or is back in it.
func (u *unevenLoad) logSpeed(s float64) {
	if speed.IsNormal(s, u.isNormal) == u.isNormal {
		return
	}
	u.isNormal = !u.isNormal
	if u.isNormal {
		u.mesh.logger.Info().Float64("speed", s).Msg("speed of the upstream is back to normal")
		return
	}
	u.mesh.logger.Info().Float64("speed", s).Msg("speed of the upstream differs from that of its service")
}

// spareSlotsOf returns the spare slots of a service in a region by a view. A call that waits isn't worth the way to
// another region.
func spareSlotsOf(now time.Time, v *overview.View, region, service string) handback.SpareSlots {
	r := handback.SpareSlots{ValidUntil: now.Add(minViewLifetime)}
	for i := range v.Zones {
		if !strings.HasPrefix(v.Zones[i].Name, zoneName(region, "")) {
			continue
		}
		for _, c := range v.Zones[i].Services {
			if c.Service == service {
				r.Free += max(c.Slots-c.Busy, 0)
				r.Queued += c.Queued
			}
		}
	}
	return r
}
