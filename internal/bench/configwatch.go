package bench

import (
	"context"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/server"
)

// watchPeriod is the interval between two checks of all nodes.
const watchPeriod = 20 * time.Millisecond

// acceptedChange is a publication that was accepted.
type acceptedChange struct {
	service string
	version policy.Version
	at      time.Time
}

// configWatch observes the configuration that each node applies. It counts
// reverts to older versions, which must not happen, and measures the delay until
// accepted changes are applied. Safe for concurrent use.
type configWatch struct {
	world *World

	mu       sync.Mutex
	changes  []acceptedChange
	nodes    map[*server.Server]*nodeConfig
	reverts  int
	maxDelay time.Duration
}

// nodeConfig is the configuration that one process of a node applied at the last check.
type nodeConfig struct {
	version   policy.Version
	instances map[string]policy.Version
	// nextChange is the index of the first change that the node has not applied.
	nextChange int
	// reachableSince is the time of the last check at which the node was unreachable,
	// or of its first check if it never was. The delay of a change counts from then,
	// not from an earlier acceptance.
	reachableSince time.Time
}

func newConfigWatch(w *World) *configWatch {
	return &configWatch{world: w, nodes: map[*server.Server]*nodeConfig{}}
}

func (c *configWatch) run(ctx context.Context) {
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		c.checkAll(time.Now(), false)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// addAccepted adds a change that every node should apply from now on. Changes must
// be added in the order of their versions.
func (c *configWatch) addAccepted(change acceptedChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, change)
}

// checkAll compares the versions at every node with those of the previous check. When
// final is set, maxDelay also covers the first change that a node has not applied
// yet, with its delay so far.
func (c *configWatch) checkAll(now time.Time, final bool) {
	for _, v := range c.world.allVMs() {
		n := v.currentNode()
		if n == nil || v.stopping.Load() {
			continue
		}
		reachable := c.world.reachable(v)
		c.mu.Lock()
		c.checkNodeLocked(now, n, reachable, final)
		c.mu.Unlock()
	}
}

func (c *configWatch) checkNodeLocked(now time.Time, n *server.Server, reachable, final bool) {
	last := c.nodes[n]
	if last == nil {
		last = &nodeConfig{instances: map[string]policy.Version{}, reachableSince: now}
		c.nodes[n] = last
	}
	state := n.Node().Policy()
	if state.Version() < last.version {
		c.reverts++
	}
	last.version = state.Version()
	for _, svc := range c.world.deployment.Services {
		v := state.InstanceVersion(c.world.deployment.Name, svc.Name)
		if v < last.instances[svc.Name] {
			c.reverts++
		}
		last.instances[svc.Name] = v
	}
	if !reachable {
		last.reachableSince = now
		return
	}
	for last.nextChange < len(c.changes) {
		change := c.changes[last.nextChange]
		applied := last.version >= change.version || last.instances[change.service] >= change.version
		if applied || final {
			c.maxDelay = max(c.maxDelay, now.Sub(latest(change.at, last.reachableSince)))
		}
		if !applied {
			return
		}
		last.nextChange++
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// figures returns the number of reverts, the longest delay from acceptance to
// application at a node, in ms, and the number of accepted changes.
func (c *configWatch) figures() (reverts int, worstMillis int64, changes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reverts, c.maxDelay.Milliseconds(), len(c.changes)
}
