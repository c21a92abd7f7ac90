package idempotency

import "time"

// Claim is a record of the log: a guard incarnation says that it will run the
// key. It may run only if its claim turns out to be the first in the log.
type Claim struct {
	KeyHash     uint64
	Node        string
	Incarnation uint64
	// Seq tells the claims of one incarnation apart.
	Seq uint64
	// Addr is the claimant's inner address, to send resends to.
	Addr string
}

type claimed struct {
	claim Claim
	at    time.Time
}

// Claims folds claim records in log order; the first claim of a key wins until
// the callers' resend horizon has passed. Not safe for concurrent use.
//
// The fold must have begun at a record at least a horizon old before its
// answers are used: an earlier claim that it never saw would lose.
type Claims struct {
	horizon time.Duration
	max     int
	byKey   map[uint64]claimed
	order   []claimed // by offset
	next    int64
	// blindUntil is set when a claim found no room. That claim may have won
	// elsewhere, so until it has aged no new key may be won here.
	blindUntil time.Time
}

// NewClaims returns an empty fold that holds at most maxClaims keys.
func NewClaims(horizon time.Duration, maxClaims int) *Claims {
	return &Claims{horizon: horizon, max: maxClaims, byKey: make(map[uint64]claimed)}
}

// Apply folds the claim at an offset. at is the record's time or, where the
// log has none, when it was read. A record below the last offset is ignored:
// a reader that starts again may deliver it twice.
func (c *Claims) Apply(offset int64, at time.Time, cl Claim) {
	if offset < c.next {
		return
	}
	c.next = offset + 1
	c.Expire(at)
	if _, taken := c.byKey[cl.KeyHash]; taken {
		return
	}
	if len(c.byKey) >= c.max || at.Before(c.blindUntil) {
		c.blindUntil = at.Add(c.horizon)
		return
	}
	e := claimed{claim: cl, at: at}
	c.byKey[cl.KeyHash] = e
	c.order = append(c.order, e)
}

// Holder returns the claim that won the key. False means that nobody is known
// to hold it: no claim was made, or there was no room to fold it. A claimant
// that reads false after its own claim must refuse with result.NoAuthority.
func (c *Claims) Holder(keyHash uint64) (Claim, bool) {
	e, ok := c.byKey[keyHash]
	return e.claim, ok
}

// Expire forgets claims whose resend horizon has passed.
func (c *Claims) Expire(now time.Time) {
	n := 0
	for n < len(c.order) && now.Sub(c.order[n].at) >= c.horizon {
		delete(c.byKey, c.order[n].claim.KeyHash)
		n++
	}
	c.order = c.order[n:]
}

// Len is the number of keys held.
func (c *Claims) Len() int { return len(c.byKey) }
