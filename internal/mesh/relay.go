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
	// membersWait and routesWait are how long a question waits, and watchSlack how much
	// longer its answer may take: a process that stands still acknowledges all probes.
	// Routes have to be in force within two seconds of their publication whatever the
	// node in between does.
	membersWait = 3 * time.Second
	routesWait  = time.Second
	watchSlack  = 300 * time.Millisecond
	// maxWatchWait bounds what another node may ask for.
	maxWatchWait = 5 * time.Second
	// refusedPause and silentPause are how long a node that had nothing to pass on, or did
	// not answer, is left out: a node that starts can answer within the first, and to wait
	// for a silent one costs a second or two.
	refusedPause = time.Second
	silentPause  = 10 * time.Second
	// quickRefusal tells the two apart. Beyond it the store is asked: a second silent
	// node would make the answer late.
	quickRefusal = peerConnect
	// maxAsked is how many nodes are asked one after the other, as long as they refuse
	// quickly. The last is any of those that may be asked: when the store serves a few
	// nodes only, the first of the order may not be among them.
	maxAsked = 3
)

// relay reads a topic through another node of the zone. Load pattern: nodes restart and
// routes change all the time, and each node wants to know of each change. Used by one
// goroutine.
type relay struct {
	// sources are the nodes that may be read through, the best one first; all of them
	// come before this node in an order that the whole zone shares.
	sources func() []fleet.Member
	ask     func(ctx context.Context, of *fleet.Member, q question) (page, error)
	// others is how many other nodes the zone has.
	others func() int
	// wait is how long a question waits for changes.
	wait   time.Duration
	logger zerolog.Logger
	// reads is whether there is nobody to ask: the node reads for its zone.
	reads bool
	// leftOut are nodes that failed lately, and until when they are not asked.
	leftOut map[string]time.Time
	// through is the node that was read through last; empty: the store itself.
	through atomic.Value
}

// question asks another node what came after an offset of a topic.
type question struct {
	topic string
	// from is readAll for one that knows nothing yet.
	from int64
	wait time.Duration
	// patient is set by one that has lost the store itself: it waits for a node that has
	// lost it too.
	patient bool
}

// Through returns the node that was read through last; empty for the store itself.
func (r *relay) Through() string {
	name, _ := r.through.Load().(string)
	return name
}

// note logs where records come from when that changes.
func (r *relay) note(topic, through string) {
	if r.Through() == through {
		return
	}
	r.through.Store(through)
	r.logger.Info().Str("topic", topic).Str("member", through).Msg("source of records changed")
}

// mayAsk returns the sources that did not fail lately.
func (r *relay) mayAsk() []fleet.Member {
	now := time.Now()
	sources := r.sources()
	r.reads = len(sources) == 0
	return slices.DeleteFunc(sources, func(m fleet.Member) bool { return now.Before(r.leftOut[m.Node]) })
}

// read reports false when the store is to be read. An answer that does not reach up to
// least is of a node that is behind.
func (r *relay) read(ctx context.Context, topic string, from, least int64) (page, bool) {
	begun := time.Now()
	sources := r.mayAsk()
	for asked := 0; asked < maxAsked && len(sources) > 0 && time.Since(begun) < quickRefusal && ctx.Err() == nil; asked++ {
		i := 0
		if asked == maxAsked-1 {
			i = rand.IntN(len(sources))
		}
		p, ok := r.askOne(ctx, &sources[i], r.questionFor(&sources[i], topic, from, least))
		if ok && p.Next >= least {
			return p, true
		}
		sources = slices.Delete(sources, i, i+1)
	}
	r.note(topic, "")
	return page{}, false
}

// awaitReturn waits for another node to have the store back. Two in three of the
// questions go up the tree, along which word of the return spreads at once; the others
// find a node that the store serves while it refuses the first of the zone's order.
func (r *relay) awaitReturn(ctx context.Context, topic string, from int64) (page, bool) {
	sources := r.mayAsk()
	if len(sources) == 0 {
		return page{}, false
	}
	i := 0
	if rand.IntN(3) == 0 {
		i = rand.IntN(len(sources))
	}
	return r.askOne(ctx, &sources[i], question{topic: topic, from: from, wait: r.wait, patient: true})
}

