package membership

import "slices"

// Fanout bounds the children of a process in the tree that spreads what the
// zone's reader read: 16 exchanges of about 100 B a second stay below 2 KB/s.
const Fanout = 16

// Parent returns whom self exchanges with: a tree with the leader at its root
// and the live members in order of identity below; false for the leader and
// for one that is not listed. A zone of 400 is three levels deep. live must be
// sorted; views that differ give a detour, no loss.
func Parent(self, leader Identity, live []Identity) (Identity, bool) {
	if self == leader {
		return Identity{}, false
	}
	i := position(self, leader, live)
	if i <= 0 {
		return Identity{}, false
	}
	p := (i - 1) / Fanout
	if p == 0 {
		return leader, true
	}
	return at(p, leader, live), true
}

// position is the index in the list that has the leader moved to its front.
func position(id, leader Identity, live []Identity) int {
	i, ok := slices.BinarySearchFunc(live, id, Identity.Compare)
	if !ok {
		return -1
	}
	l, ok := slices.BinarySearchFunc(live, leader, Identity.Compare)
	if !ok || i < l {
		return i + 1
	}
	return i
}

// at is the inverse of position for p > 0.
func at(p int, leader Identity, live []Identity) Identity {
	l, ok := slices.BinarySearchFunc(live, leader, Identity.Compare)
	if !ok || p <= l {
		return live[p-1]
	}
	return live[p]
}
