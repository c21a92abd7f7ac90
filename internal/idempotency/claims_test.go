package idempotency

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a claim forgotten for want of room, so that a later one wins as well.
func TestOneWinnerWhateverTheRoom(t *testing.T) {
	const horizon = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		rooms := rapid.SliceOfN(rapid.IntRange(1, 6), 3, 3).Draw(t, "rooms")
		folds := make([]*Claims, len(rooms))
		for i, room := range rooms {
			folds[i] = NewClaims(horizon, room)
		}
		ran := map[uint64]time.Time{}
		now := epoch
		for offset := range int64(rapid.IntRange(1, 80).Draw(t, "claims")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			who := rapid.IntRange(0, len(folds)-1).Draw(t, "who")
			cl := Claim{KeyHash: rapid.Uint64Range(0, 9).Draw(t, "key"), Node: strconv.Itoa(who), Seq: uint64(offset)}
			for i, f := range folds {
				f.Apply(offset, now, cl)
				must.LessEq(t, rooms[i], f.Len())
			}
			if h, ok := folds[who].Holder(cl.KeyHash); ok && h == cl {
				before, dup := ran[cl.KeyHash]
				must.False(t, dup && now.Sub(before) < horizon, must.Sprintf("key %d ran twice", cl.KeyHash))
				ran[cl.KeyHash] = now
			}
		}
	})
}

func TestFirstClaimWinsUntilHorizon(t *testing.T) {
	c := NewClaims(time.Minute, 10)
	first := Claim{KeyHash: 7, Node: "a", Seq: 1}
	c.Apply(4, epoch, first)
	c.Apply(4, epoch, Claim{KeyHash: 8, Node: "b"}) // delivered again
	c.Apply(5, epoch, Claim{KeyHash: 7, Node: "b"})
	h, ok := c.Holder(7)
	must.True(t, ok)
	must.Eq(t, first, h)
	_, ok = c.Holder(8)
	must.False(t, ok)
	c.Expire(epoch.Add(time.Minute))
	must.Eq(t, 0, c.Len())
}
