package routing

import "time"

// ShedThreshold returns the rank from which entry nodes refuse trees that call a service: the mean over
// its upstreams with a fresh report, and 0 if trees fail at most of these upstreams. known is false if
// none has a fresh report.
//
// A node calls only some upstreams of a large service within the time for which a report is fresh, so
// the others don't count. The mean is used rather than the threshold of the upstream that sheds least,
// which has no room for what all the others shed.
func (t *Table) ShedThreshold(now time.Time, name string) (threshold uint32, known bool) {
	v := t.views[name]
	if v == nil {
		return NoThreshold, false
	}
	at := int64(now.Sub(t.epoch))
	cfg := v.svc.cfg.Load()
	sum, reports, failing := uint64(0), uint64(0), uint64(0)
	for _, g := range v.targets {
		if g.isDraining(at, cfg) || g.ejection.active() || g.isSuspect(at, cfg) || !g.report.fresh(at, cfg.LoadAge) {
			continue
		}
		sum += uint64(g.report.threshold())
		reports++
		if g.report.treesFail() {
			failing++
		}
	}
	switch {
	case reports == 0:
		return NoThreshold, false
	case 2*failing > reports:
		return 0, true
	}
	return uint32(sum / reports), true
}
