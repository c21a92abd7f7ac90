package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/node"
)

const (
	// guardTick is how often waits are checked while calls wait: a tenth of the
	// shortest useful wait.
	guardTick = 10 * time.Millisecond
	// restTick is how often the guard forgets what is over while none wait.
	restTick = 2 * time.Second
)

// pace ticks the guard often while calls wait there, and hardly at all while
// none do, so that an idle node is hardly woken.
type pace struct {
	guard *node.Guard
	wake  chan struct{}
	quick atomic.Bool
}

func newPace(g *node.Guard) *pace { return &pace{guard: g, wake: make(chan struct{}, 1)} }

// kick says that a call may have begun to wait.
func (p *pace) kick() {
	if p.quick.Load() || p.guard.Load().Queued == 0 {
		return
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pace) run(ctx context.Context) {
	timer := time.NewTimer(restTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		p.guard.Tick(time.Now())
		waiting := p.guard.Load().Queued > 0
		p.quick.Store(waiting)
		if waiting {
			timer.Reset(guardTick)
		} else {
			timer.Reset(restTick)
		}
	}
}
