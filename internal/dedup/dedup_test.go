package dedup

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func originOf(node string, number uint64) Origin {
	return Origin{Sender: Sender{Node: node, Incarnation: 1}, Number: number}
}

// Guards against a forgotten call that is taken for a new one, whatever is forgotten in which order.
func TestForgottenCallsAreCovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewForgotten(rapid.IntRange(1, 4).Draw(t, "senders"))
		added := map[Origin]bool{}
		for range rapid.IntRange(0, 40).Draw(t, "calls") {
			o := originOf(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "node"), rapid.Uint64Range(0, 9).Draw(t, "number"))
			f.Add(o)
			added[o] = true
		}
		for o := range added {
			must.True(t, f.MayCover(o))
		}
		must.True(t, len(f.senders) <= f.maxSenders)
	})
}

// Guards against new calls that are refused as duplicates.
func TestNewCallsAreNotCovered(t *testing.T) {
	f := NewForgotten(2)
	f.Add(originOf("a", 7))
	must.False(t, f.MayCover(originOf("a", 8)))
	must.False(t, f.MayCover(originOf("b", 1)))
	must.False(t, f.MayCover(Origin{Sender: Sender{Node: "a", Incarnation: 2}, Number: 1}))
}

// Guards against a call of a dropped sender that counts as new.
func TestCallsOfADroppedSenderAreCovered(t *testing.T) {
	f := NewForgotten(2)
	f.Add(originOf("a", 7))
	f.Add(originOf("b", 1))
	f.Add(originOf("c", 1))
	must.True(t, f.MayCover(originOf("a", 7)))
	must.False(t, f.Covers(originOf("a", 7)))
	must.True(t, f.Covers(originOf("b", 1)))
}
