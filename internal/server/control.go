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
	// maxReadEntries bounds the entries of one read of the log.
	maxReadEntries = 1000
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 200 * time.Millisecond
	// maxLeaderWait bounds how long a read of the zone's leader waits at the head of the log. A read
	// that returns the head is a head observation. Its age counts from when the read was sent, so the
	// age that the other nodes receive includes this wait. Guards request promises once the age
	// exceeds half of the validity of ownership; with this bound, it stays below that. The reads of
	// nodes that are not the leader wait for as long as the settings allow.
	maxLeaderWait = 250 * time.Millisecond
	// idleInterval is how often a loop without work checks for work.
	idleInterval = 250 * time.Millisecond
	// planeTickInterval is how often the timeouts of the plane are checked.
	planeTickInterval = 200 * time.Millisecond
	// appendTimeout bounds one attempt to append a record to the log.
	appendTimeout = 5 * time.Second
	// leaveTimeout bounds the wait for the leave record at a planned stop. Without the record, the
	// peers still know of the drain and detect later that the node is gone.
	leaveTimeout = time.Second
)

// controlLoop connects the control plane of the node to the network and the log: it carries
// out the actions of the plane and passes on what it receives. mu is never held during I/O.
type controlLoop struct {
	server   *Server
	log      logState
	clients  *controlClients
	counters controlCounters
	tickNow  chan struct{} // triggers a tick at once
	closing  chan struct{} // closed to respond to all held requests

	// applyMu is held during a step of the plane and while its result is applied to the node, so
	// that results are applied in the order of the steps. It is acquired before mu.
	applyMu sync.Mutex

	mu        sync.Mutex
	plane     *control.Plane
	updated   chan struct{} // closed and replaced at each update
	updates   uint64        // Plane.Updates at the last step
	claimSeq  uint64        // sequence number of this node's last claim
	evicted   chan struct{} // closed when the log shows that this node is no longer a member
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

// createPlane creates the plane. It is called once the identity of the node is known.
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

// follower passes the records that the plane applied to the ownership state and to the appender,
// which evaluate single records, and counts them in the metrics.
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

// withPlane runs f on the plane, applies the result to the node and wakes the goroutines that
// wait for updates. The result is applied without holding mu, because the guard looks up
// claims in the plane while it holds its own lock.
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

// step runs f on the plane while it holds mu, and returns what f changed for the node. If f
// changed the update count or the head age, step closes updated.
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

// awaitApplied returns once all records read so far are in force on this node. A record counts
// as read back during the step that applies it to the plane, shortly before the result is
// applied to the node.
func (c *controlLoop) awaitApplied() { c.withPlane(func(time.Time, *control.Plane) {}) }

// requestTick triggers a tick at once.
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

// read reads the log while the plane requires this node to do so.
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

// tick calls Plane.Tick every planeTickInterval, and at once after requestTick. It performs the
// actions of the plane, gossips crash records and exchanges with the peers that the plane names.
// It returns when ctx ends.
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

// join announces the node with its upstream to the log and, until the join record was read, to
// the peers. Nodes route calls to known members only.
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

// drain announces to the peers that this node is leaving.
func (c *controlLoop) drain() {
	c.withPlane(func(now time.Time, p *control.Plane) { p.StartDrain(now) })
	c.requestTick()
}

// endHeldRequests responds to the requests that are held here, so that a stop does not wait
// for them.
func (c *controlLoop) endHeldRequests() { c.closeOnce.Do(func() { close(c.closing) }) }

// leave appends the leave record and returns once it was read back: records in flight may be
// lost when the appender ends.
func (c *controlLoop) leave() {
	var rec logstore.Record
	c.withPlane(func(now time.Time, p *control.Plane) { rec = p.LeaveRecord(now) })
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	c.append(ctx, rec)
}

// append appends a record. The plane returns the record as an action again while it is missing
// from the log.
func (c *controlLoop) append(ctx context.Context, rec logstore.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.server.appender.Append(ctx, rec); err != nil {
		c.server.logger.Warn().Err(err).Str("kind", string(rec.Kind)).Msg("append of a record to the log failed; retried while the record is missing from the log")
	}
}

// isMember reports whether this incarnation of a node is a member.
func (c *controlLoop) isMember(id membership.Identity) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plane.Members().Live(id)
}