// questionFor returns what a node is asked. One that was not read through until now is
// not waited for: if it stands still, as it may have before, who reads through this node
// would be without changes for as long, and so on down the tree.
func (r *relay) questionFor(of *fleet.Member, topic string, from, least int64) question {
	q := question{topic: topic, from: from, wait: r.wait}
	if from != readAll && (of.Node != r.Through() || from < least) {
		q.wait = 0
	}
	return q
}

func (r *relay) askOne(ctx context.Context, of *fleet.Member, q question) (page, bool) {
	asked := time.Now()
	askCtx, cancel := context.WithTimeout(ctx, q.wait+watchSlack)
	defer cancel()
	p, err := r.ask(askCtx, of, q)
	if err != nil && ctx.Err() != nil {
		return page{}, false
	}
	if err != nil {
		r.logger.Debug().Str("topic", q.topic).Str("member", of.Node).Err(err).Msg("node that is read through gave no answer")
		if !q.patient || !errors.As(err, new(*statusError)) {
			r.leaveOut(of.Node, asked)
		}
		return page{}, false
	}
	r.note(q.topic, of.Node)
	return p, true
}

// leaveOut leaves out a node that failed a question.
func (r *relay) leaveOut(node string, asked time.Time) {
	now := time.Now()
	if r.leftOut == nil {
		r.leftOut = map[string]time.Time{}
	}
	maps.DeleteFunc(r.leftOut, func(_ string, until time.Time) bool { return !now.Before(until) })
	pause := refusedPause
	if now.Sub(asked) > quickRefusal {
		pause = silentPause
	}
	r.leftOut[node] = now.Add(pause)
}

func (m *Mesh) newRelay(wait time.Duration) *relay {
	return &relay{
		sources: func() []fleet.Member { return fleet.Sources(m.cfg.NodeID, m.members.neighbours(m.cfg)) },
		others:  func() int { return len(m.members.neighbours(m.cfg)) },
		ask:     m.watch,
		wait:    wait,
		logger:  m.logger,
	}
}

// settle is how long changes of members are gathered for one read of the store. A node
// that reads for its zone gathers little, as the zones are few; one that reads because
// no other node could be asked is one of many. Called by the follower of members.
func (m *Mesh) settle() time.Duration {
	if m.following.relay.reads {
		return minSettle
	}
	return settleFor(m.members.count())
}

// watch asks another node what came after an offset of a topic.
func (m *Mesh) watch(ctx context.Context, of *fleet.Member, q question) (page, error) {
	query := url.Values{
		"topic":   {q.topic},
		"from":    {strconv.FormatInt(q.from, 10)},
		"wait_ms": {strconv.FormatInt(q.wait.Milliseconds(), 10)},
		"of":      {of.Node},
		"store":   {m.Settings().Store.Identity()},
	}
	if q.patient {
		query.Set("patient", "true")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+of.Address+watchPath+"?"+query.Encode(), nil)
	if err != nil {
		return page{}, err
	}
	raw, err := m.askNode(req, maxMembersBytes)
	if err != nil {
		return page{}, err
	}
	var p page
	if err := json.Unmarshal(raw, &p); err != nil {
		return page{}, errors.Wrap(err, "records of another node")
	}
	return p, nil
}

// notMeant reports why a question of another node is not for this one. The address of a
// VM that is gone is given to another one: a node that took this one for that one may be
// this node itself, and it would wait for changes from itself for good. While settings move
// the nodes to another store one by one, an offset of one store must not be taken for one
// of another: the asker would wait at it for records that have come long ago.
func (m *Mesh) notMeant(query url.Values) *statusError {
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
	if refusal := m.notMeant(query); refusal != nil {
		http.Error(w, refusal.Error(), refusal.status)
		return
	}
	for _, f := range []*follower{m.following, m.routes.follower} {
		if f.topic.Name() != query.Get("topic") {
			continue
		}
		f.heard(from)
		p, err := f.feed.after(r.Context(), from, time.Duration(waitMillis)*time.Millisecond, query.Get("patient") == "true")
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		p.AgeMillis = f.age(time.Now()).Milliseconds()
		omitHeaders(w)
		m.sendJSON(w, &p)
		return
	}
	http.Error(w, "no such topic", http.StatusNotFound)
}
