package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// watchPath is the path at which a node serves the records that it has read of the store's
	// topics.
	watchPath = "/watch"
	// membersWatchWait and routesWatchWait are how long a watch request waits for changes.
	// watchMargin is how much longer its response may take before the request fails. Keep-alive
	// probes don't detect a paused process, since the kernel of its VM acknowledges them. Routes
	// have to be in force within 2 s of their publication even if the node read through is paused.
	membersWatchWait = 3 * time.Second
	routesWatchWait  = time.Second
	watchMargin      = 300 * time.Millisecond
	// startingSourceWait is how long a request for all keys waits for a source that is starting too, and
	// how long a node waits for its sources to start. After a power loss all nodes of a zone start within
	// some hundred milliseconds. startingSourcePause is the pause between two attempts.
	startingSourceWait  = 500 * time.Millisecond
	startingSourcePause = 100 * time.Millisecond
	// maxWatchWait bounds the wait that another node may request.
	maxWatchWait = 5 * time.Second
	// refusedCooldown is how long a node that refused a request is not used, and
	// unresponsiveCooldown the same for a node that did not respond: a starting node can serve
	// within refusedCooldown, and each wait for an unresponsive node takes 1 or 2 seconds.
	refusedCooldown      = time.Second
	unresponsiveCooldown = 10 * time.Second
	// maxRefusalTime is the time up to which a failed request counts as refused; if it fails
	// later, the node counts as unresponsive. Once this time has passed, the store is read:
	// after a wait for a second unresponsive node the records would be late.
	maxRefusalTime = peerConnectTimeout
	// maxSourceAttempts is how many nodes are tried in sequence as long as they refuse quickly.
	// The last one is chosen at random: if the store serves only a few nodes, the first of the
	// order may not be among them.
	maxSourceAttempts = 3
)

// relay reads a topic through another node of the zone. Load pattern: nodes restart and routes
// change all the time, and every node needs every change. It is used by one goroutine.
type relay struct {
	// candidates returns the nodes that may be read through, the best one first. All of them
	// precede this node in an order that the whole zone shares.
	candidates func() []fleet.Member
	fetch      func(ctx context.Context, source *fleet.Member, req watchRequest) (batch, error)
	// neighbourCount returns the number of other nodes in the zone.
	neighbourCount func() int
	// wait is how long a watch request waits for changes.
	wait   time.Duration
	logger zerolog.Logger
	// readsStore reports whether there are no candidates, so that this node reads the store for
	// its zone.
	readsStore bool
	// cooldowns maps nodes that failed recently to the time until which they are not used.
	cooldowns map[string]time.Time
	// currentSource is the node that was read through last; empty for the store itself.
	currentSource atomic.Value
}

// watchRequest requests the records from an offset of a topic on.
type watchRequest struct {
	topic string
	// from is the offset, snapshotOffset for all keys.
	from int64
	wait time.Duration
	// waitForStore is set by a node that has lost the store: the request also waits at a node
	// that has lost it too, until the store returns.
	waitForStore bool
}

// source returns the node that was read through last; empty for the store itself.
func (r *relay) source() string {
	name, _ := r.currentSource.Load().(string)
	return name
}

// setSource records and logs the source of the topic's records when it changes.
func (r *relay) setSource(topic, source string) {
	if r.source() == source {
		return
	}
	r.currentSource.Store(source)
	r.logger.Info().Str("topic", topic).Str("member", source).Msg("source of the topic's records changed; an empty member is the store itself")
}

// availableSources returns the candidates without those in cooldown.
func (r *relay) availableSources() []fleet.Member {
	now := time.Now()
	sources := r.candidates()
	r.readsStore = len(sources) == 0
	return slices.DeleteFunc(sources, func(m fleet.Member) bool { return now.Before(r.cooldowns[m.Node]) })
}

// read reads through another node; it reports false if the store is to be read instead. A batch
// that ends before minNext comes from a node that is behind, and the next source is tried.
func (r *relay) read(ctx context.Context, topic string, from, minNext int64) (batch, bool) {
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
	return batch{}, false
}

// readAll reads all keys through another node. If none responds, it tries again for a while: all nodes
// of a zone may be starting, and each that read the store instead would read all keys.
func (r *relay) readAll(ctx context.Context, topic string) (batch, bool) {
	deadline := time.Now().Add(startingSourceWait)
	for {
		b, ok := r.read(ctx, topic, snapshotOffset, 0)
		if ok || len(r.candidates()) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return b, ok
		}
		wait.For(ctx, startingSourcePause)
	}
}

// awaitStore waits for another node to regain the store. 2 in 3 requests go to the first source,
// the parent in the tree: the first node that regains the store passes its records down the tree
// at once. The others go to a random source, to find a node that the store serves while it refuses
// the first node of the zone's order.
func (r *relay) awaitStore(ctx context.Context, topic string, from int64) (batch, bool) {
	sources := r.availableSources()
	if len(sources) == 0 {
		return batch{}, false
	}
	i := 0
	if rand.IntN(3) == 0 {
		i = rand.IntN(len(sources))
	}
	return r.fetchFrom(ctx, &sources[i], watchRequest{topic: topic, from: from, wait: r.wait, waitForStore: true})
}

