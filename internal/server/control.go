package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/control"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// readMax bounds the entries of one read.
	readMax = 1000
	// readRetry is the pause after a read that failed.
	readRetry = 200 * time.Millisecond
	// leaderWait bounds the wait of a zone's reader at the log's head. A proof
	// counts from the sending of its read, so the wait is the age that it has
	// when it sets out for the other nodes; theirs then stays below half of
	// the validity of ownership, past which promises are asked for. Whoever
	// reads beside it waits as long as settings say.
	leaderWait = 250 * time.Millisecond
	// idleWait is how often a loop without work looks again.
	idleWait = 250 * time.Millisecond
	// planeTick is how often the plane's times are looked at.
	planeTick = 200 * time.Millisecond
	// appendTimeout bounds one try to get a record into the log.
	appendTimeout = 5 * time.Second
	// leaveTimeout bounds the wait for the leave record at a planned stop. The
	// peers know of the drain already, and will find the node gone.
	leaveTimeout = time.Second
)

// controlLoop drives the node's share of the control plane: it moves what the
// plane decides over the network and the log. The lock is never held across
// I/O.
type controlLoop struct {
	server   *Server
	log      logState
	clients  *controlClients
	counters controlCounters
	kick     chan struct{} // looks at the plane at once
	closing  chan struct{} // answers what is held

	// enforcing is held while a step of the plane and what it changed for the
	// node go through, so that they come in order. It is taken before mu.
	enforcing sync.Mutex

	mu      sync.Mutex
	plane   *control.Plane
	wake    chan struct{} // closed and replaced when there is something new
	updates uint64
	seq     uint64
	gone    chan struct{}
	once    sync.Once
	ended   sync.Once
}

func newControl(s *Server, clients *controlClients) *controlLoop {
	return &controlLoop{
		server:  s,
		clients: clients,
		kick:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		wake:    make(chan struct{}),
		gone:    make(chan struct{}),
	}
}

// bind makes the plane of the node, whose identity is known by now.
func (c *controlLoop) bind() {
	s := c.server
	seed := newSeed()
	c.plane = control.NewPlane(planeConfig(s), s.node.Identity(), s.cfg.SeedPeers, rand.New(rand.NewChaCha8(seed)), s.node.Now())
	c.plane.SetFollower(follower{server: s})
}

func planeConfig(s *Server) control.PlaneConfig {
	cfg := control.DefaultPlaneConfig(s.cfg.Log.Retention.Std())
	cfg.Exchange = s.cfg.Timing.Exchange.Std()
	cfg.FallBack = max(cfg.FallBack, 2*cfg.Exchange)
	cfg.Stale = max(cfg.Stale, cfg.Exchange)
	return cfg
}

// follower hands what the plane read to those who decide from single records.
type follower struct{ server *Server }

// Applied implements control.Follower.
func (f follower) Applied(now time.Time, entries []logstore.Entry) {
	f.server.own.state.Apply(now, entries)
	f.server.metrics.Inc(metrics.RecordsFolded, int64(len(entries)))
	f.server.appender.Observe(entries)
}

// Truncated implements control.Follower.
func (f follower) Truncated() {
	f.server.own.state.Truncated()
}

// ObserveHead implements control.Follower.
func (f follower) ObserveHead(t0 time.Time, head int64) {
	f.server.own.state.ObserveHead(t0, head)
}

// with runs f on the plane, puts what came of it in force and wakes whoever
// waits for updates. What came of it is put in force without the plane's lock:
// the guard asks the plane for claims with its own lock held.
func (c *controlLoop) with(f func(now time.Time, p *control.Plane)) {
	c.enforcing.Lock()
	defer c.enforcing.Unlock()
	now := c.server.node.Now()
	c.enforce(now, c.step(now, f))
}

// outcome is what a step of the plane changed for the node.
type outcome struct {
	policy    *policy.State
	dirty     bool
	endpoints []routing.Endpoint
	suspects  []quarantine.CrashRecord
	evicted   bool
}

func (c *controlLoop) step(now time.Time, f func(now time.Time, p *control.Plane)) outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, had := c.plane.HeadAge(now)
	f(now, c.plane)
	out := outcome{policy: c.plane.Policy(), suspects: c.plane.TakeCrashRecords(), evicted: c.plane.Evicted()}
	if c.plane.TakeDirty() {
		out.dirty = true
		out.endpoints = c.plane.Endpoints()
	}
	after, has := c.plane.HeadAge(now)
	if c.plane.Updates() != c.updates || before != after || had != has {
		c.updates = c.plane.Updates()
		close(c.wake)
		c.wake = make(chan struct{})
	}
	return out
}

