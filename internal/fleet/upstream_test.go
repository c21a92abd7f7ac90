package fleet

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against requests that are suspected of a crash that did not happen. After a restart the
// node adopts the running process, and the first report of that process must not count as a new
// process.
func TestAdoptedProcessIsConfirmedByItsReport(t *testing.T) {
	adopted := Report{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 8}
	report := adopted
	report.StartedAt, report.Sequence = 1000, 17
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
			must.True(t, u.Adopt(adopted))
			must.False(t, u.Adopt(adopted))
			r := report
			x.change(&r)
			must.EqOp(t, x.want, u.Apply(r))
			must.EqOp(t, Outdated, u.Apply(r))
		})
	}
}

// Guards against an adopted process that replaces one that has already reported.
func TestAdoptAfterReportIsRefused(t *testing.T) {
	var u LocalUpstream
	must.EqOp(t, Started, u.Apply(Report{ID: "i-1", Slots: 8, Sequence: 1}))
	must.False(t, u.Adopt(Report{ID: "i-0", Slots: 8}))
	current, serving := u.Current()
	must.EqOp(t, "i-1", current.ID)
	must.True(t, serving)
}
