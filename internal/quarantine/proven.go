package quarantine

import "slices"

// proven remembers fingerprints that succeeded lately, in two generations: when
// the younger one is full it replaces the older.
//
// The failure guarded against: an upstream with a hundred calls in flight dies
// by itself, and all of them become suspects. Those that many callers send alike
// would be held back at every guard, and refused after a few crashes more, such
// as those of a rack, though they never harmed anyone. What succeeded lately
// doesn't kill what runs it.
type proven struct {
	young, old map[Fingerprint]struct{}
}

// add remembers f in at most bound entries.
func (p *proven) add(f Fingerprint, bound int) {
	if bound <= 0 {
		return
	}
	if _, known := p.young[f]; known {
		return
	}
	if p.young == nil || len(p.young) >= max(1, bound/2) {
		p.old = p.young
		p.young = make(map[Fingerprint]struct{})
	}
	p.young[f] = struct{}{}
}

func (p *proven) has(f Fingerprint) bool {
	if _, ok := p.young[f]; ok {
		return true
	}
	_, ok := p.old[f]
	return ok
}

// unproven returns those that aren't remembered, in a slice of its own.
func (p *proven) unproven(list []Fingerprint) []Fingerprint {
	return slices.DeleteFunc(slices.Clone(list), p.has)
}
