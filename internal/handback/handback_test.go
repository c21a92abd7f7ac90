package handback

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	origin = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)
	valid  = origin.Add(time.Hour)
)

// Guards against a call that is handed back although it would start sooner where it is, or although
// nothing is known of the other upstreams.
func TestAllow_KeepsCallsWithoutABetterPlace(t *testing.T) {
	late := Backlog{Queued: 10, Wait: 100 * time.Millisecond, ServiceTime: 20 * time.Millisecond}
	free := SpareSlots{Free: 50, ValidUntil: valid}
	short := late
	short.Wait = 5 * time.Millisecond
	for name, x := range map[string]struct {
		b Backlog
		r SpareSlots
	}{
		"no queue":    {Backlog{Wait: time.Second}, free},
		"short wait":  {short, free},
		"none free":   {late, SpareSlots{Free: 0.5, ValidUntil: valid}},
		"unknown":     {late, SpareSlots{}},
		"outdated":    {late, SpareSlots{Free: 50, ValidUntil: origin}},
		"not numbers": {late, SpareSlots{Free: math.NaN(), Queued: math.NaN(), ValidUntil: valid}},
	} {
		must.EqOp(t, 0, new(Decider).Allow(origin, x.b, x.r), must.Sprint(name))
	}
	must.EqOp(t, 9, new(Decider).Allow(origin, late, free))
}

// Guards against guards that hand back more calls together than there are free slots, at once or
// before the slots that were taken show in the load.
func TestAllow_GuardsShareTheFreeSlots(t *testing.T) {
	const guards, free = 4, 20
	b := Backlog{Queued: 30, Wait: time.Second, ServiceTime: 50 * time.Millisecond}
	r := SpareSlots{Free: free, Queued: guards * 30, ValidUntil: valid}
	deciders, moved := make([]Decider, guards), 0
	for now := origin; now.Before(origin.Add(b.ServiceTime)); now = now.Add(time.Millisecond) {
		for i := range deciders {
			n := deciders[i].Allow(now, b, r)
			deciders[i].Spend(n)
			moved += n
		}
	}
	must.Between(t, free, moved, 2*free)
	r = SpareSlots{Free: 2, Queued: 1000, ValidUntil: valid}
	first := new(Decider)
	must.EqOp(t, 0, first.Allow(origin, b, r))
	for i := range 100 {
		now := origin.Add(time.Duration(i) * b.ServiceTime)
		if n := first.Allow(now, b, r); n > 0 {
			must.Greater(t, 5, i)
			return
		}
	}
	t.Fatal("a small share never hands back a call")
}
