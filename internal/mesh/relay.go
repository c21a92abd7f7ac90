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
)

const (
	// watchPath is where a node gives what it reads of the store's topics.
	watchPath = "/watch"
	// membersWatchWait and routesWait are how long a question waits, and watchSlack how much
	// longer its answer may take: a process that stands still acknowledges all probes.
	// Routes have to be in force within two seconds of their publication whatever the
	// node in between does.
	membersWatchWait = 3 * time.Second
	routesWatchWait  = time.Second
	watchMargin      = 300 * time.Millisecond
	// maxWatchWait bounds what another node may ask for.
	maxWatchWait = 5 * time.Second
	// refusedCooldown and silentPause are how long a node that had nothing to pass on, or did
	// not answer, is left out: a node that starts can answer within the first, and to wait
	// for a silent one costs a second or two.
	refusedCooldown      = time.Second
	unresponsiveCooldown = 10 * time.Second
	// quickRefusal tells the two apart. Beyond it the store is asked: a second silent
	// node would make the answer late.
	quickRefusal = peerConnectTimeout
	// maxSourceAttempts is how many nodes are asked one after the other, as long as they refuse
	// quickly. The last is any of those that may be asked: when the store serves a few
	// nodes only, the first of the order may not be among them.
	maxSourceAttempts = 3
)

// relay reads a topic through another node of the zone. Load pattern: nodes restart and
// routes change all the time, and each node wants to know of each change. Used by one
// goroutine.
type relay struct {
	// candidates are the nodes that may be read through, the best one first; all of them
	// come before this node in an order that the whole zone shares.
	candidates func() []fleet.Member
	fetch      func(ctx context.Context, source *fleet.Member, req watchRequest) (batch, error)
	// neighbourCount is how many other nodes the zone has.
	neighbourCount func() int
	// wait is how long a question waits for changes.
	wait   time.Duration
	logger zerolog.Logger
	// readsStore is whether there is nobody to ask: the node readsStore for its zone.
	readsStore bool
	// cooldowns are nodes that failed lately, and until when they are not asked.
	cooldowns map[string]time.Time
	// currentSource is the node that was read currentSource last; empty: the store itself.
	currentSource atomic.Value
}

// watchRequest asks another node what came after an offset of a topic.
type watchRequest struct {
	topic string
	// from is readAll for one that knows nothing yet.
	from int64
	wait time.Duration
	// waitForStore is set by one that has lost the store itself: it waits for a node that has
	// lost it too.
	waitForStore bool
}

// source returns the node that was read through last; empty for the store itself.
func (r *relay) source() string {
	name, _ := r.currentSource.Load().(string)
	return name
}

// setSource logs where records come from when that changes.
func (r *relay) setSource(topic, source string) {
	if r.source() == source {
		return
	}
	r.currentSource.Store(source)
	r.logger.Info().Str("topic", topic).Str("member", source).Msg("source of records changed")
}

// availableSources returns the sources that did not fail lately.
func (r *relay) availableSources() []fleet.Member {
	now := time.Now()
	sources := r.candidates()
	r.readsStore = len(sources) == 0
	return slices.DeleteFunc(sources, func(m fleet.Member) bool { return now.Before(r.cooldowns[m.Node]) })
}

// read reports false when the store is to be read. An answer that does not reach up to
// least is of a node that is behind.
func (r *relay) read(ctx context.Context, topic string, from, minNext int64) (batch, bool) {
	started := time.Now()
	sources := r.availableSources()
	for attempt := 0; attempt < maxSourceAttempts && len(sources) > 0 && time.Since(started) < quickRefusal && ctx.Err() == nil; attempt++ {
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

// awaitStore waits for another node to have the store back. Two in three of the
// questions go up the tree, along which word of the return spreads at once; the others
// find a node that the store serves while it refuses the first of the zone's order.
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

// requestFor returns what a node is asked. One that was not read through until now is
// not waited for: if it stands still, as it may have before, who reads through this node
// would be without changes for as long, and so on down the tree.
func (r *relay) requestFor(source *fleet.Member, topic string, from, minNext int64) watchRequest {
	req := watchRequest{topic: topic, from: from, wait: r.wait}
	if from != snapshotOffset && (source.Node != r.source() || from < minNext) {
		req.wait = 0
	}
	return req
}

func (r *relay) fetchFrom(ctx context.Context, source *fleet.Member, req watchRequest) (batch, bool) {
	sent := time.Now()
	fetchCtx, cancel := context.WithTimeout(ctx, req.wait+watchMargin)
	defer cancel()
	b, err := r.fetch(fetchCtx, source, req)
	if err != nil && ctx.Err() != nil {
		return batch{}, false
	}
	if err != nil {
		r.logger.Debug().Str("topic", req.topic).Str("member", source.Node).Err(err).Msg("node that is read through gave no answer")
		if !req.waitForStore || !errors.As(err, new(*statusError)) {
			r.startCooldown(source.Node, sent)
		}
		return batch{}, false
	}
	r.setSource(req.topic, source.Node)
	return b, true
}

// startCooldown leaves out a node that failed a question.
func (r *relay) startCooldown(node string, sent time.Time) {
	now := time.Now()
	if r.cooldowns == nil {
		r.cooldowns = map[string]time.Time{}
	}
	maps.DeleteFunc(r.cooldowns, func(_ string, until time.Time) bool { return !now.Before(until) })
	cooldown := refusedCooldown
	if now.Sub(sent) > quickRefusal {
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

// membersBatchWindow is how long changes of members are gathered for one read of the store. A node
// that reads for its zone gathers little, as the zones are few; one that reads because
// no other node could be asked is one of many. Called by the follower of members.
func (m *Mesh) membersBatchWindow() time.Duration {
	if m.membersFollower.relay.readsStore {
		return minBatchWindow
	}
	return batchWindowFor(m.members.count())
}

// watch asks another node what came after an offset of a topic.
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
		return batch{}, errors.Wrap(err, "records of another node")
	}
	return b, nil
}

// checkRecipient reports why a question of another node is not for this one. The address of a
// VM that is gone is given to another one: a node that took this one for that one may be
// this node itself, and it would wait for changes from itself for good. While settings move
// the nodes to another store one by one, an offset of one store must not be taken for one
// of another: the asker would wait at it for records that have come long ago.
func (m *Mesh) checkRecipient(query url.Values) *statusError {
	if query.Get("of") != m.cfg.NodeID {
		return &statusError{http.StatusMisdirectedRequest}
	}
	if query.Get("store") != m.Settings().Store.Identity() {
		return &statusError{http.StatusConflict}
	}
	return nil
}

// serveWatch answers a node that reads through this one.
func (m *Mesh) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no offset", http.StatusBadRequest)
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
	http.Error(w, "no such topic", http.StatusNotFound)
}
