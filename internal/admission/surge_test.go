package admission

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/testrace"
)

// surgeResult counts the requests of a surge, starting 2 s after the step in demand.
type surgeResult struct {
	treeTally
	// capacity is the number of requests that the guards can serve.
	capacity float64
}

func (s surgeResult) completedShare() float64 {
	return float64(s.completed) / float64(s.completed+s.failed)
}

// runSurge simulates a step in demand to 1.8 times the normal rate. Each request makes four
// sequential calls to a service with three guards. In the surge each of 400 entry nodes receives
// about 2 requests per second; with fewer entry nodes each receives more.
func runSurge(entries int) surgeResult { return surge{entries: entries, seed: treeModelSeed}.run() }

// surge is a step in demand that entry nodes answer.
type surge struct {
	entries int
	seed    uint64
	// reserving is set if entry nodes ask guards for room.
	reserving bool
	// lostAnswers is the share of the answers of guards that are lost.
	lostAnswers float64
	// settling is the time after the step from which requests are counted; 0 means 2 s.
	settling time.Duration
}

func (x surge) run() surgeResult {
	const (
		step, end     = 5 * time.Second, 17 * time.Second
		guards, slots = 3, 39
		calls         = 4
		usualUse      = 0.75
	)
	settled := step + cmp.Or(x.settling, 2*time.Second)
	capacity := float64(guards*slots) / meanCallDuration.Seconds() / calls
	f := newTreeModel(x.entries, guards, slots, []treeRoute{
		{level: callctx.LevelNormal, rate: usualUse * capacity, calls: calls, work: 250 * time.Millisecond, worth: 1, timeout: 2 * time.Second},
	})
	f.model.rng = rand.New(rand.NewPCG(x.seed, treeModelStream))
	if x.reserving {
		f.reserveRoom()
		f.lostAnswers = x.lostAnswers
	}
	f.demandFactor = func() float64 {
		if f.model.Elapsed() < step {
			return 1
		}
		return 1.8
	}
	f.countFrom = settled
	f.run(end)
	return surgeResult{f.tally[0], capacity * (end - settled).Seconds()}
}

// Guards against entry nodes that admit requests which fail later, because each of many entry
// nodes receives too few responses to know the threshold.
func TestManyEntriesCompleteAsMuchAsFew(t *testing.T) {
	few, many := runSurge(4), runSurge(400)
	must.GreaterEq(t, few.completedShare()-0.05, many.completedShare())
}

// Guards against idle slots because entry nodes refuse too many requests.
func TestSurgeKeepsTheSlotsBusy(t *testing.T) {
	for _, entries := range []int{4, 40, 400} {
		s := runSurge(entries)
		must.GreaterEq(t, 0.95*s.capacity, float64(s.completed), must.Sprintf("%d entries", entries))
	}
}

// Guards against a surge after which entry nodes admit requests for seconds that then fail at
// the deepest service.
func TestSurgeCompletesWhatIsLetIn(t *testing.T) {
	for _, entries := range []int{4, 40, 400} {
		s := runSurge(entries)
		must.GreaterEq(t, 0.95, s.completedShare(), must.Sprintf("%d entries: %+v", entries, s.treeTally))
	}
}

// Guards against the same with other arrivals, and with so many entry nodes that each of them receives
// a response only every second.
func TestSurgeCompletesWhatIsLetInWithOtherSeeds(t *testing.T) {
	testSurgeWithOtherSeeds(t, false)
}

// Guards against the same if entry nodes ask guards for room.
func TestSurgeWithRoomCompletesWhatIsLetInWithOtherSeeds(t *testing.T) {
	testSurgeWithOtherSeeds(t, true)
}

func testSurgeWithOtherSeeds(t *testing.T, reserving bool) {
	for _, entries := range testrace.Entries(4, 40, 400, 983) {
		for _, seed := range []uint64{3, 13, 23, 33, 43, 53} {
			s := surge{entries: entries, seed: seed, reserving: reserving}.run()
			must.GreaterEq(t, 0.95, s.completedShare(), must.Sprintf("%d entries, seed %d: %+v", entries, seed, s.treeTally))
		}
	}
}

// Guards against spending slots on trees of which a later call is refused.
func TestTreeWithPriorWorkIsNotRefusedLater(t *testing.T) {
	for _, entries := range []int{4, 40, 400} {
		s := runSurge(entries)
		must.LessEq(t, 0.005*float64(s.admitted), float64(s.failedLate), must.Sprintf("%d entries: %+v", entries, s.treeTally))
	}
}

// Guards against a guard with few slots that leaves some of them idle under sustained mild
// overload.
func TestFewSlotsStayBusyUnderMildOverload(t *testing.T) {
	const slots, overload, settled, end = 8, 1.2, 2, 22
	serviceTime := 20 * time.Millisecond
	m := newModel(DefaultConfig(slots), func(m *model, _ *modelCall) time.Duration { return m.jittered(serviceTime) })
	capacity := slots / serviceTime.Seconds()
	m.stream(steady(overload*capacity), m.request(callctx.LevelNormal, time.Second))
	m.Run(end * time.Second)
	answered, _ := m.sum(m.answeredInTime, settled, end)
	must.GreaterEq(t, 0.95*capacity*(end-settled), float64(answered))
}
