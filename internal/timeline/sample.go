package timeline

import "strings"

// Sampler selects the successful calls whose events are recorded. The decision depends only on the
// ID of the root request, so all processes of a call chain decide alike and the events of a sampled
// request are complete.
type Sampler struct {
	oneIn uint32
}

// NewSampler returns a sampler that keeps 1 in oneIn requests; 0 and 1 keep all.
func NewSampler(oneIn int) Sampler {
	return Sampler{oneIn: uint32(max(1, oneIn))}
}

// Keep reports whether to record the events of a successful call. Callers record the events of
// refused, retried and failed calls without calling Keep.
func (s Sampler) Keep(requestID string) bool {
	if s.oneIn <= 1 {
		return true
	}
	return hash(requestID)%s.oneIn == 0
}

// RootOf returns the ID of the root request of a call. The ID of a call starts with the ID of its
// root request and a dot.
func RootOf(requestID string) string {
	root, _, _ := strings.Cut(requestID, ".")
	return root
}

// hash returns the 32-bit FNV-1a hash of s. It does not use hash/fnv, which allocates.
func hash(s string) uint32 {
	const (
		offset = 2166136261
		prime  = 16777619
	)
	h := uint32(offset)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint32(s[i])) * prime
	}
	return h
}
