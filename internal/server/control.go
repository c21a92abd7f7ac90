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
	// maxReadEntries bounds the entries of one read.
	maxReadEntries = 1000
	// readRetryDelay is the pause after a read that failed.
	readRetryDelay = 200 * time.Millisecond
	// maxLeaderWait bounds the wait of a zone's reader at the log's head. A proof
	// counts from the sending of its read, so the wait is the age that it has
	// when it sets out for the other nodes; theirs then stays below half of
	// the validity of ownership, past which promises are asked for. Whoever
	// reads beside it waits as long as settings say.
	maxLeaderWait = 250 * time.Millisecond
	// idleInterval is how often a loop without work looks again.
	idleInterval = 250 * time.Millisecond
	// planeTickInterval is how often the plane's times are looked at.
	planeTickInterval = 200 * time.Millisecond
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
	tickNow  chan struct{} // looks at the plane at once
	closing  chan struct{} // answers what is held

	// applyMu is held while a step of the plane and what it changed for the
	// node go through, so that they come in order. It is taken before mu.
	applyMu sync.Mutex

	mu        sync.Mutex
	plane     *control.Plane
	updated   chan struct{} // closed and replaced when there is something new
	updates   uint64
	claimSeq  uint64
	evicted   chan struct{}
	evictOnce sync.Once
	closeOnce sync.Once
}

func newControl(s *Server, clients *controlClients) *controlLoop {
	return &controlLoop{
		server:  s,
		clients: clients,
		tickNow: make(chan struct{}, 1),
		closing: make(chan struct{}),
		updated: make(chan struct{}),
		evicted: make(chan struct{}),
	}
}

// createPlane makes the plane of the node, whose identity is known by now.
func (c *controlLoop) createPlane() {
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
	f.server.ownership.state.Apply(now, entries)
	f.server.metrics.Inc(metrics.RecordsFolded, int64(len(entries)))
	f.server.appender.Observe(entries)
}

// Truncated implements control.Follower.
func (f follower) Truncated() {
	f.server.ownership.state.Truncated()
}

// ObserveHead implements control.Follower.
func (f follower) ObserveHead(t0 time.Time, head int64) {
	f.server.ownership.state.ObserveHead(t0, head)
}

// withPlane runs f on the plane, puts what came of it in force and wakes whoever
// waits for updates. What came of it is put in force without the plane's lock:
// the guard asks the plane for claims withPlane its own lock held.
func (c *controlLoop) withPlane(f func(now time.Time, p *control.Plane)) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	now := c.server.node.Now()
	c.applyStep(now, c.step(now, f))
}

// stepResult is what a step of the plane changed for the node.
type stepResult struct {
	policy           *policy.State
	endpointsChanged bool
	endpoints        []routing.Endpoint
	crashRecords     []quarantine.CrashRecord
	evicted          bool
}

func (c *controlLoop) step(now time.Time, f func(now time.Time, p *control.Plane)) stepResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	ageBefore, knownBefore := c.plane.HeadAge(now)
	f(now, c.plane)
	out := stepResult{policy: c.plane.Policy(), crashRecords: c.plane.TakeCrashRecords(), evicted: c.plane.Evicted()}
	if c.plane.TakeDirty() {
		out.endpointsChanged = true
		out.endpoints = c.plane.Endpoints()
	}
	ageAfter, knownAfter := c.plane.HeadAge(now)
	if c.plane.Updates() != c.updates || ageBefore != ageAfter || knownBefore != knownAfter {
		c.updates = c.plane.Updates()
		close(c.updated)
		c.updated = make(chan struct{})
	}
	return out
}

func (c *controlLoop) applyStep(now time.Time, out stepResult) {
	n := c.server.node
	n.SetPolicy(now, out.policy)
	if out.endpointsChanged {
		n.SetEndpoints(now, out.endpoints)
	}
	if len(out.crashRecords) > 0 {
		n.Guard().MergeCrashRecords(now, out.crashRecords)
		c.requestTick()
	}
	if out.evicted {
		c.evictOnce.Do(func() { close(c.evicted) })
	}
}

