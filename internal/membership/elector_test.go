package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var zoneSize = flag.Int("zone", 60, "processes in the model of an election")

const (
	modelStep = 100 * time.Millisecond
	downtime  = 10 * time.Second
	// deadPeerLag is how long a stopped process stays in the other processes' lists of peers.
	deadPeerLag = 7 * time.Second
	// bootGrace is the uptime from which a process must know the leader.
	bootGrace = 4 * time.Second
)

type simProcess struct {
	peer      Peer
	e         *Election
	stoppedAt time.Time // zero while running
	restartAt time.Time
}

// churnSim simulates a zone whose processes restart; every heartbeat arrives.
type churnSim struct {
	cfg             ElectorConfig
	rng             *rand.Rand
	now             time.Time
	processes       []*simProcess
	lastAgreed      Identity
	changes         int
	leaderless      time.Duration
	messages        int
	lastIncarnation uint64
}

func newChurn(s Strategy, n int) *churnSim {
	cfg := DefaultElectorConfig()
	cfg.Strategy = s
	c := &churnSim{cfg: cfg, rng: rand.New(rand.NewPCG(7, 7)), now: epoch}
	for i := range n {
		c.processes = append(c.processes, &simProcess{})
		c.boot(c.processes[i], fmt.Sprintf("n%04d", i))
	}
	c.run(30 * time.Second)
	c.changes, c.leaderless, c.messages = 0, 0, 0
	return c
}

func (c *churnSim) boot(p *simProcess, node string) {
	c.lastIncarnation++
	p.peer = Peer{ID: Identity{node, c.lastIncarnation}, Started: c.now}
	p.e = NewElection(c.cfg, p.peer, c.now)
	p.stoppedAt = time.Time{}
}

func (c *churnSim) stop(p *simProcess, down time.Duration) {
	if p.stoppedAt.IsZero() {
		p.stoppedAt = c.now
		p.restartAt = c.now.Add(down)
	}
}

func (c *churnSim) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(modelStep) {
		if c.now.UnixMilli()%1000 == 0 {
			c.updatePeers()
		}
		for _, p := range c.processes {
			c.tick(p)
		}
		c.observe()
	}
}

func (c *churnSim) tick(p *simProcess) {
	if !p.stoppedAt.IsZero() {
		if c.now.Before(p.restartAt) {
			return
		}
		node := p.peer.ID.Node
		if c.rng.IntN(2) == 0 { // replaced by a VM with another name
			node = fmt.Sprintf("n%04d", c.rng.IntN(10_000))
		}
		c.boot(p, node)
	}
	hb, ok := p.e.Tick(c.now)
	if !ok {
		return
	}
	for _, q := range c.processes {
		if q != p && q.stoppedAt.IsZero() {
			c.messages++
			q.e.OnHeartbeat(c.now, hb)
		}
	}
}

func (c *churnSim) updatePeers() {
	var peers []Peer
	for _, p := range c.processes {
		if p.stoppedAt.IsZero() || c.now.Sub(p.stoppedAt) < deadPeerLag {
			peers = append(peers, p.peer)
		}
	}
	for _, p := range c.processes {
		p.e.SetPeers(peers)
	}
}

func (c *churnSim) observe() {
	id, ok := c.agreedLeader()
	if !ok {
		c.leaderless += modelStep
		return
	}
	if id != c.lastAgreed {
		c.changes++
		c.lastAgreed = id
	}
}

// agreedLeader returns the leader on which all processes past bootGrace agree; false if they do
// not agree or the leader has stopped.
func (c *churnSim) agreedLeader() (Identity, bool) {
	var id Identity
	for _, p := range c.processes {
		if !p.stoppedAt.IsZero() || c.now.Sub(p.peer.Started) < bootGrace {
			continue
		}
		l, ok := p.e.Leader()
		if !ok || (!id.IsZero() && l != id) {
			return id, false
		}
		id = l
	}
	for _, p := range c.processes {
		if p.peer.ID == id {
			return id, p.stoppedAt.IsZero()
		}
	}
	return id, false
}

func (c *churnSim) report(t *testing.T, name string, restarts int, start time.Time) {
	seconds := c.now.Sub(start).Seconds()
	extra := float64(c.messages)/seconds/float64(len(c.processes)-1) - 1
	t.Logf("%-9v %-14s zone %d, %d restarts: %d changes, %v without an agreed leader, messages %+.4f relative to one heartbeat per second per peer",
		c.cfg.Strategy, name, len(c.processes), restarts, c.changes, c.leaderless, extra)
}

// Guards against zones that are without a reader for a long time while processes restart.
func TestElectorsUnderChurn(t *testing.T) {
	changes := map[string]map[Strategy]int{"random": {}, "rolling": {}, "rolling again": {}, "rack": {}}
	for _, s := range []Strategy{Incumbent, Oldest, LowestID} {
		n := *zoneSize
		c := newChurn(s, n)
		measure := func(name string, restarts int, f func()) {
			start := c.now
			c.changes, c.leaderless, c.messages = 0, 0, 0
			f()
			_, ok := c.agreedLeader()
			must.True(t, ok, must.Sprintf("%v: no leader after %s", s, name))
			must.LessEq(t, time.Duration(c.changes+1)*10*time.Second, c.leaderless)
			changes[name][s] = c.changes
			c.report(t, name, restarts, start)
		}
		measure("random", 5*n, func() {
			for range 5 * n {
				c.stop(c.processes[c.rng.IntN(n)], downtime)
				c.run(time.Duration(c.rng.IntN(300)) * modelStep)
			}
			c.run(time.Minute)
		})
		restartInTurn := func() {
			for _, p := range c.processes {
				c.stop(p, downtime)
				c.run(15 * time.Second)
			}
			c.run(time.Minute)
		}
		measure("rolling", n, restartInTurn)
		measure("rolling again", n, restartInTurn)
		measure("rack", 10*(n/8), func() {
			for range 10 {
				leader, _ := c.agreedLeader()
				for i, p := range c.processes {
					if p.peer.ID == leader || i%8 == 3 {
						c.stop(p, time.Minute)
					}
				}
				c.run(3 * time.Minute)
			}
		})
	}
	for name, byStrategy := range changes {
		must.LessEq(t, byStrategy[Oldest], byStrategy[Incumbent], must.Sprintf("%s: %v", name, byStrategy))
		must.LessEq(t, byStrategy[LowestID], byStrategy[Incumbent], must.Sprintf("%s: %v", name, byStrategy))
	}
}

// Guards against a node that stays excluded after its peers evicted it by mistake. It must join
// with a new incarnation, because a join of the evicted one is ignored permanently.
func TestEvictedNodeNeedsNewIncarnation(t *testing.T) {
	self := Member{Identity: Identity{"a", 3}, Zone: "saga", InnerAddr: "1"}
	z := NewZone(DefaultZoneConfig(), self, epoch)
	due, newIncarnation := z.NeedsJoin()
	must.True(t, due && !newIncarnation)
	z.Apply(epoch, []Entry{{0, Join{self}}, {1, Join{Member{Identity: Identity{"b", 1}, Zone: "saga", InnerAddr: "2"}}}})
	due, _ = z.NeedsJoin()
	must.False(t, due)
	must.Len(t, 2, z.Live(epoch))
	z.OnHeartbeat(epoch, Heartbeat{From: Identity{"b", 1}, Rank: 1})
	must.False(t, z.IsLeader())
	z.Apply(epoch, []Entry{{2, Evict{ID: self.Identity}}})
	due, newIncarnation = z.NeedsJoin()
	must.True(t, due && newIncarnation)
}
