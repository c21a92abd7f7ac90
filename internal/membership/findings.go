package membership

import (
	"maps"
	"slices"
	"time"
)

// maxFindings bounds one Exchange; about 40 B each.
const maxFindings = 16

// Finding is what one node knows first hand about a target. Age is the time
// since, so that clocks need not agree.
type Finding struct {
	Target   Identity      `json:"t"`
	Observer Identity      `json:"a"`
	Age      time.Duration `json:"g"`
	// Alive says that there was an answer; else there was none.
	Alive bool `json:"l,omitempty"`
}

// Findings returns what to tell in an Exchange: accusations that count and
// answers that speak against one, the newest first.
func (d *Detector) Findings(now time.Time) []Finding {
	var out []Finding
	for _, id := range d.peers {
		out = d.states[id].findings(now, id, d.self, d.cfg.FindingMaxAge, out)
	}
	slices.SortStableFunc(out, func(a, b Finding) int { return int(a.Age - b.Age) })
	return out[:min(len(out), maxFindings)]
}

func (s *peerState) findings(now time.Time, id, self Identity, maxAge time.Duration, out []Finding) []Finding {
	if len(s.accusers) == 0 && s.cleared.IsZero() {
		return out
	}
	for _, who := range slices.SortedFunc(maps.Keys(s.accusers), Identity.Compare) {
		out = append(out, Finding{Target: id, Observer: who, Age: now.Sub(s.accusers[who])})
	}
	if !s.cleared.IsZero() && now.Sub(s.cleared) < maxAge {
		out = append(out, Finding{Target: id, Observer: self, Age: now.Sub(s.heard), Alive: true})
	}
	return out
}

// OnGossip takes the findings of another node.
func (d *Detector) OnGossip(now time.Time, findings []Finding) {
	for _, f := range findings {
		s, ok := d.states[f.Target]
		if !ok || f.Age < 0 || f.Age >= d.cfg.FindingMaxAge {
			continue
		}
		at := now.Add(-f.Age)
		if f.Alive {
			d.alive(at, f.Target)
			continue
		}
		if at.After(s.heard) && at.After(s.accusers[f.Observer]) && d.member(f.Observer) {
			s.accusers[f.Observer] = at
		}
	}
}

func (d *Detector) member(id Identity) bool {
	_, ok := d.states[id]
	return ok
}

func (d *Detector) expire(now time.Time) {
	for _, s := range d.states {
		if len(s.accusers) == 0 {
			continue
		}
		maps.DeleteFunc(s.accusers, func(_ Identity, at time.Time) bool {
			return now.Sub(at) >= d.cfg.FindingMaxAge
		})
	}
}

// evictions names the dead, when self is the zone's reader. A reader that is
// cut off itself says nothing.
func (d *Detector) evictions(now time.Time) []Action {
	if d.leader != d.self || d.Isolated() {
		return nil
	}
	var out []Action
	for _, id := range d.peers {
		s := d.states[id]
		if d.Status(now, id) != Dead || (!s.evicted.IsZero() && now.Sub(s.evicted) < d.cfg.EvictEvery) {
			continue
		}
		s.evicted = now
		out = append(out, EvictDue{ID: id})
	}
	return out
}
