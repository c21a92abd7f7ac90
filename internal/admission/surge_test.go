package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// surged is what became of the requests of a surge from two seconds after its step on.
type surged struct {
	treeTally
	// room is how many requests the guards had room for.
	room float64
}

func (s surged) completedShare() float64 {
	return float64(s.completed) / float64(s.completed+s.failed)
}

// surge is a step to 1.8 times the usual callers, of whom each request makes four calls of
// three guards in a row.
func surge(entries int) surged {
	const (
		step, settled, end = 5 * time.Second, 7 * time.Second, 17 * time.Second
		guards, slots      = 3, 39
		calls              = 4
		usualUse           = 0.75
	)
	capacity := float64(guards*slots) / usualCall.Seconds() / calls
	f := newTreeModel(entries, guards, slots, []treeRoute{
		{level: callctx.LevelNormal, rate: usualUse * capacity, calls: calls, work: 250 * time.Millisecond, worth: 1, timeout: 2 * time.Second},
	})
	f.demand = func() float64 {
		if f.model.Elapsed() < step {
			return 1
		}
		return 1.8
	}
	f.from = settled
	f.run(end)
	return surged{f.tally[0], capacity * (end - settled).Seconds()}
}

// Guards against entries that let in what fails behind because each of many hears too few
// answers to know.
func TestSurgeIsRefusedAlikeAtFewAndManyEntries(t *testing.T) {
	few, many := surge(4), surge(400)
	must.GreaterEq(t, few.completedShare()-0.05, many.completedShare())
}

// Guards against slots that stay empty because too much was refused at the entries.
func TestSurgeKeepsTheSlotsBusy(t *testing.T) {
	for _, entries := range []int{4, 40, 400} {
		s := surge(entries)
		must.GreaterEq(t, 0.95*s.room, float64(s.completed), must.Sprintf("%d entries", entries))
	}
}

// Guards against a surge after which requests are let in for seconds only to fail behind.
func TestSurgeCompletesWhatIsLetIn(t *testing.T) {
	for _, entries := range []int{4, 40, 400} {
		s := surge(entries)
		must.GreaterEq(t, 0.95, s.completedShare(), must.Sprintf("%d entries: %+v", entries, s.treeTally))
	}
}

// Guards against slots that go to trees of which a later call is refused.
func TestTreeThatWasServedIsServedToItsEnd(t *testing.T) {
	for _, entries := range []int{4, 40, 400} {
		s := surge(entries)
		must.LessEq(t, 0.005*float64(s.admitted), float64(s.failedLate), must.Sprintf("%d entries: %+v", entries, s.treeTally))
	}
}

// Guards against a guard of few slots that leaves some empty under lasting mild overload.
func TestFewSlotsStayBusyUnderMildOverload(t *testing.T) {
	const slots, overload, settled, end = 8, 1.2, 2, 22
	usual := 20 * time.Millisecond
	m := newModel(DefaultConfig(slots), func(m *model, _ *modelCall) time.Duration { return m.jittered(usual) })
	capacity := slots / usual.Seconds()
	m.stream(steady(overload*capacity), m.request(callctx.LevelNormal, time.Second))
	m.Run(end * time.Second)
	answered, _ := m.sum(m.good, settled, end)
	must.GreaterEq(t, 0.95*capacity*(end-settled), float64(answered))
}
