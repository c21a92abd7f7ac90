package bench

import (
	"context"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/server"
)

// watchPeriod is the resolution of what the watch sees.
const watchPeriod = 20 * time.Millisecond

// acceptedChange is a publication that won.
type acceptedChange struct {
	service string
	version policy.Version
	at      time.Time
}

// configWatch follows the configuration in force at every node: it must never
// go back, and should soon be what was accepted.
type configWatch struct {
	world *World

	mu      sync.Mutex
	changes []acceptedChange
	nodes   map[*server.Server]*nodeConfig
	reverts int
	worst   time.Duration
}

// nodeConfig is what one process of a node had in force when last seen.
type nodeConfig struct {
	version   policy.Version
	instances map[string]policy.Version
	// next is the first change that it did not have.
	next int
	// since is when it was started or became reachable again.
	since time.Time
}

func newConfigWatch(w *World) *configWatch {
	return &configWatch{world: w, nodes: map[*server.Server]*nodeConfig{}}
}

func (c *configWatch) run(ctx context.Context) {
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		c.look(time.Now(), false)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// accepted notes a change that must now come in force. Changes come in the
// order of their versions.
func (c *configWatch) accepted(change acceptedChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, change)
}

// look compares every node with what it had. At the end of a run, changes that
// a node still lacks count with their age.
func (c *configWatch) look(now time.Time, end bool) {
	for _, v := range c.world.all() {
		n := v.running()
		if n == nil || v.stopping.Load() {
			continue
		}
		reachable := c.world.reachable(v)
		c.mu.Lock()
		c.compareLocked(now, n, reachable, end)
		c.mu.Unlock()
	}
}

func (c *configWatch) compareLocked(now time.Time, n *server.Server, reachable, end bool) {
	had := c.nodes[n]
	if had == nil {
		had = &nodeConfig{instances: map[string]policy.Version{}, since: now}
		c.nodes[n] = had
	}
	state := n.Node().Policy()
	if state.Version() < had.version {
		c.reverts++
	}
	had.version = state.Version()
	for _, svc := range c.world.deployment.Services {
		v := state.InstanceVersion(c.world.deployment.Name, svc.Name)
		if v < had.instances[svc.Name] {
			c.reverts++
		}
		had.instances[svc.Name] = v
	}
	if !reachable {
		had.since = now
		return
	}
	for had.next < len(c.changes) {
		change := c.changes[had.next]
		has := had.version >= change.version || had.instances[change.service] >= change.version
		if has || end {
			c.worst = max(c.worst, now.Sub(later(change.at, had.since)))
		}
		if !has {
			return
		}
		had.next++
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// figures returns the falls seen, the worst time in force and the changes.
func (c *configWatch) figures() (reverts int, worstMillis int64, changes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reverts, c.worst.Milliseconds(), len(c.changes)
}