// awaitApplied returns once what was folded so far is in force at this node.
// A record counts as read back within the step that folds it, a moment before.
func (c *controlLoop) awaitApplied() { c.withPlane(func(time.Time, *control.Plane) {}) }

func (c *controlLoop) requestTick() {
	select {
	case c.tickNow <- struct{}{}:
	default:
	}
}

// updateSignal returns a channel that is closed at the next update.
func (c *controlLoop) updateSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updated
}

// read reads the log whenever the plane says that this node should.
func (c *controlLoop) read(ctx context.Context) {
	for ctx.Err() == nil {
		updated := c.updateSignal()
		var from int64
		var shouldRead, isLeader bool
		c.withPlane(func(now time.Time, p *control.Plane) {
			from, shouldRead = p.ReadFrom(now)
			isLeader = p.IsLeader()
		})
		if !shouldRead {
			wait.OrWoken(ctx, updated, idleInterval)
			continue
		}
		maxWait := c.server.cfg.Log.ReadWait.Std()
		if isLeader {
			maxWait = min(maxWait, maxLeaderWait)
		}
		c.readOnce(ctx, from, maxWait)
	}
}

func (c *controlLoop) readOnce(ctx context.Context, from int64, maxWait time.Duration) {
	c.counters.reads.Add(1)
	readCtx, cancel := context.WithTimeout(ctx, maxWait+c.server.cfg.Log.ReadTimeout.Std())
	defer cancel()
	sent := c.server.node.Now()
	page, err := c.server.log.Read(readCtx, from, maxReadEntries, maxWait)
	if ctx.Err() == nil {
		c.recordRead(err)
	}
	var truncated *logstore.TruncatedError
	switch {
	case err == nil:
		c.withPlane(func(now time.Time, p *control.Plane) { p.OnPage(now, sent, page) })
	case errors.As(err, &truncated):
		c.withPlane(func(_ time.Time, p *control.Plane) { p.OnTruncated(truncated.Oldest) })
		wait.For(ctx, readRetryDelay)
	case ctx.Err() == nil:
		c.withPlane(func(_ time.Time, p *control.Plane) { p.OnReadFailed() })
		wait.For(ctx, readRetryDelay)
	}
}

// tick looks at the plane's times, and at once when kicked.
func (c *controlLoop) tick(ctx context.Context) {
	t := time.NewTicker(planeTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-c.tickNow:
		}
		c.gossipCrashRecords(ctx)
		var actions []control.Action
		var targets []control.Peer
		c.withPlane(func(now time.Time, p *control.Plane) {
			actions = p.Tick(now)
			targets = p.ReaderTargets(now)
		})
		c.perform(ctx, actions)
		for _, peer := range targets {
			c.server.spawn(func() { c.exchangeWith(ctx, peer, 0) })
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
	c.server.ownership.state.SetLocal(m.Service)
	c.withPlane(func(_ time.Time, p *control.Plane) { p.SetMember(m) })
	c.requestTick()
}

// drain tells the peers that this node is leaving.
func (c *controlLoop) drain() {
	c.withPlane(func(now time.Time, p *control.Plane) { p.StartDrain(now) })
	c.requestTick()
}

// endHeldRequests answers the questions that are held here, so that a stop need not
// wait for them.
func (c *controlLoop) endHeldRequests() { c.closeOnce.Do(func() { close(c.closing) }) }

// leave returns once the leave record was read back: what is under way when the
// appender ends may be lost.
func (c *controlLoop) leave() {
	var rec logstore.Record
	c.withPlane(func(now time.Time, p *control.Plane) { rec = p.LeaveRecord(now) })
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

// isMember reports whether exactly this life of a node is a member.
func (c *controlLoop) isMember(id membership.Identity) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plane.Members().Live(id)
}
