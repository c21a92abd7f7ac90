package routing

import "time"

// ShedsFrom returns the rank from which on every usable upstream of a service
// says that it sheds calls; NoThreshold when one of them sheds none or has not
// said anything lately.
func (t *Table) ShedsFrom(now time.Time, name string) uint32 {
	v := t.views[name]
	if v == nil {
		return NoThreshold
	}
	at := int64(now.Sub(t.epoch))
	cfg := v.svc.cfg.Load()
	most := uint32(0)
	usable := false
	for _, g := range v.all {
		if g.isDraining(at, cfg) || g.ejection.out() || g.isSuspect(at, cfg) {
			continue
		}
		if !g.report.fresh(at, cfg.LoadAge) {
			return NoThreshold
		}
		usable = true
		most = max(most, g.report.threshold())
	}
	if !usable {
		return NoThreshold
	}
	return most
}
