package records

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// MembersWatchWait and RoutesWatchWait are how long a watch request waits for changes.
	// watchMargin is how much longer its response may take before the request fails. Keep-alive
	// probes don't detect a paused process, since the kernel of its VM acknowledges them. Routes
	// have to be in force within 2 s of their publication even if the node read through is paused.
	MembersWatchWait = 3 * time.Second
	RoutesWatchWait  = time.Second
	watchMargin      = 300 * time.Millisecond
	// startingSourceWait is how long a request for all keys waits for a source that is starting too, and
	// how long a node waits for its sources to start. After a power loss all nodes of a zone start within
	// some hundred milliseconds. StartingSourcePause is the pause between two attempts.
	startingSourceWait  = 500 * time.Millisecond
	StartingSourcePause = 100 * time.Millisecond
	// refusedCooldown is how long a node that refused a request is not used, and
	// unresponsiveCooldown the same for a node that did not respond: a starting node can serve
	// within refusedCooldown, and each wait for an unresponsive node takes 1 or 2 seconds.
	refusedCooldown      = time.Second
	unresponsiveCooldown = 10 * time.Second
	// ConnectTimeout bounds opening a connection to another node: one way between zones takes 1 ms, and a
	// lost SYN packet is retransmitted after 1 s.
	ConnectTimeout = 250 * time.Millisecond
	// maxRefusalTime is the time up to which a failed request counts as refused; if it fails
	// later, the node counts as unresponsive. Once this time has passed, the store is read:
	// after a wait for a second unresponsive node the records would be late.
	maxRefusalTime = ConnectTimeout
	// maxSourceAttempts is how many nodes are tried in sequence as long as they refuse quickly.
	// The last one is chosen at random: if the store serves only a few nodes, the first of the
	// order may not be among them.
	maxSourceAttempts = 3
)

// Relay reads a topic through another node of the zone. Load pattern: nodes restart and routes
// change all the time, and every node needs every change. It is used by one goroutine.
type Relay struct {
	// Candidates returns the nodes that may be read through, the best one first. All of them
	// precede this node in an order that the whole zone shares.
	Candidates func() []fleet.Member
	// Fetch sends a request to another node.
	Fetch func(ctx context.Context, source *fleet.Member, req WatchRequest) (Batch, error)
	// NeighbourCount returns the number of other nodes in the zone.
	NeighbourCount func() int
	// Refused reports whether an error of Fetch is a response of the other node, which refused.
	Refused func(error) bool
	// Wait is how long a watch request waits for changes.
	Wait   time.Duration
	Logger zerolog.Logger
	// readsStore reports whether there are no Candidates, so that this node reads the store for
	// its zone.
	readsStore bool
	// cooldowns maps nodes that failed recently to the time until which they are not used.
	cooldowns map[string]time.Time
	// currentSource is the node that was read through last; empty for the store itself.
	currentSource atomic.Value
}

// WatchRequest requests the records from an offset of a topic on.
type WatchRequest struct {
	Topic string
	// From is the offset, snapshotOffset for all keys.
	From int64
	Wait time.Duration
	// WaitForStore is set by a node that has lost the store: the request also waits at a node
	// that has lost it too, until the store returns.
	WaitForStore bool
}

// source returns the node that was read through last; empty for the store itself.
func (r *Relay) source() string {
	name, _ := r.currentSource.Load().(string)
	return name
}

// setSource records and logs the source of the topic's records when it changes.
func (r *Relay) setSource(topic, source string) {
	if r.source() == source {
		return
	}
	r.currentSource.Store(source)
	r.Logger.Info().Str("topic", topic).Str("member", source).Msg("source of the topic's records changed; an empty member is the store itself")
}

// availableSources returns the Candidates without those in cooldown.
func (r *Relay) availableSources() []fleet.Member {
	now := time.Now()
	sources := r.Candidates()
	r.readsStore = len(sources) == 0
	return slices.DeleteFunc(sources, func(m fleet.Member) bool { return now.Before(r.cooldowns[m.Node]) })
}

