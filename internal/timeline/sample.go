package timeline

import "strings"

// Sampler chooses which good calls leave events. All processes of a chain
// choose alike, since the choice depends on the root request alone: a sampled
// request is seen whole.
type Sampler struct {
	every uint32
}

// NewSampler keeps one request in every; 0 and 1 keep all.
func NewSampler(every int) Sampler {
	return Sampler{every: uint32(max(1, every))}
}

// Keep reports whether the events of a good call are kept. Refused, retried
// and failed calls are always worth keeping: don't ask for them.
func (s Sampler) Keep(requestID string) bool {
	if s.every <= 1 {
		return true
	}
	return hash(requestID)%s.every == 0
}

// RootOf returns the ID of the request that a call was made for: the ID of a call
// begins with it, a dot between.
func RootOf(requestID string) string {
	root, _, _ := strings.Cut(requestID, ".")
	return root
}

// hash is FNV-1a; it is written out because the library's form allocates.
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
