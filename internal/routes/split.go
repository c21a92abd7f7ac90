package routes

import "sync"

// Splitter distributes requests among targets by smooth weighted round robin. In any run of
// requests each target gets its share to within 1 request. A random choice would be off by a tenth
// in 200 requests. Each node distributes its own requests. The error of each node is at
// most 1 request per target, so the error of the sum is at most 1 request per target and node. It
// is safe for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	weights []int
	credit  []int
	total   int
}

// NewSplitter returns a splitter. The weights must not be negative, and at least one must be
// above 0. seed selects the position in the sequence at which the splitter starts, so that nodes
// with few requests don't all start with the target of the greatest weight.
func NewSplitter(weights []int, seed uint64) *Splitter {
	s := &Splitter{weights: weights, credit: make([]int, len(weights))}
	for _, w := range weights {
		s.total += w
	}
	for range seed % uint64(max(1, min(s.total, maxInitialSteps))) {
		s.Next()
	}
	return s
}

// maxInitialSteps bounds the steps that NewSplitter skips. The sequence repeats after as many steps
// as the sum of the weights, which is mostly 100, since weights are mostly percentages.
const maxInitialSteps = 128

// Next returns the index of the target of the next request.
func (s *Splitter) Next() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, w := range s.weights {
		s.credit[i] += w
		if s.credit[i] > s.credit[best] || s.weights[best] == 0 {
			best = i
		}
	}
	s.credit[best] -= s.total
	return best
}
