package retry

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const maxDepth = 10

// treeCall is one running or ended call of a simulated call tree.
type treeCall struct {
	account *Account
	share   *Share // the part lent by the parent; nil at the root
	depth   int
	// allowanceUsed is set when the call has spent or lent some allowance. Return cannot detect a
	// response that overstates the rest.
	allowanceUsed bool
}

// tree is a state machine that interleaves the calls of one root request at random.
type tree struct {
	allowance int
	spent     int
	running   []*treeCall
	ended     []*treeCall
	responses []func() // each delivers one response to the parent
}

// allCalls returns running and ended calls. Ended ones still act, because a call may not have
// observed yet that it ended.
func (m *tree) allCalls() []*treeCall { return slices.Concat(m.running, m.ended) }

// Spawn makes a child call of any call, also of one that has ended.
func (m *tree) Spawn(t *rapid.T) {
	parent := rapid.SampledFrom(m.allCalls()).Draw(t, "parent")
	if parent.depth >= maxDepth {
		t.Skip("the parent is at the maximum depth")
	}
	share := parent.account.Lend()
	parent.allowanceUsed = true
	child := &treeCall{account: NewAccount(share.Amount()), share: share, depth: parent.depth + 1}
	m.running = append(m.running, child)
}

// Spend makes one retry from any call, also from one that has ended.
func (m *tree) Spend(t *rapid.T) {
	call := rapid.SampledFrom(m.allCalls()).Draw(t, "call")
	if call.account.Spend() {
		call.allowanceUsed = true
		m.spent++
	}
}

// End closes a call. Its response is queued or lost, and may overstate the unused allowance if the
// call used none. Its children keep running.
func (m *tree) End(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no call is running")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "call")
	call := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	m.ended = append(m.ended, call)
	unused := call.account.Close()
	lost := rapid.Bool().Draw(t, "lost")
	if call.share == nil || lost {
		return
	}
	if !call.allowanceUsed && rapid.Bool().Draw(t, "lies") {
		unused = rapid.IntRange(-5, 100).Draw(t, "claim")
	}
	m.responses = append(m.responses, func() { call.share.Return(unused) })
}

// Deliver delivers any response to the parent. Responses stay queued, so one can be delivered
// twice.
func (m *tree) Deliver(t *rapid.T) {
	if len(m.responses) == 0 {
		t.Skip("no response is queued")
	}
	rapid.SampledFrom(m.responses).Draw(t, "answer")()
}

// Check verifies that the retries spent, plus those that can still be spent, stay within the
// allowance of the root.
func (m *tree) Check(t *rapid.T) {
	unspent := 0
	for _, c := range m.allCalls() {
		unspent += c.account.Balance()
	}
	if m.spent+unspent > m.allowance {
		t.Fatalf("%d retries spent and %d unspent exceed the allowance of %d", m.spent, unspent, m.allowance)
	}
}

// Guards against retries that multiply over the levels of a call tree.
func TestAccount_TreeNeverExceedsAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.IntRange(0, 40).Draw(t, "allowance")
		m := &tree{allowance: allowance, running: []*treeCall{{account: NewAccount(allowance)}}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// Guards against a response that arrives twice and credits its unused allowance twice.
func TestShare_DuplicateResponseIsCreditedOnce(t *testing.T) {
	a := NewAccount(4)
	first, second := a.Lend(), a.Lend()
	must.Eq(t, 2, first.Amount())
	must.Eq(t, 1, second.Amount())
	first.Return(2)
	first.Return(2)
	must.Eq(t, 3, a.Balance())
}

// Guards against a response that reports more unused allowance than its call received.
func TestShare_ReturnIsCappedByAmount(t *testing.T) {
	a := NewAccount(4)
	first, second := a.Lend(), a.Lend()
	first.Return(100)
	must.Eq(t, 3, a.Balance())
	second.Return(-1)
	must.Eq(t, 3, a.Balance())
}

// Guards against a split that lends more than half rounded up, or a return that exceeds the
// outstanding allowance.
func TestAccount_SplitHalvesRoundedUp(t *testing.T) {
	a := NewAccount(5)
	must.Eq(t, []int{3, 1, 1, 0}, []int{a.Split(), a.Split(), a.Split(), a.Split()})
	a.Return(100)
	must.Eq(t, 5, a.Balance())
	must.Eq(t, 0, NewAccount(-3).Balance())
}

// Guards against allowance that is spent or returned twice after the account was closed.
func TestAccount_Closed(t *testing.T) {
	a := NewAccount(8)
	s := a.Lend()
	must.Eq(t, 4, a.Close())
	must.Eq(t, 0, a.Close())
	must.Eq(t, 0, a.Split())
	must.False(t, a.Spend())
	s.Return(4)
	a.Return(4)
	must.Eq(t, 0, a.Balance())
}

// Guards against allowance that is lost or duplicated under concurrent use.
func TestAccount_ConcurrentUse(t *testing.T) {
	const allowance = 1000
	a := NewAccount(allowance)
	var spent atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 2000 {
				s := a.Lend()
				if s.Amount() > 0 {
					spent.Add(1)
				}
				s.Return(s.Amount() - 1)
				if a.Spend() {
					spent.Add(1)
				}
				s.Return(s.Amount())
			}
		})
	}
	wg.Wait()
	for a.Spend() {
		spent.Add(1)
	}
	must.Eq(t, allowance, spent.Load())
}
