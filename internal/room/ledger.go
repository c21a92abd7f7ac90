package room

import (
	"math"
	"time"
)

const (
	// OpenThreshold is above every rank: nothing is refused for its rank.
	OpenThreshold = math.MaxUint32
	// TightThreshold is the threshold by which a guard names its service as scarce while it sheds
	// nothing. No rank that matters is as high.
	TightThreshold = OpenThreshold - 1

	rankBuckets = 256
	bucketShift = 32 - 8
	// levelWidth is the range of ranks of one level.
	levelWidth = 1 << 30

	// offeredDecay is the factor applied to the offered room once per interval; offeredWindow is the
	// time that it covers.
	offeredDecay  = 0.85
	offeredWindow = 0.1 / (1 - offeredDecay)
	// useGain and otherGain are the weights of one interval in the averages of the slots in use.
	useGain, otherGain = 0.3, 0.3
	// newNowGain and newBeforeGain are the weights of one interval in the averages of new trees without
	// a grant.
	newNowGain, newBeforeGain = 0.5, 0.1
	// tightUse and looseUse are the shares of slots in use from which a service is scarce, and below
	// which it no longer is.
	tightUse, looseUse = 0.7, 0.5
	// minTight is the minimum time for which a service remains scarce.
	minTight = 2 * time.Second

	// burstTime is the time of unused room that may be promised at once, in seconds.
	burstTime = 0.1
	// burstTrees is the least burst, in trees of mean cost.
	burstTrees = 2
	// aboveShare is the share of the burst that has to be left for a tree above the threshold: the
	// room is idle then, whatever the threshold is.
	aboveShare = 0.8
	// minRoomShare of the slots is promised whatever other calls use.
	minRoomShare = 0.05
	// fullUse is the share of the slots in use that the ratio aims at, and ratioGain the correction
	// per interval. The effect of a correction is seen a second later.
	fullUse, ratioGain = 0.985, 0.007
	// queueAllowed is the number of waiting calls for each slot that costs no room, and longQueue the
	// number from which the ratio is too high.
	queueAllowed, longQueue = 0.5, 1.0
	// minSlots is the least number of slots that a rate limit leaves.
	minSlots = 0.01
	// backlogTime is the time in which a queue beyond the allowed one is worked off, in seconds.
	backlogTime = 0.3
	// idleShare is the share of idle slots that is promised again while requests are refused.
	idleShare = 0.5
	// minCorrection and maxCorrection bound the correction of the ratio.
	minCorrection, maxCorrection = 0.7, 1.3
	// correctionReturn is the share of the correction that is dropped per interval while nothing is
	// refused.
	correctionReturn = 0.01
	// maxIntervals bounds the intervals that one advance makes up for. All averages have faded by then.
	maxIntervals = 100

	// minTreeCompletion is the share of trees that have to complete for trees to be begun.
	minTreeCompletion = 0.2
	// acceptedGain is the weight of one call in the share of calls that the upstream accepts, and
	// sound the share from which it refuses none at random.
	acceptedGain = 1.0 / 16
	sound        = 0.95
	// probeInterval is the time without calls after which a tree is begun although few complete.
	probeInterval = 300 * time.Millisecond
	// maxAssumedCalls bounds the calls that a tree of an unknown kind is assumed to make. What it makes
	// beyond them is seen in the queue.
	maxAssumedCalls = 4
	// defaultCallTime is the slot time that a call is assumed to take, in seconds.
	defaultCallTime = 0.05
)

// Load is the state of the guard that a Ledger belongs to.
type Load struct {
	// Slots is the number of calls that the upstream runs at once, Busy those that run and Queued those
	// that wait.
	Slots        float64
	Busy, Queued int
	// Shedding means that the guard sheds calls or its queue doesn't empty.
	Shedding bool
	// CallsPerSecond is the rate limit that the upstream names; 0 if it names none.
	CallsPerSecond float64
	// TreesFail means that the upstream refuses so many calls at random that few trees complete.
	TreesFail bool
}

// Call is a call that ended at the upstream.
type Call struct {
	// Kind is the kind of a tree that was granted room; 0 if it was not.
	Kind uint32
	// Deep is set for the calls of trees, and First for the first call of a tree.
	Deep, First bool
	// RootAge is the time since the tree was admitted.
	RootAge time.Duration
	// SlotTime is the time for which the call held its slot.
	SlotTime time.Duration
	// Shed is set if the upstream refused the call.
	Shed bool
}

// Counters are totals since the start.
type Counters struct {
	Asked, Granted, Refused uint64
	// Used counts the trees that were granted room and came, and Due the grants whose use was due.
	Used, Due float64
	// Promised is the sum of the costs of all grants, in slot-seconds.
	Promised float64
}

