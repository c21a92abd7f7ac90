package share

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a flooding workspace of which operators hear nothing, and against lines about
// workspaces that are cut as much as all others.
func TestCutBeyondOthersIsReportedOnce(t *testing.T) {
	m := NewMeter(nil, workspaceNames(4))
	second := func(cutOfFlood, cutOfOthers int64) []CutChange {
		for name, c := range m.cells {
			c.asked.Add(100)
			if name == "w0" {
				c.cut.Add(cutOfFlood)
			} else {
				c.cut.Add(cutOfOthers)
			}
		}
		m.Tick(time.Second)
		return m.CutChanges()
	}
	must.SliceEmpty(t, second(40, 40))
	begun := second(100, 5)
	must.SliceLen(t, 1, begun)
	must.EqOp(t, "w0", begun[0].Workspace)
	must.True(t, begun[0].Begins)
	must.SliceEmpty(t, second(90, 5))
	var ended []CutChange
	for range 5 {
		ended = append(ended, second(0, 0)...)
	}
	must.SliceLen(t, 1, ended)
	must.False(t, ended[0].Begins)
}
