package quarantine

import "slices"

// recentSuccesses is a set of fingerprints that recently succeeded, in two generations: when the
// current generation is full, it replaces the previous one.
//
// It prevents false suspicion. When an upstream with a hundred calls in flight crashes for a reason
// that has nothing to do with them, all of these calls become suspected. An identical request that
// many callers send would then be delayed at every guard. After a few more crashes, for example
// when a rack fails, it would be refused, although it crashes nothing. A request that recently
// succeeded does not crash the upstream that runs it.
type recentSuccesses struct {
	current, previous map[Fingerprint]struct{}
}

// add inserts f. The set holds at most maxSize entries; add does nothing if maxSize is 0 or
// less.
func (p *recentSuccesses) add(f Fingerprint, maxSize int) {
	if maxSize <= 0 {
		return
	}
	if _, known := p.current[f]; known {
		return
	}
	if p.current == nil || len(p.current) >= max(1, maxSize/2) {
		p.previous = p.current
		p.current = make(map[Fingerprint]struct{})
	}
	p.current[f] = struct{}{}
}

func (p *recentSuccesses) has(f Fingerprint) bool {
	if _, ok := p.current[f]; ok {
		return true
	}
	_, ok := p.previous[f]
	return ok
}

// without returns a copy of list without the fingerprints in the set.
func (p *recentSuccesses) without(list []Fingerprint) []Fingerprint {
	return slices.DeleteFunc(slices.Clone(list), p.has)
}
