package routing

import "time"

// ShedThreshold returns the rank from which the upstreams of a service shed calls: the mean over those
// with a fresh report. It returns NoThreshold if none of them sheds calls or has a fresh report.
//
// A node calls only some upstreams of a large service within the time for which a report is fresh, so
// the others don't count. The mean is used rather than the threshold of the upstream that sheds least,
// which has no room for what all the others shed.
func (t *Table) ShedThreshold(now time.Time, name string) uint32 {
	v := t.views[name]
	if v == nil {
		return NoThreshold
	}
	at := int64(now.Sub(t.epoch))
	cfg := v.svc.cfg.Load()
	sum, reports := uint64(0), uint64(0)
	for _, g := range v.targets {
		if g.isDraining(at, cfg) || g.ejection.active() || g.isSuspect(at, cfg) || !g.report.fresh(at, cfg.LoadAge) {
			continue
		}
		sum += uint64(g.report.threshold())
		reports++
	}
	if reports == 0 {
		return NoThreshold
	}
	return uint32(sum / reports)
}
