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
	// gossipLag is how long a dead process stays in the others' lists.
	gossipLag = 7 * time.Second
	// bootGrace is the uptime from which a process must know the leader.
	bootGrace = 4 * time.Second
)

type modelProc struct {
	peer Peer
	e    *Election
	died time.Time // zero while up
	back time.Time
}

// churn is a zone whose processes restart; every heartbeat arrives.
type churn struct {
	cfg      ElectorConfig
	rng      *rand.Rand
	now      time.Time
	procs    []*modelProc
	agreed   Identity
	changes  int
	without  time.Duration
	messages int
	inc      uint64
}

func newChurn(s Strategy, n int) *churn {
	cfg := DefaultElectorConfig()
	cfg.Strategy = s
	c := &churn{cfg: cfg, rng: rand.New(rand.NewPCG(7, 7)), now: epoch}
	for i := range n {
		c.procs = append(c.procs, &modelProc{})
		c.boot(c.procs[i], fmt.Sprintf("n%04d", i))
	}
	c.run(30 * time.Second)
	c.changes, c.without, c.messages = 0, 0, 0
	return c
}

func (c *churn) boot(p *modelProc, node string) {
	c.inc++
	p.peer = Peer{ID: Identity{node, c.inc}, Started: c.now}
	p.e = NewElection(c.cfg, p.peer, c.now)
	p.died = time.Time{}
}

func (c *churn) kill(p *modelProc, down time.Duration) {
	if p.died.IsZero() {
		p.died = c.now
		p.back = c.now.Add(down)
	}
}

func (c *churn) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(modelStep) {
		if c.now.UnixMilli()%1000 == 0 {
			c.views()
		}
		for _, p := range c.procs {
			c.tick(p)
		}
		c.observe()
	}
}

func (c *churn) tick(p *modelProc) {
	if !p.died.IsZero() {
		if c.now.Before(p.back) {
			return
		}
		node := p.peer.ID.Node
		if c.rng.IntN(2) == 0 { // replaced by a VM of another name
			node = fmt.Sprintf("n%04d", c.rng.IntN(10_000))
		}
		c.boot(p, node)
	}
	hb, ok := p.e.Tick(c.now)
	if !ok {
		return
	}
	for _, q := range c.procs {
		if q != p && q.died.IsZero() {
			c.messages++
			q.e.OnHeartbeat(c.now, hb)
		}
	}
}

func (c *churn) views() {
	var peers []Peer
	for _, p := range c.procs {
		if p.died.IsZero() || c.now.Sub(p.died) < gossipLag {
			peers = append(peers, p.peer)
		}
	}
	for _, p := range c.procs {
		p.e.SetPeers(peers)
	}
}

func (c *churn) observe() {
	id, ok := c.common()
	if !ok {
		c.without += modelStep
		return
	}
	if id != c.agreed {
		c.changes++
		c.agreed = id
	}
}

// common is the live leader that every process past its boot names.
func (c *churn) common() (Identity, bool) {
	var id Identity
	for _, p := range c.procs {
		if !p.died.IsZero() || c.now.Sub(p.peer.Started) < bootGrace {
			continue
		}
		l, ok := p.e.Leader()
		if !ok || (!id.IsZero() && l != id) {
			return id, false
		}
		id = l
	}
	for _, p := range c.procs {
		if p.peer.ID == id {
			return id, p.died.IsZero()
		}
	}
	return id, false
}

func (c *churn) report(t *testing.T, name string, restarts int, start time.Time) {
	seconds := c.now.Sub(start).Seconds()
	extra := float64(c.messages)/seconds/float64(len(c.procs)-1) - 1
	t.Logf("%-9v %-14s zone %d, %d restarts: %d changes, %v without an agreed leader, %+.4f of the steady messages",
		c.cfg.Strategy, name, len(c.procs), restarts, c.changes, c.without, extra)
}

// Guards against zones that are without a reader for long while processes restart.
func TestElectorsUnderChurn(t *testing.T) {
	changes := map[string]map[Strategy]int{"random": {}, "rolling": {}, "rolling again": {}, "rack": {}}
	for _, s := range []Strategy{Incumbent, Oldest, LowestID} {
		n := *zoneSize
		c := newChurn(s, n)
		measure := func(name string, restarts int, f func()) {
			start := c.now
			c.changes, c.without, c.messages = 0, 0, 0
			f()
			_, ok := c.common()
			must.True(t, ok, must.Sprintf("%v: no leader after %s", s, name))
			must.LessEq(t, time.Duration(c.changes+1)*10*time.Second, c.without)
			changes[name][s] = c.changes
			c.report(t, name, restarts, start)
		}
		measure("random", 5*n, func() {
			for range 5 * n {
				c.kill(c.procs[c.rng.IntN(n)], downtime)
				c.run(time.Duration(c.rng.IntN(300)) * modelStep)
			}
			c.run(time.Minute)
		})
		rolling := func() {
			for _, p := range c.procs {
				c.kill(p, downtime)
				c.run(15 * time.Second)
			}
			c.run(time.Minute)
		}
		measure("rolling", n, rolling)
		measure("rolling again", n, rolling)
		measure("rack", 10*(n/8), func() {
			for range 10 {
				leader, _ := c.common()
				for i, p := range c.procs {
					if p.peer.ID == leader || i%8 == 3 {
						c.kill(p, time.Minute)
					}
				}
				c.run(3 * time.Minute)
			}
		})
	}
	for name, by := range changes {
		must.LessEq(t, by[Oldest], by[Incumbent], must.Sprintf("%s: %v", name, by))
		must.LessEq(t, by[LowestID], by[Incumbent], must.Sprintf("%s: %v", name, by))
	}
}

// A node that its peers evicted in error must come back under a new
// incarnation; its next join would else be ignored for good.
func TestEvictedNodeNeedsNewIncarnation(t *testing.T) {
	self := Member{Identity: Identity{"a", 3}, Zone: "saga", InnerAddr: "1"}
	z := NewZone(DefaultZoneConfig(), self, epoch)
	due, again := z.NeedsJoin()
	must.True(t, due && !again)
	z.Apply(epoch, []Entry{{0, Join{self}}, {1, Join{Member{Identity: Identity{"b", 1}, Zone: "saga", InnerAddr: "2"}}}})
	due, _ = z.NeedsJoin()
	must.False(t, due)
	must.Len(t, 2, z.Live(epoch))
	z.OnHeartbeat(epoch, Heartbeat{From: Identity{"b", 1}, Rank: 1})
	must.False(t, z.IsLeader())
	z.Apply(epoch, []Entry{{2, Evict{ID: self.Identity}}})
	due, again = z.NeedsJoin()
	must.True(t, due && again)
}
