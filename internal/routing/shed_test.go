package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// report gives the table a load report of one upstream of archive, as a response does.
func (n *fakeNode) report(node string, report LoadReport) {
	n.t.Helper()
	target := n.table.ByNode(node)
	must.NotNil(n.t, target)
	target.Start(n.now)
	report.Limit = 16
	target.Done(n.now, Answered, time.Millisecond, &report)
}

// Guards against entries that hear of no shedding because a node has no recent report of some of the
// many upstreams of a service.
func TestShedThresholdOfFewFreshReports(t *testing.T) {
	n := newFakeNode(t, DefaultConfig(), upstreams("saga", 24, 16)...)
	_, known := n.table.ShedThreshold(n.now, "archive")
	must.False(t, known)
	n.report("saga-1", LoadReport{Threshold: 1000})
	n.report("saga-2", LoadReport{Threshold: 3000})
	threshold, known := n.table.ShedThreshold(n.now, "archive")
	must.True(t, known)
	must.EqOp(t, 2000, threshold)
	_, known = n.table.ShedThreshold(n.now.Add(n.cfg.LoadAge+time.Millisecond), "archive")
	must.False(t, known)
}

// Guards against trees that are let in although they fail at most upstreams of a service, and against
// refusing all trees because they fail at a few.
func TestShedThresholdWhereTreesFail(t *testing.T) {
	n := newFakeNode(t, DefaultConfig(), upstreams("saga", 4, 16)...)
	n.report("saga-0", LoadReport{Threshold: NoThreshold, TreesFail: true})
	n.report("saga-1", LoadReport{Threshold: NoThreshold, TreesFail: true})
	n.report("saga-2", LoadReport{Threshold: NoThreshold})
	threshold, _ := n.table.ShedThreshold(n.now, "archive")
	must.EqOp(t, 0, threshold)
	n.report("saga-3", LoadReport{Threshold: NoThreshold})
	threshold, _ = n.table.ShedThreshold(n.now, "archive")
	must.EqOp(t, NoThreshold, threshold)
}
