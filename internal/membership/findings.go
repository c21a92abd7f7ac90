package membership

import (
	"maps"
	"slices"
	"time"
)

// maxFindings limits the findings in one Exchange; each one takes about 40 B.
const maxFindings = 16

// Finding is an observation of a target by one node.
type Finding struct {
	Target Identity `json:"t"`
	// Observer is the node that made the observation.
	Observer Identity `json:"a"`
	// Age is the time since the observation. An age is sent because clocks may differ.
	Age time.Duration `json:"g"`
	// Alive reports whether the target responded; if false, it was unresponsive.
	Alive bool `json:"l,omitempty"`
}

// Findings returns the findings to send in an Exchange, newest first: the valid ones that a peer
// is unresponsive, and the responses that refute such a finding.
func (d *Detector) Findings(now time.Time) []Finding {
	var out []Finding
	for _, id := range d.peers {
		out = d.states[id].appendFindings(now, id, d.self, d.cfg.FindingMaxAge, out)
	}
	slices.SortStableFunc(out, func(a, b Finding) int { return int(a.Age - b.Age) })
	return out[:min(len(out), maxFindings)]
}

func (s *peerState) appendFindings(now time.Time, id, self Identity, maxAge time.Duration, out []Finding) []Finding {
	if len(s.observers) == 0 && s.refutedAt.IsZero() {
		return out
	}
	for _, observer := range slices.SortedFunc(maps.Keys(s.observers), Identity.Compare) {
		out = append(out, Finding{Target: id, Observer: observer, Age: now.Sub(s.observers[observer])})
	}
	if !s.refutedAt.IsZero() && now.Sub(s.refutedAt) < maxAge {
		out = append(out, Finding{Target: id, Observer: self, Age: now.Sub(s.lastResponse), Alive: true})
	}
	return out
}

// OnGossip merges the findings of another node.
func (d *Detector) OnGossip(now time.Time, findings []Finding) {
	for _, f := range findings {
		s, ok := d.states[f.Target]
		if !ok || f.Age < 0 || f.Age >= d.cfg.FindingMaxAge {
			continue
		}
		at := now.Add(-f.Age)
		if f.Alive {
			d.recordResponse(at, f.Target)
			continue
		}
		if at.After(s.lastResponse) && at.After(s.observers[f.Observer]) && d.isMember(f.Observer) {
			s.observers[f.Observer] = at
		}
	}
}

func (d *Detector) isMember(id Identity) bool {
	_, ok := d.states[id]
	return ok
}

// expireFindings removes findings older than FindingMaxAge.
func (d *Detector) expireFindings(now time.Time) {
	for _, s := range d.states {
		if len(s.observers) == 0 {
			continue
		}
		maps.DeleteFunc(s.observers, func(_ Identity, at time.Time) bool {
			return now.Sub(at) >= d.cfg.FindingMaxAge
		})
	}
}

// dueEvictions returns an EvictDue action for each dead peer if self is the zone's reader. A
// reader that seems to be disconnected itself returns none.
func (d *Detector) dueEvictions(now time.Time) []Action {
	if d.leader != d.self || d.Isolated() {
		return nil
	}
	var out []Action
	for _, id := range d.peers {
		s := d.states[id]
		if d.Status(now, id) != Dead || (!s.lastEvictDue.IsZero() && now.Sub(s.lastEvictDue) < d.cfg.EvictEvery) {
			continue
		}
		s.lastEvictDue = now
		out = append(out, EvictDue{ID: id})
	}
	return out
}
