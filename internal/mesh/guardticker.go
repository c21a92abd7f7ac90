package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/node"
)

const (
	// waitingTickInterval is how often waits are checked while calls wait: a tenth of the
	// shortest useful wait.
	waitingTickInterval = 10 * time.Millisecond
	// idleTickInterval is how often the guard forgets what is over while none wait.
	idleTickInterval = 2 * time.Second
)

// guardTicker ticks the guard often while calls wait there, and hardly at all while
// none do, so that an idle node is hardly woken.
type guardTicker struct {
	guard     *node.Guard
	wake      chan struct{}
	ticksFast atomic.Bool
}

func newGuardTicker(g *node.Guard) *guardTicker {
	return &guardTicker{guard: g, wake: make(chan struct{}, 1)}
}

// wakeIfQueued says that a call may have begun to wait.
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
