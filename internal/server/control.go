package server

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/platform"
	"github.com/galenagrade/galenagrade/internal/result"
)

const (
	// readMax bounds the entries of one read.
	readMax = 1000
	// headPeriod is how often the head is read; proofs last seconds.
	headPeriod = 500 * time.Millisecond
	// readRetry is the pause after a read that failed.
	readRetry = 200 * time.Millisecond
	// joinTimeout bounds one try to get the join record into the log.
	joinTimeout = 5 * time.Second
)

// control follows the log and writes the node's own records.
type control struct {
	server *Server
	log    logState

	mu      sync.Mutex
	replica *node.Replica
	joined  *membership.Member
	seq     uint64
}

func newControl(s *Server) *control {
	return &control{server: s, replica: node.NewReplica()}
}

func (c *control) read(ctx context.Context) {
	for ctx.Err() == nil {
		sent := c.server.node.Now()
		page, err := c.server.log.Read(ctx, c.next(), readMax, c.server.cfg.Log.ReadWait.Std())
		if ctx.Err() == nil {
			c.noteRead(sent, err)
		}
		if err != nil {
			sleep(ctx, readRetry)
			continue
		}
		c.apply(page, sent)
	}
}

// proveHead reads the head of the log, well within the validity of a proof. A
// long read proves less: it counts from when it was sent.
func (c *control) proveHead(ctx context.Context) {
	for ctx.Err() == nil {
		sent := c.server.node.Now()
		if head, err := c.server.log.Head(ctx); err == nil {
			c.server.own.state.Proof(sent, head)
		}
		sleep(ctx, headPeriod)
	}
}

func (c *control) next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Next()
}

// apply folds a page of the log; the read that brought it was sent at sent,
// and proves that nothing lay beyond its head then.
func (c *control) apply(page platform.Page, sent time.Time) {
	now := c.server.node.Now()
	c.server.own.state.Apply(now, page.Entries)
	c.server.own.state.Proof(sent, page.Head)
	if len(page.Entries) == 0 {
		return
	}
	c.server.metrics.Inc(metrics.RecordsFolded, int64(len(page.Entries)))
	c.mu.Lock()
	before := c.replica.Members()
	c.replica.Apply(now, page.Entries)
	members, policy := c.replica.Members(), c.replica.Policy()
	c.mu.Unlock()
	if members != before {
		c.server.node.SetEndpoints(now, node.Endpoints(members, func(membership.Identity) bool { return false }))
	}
	c.server.node.SetPolicy(now, policy)
	c.server.appender.Observe(page.Entries)
}

// join announces the node with its upstream in the log, again until it is
// there: a node that nobody knows serves nobody.
func (c *control) join(a node.Announcement) {
	m := c.server.member()
	m.Service = a.Service
	m.Slots = a.Slots
	m.Connections = a.Connections
	m.JoinedAt = c.server.node.Now()
	c.mu.Lock()
	known := c.joined != nil && c.joined.Service == m.Service && c.joined.Slots == m.Slots
	if !known {
		c.joined = &m
	}
	c.mu.Unlock()
	if known {
		return
	}
	c.server.own.state.SetLocal(m.Service)
	c.server.loop(func() { c.append(platform.KindJoin, membership.Join{Member: m}) })
}

// append writes a record, trying again while the log is out.
func (c *control) append(kind platform.Kind, body any) bool {
	raw, err := json.Marshal(body)
	if err != nil {
		c.server.logger.Error().Err(err).Str("kind", string(kind)).Msg("record")
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	_, err = c.server.appender.Append(ctx, platform.Record{ID: uuid.NewString(), Kind: kind, At: time.Now(), Body: raw})
	if err != nil {
		c.server.logger.Warn().Err(err).Str("kind", string(kind)).Msg("record was not appended")
	}
	return err == nil
}

// Claim implements proxy.Claimer. The claim is settled once this node has read
// it back: the first claim of a key in log order holds it. When the log gives
// no answer the call is refused as not run, and the claim, should it be in the
// log after all, stays with this guard, which a resend is then sent to.
func (c *control) Claim(ctx context.Context, call *node.Call) *result.Refusal {
	hash := keyHash(call)
	id := c.server.node.Identity()
	if holder, ok := c.holder(hash); ok {
		return c.settled(holder)
	}
	c.mu.Lock()
	c.seq++
	claim := idempotency.Claim{KeyHash: hash, Node: id.Node, Incarnation: id.Incarnation, Seq: c.seq, Addr: id.InnerAddr}
	c.mu.Unlock()
	raw, err := json.Marshal(claim)
	if err != nil {
		return result.Refuse(result.NoAuthority, "claim: %v", err)
	}
	_, err = c.server.appender.Append(ctx, platform.Record{ID: uuid.NewString(), Kind: platform.KindClaim, At: time.Now(), Body: raw})
	if err != nil {
		return result.Refuse(result.NoAuthority, "the log did not settle the claim: %v", err).After(time.Second)
	}
	holder, ok := c.holder(hash)
	if !ok {
		return result.Refuse(result.NoAuthority, "the claim is no longer in memory")
	}
	return c.settled(holder)
}

func keyHash(call *node.Call) uint64 {
	key := idempotency.Key{Workspace: call.Ctx.Workspace, Service: call.Ctx.Service, Key: call.Ctx.Key}
	return key.Hash()
}

func (c *control) holder(hash uint64) (idempotency.Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Claim(hash)
}

func (c *control) settled(holder idempotency.Claim) *result.Refusal {
	id := c.server.node.Identity()
	if holder.Node == id.Node && holder.Incarnation == id.Incarnation {
		return nil
	}
	if !c.isLive(membership.Identity{Node: holder.Node, Incarnation: holder.Incarnation}) {
		return result.Refuse(result.OutcomeUnknown, "node %s held the key and is gone", holder.Node)
	}
	r := result.Refuse(result.OwnedElsewhere, "node %s holds the key", holder.Node)
	r.Owner = holder.Addr
	return r
}

func (c *control) isLive(id membership.Identity) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Members().Live(id)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// live returns the guards of a service that are believed alive.
func (c *control) live(service string) []membership.Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []membership.Identity
	for _, m := range c.replica.Members().ByService("", service) {
		ids = append(ids, m.Identity)
	}
	return ids
}

func (c *control) member(id membership.Identity) (membership.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.replica.Members().Member(id.Node)
	return m, ok && m.Identity == id
}