// requestFor returns the request for a source. A request to a source other than the current one
// does not wait for changes, since that node may be paused. While this node waits for a paused one,
// it receives no changes, and neither do the nodes below it in the tree. A request for all keys waits
// for a source that is starting too.
func (r *relay) requestFor(source *fleet.Member, topic string, from, minNext int64) watchRequest {
	req := watchRequest{topic: topic, from: from, wait: r.wait}
	switch {
	case from == snapshotOffset:
		req.wait = min(r.wait, startingSourceWait)
	case source.Node != r.source() || from < minNext:
		req.wait = 0
	}
	return req
}

// fetchFrom sends a watch request to a source. A source that fails is put in cooldown, unless it
// refused a request with waitForStore or one for all keys.
func (r *relay) fetchFrom(ctx context.Context, source *fleet.Member, req watchRequest) (batch, bool) {
	sent := time.Now()
	fetchCtx, cancel := context.WithTimeout(ctx, req.wait+watchMargin)
	defer cancel()
	b, err := r.fetch(fetchCtx, source, req)
	if err != nil && ctx.Err() != nil {
		return batch{}, false
	}
	if err != nil {
		r.logger.Debug().Str("topic", req.topic).Str("member", source.Node).Err(err).Msg("read through another node failed; another node or the store is read")
		mayBeStarting := req.from == snapshotOffset && time.Since(sent) < maxRefusalTime
		mayRegainStore := req.waitForStore && errors.As(err, new(*statusError))
		if !mayBeStarting && !mayRegainStore {
			r.startCooldown(source.Node, sent)
		}
		return batch{}, false
	}
	r.setSource(req.topic, source.Node)
	return b, true
}

// startCooldown excludes a node after a failed request: for longer if it did not respond than if
// it refused the request.
func (r *relay) startCooldown(node string, sent time.Time) {
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

func (m *Mesh) newRelay(wait time.Duration) *relay {
	return &relay{
		candidates:     func() []fleet.Member { return fleet.Sources(m.cfg.NodeID, m.members.zoneNeighbours(m.cfg)) },
		neighbourCount: func() int { return len(m.members.zoneNeighbours(m.cfg)) },
		fetch:          m.watch,
		wait:           wait,
		logger:         m.logger,
	}
}

// membersBatchWindow returns how long member changes are batched for one read of the store. A
// node that reads for its zone batches briefly, as there are few zones; a node that reads
// because no other node was available is one of many. The members follower calls it.
func (m *Mesh) membersBatchWindow() time.Duration {
	if m.membersFollower.relay.readsStore {
		return minBatchWindow
	}
	return batchWindowFor(m.members.count())
}

// watch requests the records from an offset of a topic on from another node.
func (m *Mesh) watch(ctx context.Context, source *fleet.Member, req watchRequest) (batch, error) {
	query := url.Values{
		"topic":   {req.topic},
		"from":    {strconv.FormatInt(req.from, 10)},
		"wait_ms": {strconv.FormatInt(req.wait.Milliseconds(), 10)},
		"of":      {source.Node},
		"store":   {m.Settings().Store.Identity()},
	}
	if req.waitForStore {
		query.Set("patient", "true")
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.Address+watchPath+"?"+query.Encode(), nil)
	if err != nil {
		return batch{}, err
	}
	raw, err := m.sendControl(httpReq, maxMembersBytes)
	if err != nil {
		return batch{}, err
	}
	var b batch
	if err := json.Unmarshal(raw, &b); err != nil {
		return batch{}, errors.Wrap(err, "decode records of another node")
	}
	return b, nil
}

// checkRecipient returns an error if a request of another node is not meant for this one.
//
// There are two such requests:
//   - The address of a removed VM may be assigned to the VM of this node. Requests of this node to
//     the removed node then arrive at this node itself, which would wait for its own changes without
//     end.
//   - New settings move the nodes to another store one by one, so the requester may use another
//     store than this node. The offsets of two stores are unrelated: with the larger offset of one
//     store, the requester would wait for records that the other store holds at smaller offsets.
func (m *Mesh) checkRecipient(query url.Values) *statusError {
	if query.Get("of") != m.cfg.NodeID {
		return &statusError{http.StatusMisdirectedRequest}
	}
	if query.Get("store") != m.Settings().Store.Identity() {
		return &statusError{http.StatusConflict}
	}
	return nil
}

// serveWatch serves records to a node that reads through this one.
func (m *Mesh) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a valid offset", http.StatusBadRequest)
		return
	}
	waitMillis, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || waitMillis < 0 || waitMillis > maxWatchWait.Milliseconds() {
		http.Error(w, fmt.Sprintf("wait_ms must be 0 to %d", maxWatchWait.Milliseconds()), http.StatusBadRequest)
		return
	}
	if mismatch := m.checkRecipient(query); mismatch != nil {
		http.Error(w, mismatch.Error(), mismatch.status)
		return
	}
	for _, f := range []*follower{m.membersFollower, m.routes.follower} {
		if f.topic.Name() != query.Get("topic") {
			continue
		}
		f.observeOffset(from)
		b, err := f.feed.readFrom(r.Context(), from, time.Duration(waitMillis)*time.Millisecond, query.Get("patient") == "true")
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		b.AgeMillis = f.age(time.Now()).Milliseconds()
		omitUnusedHeaders(w)
		m.sendJSON(w, &b)
		return
	}
	http.Error(w, "unknown topic name", http.StatusNotFound)
}