func (c *controlLoop) enforce(now time.Time, out outcome) {
	n := c.server.node
	n.SetPolicy(now, out.policy)
	if out.dirty {
		n.SetEndpoints(now, out.endpoints)
	}
	if len(out.suspects) > 0 {
		n.Guard().MergeCrashRecords(now, out.suspects)
		c.kickSoon()
	}
	if out.evicted {
		c.once.Do(func() { close(c.gone) })
	}
}

// awaitEnforced returns once what was folded so far is in force at this node.
// A record counts as read back within the step that folds it, a moment before.
func (c *controlLoop) awaitEnforced() { c.with(func(time.Time, *control.Plane) {}) }

func (c *controlLoop) kickSoon() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// woken returns a channel that is closed at the next update.
func (c *controlLoop) woken() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wake
}

// read reads the log whenever the plane says that this node should.
func (c *controlLoop) read(ctx context.Context) {
	for ctx.Err() == nil {
		woken := c.woken()
		var from int64
		var reads, leads bool
		c.with(func(now time.Time, p *control.Plane) {
			from, reads = p.ReadFrom(now)
			leads = p.IsLeader()
		})
		if !reads {
			wait.OrWoken(ctx, woken, idleWait)
			continue
		}
		most := c.server.cfg.Log.ReadWait.Std()
		if leads {
			most = min(most, leaderWait)
		}
		c.readOnce(ctx, from, most)
	}
}

func (c *controlLoop) readOnce(ctx context.Context, from int64, most time.Duration) {
	c.counters.reads.Add(1)
	readCtx, cancel := context.WithTimeout(ctx, most+c.server.cfg.Log.ReadTimeout.Std())
	defer cancel()
	sent := c.server.node.Now()
	page, err := c.server.log.Read(readCtx, from, readMax, most)
	if ctx.Err() == nil {
		c.noteRead(err)
	}
	var truncated *logstore.TruncatedError
	switch {
	case err == nil:
		c.with(func(now time.Time, p *control.Plane) { p.OnPage(now, sent, page) })
	case errors.As(err, &truncated):
		c.with(func(_ time.Time, p *control.Plane) { p.OnTruncated(truncated.Oldest) })
		wait.For(ctx, readRetry)
	case ctx.Err() == nil:
		c.with(func(_ time.Time, p *control.Plane) { p.OnReadFailed() })
		wait.For(ctx, readRetry)
	}
}

// tick looks at the plane's times, and at once when kicked.
func (c *controlLoop) tick(ctx context.Context) {
	t := time.NewTicker(planeTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-c.kick:
		}
		c.spreadSuspects(ctx)
		var actions []control.Action
		var asks []control.Peer
		c.with(func(now time.Time, p *control.Plane) {
			actions = p.Tick(now)
			asks = p.ReaderTargets(now)
		})
		c.perform(ctx, actions)
		for _, peer := range asks {
			c.server.loop(func() { c.ask(ctx, peer, 0) })
		}
	}
}

// join announces the node with its upstream: to the log, and to the peers
// until it is there. A node that nobody knows serves nobody.
func (c *controlLoop) join(a node.Announcement) {
	m := c.server.member()
	m.Service = a.Service
	m.Slots = a.Slots
	m.Connections = a.Connections
	m.JoinedAt = c.server.node.Now().UTC().Round(0)
	c.server.own.state.SetLocal(m.Service)
	c.with(func(_ time.Time, p *control.Plane) { p.SetMember(m) })
	c.kickSoon()
}

// drain tells the peers that this node is leaving.
func (c *controlLoop) drain() {
	c.with(func(now time.Time, p *control.Plane) { p.StartDrain(now) })
	c.kickSoon()
}

// endHeld answers the questions that are held here, so that a stop need not
// wait for them.
func (c *controlLoop) endHeld() { c.ended.Do(func() { close(c.closing) }) }

// leave returns once the leave record was read back: what is under way when the
// appender ends may be lost.
func (c *controlLoop) leave() {
	var rec logstore.Record
	c.with(func(now time.Time, p *control.Plane) { rec = p.LeaveRecord(now) })
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	c.append(ctx, rec)
}

// append writes a record; the plane hands it out again if it doesn't show up.
func (c *controlLoop) append(ctx context.Context, rec logstore.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.server.appender.Append(ctx, rec); err != nil {
		c.server.logger.Warn().Err(err).Str("kind", string(rec.Kind)).Msg("record was not appended")
	}
}

// live reports whether exactly this life of a node is a member.
func (c *controlLoop) live(id membership.Identity) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plane.Members().Live(id)
}
