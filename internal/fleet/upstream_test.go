package fleet

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against requests suspected of a crash that never happened, after a node's restart.
func TestAdoptedProcessIsConfirmedByItsReport(t *testing.T) {
	found := Report{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 8}
	report := found
	report.Born, report.Sequence = 1000, 17
	for name, x := range map[string]struct {
		change func(*Report)
		want   Change
	}{
		"the same":        {func(*Report) {}, Unchanged},
		"leaving":         {func(r *Report) { r.Leaving = true }, Left},
		"other slots":     {func(r *Report) { r.Slots = 4 }, Updated},
		"another process": {func(r *Report) { r.ID = "i-2" }, Started},
	} {
		t.Run(name, func(t *testing.T) {
			var u LocalUpstream
			must.True(t, u.Adopt(found))
			must.False(t, u.Adopt(found))
			r := report
			x.change(&r)
			must.EqOp(t, x.want, u.Apply(r))
			must.EqOp(t, Outdated, u.Apply(r))
		})
	}
}

// The upstream reports before the node has asked it: what it says goes first.
func TestAdoptionComesTooLate(t *testing.T) {
	var u LocalUpstream
	must.EqOp(t, Started, u.Apply(Report{ID: "i-1", Slots: 8, Sequence: 1}))
	must.False(t, u.Adopt(Report{ID: "i-0", Slots: 8}))
	current, serving := u.Current()
	must.EqOp(t, "i-1", current.ID)
	must.True(t, serving)
}
