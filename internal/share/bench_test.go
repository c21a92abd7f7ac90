package share

import (
	"testing"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

func BenchmarkReceive(b *testing.B) {
	d := &Divider{}
	workspaces := workspaceNames(84)
	d.Configure(workspaces, NewBook(workspaces, nil, start))
	d.Update(time.Second, viewOf([]float64{10, 60, 10, 20, 30, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}))
	b.ReportAllocs()
	for b.Loop() {
		d.Receive("w1", callctx.LevelNormal, 1<<31)
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []struct {
		name       string
		workspaces int
	}{{"84", 84}, {"1700", 1700}, {"16384", 16384}} {
		b.Run(n.name, func(b *testing.B) {
			d := &Divider{}
			workspaces := workspaceNames(n.workspaces)
			d.Configure(workspaces, NewBook(workspaces, nil, start))
			view := viewOf([]float64{10, 60, 10, 20, 30, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15})
			b.ReportAllocs()
			for b.Loop() {
				d.Update(250*time.Millisecond, view)
			}
		})
	}
}