// Ledger is what a guard has promised.
type Ledger struct {
	overcommit float64
	load       Load
	started    time.Time
	// current is the number of the current interval, which began at currentStart.
	current      int64
	currentStart time.Time
	updated      time.Time
	kinds        map[uint32]*kind
	// offered is the room asked for by rank bucket, in slot-seconds, decaying.
	offered   [rankBuckets]float64
	threshold uint32
	// tokens is the room that may be promised now, in slot-seconds, and rate its growth in slots.
	tokens, rate float64
	correction   float64
	// busy and queued are integrals over the current interval, in slot-seconds.
	busy, queued float64
	use          float64
	// otherTime is the slot time of calls without a grant in this interval, and other the average
	// number of slots that they use.
	otherTime, other float64
	// seenTime, seenCalls and seenTrees are the experience with trees that were granted nothing.
	seenTime, seenCalls, seenTrees float64
	// newTrees counts the trees without a grant in this interval. newNow and newBefore are its averages
	// over a short and a long time.
	newTrees, newNow, newBefore float64
	// assumed is the cost of a tree of an unknown kind, in slot-seconds.
	assumed    float64
	refused    int
	tight      bool
	tightUntil time.Time
	// failingSince is the time since which the upstream refuses calls at random; zero while it doesn't.
	failingSince time.Time
	// accepted is the average share of calls that the upstream accepts, and ended the end of the
	// latest call or the start of the latest probe.
	accepted float64
	ended    time.Time
	counters Counters
}

// NewLedger returns a ledger that has promised nothing. overcommit is the ratio of the room promised
// to the room that there is.
func NewLedger(now time.Time, overcommit float64) *Ledger {
	l := &Ledger{overcommit: overcommit, started: now, currentStart: now, updated: now, kinds: make(map[uint32]*kind), threshold: OpenThreshold, correction: 1}
	l.load.Slots = 1
	l.accepted = 1
	l.assumed = l.meanCost()
	l.setRate()
	return l
}

// Update records the load of the guard. It is called whenever the load has changed.
func (l *Ledger) Update(now time.Time, load Load) {
	l.advance(now)
	if !(load.Slots >= 1) || math.IsInf(load.Slots, 0) {
		load.Slots = 1
	}
	l.load = load
	if load.Shedding {
		l.setTight(now)
	}
	switch {
	case load.TreesFail && l.failingSince.IsZero():
		l.failingSince = now
		l.setTight(now)
	case !load.TreesFail && l.accepted >= sound:
		l.failingSince = time.Time{}
	}
}

// SetOvercommit changes the ratio of the room promised to the room that there is.
func (l *Ledger) SetOvercommit(overcommit float64) { l.overcommit = overcommit }

// CallEnded records the end of a call at the upstream.
func (l *Ledger) CallEnded(now time.Time, c *Call) {
	l.advance(now)
	l.countOutcome(now, c.Shed)
	l.seenCalls++
	l.seenTime += c.SlotTime.Seconds()
	if c.Kind == 0 {
		l.otherTime += c.SlotTime.Seconds()
		return
	}
	// The calls of a tree that was admitted before this process started belong to grants that it
	// doesn't know.
	if c.RootAge > now.Sub(l.started) {
		l.otherTime += c.SlotTime.Seconds()
		return
	}
	// Trees that end early say nothing of their kind.
	if l.failingSince.IsZero() {
		l.kind(c.Kind).ended(c)
	}
	if c.First {
		l.counters.Used++
	}
}

func (l *Ledger) countOutcome(now time.Time, shed bool) {
	l.ended = now
	accepted := 1.0
	if shed {
		accepted = 0
	}
	l.accepted += acceptedGain * (accepted - l.accepted)
}

// TreeSeen records that a tree without a grant made its first call.
func (l *Ledger) TreeSeen() {
	l.seenTrees++
	l.newTrees++
}

// kind returns the experience with a kind. Kinds beyond maxKinds share one.
func (l *Ledger) kind(id uint32) *kind {
	k, known := l.kinds[id]
	if known {
		return k
	}
	if len(l.kinds) >= maxKinds {
		id = 0
		if k, known = l.kinds[id]; known {
			return k
		}
	}
	k = newKind(l.current)
	l.kinds[id] = k
	return k
}

// meanCost returns the mean cost of trees, in slot-seconds.
func (l *Ledger) meanCost() float64 {
	used, trees := 0.0, 0.0
	for _, k := range l.kinds {
		used += k.used
		trees += k.granted
	}
	if trees >= minKindTrees && used > 0 {
		return used / trees
	}
	if l.seenTrees >= minKindTrees {
		return min(l.seenTime/l.seenTrees, maxAssumedCalls*l.callTime())
	}
	return l.callTime()
}

// callTime returns the mean slot time of a call, in seconds.
func (l *Ledger) callTime() float64 {
	if l.seenCalls < 1 || l.seenTime <= 0 {
		return defaultCallTime
	}
	return l.seenTime / l.seenCalls
}
