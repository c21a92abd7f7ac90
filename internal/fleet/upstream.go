package fleet

import (
	"slices"
	"time"
)

// Report is what the upstream beside a node says of itself.
type Report struct {
	// ID names the upstream; it may start again under the same one.
	ID      string
	Service string
	// Address is where it takes requests, IP:port.
	Address string
	Zone    string
	// Version is that of its software.
	Version string
	Slots   int
	// Leaving says that it takes no new work.
	Leaving bool
	// Born is the start of its process in Unix milliseconds; 0 when it doesn't
	// say.
	Born int64
	// Sequence grows with each report of one process.
	Sequence int64
	// ColdFor is how long it will still be slow after its start.
	ColdFor time.Duration
}

// Change is what a report changed.
type Change int

const (
	// Unchanged: the report repeats what is known.
	Unchanged Change = iota
	// Outdated: the report is older than what is known, and changes nothing.
	Outdated
	// Started: another process serves from now on.
	Started
	// Left: the process takes no new work from now on.
	Left
	// Updated: figures of the process changed.
	Updated
)

// LocalUpstream orders what is heard of the upstream beside a node. A report
// that was held up may arrive after its process has died and another one took
// its place; it must not bring the dead one back. It is not safe for concurrent
// use.
type LocalUpstream struct {
	current Report
	known   bool
	left    bool
	// adopted says that the process was found at work and has not reported yet: its
	// start and sequence aren't known.
	adopted bool
	// replaced are the processes before the present one, oldest first. Where
	// upstreams don't state their start only this tells an old one from a new.
	replaced []process
}

// process names one process of an upstream.
type process struct {
	id   string
	born int64
}

// maxReplaced bounds the processes remembered: a report is held up for seconds,
// and an upstream dies at most a few times in that time.
const maxReplaced = 64

// Current returns the newest report and whether its process takes work.
func (u *LocalUpstream) Current() (r Report, serving bool) {
	return u.current, u.known && !u.left
}

// Adopt takes a process that was found at work before it reported. It is false when
// one has reported meanwhile.
func (u *LocalUpstream) Adopt(r Report) bool {
	if u.known {
		return false
	}
	u.current = r
	u.known = true
	u.adopted = true
	return true
}

// Apply takes a report.
func (u *LocalUpstream) Apply(r Report) Change {
	if u.adopted {
		u.adopted = false
		if r.ID == u.current.ID {
			u.current.Born, u.current.Sequence = r.Born, r.Sequence-1
		}
	}
	if !u.known {
		return u.start(r)
	}
	if u.sameProcess(r) {
		return u.progress(r)
	}
	if r.Born < u.current.Born || slices.Contains(u.replaced, process{r.ID, r.Born}) {
		return Outdated
	}
	u.replaced = append(u.replaced, process{u.current.ID, u.current.Born})
	u.replaced = u.replaced[max(0, len(u.replaced)-maxReplaced):]
	return u.start(r)
}

// sameProcess: an upstream may start again under its old name, and only the
// time of its start then tells the two apart.
func (u *LocalUpstream) sameProcess(r Report) bool {
	return r.ID == u.current.ID && r.Born == u.current.Born
}

func (u *LocalUpstream) start(r Report) Change {
	u.current = r
	u.known = true
	u.left = r.Leaving
	if r.Leaving {
		return Left
	}
	return Started
}

func (u *LocalUpstream) progress(r Report) Change {
	if r.Sequence <= u.current.Sequence {
		return Outdated
	}
	before := u.current
	u.current = r
	if r.Leaving && !u.left {
		u.left = true
		return Left
	}
	// What has left stays so: only a new process takes work again.
	if r.Slots != before.Slots || r.Address != before.Address {
		return Updated
	}
	return Unchanged
}

// Departed takes the word that the process with this ID and start is about to
// end, or has; born is 0 when it was not given.
func (u *LocalUpstream) Departed(id string, born int64) Change {
	if !u.known || u.current.ID != id || (born != 0 && born < u.current.Born) {
		return Outdated
	}
	if u.left {
		return Unchanged
	}
	u.left = true
	return Left
}
