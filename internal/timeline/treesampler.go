package timeline

import (
	"sync"
	"time"
)

// TreeSampler limits the number of log lines about calls that a node writes per second. It drops
// the lines of whole call trees rather than single lines.
//
// During a burst of failures, the nodes of the deepest service produce more lines than their budget
// allows, and their callers produce fewer. If nodes dropped single lines, many failures logged by
// the deepest nodes would have no line at the entry node. Instead, a node that has to halve its
// lines keeps the trees whose root ID has an even hash, a node that has to halve them again keeps
// every fourth tree, and so on. Every tree kept by the busiest node is therefore also kept by all
// other nodes, without any communication between them.
//
// The zero value with a Budget is ready to use. Safe for concurrent use.
type TreeSampler struct {
	// Budget is the maximum number of lines per second, at least 1.
	Budget int

	mu     sync.Mutex
	second int64
	// written is the number of lines written in this second.
	written int
	// reduceAt is the number of lines in this second above which the kept share of trees is halved.
	reduceAt int
	// maskBits is the number of low bits of a tree's hash that must be 0 for the tree to be kept.
	// Each bit halves the kept share.
	maskBits uint
}

// maxMaskBits is the maximum of maskBits. It keeps one tree in 65,536.
const maxMaskBits = 16

// Keep reports whether to write a line about the request and, if so, counts the line. oneIn is N if
// 1 in N trees is kept, for the caller to write into the line: the line then represents N trees.
// requestID may be the ID of any call of the tree.
func (s *TreeSampler) Keep(now time.Time, requestID string) (keep bool, oneIn int) {
	h := hash(RootOf(requestID))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startSecond(now.Unix())
	if h&(1<<s.maskBits-1) != 0 || s.written >= s.budget() {
		return false, 0
	}
	oneIn = 1 << s.maskBits
	s.written++
	s.reduceShare()
	return true, oneIn
}

func (s *TreeSampler) budget() int { return max(s.Budget, 1) }

// startSecond resets the count if a new second has begun. It doubles the kept share if the last
// second used at most a quarter of the budget, so that the doubled share uses half of it. If the
// share were doubled at half of the budget already, it would be halved again in every second, and
// trees that last longer than a second would be kept only in part.
func (s *TreeSampler) startSecond(second int64) {
	if second == s.second {
		return
	}
	if s.maskBits > 0 && s.written <= s.budget()/4 {
		s.maskBits--
	}
	s.second, s.written = second, 0
	s.reduceAt = max(s.budget()/2, 1)
}

// reduceShare halves the kept share once more than half of the remaining budget is used. A burst
// that starts within a second is thus reduced step by step, and the trees kept at its end are a
// subset of the trees kept before.
func (s *TreeSampler) reduceShare() {
	if s.written <= s.reduceAt || s.maskBits == maxMaskBits {
		return
	}
	s.maskBits++
	s.reduceAt += max((s.budget()-s.reduceAt)/2, 1)
}
