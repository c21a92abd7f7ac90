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

// treeCall is one running call of a simulated tree.
type treeCall struct {
	account *Account
	share   *Share // what the parent lent; nil at the root
	depth   int
	active  bool // has spent or lent, so a lie about it could not be caught
}

// tree is a state machine over a random interleaving of one root's calls.
type tree struct {
	allowance int
	spent     int
	running   []*treeCall
	ended     []*treeCall
	answers   []func() // each brings one answer home
}

// calls are all calls: an ended one may not know yet that it has.
func (m *tree) calls() []*treeCall { return slices.Concat(m.running, m.ended) }

// Spawn lets a call, which may have ended meanwhile, make a child.
func (m *tree) Spawn(t *rapid.T) {
	parent := rapid.SampledFrom(m.calls()).Draw(t, "parent")
	if parent.depth >= maxDepth {
		t.Skip("deepest call")
	}
	share := parent.account.Lend()
	parent.active = true
	child := &treeCall{account: NewAccount(share.Amount()), share: share, depth: parent.depth + 1}
	m.running = append(m.running, child)
}

// Spend makes one retry from a call, ended or not.
func (m *tree) Spend(t *rapid.T) {
	call := rapid.SampledFrom(m.calls()).Draw(t, "call")
	if call.account.Spend() {
		call.active = true
		m.spent++
	}
}

// End closes a call. Its answer, which may claim too much if the call did
// nothing, goes under way or is lost; its children run on.
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
	if !call.active && rapid.Bool().Draw(t, "lies") {
		unused = rapid.IntRange(-5, 100).Draw(t, "claim")
	}
	m.answers = append(m.answers, func() { call.share.Return(unused) })
}

// Deliver brings any answer home, perhaps again: an answer is never removed.
func (m *tree) Deliver(t *rapid.T) {
	if len(m.answers) == 0 {
		t.Skip("no answer")
	}
	rapid.SampledFrom(m.answers).Draw(t, "answer")()
}

// Check holds the promise, and more: what could still be spent counts too.
func (m *tree) Check(t *rapid.T) {
	open := 0
	for _, c := range m.calls() {
		open += c.account.Balance()
	}
	if m.spent+open > m.allowance {
		t.Fatalf("%d spent and %d open exceed the allowance of %d", m.spent, open, m.allowance)
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

// Guards against an answer that comes twice and gives its allowance back twice.
func TestShare_RepeatedAnswerLeavesSiblingsShare(t *testing.T) {
	a := NewAccount(4)
	first, second := a.Lend(), a.Lend()
	must.Eq(t, 2, first.Amount())
	must.Eq(t, 1, second.Amount())
	first.Return(2)
	first.Return(2)
	must.Eq(t, 3, a.Balance())
}

func TestShare_ClaimIsCappedByAmount(t *testing.T) {
	a := NewAccount(4)
	first, second := a.Lend(), a.Lend()
	first.Return(100)
	must.Eq(t, 3, a.Balance())
	second.Return(-1)
	must.Eq(t, 3, a.Balance())
}

func TestAccount_SplitHalvesRoundedUp(t *testing.T) {
	a := NewAccount(5)
	must.Eq(t, []int{3, 1, 1, 0}, []int{a.Split(), a.Split(), a.Split(), a.Split()})
	a.Return(100)
	must.Eq(t, 5, a.Balance())
	must.Eq(t, 0, NewAccount(-3).Balance())
}

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