// read reads through another node; it reports false if the store is to be read instead. A batch
// that ends before minNext comes from a node that is behind, and the next source is tried.
func (r *Relay) read(ctx context.Context, topic string, from, minNext int64) (Batch, bool) {
	started := time.Now()
	sources := r.availableSources()
	for attempt := 0; attempt < maxSourceAttempts && len(sources) > 0 && time.Since(started) < maxRefusalTime && ctx.Err() == nil; attempt++ {
		i := 0
		if attempt == maxSourceAttempts-1 {
			i = rand.IntN(len(sources))
		}
		b, ok := r.fetchFrom(ctx, &sources[i], r.requestFor(&sources[i], topic, from, minNext))
		if ok && b.Next >= minNext {
			return b, true
		}
		sources = slices.Delete(sources, i, i+1)
	}
	r.setSource(topic, "")
	return Batch{}, false
}

// readAll reads all keys through another node. If none responds, it tries again for a while: all nodes
// of a zone may be starting, and each that read the store instead would read all keys.
func (r *Relay) readAll(ctx context.Context, topic string) (Batch, bool) {
	deadline := time.Now().Add(startingSourceWait)
	for {
		b, ok := r.read(ctx, topic, snapshotOffset, 0)
		if ok || len(r.Candidates()) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return b, ok
		}
		wait.For(ctx, StartingSourcePause)
	}
}

// awaitStore waits for another node to regain the store. 2 in 3 requests go to the first source,
// the parent in the tree: the first node that regains the store passes its records down the tree
// at once. The others go to a random source, to find a node that the store serves while it refuses
// the first node of the zone's order.
func (r *Relay) awaitStore(ctx context.Context, topic string, from int64) (Batch, bool) {
	sources := r.availableSources()
	if len(sources) == 0 {
		return Batch{}, false
	}
	i := 0
	if rand.IntN(3) == 0 {
		i = rand.IntN(len(sources))
	}
	return r.fetchFrom(ctx, &sources[i], WatchRequest{Topic: topic, From: from, Wait: r.Wait, WaitForStore: true})
}

// requestFor returns the request for a source. A request to a source other than the current one
// does not wait for changes, since that node may be paused. While this node waits for a paused one,
// it receives no changes, and neither do the nodes below it in the tree. A request for all keys waits
// for a source that is starting too.
func (r *Relay) requestFor(source *fleet.Member, topic string, from, minNext int64) WatchRequest {
	req := WatchRequest{Topic: topic, From: from, Wait: r.Wait}
	switch {
	case from == snapshotOffset:
		req.Wait = min(r.Wait, startingSourceWait)
	case source.Node != r.source() || from < minNext:
		req.Wait = 0
	}
	return req
}

// fetchFrom sends a watch request to a source. A source that fails is put in cooldown, unless it
// refused a request with waitForStore or one for all keys.
func (r *Relay) fetchFrom(ctx context.Context, source *fleet.Member, req WatchRequest) (Batch, bool) {
	sent := time.Now()
	fetchCtx, cancel := context.WithTimeout(ctx, req.Wait+watchMargin)
	defer cancel()
	b, err := r.Fetch(fetchCtx, source, req)
	if err != nil && ctx.Err() != nil {
		return Batch{}, false
	}
	if err != nil {
		r.Logger.Debug().Str("topic", req.Topic).Str("member", source.Node).Err(err).Msg("read through another node failed; another node or the store is read")
		mayBeStarting := req.From == snapshotOffset && time.Since(sent) < maxRefusalTime
		mayRegainStore := req.WaitForStore && r.Refused(err)
		if !mayBeStarting && !mayRegainStore {
			r.startCooldown(source.Node, sent)
		}
		return Batch{}, false
	}
	r.setSource(req.Topic, source.Node)
	return b, true
}

// startCooldown excludes a node after a failed request: for longer if it did not respond than if
// it refused the request.
func (r *Relay) startCooldown(node string, sent time.Time) {
	now := time.Now()
	if r.cooldowns == nil {
		r.cooldowns = map[string]time.Time{}
	}
	maps.DeleteFunc(r.cooldowns, func(_ string, until time.Time) bool { return !now.Before(until) })
	cooldown := refusedCooldown
	if now.Sub(sent) > maxRefusalTime {
		cooldown = unresponsiveCooldown
	}
	r.cooldowns[node] = now.Add(cooldown)
}
