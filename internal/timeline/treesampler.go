package timeline

import (
	"sync"
	"time"
)

// TreeSampler bounds how many lines a second a node writes of calls, and leaves out
// whole trees of calls. Load pattern: under a flood of failures the deepest service's
// nodes have more lines to write than their bound, their callers fewer. With each line
// left out by itself, many failures of the deepest nodes would have no line at their entry.
// A node that must halve its lines keeps the trees whose root's hash is even, one that must
// halve them again every fourth, and so on: all nodes keep what the busiest one keeps,
// without a message between them.
//
// The zero value with a Budget is ready to use, by many goroutines.
type TreeSampler struct {
	// Budget is how many lines go out in a second, at least 1.
	Budget int

	mu     sync.Mutex
	second int64
	// written counts this second's lines.
	written int
	// halveAt is how many lines of this second halve the share of the trees kept.
	halveAt int
	// halvings is how often that share was halved.
	halvings uint
}

// maxHalvings keeps one tree in 65,536.
const maxHalvings = 16

// Keep reports whether a line of the request is written, and of how many trees this is
// one that is kept. requestID may be that of any call of the tree.
func (s *TreeSampler) Keep(now time.Time, requestID string) (keep bool, oneIn int) {
	h := hash(RootOf(requestID))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now.Unix())
	if h&(1<<s.halvings-1) != 0 || s.written >= s.budget() {
		return false, 0
	}
	oneIn = 1 << s.halvings
	s.written++
	s.halve()
	return true, oneIn
}

func (s *TreeSampler) budget() int { return max(s.Budget, 1) }

// turn begins a new second. A share that needed at most a quarter of the budget is
// doubled and then needs half of it: doubled at half already, it would be halved again
// in each second, and no tree that lasts longer would be kept whole.
func (s *TreeSampler) turn(second int64) {
	if second == s.second {
		return
	}
	if s.halvings > 0 && s.written <= s.budget()/4 {
		s.halvings--
	}
	s.second, s.written = second, 0
	s.halveAt = max(s.budget()/2, 1)
}

// halve halves the share when more than half of what was left of the budget is written: a flood
// that begins in the middle of a second is thinned step by step, and what is kept at
// its end is a part of what was kept before.
func (s *TreeSampler) halve() {
	if s.written <= s.halveAt || s.halvings == maxHalvings {
		return
	}
	s.halvings++
	s.halveAt += max((s.budget()-s.halveAt)/2, 1)
}
