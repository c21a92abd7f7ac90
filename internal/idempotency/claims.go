package idempotency

import "time"

// Claim is a record of the log by which a guard incarnation announces that it will run the call
// with a key. The guard may run the call only if its claim is the first one for the key in the
// log.
type Claim struct {
	KeyHash     uint64
	Node        string
	Incarnation uint64
	// Seq distinguishes the claims of one incarnation.
	Seq uint64
	// Addr is the claimant's inner address, to which resends are forwarded.
	Addr string
}

// claimEntry is the winning claim of a key.
type claimEntry struct {
	claim Claim
	// recordedAt is the time of the record or, if the log has none, the time at which it was read.
	recordedAt time.Time
}

// Claims folds claim records in log order. The first claim of a key wins until the resend horizon,
// the time during which callers may resend a key, has passed. Not safe for concurrent use.
//
// Before its results are used, the fold must contain every claim of the last horizon. Otherwise it
// lacks the first claim of a key, and a later claim of the same key wins as well.
type Claims struct {
	horizon    time.Duration
	maxKeys    int
	byKey      map[uint64]claimEntry
	byOffset   []claimEntry // in log order
	nextOffset int64
	// rejectUntil is set when a claim found no free entry. Another fold with a higher limit may
	// have accepted that claim, so this fold accepts no claim of a new key until the horizon of
	// the last dropped claim has passed.
	rejectUntil time.Time
}

// NewClaims returns an empty fold that holds at most maxClaims keys.
func NewClaims(horizon time.Duration, maxClaims int) *Claims {
	return &Claims{horizon: horizon, maxKeys: maxClaims, byKey: make(map[uint64]claimEntry)}
}

// Apply folds the claim at an offset. at is the time of the record or, if the log has none, the
// time at which it was read. A record below the last folded offset is ignored, because a restarted
// reader may deliver a record twice.
func (c *Claims) Apply(offset int64, at time.Time, cl Claim) {
	if offset < c.nextOffset {
		return
	}
	c.nextOffset = offset + 1
	c.Expire(at)
	if _, taken := c.byKey[cl.KeyHash]; taken {
		return
	}
	if len(c.byKey) >= c.maxKeys || at.Before(c.rejectUntil) {
		c.rejectUntil = at.Add(c.horizon)
		return
	}
	e := claimEntry{claim: cl, recordedAt: at}
	c.byKey[cl.KeyHash] = e
	c.byOffset = append(c.byOffset, e)
}

// Winner returns the claim that won the key. It returns false if no winner is known: either there
// was no claim, or the fold had no free entry for it. A claimant that gets false after its own
// claim was folded must refuse the call with result.NoAuthority.
func (c *Claims) Winner(keyHash uint64) (Claim, bool) {
	e, ok := c.byKey[keyHash]
	return e.claim, ok
}

// Expire removes claims whose resend horizon has passed.
func (c *Claims) Expire(now time.Time) {
	n := 0
	for n < len(c.byOffset) && now.Sub(c.byOffset[n].recordedAt) >= c.horizon {
		delete(c.byKey, c.byOffset[n].claim.KeyHash)
		n++
	}
	c.byOffset = c.byOffset[n:]
}

// Len returns the number of keys in the fold.
func (c *Claims) Len() int { return len(c.byKey) }
