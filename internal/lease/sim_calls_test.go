package lease

import (
	"fmt"
	"slices"

	"github.com/galenagrade/galenagrade/internal/result"
)

// call sends a new key, or one that its caller may still resend, to a guard.
func (w *world) call(p *proc) {
	k := len(w.keys) - 1 - w.ch.intn(6, "key")
	if k < 0 || w.ch.intn(3, "new key") == 0 {
		k = len(w.keys)
		key := &simKey{first: w.now}
		if w.ch.intn(2, "has time") == 0 {
			key.issued = epoch.Add(w.now + w.skew())
		}
		w.keys = append(w.keys, key)
	}
	if w.now-w.keys[k].first >= w.cfg.ResendHorizon {
		return
	}
	if owner := w.try(p, k); owner != "" && w.at(owner) != nil {
		w.try(w.at(owner), k)
	}
}

// try starts a key at a guard if it may, and returns the owner it names else.
func (w *world) try(p *proc, k int) string {
	if p.memory[k] {
		return ""
	}
	a := p.l.MayStart(w.local(p), uint64(k), w.keys[k].issued)
	if !a.OK {
		w.seen["unknown"] += map[result.Code]int{result.OutcomeUnknown: 1}[a.Refusal.Code]
		return a.Refusal.Owner
	}
	p.memory[k] = true
	p.allowed = append(p.allowed, call{k, a.Deadline})
	if w.ch.intn(2, "at once") == 0 {
		w.dispatch(p)
	}
	return ""
}

// dispatch sends an allowed call if its authority still holds right now.
func (w *world) dispatch(p *proc) {
	if len(p.allowed) == 0 {
		return
	}
	c := p.allowed[0]
	p.allowed = p.allowed[1:]
	if !w.local(p).Before(c.deadline) {
		return
	}
	key := w.keys[c.key]
	key.runs = append(key.runs, p.id.String())
	w.seen["starts"]++
	if p.l.proofAge(w.local(p)) >= w.cfg.Validity {
		w.seen["starts on promises"]++
	}
	others := slices.DeleteFunc(w.starters(p.l.SlotOf(uint64(c.key))), func(id Identity) bool { return id == p.id })
	if len(key.runs) > 1 || len(others) > 0 {
		w.err = fmt.Errorf("at %v key %d ran at %v, and %v may start its slot", w.now, c.key, key.runs, others)
	}
}
