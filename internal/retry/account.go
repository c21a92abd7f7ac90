package retry

import "sync"

// Account holds the retry allowance of one running call, counted in retries. It is safe for
// concurrent use. The zero value has no allowance.
//
// A mutex guards it rather than atomics, because available and outstanding must change together. An
// operation holds the mutex for a few nanoseconds, and the children of one call rarely contend for
// it.
type Account struct {
	mu sync.Mutex
	// available is the part that the call can spend or lend.
	available int
	// outstanding is the part lent to children whose responses have not arrived.
	outstanding int
	closed      bool
}

// Share is the part of a parent's allowance that is lent to one child call.
type Share struct {
	account *Account
	amount  int
	// returned is set by the first Return. It is guarded by account.mu.
	returned bool
}

// NewAccount returns an account with the given allowance. A negative allowance counts as 0.
func NewAccount(allowance int) *Account {
	return &Account{available: max(0, allowance)}
}

// Split deducts the part for one child call, half of the available allowance rounded up, and
// returns it. It returns 0 if nothing is available. Prefer Lend, which limits what a child can
// return to what it received.
func (a *Account) Split() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.splitLocked()
}

func (a *Account) splitLocked() int {
	if a.closed {
		return 0
	}
	share := (a.available + 1) / 2
	a.available -= share
	a.outstanding += share
	return share
}

// Lend deducts the same part as Split and returns it as a Share, which limits the effect of
// responses that are duplicated or report too much unused allowance.
func (a *Account) Lend() *Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &Share{account: a, amount: a.splitLocked()}
}

// Return credits the part that a child did not use. The credit is capped by the amount outstanding
// with all children. After Close it is ignored.
//
// Return does not distinguish children: a second Return for one child, or one above its part,
// credits allowance that a sibling holds and can spend. Call it at most once for each Split, with
// at most the amount that Split returned. Share.Return enforces both.
func (a *Account) Return(unused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returnLocked(unused)
}

func (a *Account) returnLocked(unused int) {
	if a.closed || unused <= 0 {
		return
	}
	credited := min(unused, a.outstanding)
	a.outstanding -= credited
	a.available += credited
}

// Amount returns the number of retries that the child can spend.
func (s *Share) Amount() int { return s.amount }

// Return credits the part that the child did not use, capped by Amount. Only the first call has an
// effect: after a re-attachment a response can arrive twice, and crediting it twice would let the
// call tree make more retries than the allowance of its root. If the response is lost, nothing is
// credited.
func (s *Share) Return(unused int) {
	a := s.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.returned {
		return
	}
	s.returned = true
	a.returnLocked(min(unused, s.amount))
}

// Spend deducts one retry. It returns false if none is available.
func (a *Account) Spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.available == 0 {
		return false
	}
	a.available--
	return true
}

// Close closes the account and returns the unspent allowance, which the response reports to the
// parent. Allowance outstanding with children counts as spent. A second Close returns 0, so that
// two responses cannot both report the balance.
func (a *Account) Close() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	balance := a.available
	a.available = 0
	a.closed = true
	return balance
}

// Balance returns the number of retries that can be spent now.
func (a *Account) Balance() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.available
}
