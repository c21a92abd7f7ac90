package room

import "time"

const (
	// interval is the period of all adjustments.
	interval = 100 * time.Millisecond
	// kindDecay is the factor applied to the sums of a kind once per interval. They cover about 4 s.
	kindDecay = 0.975
	// pendingIntervals is the longest time for which a grant counts as unused.
	pendingIntervals = 40
	// defaultLag is the time from the admission of a tree until its calls have ended, if unknown.
	defaultLag = 500 * time.Millisecond
	// lagGain is the weight of one call in the average lag of its kind.
	lagGain = 0.02
	// priorTrees is the weight, in trees, of the cost that is assumed for a kind without experience.
	priorTrees = 8
	// minKindTrees is the number of trees from which the calls per tree of a kind are known.
	minKindTrees = 8
	// minCostShare times the assumed cost is the lowest cost of a kind. Grants that are never used
	// would otherwise be free.
	minCostShare = 0.25
	// maxKinds bounds the kinds of a ledger. The others share one.
	maxKinds = 128
	// forgetBelow is the sum of grants, in trees, below which a kind is forgotten.
	forgetBelow = 0.01
)

// kind is the experience with trees of one route. The calls of trees are spread over the guards of a
// service alike, so a guard learns the cost of a tree from those that reach it.
type kind struct {
	// granted is this guard's part of the trees that its service granted room and whose use is due by
	// now, and pending that of the latest intervals.
	granted float64
	pending [pendingIntervals]float64
	// next is the first interval that pending holds.
	next int64
	// used is the slot time of calls, in seconds, and calls counts them.
	used, calls float64
	lag         time.Duration
}

func newKind(current int64) *kind { return &kind{next: current, lag: defaultLag} }

// grant counts trees that were granted room in the given interval.
func (k *kind) grant(current int64, trees float64) { k.pending[current%pendingIntervals] += trees }

// mature counts the grants that are older than the lag as due. It is called at the start of an
// interval, so that the cell of the current interval is empty.
func (k *kind) mature(current int64) (due float64) {
	until := current - min(max(int64(k.lag/interval), 1), pendingIntervals-1)
	k.next = max(k.next, until-pendingIntervals)
	for ; k.next < until; k.next++ {
		cell := &k.pending[k.next%pendingIntervals]
		due += *cell
		*cell = 0
	}
	k.granted += due
	return due
}

func (k *kind) age() {
	k.granted *= kindDecay
	k.used *= kindDecay
	k.calls *= kindDecay
}

// ended counts the end of a call of a granted tree.
func (k *kind) ended(c *Call) {
	k.used += c.SlotTime.Seconds()
	k.calls++
	k.lag += time.Duration(lagGain * float64(c.RootAge-k.lag))
}

// cost returns the slot time that a tree takes at the service, in seconds.
func (k *kind) cost(assumed float64) float64 {
	learnt := (k.used + priorTrees*assumed) / (k.granted + priorTrees)
	return max(learnt, minCostShare*assumed)
}

// callsPerTree returns the number of calls that a tree makes; 0 if it is unknown.
func (k *kind) callsPerTree() float64 {
	if k.granted < minKindTrees {
		return 0
	}
	return k.calls / k.granted
}

// unused returns the number of grants whose use is not due yet.
func (k *kind) unused() float64 {
	sum := 0.0
	for _, n := range k.pending {
		sum += n
	}
	return sum
}

// idle reports whether the kind has no grants worth remembering.
func (k *kind) idle() bool { return k.granted < forgetBelow && k.used < forgetBelow && k.unused() == 0 }
