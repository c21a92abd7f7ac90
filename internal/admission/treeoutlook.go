package admission

import "math"

const (
	// minTreeCompletion is the share of trees that have to complete for trees to be let in. Of those
	// below it, four in five and more would take slots of every service on their way for nothing.
	minTreeCompletion = 0.2
	// minOutlookCalls is the number of calls from which an estimate is meaningful.
	minOutlookCalls = 8
	// recentDecay is the factor applied to the counts of recent calls once per interval. They cover
	// about a third of a second, so that the beginning and the end of shedding are noticed.
	recentDecay = 0.7
	// treeDecay is the factor applied to the counts of trees once per interval. They cover some
	// seconds: while trees are refused at their entries, only the few admitted as probes are counted.
	treeDecay = 0.98
)

// treeOutlook estimates which share of the trees that call this upstream completes.
//
// Load pattern: the upstream sheds a share of all calls at random. A call directly from a caller
// succeeds as often as one call is accepted, but a tree that makes eight calls here completes only if
// all of them are. Most trees fail after several services have worked for them, and their callers learn
// neither that nor whether the request ran. Lack of slots doesn't show this: they are idle.
type treeOutlook struct {
	// started and shed count recent calls.
	started, shed float64
	// calm counts trees while the upstream sheds nothing, and shedding counts them while it does.
	calm, shedding treeCounts
}

// treeCounts counts deep calls.
type treeCounts struct {
	// first counts the first calls of trees, and later those with prior work.
	first, later float64
	// shed counts the deep calls that the upstream shed; each of them ends its tree.
	shed float64
}

func (t *treeCounts) age() {
	t.first *= treeDecay
	t.later *= treeDecay
	t.shed *= treeDecay
}

// offered counts a deep call. shedding reports whether the upstream sheds calls now.
func (o *treeOutlook) offered(hasPriorWork, shedding bool) {
	counts := &o.calm
	if shedding {
		counts = &o.shedding
	}
	if hasPriorWork {
		counts.later++
		return
	}
	counts.first++
}

// callShed counts a call that the upstream shed.
func (o *treeOutlook) callShed(deep bool) {
	o.shed++
	if deep {
		o.shedding.shed++
	}
}

// age is called once per interval. The counts of calm trees are kept while the upstream sheds calls.
func (o *treeOutlook) age(shedding bool) {
	o.started *= recentDecay
	o.shed *= recentDecay
	if shedding {
		o.shedding.age()
		return
	}
	o.calm.age()
	o.shedding = treeCounts{}
}

// completion returns the estimated share of trees that complete. A guard that has seen no trees before
// the upstream began to shed derives it from the trees that ended since.
func (o *treeOutlook) completion() float64 {
	switch {
	case o.started < minOutlookCalls:
		return 1
	case o.calm.first >= minOutlookCalls:
		return math.Pow(o.accepted(), o.callsPerTree())
	case o.shedding.first >= minOutlookCalls:
		return max(0, 1-o.shedding.shed/o.shedding.first)
	}
	return 1
}

// callsPerTree returns the mean number of calls that a tree makes to this upstream's service.
func (o *treeOutlook) callsPerTree() float64 {
	if o.calm.first < 1 {
		return 1
	}
	return 1 + o.calm.later/o.calm.first
}

// accepted returns the share of recent calls that the upstream accepted.
func (o *treeOutlook) accepted() float64 {
	if o.started < minOutlookCalls {
		return 1
	}
	return max(0, 1-o.shed/o.started)
}
