package lease

import (
	"fmt"
	"slices"

	"github.com/galenagrade/galenagrade/internal/result"
)

// call sends a new key, or one that its caller may still resend, to a guard.
func (w *world) call(p *process) {
	k := len(w.keys) - 1 - w.choose.intn(6, "key")
	if k < 0 || w.choose.intn(3, "new key") == 0 {
		k = len(w.keys)
		key := &simKey{firstSentAt: w.now}
		if w.choose.intn(2, "has time") == 0 {
			key.issuedAt = epoch.Add(w.now + w.skew())
		}
		w.keys = append(w.keys, key)
	}
	if w.now-w.keys[k].firstSentAt >= w.cfg.ResendHorizon {
		return
	}
	if owner := w.tryStart(p, k); owner != "" && w.processAt(owner) != nil {
		w.tryStart(w.processAt(owner), k)
	}
}

// tryStart starts a call at a guard if the guard allows it. Otherwise it returns the address of
// the owner that the refusal contains, if any.
func (w *world) tryStart(p *process, k int) string {
	if p.memory[k] {
		return ""
	}
	a := p.l.MayStart(w.local(p), uint64(k), w.keys[k].issuedAt)
	if !a.OK {
		w.coverage["unknown"] += map[result.Code]int{result.OutcomeUnknown: 1}[a.Refusal.Code]
		return a.Refusal.Owner
	}
	p.memory[k] = true
	p.allowed = append(p.allowed, allowedCall{k, a.Deadline})
	if w.choose.intn(2, "at once") == 0 {
		w.dispatch(p)
	}
	return ""
}

// dispatch sends an allowed call if its deadline has not passed yet.
func (w *world) dispatch(p *process) {
	if len(p.allowed) == 0 {
		return
	}
	c := p.allowed[0]
	p.allowed = p.allowed[1:]
	if !w.local(p).Before(c.deadline) {
		return
	}
	key := w.keys[c.key]
	key.startedBy = append(key.startedBy, p.id.String())
	w.coverage["starts"]++
	if p.l.headAge(w.local(p)) >= w.cfg.Validity {
		w.coverage["starts on promises"]++
	}
	otherStarters := slices.DeleteFunc(w.startersOf(p.l.SlotOf(uint64(c.key))), func(id Identity) bool { return id == p.id })
	if len(key.startedBy) > 1 || len(otherStarters) > 0 {
		w.err = fmt.Errorf("after %v: key %d was started by %v, and %v may also start calls in its slot", w.now, c.key, key.startedBy, otherStarters)
	}
}
