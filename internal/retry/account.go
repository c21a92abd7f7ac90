package retry

import "sync"

// Account is the retry allowance of one running call. It is safe for
// concurrent use. The zero value is an account without allowance.
//
// A mutex and not an atomic: an operation is a few nanoseconds under it, one
// call's children hardly ever collide, and left and out must change together.
type Account struct {
	mu sync.Mutex
	// left may be spent or lent.
	left int
	// out is with children whose answers have not come home.
	out    int
	closed bool
}

// Share is the part of an allowance that one child call took along.
type Share struct {
	account *Account
	amount  int
	// settled is guarded by account.mu.
	settled bool
}

// NewAccount returns an account with an allowance; a negative one is 0.
func NewAccount(allowance int) *Account {
	return &Account{left: max(0, allowance)}
}

// Split returns the part for one child call, half of what is left rounded up,
// and deducts it at once. It returns 0 when nothing is left. Prefer Lend, which
// ties what comes back to what that child got.
func (a *Account) Split() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.splitLocked()
}

func (a *Account) splitLocked() int {
	if a.closed {
		return 0
	}
	share := (a.left + 1) / 2
	a.left -= share
	a.out += share
	return share
}

// Lend is Split for a child whose answer may lie or come twice.
func (a *Account) Lend() *Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &Share{account: a, amount: a.splitLocked()}
}

// Return takes back what a child did not use. It is capped by what is
// outstanding with all children, and ignored once the account is closed.
//
// It cannot tell children apart: a second Return for one child, or one above
// its part, takes what a sibling still holds and may spend. So it must be
// called at most once for each Split and with no more than that Split gave;
// Share.Return enforces both.
func (a *Account) Return(unused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returnLocked(unused)
}

func (a *Account) returnLocked(unused int) {
	if a.closed || unused <= 0 {
		return
	}
	back := min(unused, a.out)
	a.out -= back
	a.left += back
}

// Amount is what the child may spend.
func (s *Share) Amount() int { return s.amount }

// Return takes back what the child did not use, capped by its amount. Only the
// first call counts: a repeated answer, as after a re-attachment, would
// otherwise credit the same allowance twice, and the tree would make more
// retries than its root allowed. What a lost answer would have brought home
// is never credited.
func (s *Share) Return(unused int) {
	a := s.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.settled {
		return
	}
	s.settled = true
	a.returnLocked(min(unused, s.amount))
}

// Spend takes one retry; it is false when none is left.
func (a *Account) Spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Close ends the account and returns the balance, which goes home with the
// answer. What is still with children counts as spent. A second Close
// returns 0, so that two answers cannot both carry the balance.
func (a *Account) Close() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := a.left
	a.left = 0
	a.closed = true
	return left
}

// Balance is what could be spent now.
func (a *Account) Balance() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}
