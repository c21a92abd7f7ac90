package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/node"
)

const (
	// waitingTickInterval is how often the guard checks wait times while calls are queued: a
	// tenth of the shortest useful wait.
	waitingTickInterval = 10 * time.Millisecond
	// idleTickInterval is how often the guard drops expired state while no calls are queued.
	idleTickInterval = 2 * time.Second
)

// guardTicker ticks the guard often while calls are queued and rarely otherwise, so that an idle
// node causes few wakeups.
type guardTicker struct {
	guard     *node.Guard
	wake      chan struct{}
	ticksFast atomic.Bool
}

func newGuardTicker(g *node.Guard) *guardTicker {
	return &guardTicker{guard: g, wake: make(chan struct{}, 1)}
}

// wakeIfQueued switches to frequent ticks if a call is queued; it is called when a call may have
// been queued.
func (t *guardTicker) wakeIfQueued() {
	if t.ticksFast.Load() || t.guard.Load().Queued == 0 {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *guardTicker) run(ctx context.Context) {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-timer.C:
		}
		t.guard.Tick(time.Now())
		waiting := t.guard.Load().Queued > 0
		t.ticksFast.Store(waiting)
		if waiting {
			timer.Reset(waitingTickInterval)
		} else {
			timer.Reset(idleTickInterval)
		}
	}
}
