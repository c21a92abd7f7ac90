package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against refusing calls when the only usable upstream is one whose node is stopping, and
// against sending calls to that upstream while another one takes them.
func TestPick_Fallback(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	stopping := Endpoint{Node: "stopping", Incarnation: 1, Service: "s", Addr: "a:1", Slots: 4, Fallback: true}
	other := Endpoint{Node: "other", Incarnation: 1, Service: "s", Addr: "b:1", Slots: 4}
	table := NewTable(nil, DefaultConfig(), Self{}, []Endpoint{stopping, other}, origin)
	for range 50 {
		g, refusal := table.Pick(origin, rng, PickInfo{Service: "s"})
		must.Nil(t, refusal)
		must.EqOp(t, "other", g.Endpoint().Node)
	}
	other.Draining = true
	table = NewTable(table, DefaultConfig(), Self{}, []Endpoint{stopping, other}, origin.Add(time.Second))
	g, refusal := table.Pick(origin.Add(time.Second), rng, PickInfo{Service: "s"})
	must.Nil(t, refusal)
	must.EqOp(t, "stopping", g.Endpoint().Node)
}
