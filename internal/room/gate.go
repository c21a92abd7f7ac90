package room

import "time"

const (
	// NamedFor is how long a service is asked after responses or answers last named it as scarce.
	NamedFor = 10 * time.Second
	// unresponsiveFor is how long a guard that didn't answer is not asked again.
	unresponsiveFor = time.Second
	// maxUnresponsive bounds the guards that are remembered as unresponsive.
	maxUnresponsive = 16
	// MaxAsked is the number of guards that are asked in turn until one answers, and AskTime the time after
	// which no further one is asked. Guards whose processes were killed refuse at once.
	MaxAsked = 8
	AskTime  = 80 * time.Millisecond
)

// Gate decides at an entry node whether a service has to be asked. The zero value asks no guard.
type Gate struct {
	askUntil     time.Time
	unresponsive map[string]time.Time
}

// Named records that a response named the service as scarce.
func (g *Gate) Named(now time.Time) { g.askUntil = now.Add(NamedFor) }

// Asks reports whether the service has to be asked.
func (g *Gate) Asks(now time.Time) bool { return now.Before(g.askUntil) }

// Answered records the answer of a guard.
func (g *Gate) Answered(now time.Time, a *Answer) {
	if a.Tight {
		g.Named(now)
		return
	}
	g.askUntil = time.Time{}
}

// Unanswered records that a guard didn't answer.
func (g *Gate) Unanswered(now time.Time, guard string) {
	if g.unresponsive == nil {
		g.unresponsive = make(map[string]time.Time)
	}
	for name, until := range g.unresponsive {
		if !now.Before(until) || len(g.unresponsive) >= maxUnresponsive {
			delete(g.unresponsive, name)
		}
	}
	g.unresponsive[guard] = now.Add(unresponsiveFor)
}

// Skips reports whether a guard is not to be asked, since it didn't answer.
func (g *Gate) Skips(now time.Time, guard string) bool {
	return now.Before(g.unresponsive[guard])
}

// Grants is the share of requests for room of one kind that were granted.
type Grants struct {
	share   float64
	answers int
}

const (
	// grantsGain is the weight of one answer in the share.
	grantsGain = 0.1
	// minGrants is the number of answers from which the share is known.
	minGrants = 5
)

// Count counts an answer.
func (g *Grants) Count(granted bool) {
	value := 0.0
	if granted {
		value = 1
	}
	g.answers = min(g.answers+1, minGrants)
	g.share += max(grantsGain, 1/float64(g.answers+1)) * (value - g.share)
}

// Share returns the share; negative if it isn't known.
func (g *Grants) Share() float64 {
	if g.answers < minGrants {
		return -1
	}
	return g.share
}
