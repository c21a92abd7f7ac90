package routes

import "sync"

// Splitter deals requests to parts by weight. It is smooth weighted round
// robin: in any run of requests each part has its share to within one request,
// where a random choice would be off by a tenth in two hundred. Each node deals
// for itself; since every one of them is within one request per part, so is
// their sum, to one per node. Safe for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	weights []int
	credit  []int
	total   int
}

// NewSplitter makes a splitter; the weights must not be negative, and one must
// be above 0. seed rotates where it begins, so that nodes with few requests
// don't all begin with the heaviest part.
func NewSplitter(weights []int, seed uint64) *Splitter {
	s := &Splitter{weights: weights, credit: make([]int, len(weights))}
	for _, w := range weights {
		s.total += w
	}
	for range seed % uint64(max(1, min(s.total, maxRotation))) {
		s.Next()
	}
	return s
}

// maxRotation bounds the steps taken at the start: weights are mostly percent.
const maxRotation = 128

// Next returns the index of the part that the next request goes to.
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
