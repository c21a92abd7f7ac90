package idempotency

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against two winners of one key: a fold at its capacity drops a claim that another fold
// accepts, and then accepts a later claim of the same key.
func TestOneWinnerAtAnyCapacity(t *testing.T) {
	const horizon = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		capacities := rapid.SliceOfN(rapid.IntRange(1, 6), 3, 3).Draw(t, "rooms")
		folds := make([]*Claims, len(capacities))
		for i, capacity := range capacities {
			folds[i] = NewClaims(horizon, capacity)
		}
		wonAt := map[uint64]time.Time{}
		now := epoch
		for offset := range int64(rapid.IntRange(1, 80).Draw(t, "claims")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			claimant := rapid.IntRange(0, len(folds)-1).Draw(t, "who")
			cl := Claim{KeyHash: rapid.Uint64Range(0, 9).Draw(t, "key"), Node: strconv.Itoa(claimant), Seq: uint64(offset)}
			for i, f := range folds {
				f.Apply(offset, now, cl)
				must.LessEq(t, capacities[i], f.Len())
			}
			if winner, ok := folds[claimant].Winner(cl.KeyHash); ok && winner == cl {
				previous, dup := wonAt[cl.KeyHash]
				must.False(t, dup && now.Sub(previous) < horizon, must.Sprintf("key %d ran twice", cl.KeyHash))
				wonAt[cl.KeyHash] = now
			}
		}
	})
}

// Guards against a later claim, or a record delivered twice, replacing the first claim of a key
// before its resend horizon has passed.
func TestFirstClaimWinsUntilHorizon(t *testing.T) {
	c := NewClaims(time.Minute, 10)
	first := Claim{KeyHash: 7, Node: "a", Seq: 1}
	c.Apply(4, epoch, first)
	c.Apply(4, epoch, Claim{KeyHash: 8, Node: "b"}) // delivered again
	c.Apply(5, epoch, Claim{KeyHash: 7, Node: "b"})
	winner, ok := c.Winner(7)
	must.True(t, ok)
	must.Eq(t, first, winner)
	_, ok = c.Winner(8)
	must.False(t, ok)
	c.Expire(epoch.Add(time.Minute))
	must.Eq(t, 0, c.Len())
}
