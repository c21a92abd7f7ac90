package lifetime

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// hook records the errors that it is told.
type hook struct {
	mu   sync.Mutex
	errs []error
}

func (h *hook) ContextEnded(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.errs = append(h.errs, err)
}

func (h *hook) told() []error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]error(nil), h.errs...)
}

// Guards against a call that outlives its caller or deadline, and against an end for another reason
// than that of a context of the standard library in the same place.
func TestEndsLikeContextsOfTheStandardLibrary(t *testing.T) {
	for name, run := range map[string]func(cancelParent, cancelOwn func()){
		"deadline":      func(_, _ func()) { time.Sleep(time.Minute) },
		"parent":        func(cancelParent, _ func()) { cancelParent() },
		"cancel":        func(_, cancelOwn func()) { cancelOwn() },
		"cancel, later": func(_, cancelOwn func()) { cancelOwn(); time.Sleep(time.Minute) },
	} {
		for _, left := range []time.Duration{-time.Second, 0, time.Second, 3 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				parent, cancelParent := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancelParent()
				deadline := time.Now().Add(left)
				want, cancelWant := context.WithDeadline(parent, deadline)
				defer cancelWant()
				own := WithDeadline(parent, deadline)
				var child Context
				child.Start(own, time.Time{})
				h := &hook{}
				child.Attach(h)
				run(cancelParent, func() { cancelWant(); own.Cancel() })
				synctest.Wait()
				must.Eq(t, want.Err(), own.Err(), must.Sprintf("%s, %v left", name, left))
				must.Eq(t, want.Err(), child.Err())
				must.Eq(t, []error{want.Err()}, h.told())
				<-own.Done()
				<-child.Done()
				wantDeadline, _ := want.Deadline()
				gotDeadline, bounded := child.Deadline()
				must.True(t, bounded)
				must.Eq(t, wantDeadline, gotDeadline)
			})
		}
	}
}

// Guards against a connection that is closed although its exchange was over, and one that is reused
// although it is about to be closed.
func TestDetachReportsWhetherTheHookIsTold(t *testing.T) {
	c := WithDeadline(t.Context(), time.Time{})
	hooks := []*hook{{}, {}, {}, {}}
	for _, h := range hooks {
		c.Attach(h)
	}
	must.True(t, c.Detach(hooks[1]))
	must.False(t, c.Detach(hooks[1]))
	c.Cancel()
	must.False(t, c.Detach(hooks[0]))
	late := &hook{}
	c.Attach(late)
	must.SliceLen(t, 1, late.told())
	for i, h := range hooks {
		must.EqOp(t, i != 1, len(h.told()) == 1)
	}
}

// Guards against a context of the standard library, as used to establish connections, that does not end
// with the call.
func TestChildOfTheStandardLibraryEnds(t *testing.T) {
	c := WithDeadline(context.Background(), time.Time{})
	child, cancel := context.WithCancel(c)
	defer cancel()
	must.Nil(t, child.Err())
	c.Cancel()
	<-child.Done()
	must.Eq(t, context.Canceled, child.Err())
	same, isNew := Of(c)
	must.True(t, same == c && !isNew)
}

// Guards against a hook that is told although Detach succeeded, or that is not told although it failed.
func TestDetachRacesWithTheEnd(t *testing.T) {
	for range 2000 {
		parent, cancel := context.WithCancel(context.Background())
		c := WithDeadline(parent, time.Now().Add(time.Hour))
		var told atomic.Int64
		h := &counter{&told}
		c.Attach(h)
		var wg sync.WaitGroup
		wg.Go(cancel)
		wg.Go(c.Cancel)
		var detached bool
		wg.Go(func() { detached = c.Detach(h) })
		wg.Wait()
		<-c.Done()
		if detached {
			must.EqOp(t, 0, told.Load())
			continue
		}
		for told.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

type counter struct{ told *atomic.Int64 }

func (c *counter) ContextEnded(error) { c.told.Add(1) }
