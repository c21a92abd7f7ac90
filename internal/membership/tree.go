package membership

import "slices"

// Fanout limits the children of a process in the tree that distributes the records read by the
// zone's reader: 16 exchanges per second of about 100 B each are 1.6 KB/s, within the budget of
// 2 KB/s.
const Fanout = 16

// Parent returns the process that self exchanges with. The leader is the root of the tree, and the
// live members follow below it in the order of their identities. A zone of 400 nodes has three
// levels. Parent returns false for the leader and for a process that is not in live. live must be
// sorted. If nodes have different views, findings may take a longer path but are not lost.
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
	return memberAt(p, leader, live), true
}

// position returns the index of id in the list with the leader moved to the front, -1 if id is not
// in it.
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

// memberAt is the inverse of position for p > 0.
func memberAt(p int, leader Identity, live []Identity) Identity {
	l, ok := slices.BinarySearchFunc(live, leader, Identity.Compare)
	if !ok || p <= l {
		return live[p-1]
	}
	return live[p]
}
