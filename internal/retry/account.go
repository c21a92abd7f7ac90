package retry

import "sync"

// Account is the retry allowance of one running call. It is safe for
// concurrent use. The zero value is an account without allowance.
type Account struct {
	mu sync.Mutex
	// left may be spent or split.
	left int
	// out is with children whose answers have not come home.
	out    int
	closed bool
}

// NewAccount returns an account with an allowance; a negative one is 0.
func NewAccount(allowance int) *Account {
	return &Account{left: max(0, allowance)}
}

// Split returns the share for one child call, half of what is left rounded
// up, and deducts it at once. It returns 0 when nothing is left.
func (a *Account) Split() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return 0
	}
	share := (a.left + 1) / 2
	a.left -= share
	a.out += share
	return share
}

// Return takes back what a child did not use. It is capped by what is
// outstanding, and ignored once the account is closed.
func (a *Account) Return(unused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || unused <= 0 {
		return
	}
	back := min(unused, a.out)
	a.out -= back
	a.left += back
}

// Spend takes one retry; it is false when none is left.
func (a *Account) Spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Close ends the account and returns the balance, which goes home with the
// answer. A second Close returns 0.
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
