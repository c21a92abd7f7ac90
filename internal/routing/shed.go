package routing

import "time"

// ShedThreshold returns the rank from which every usable upstream of a service sheds calls,
// according to the reports. It returns NoThreshold if one of them sheds no calls or has no fresh
// report.
func (t *Table) ShedThreshold(now time.Time, name string) uint32 {
	v := t.views[name]
	if v == nil {
		return NoThreshold
	}
	at := int64(now.Sub(t.epoch))
	cfg := v.svc.cfg.Load()
	highest := uint32(0)
	usable := false
	for _, g := range v.targets {
		if g.isDraining(at, cfg) || g.ejection.active() || g.isSuspect(at, cfg) {
			continue
		}
		if !g.report.fresh(at, cfg.LoadAge) {
			return NoThreshold
		}
		usable = true
		highest = max(highest, g.report.threshold())
	}
	if !usable {
		return NoThreshold
	}
	return highest
}
