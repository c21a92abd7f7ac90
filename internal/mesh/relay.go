package mesh

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/fleet"
)

const (
	// newsPath is where a node gives what it reads of the store's topics.
	newsPath = "/news"
	// newsWait is how long a question for news waits, and newsSlack how much longer its
	// answer may take: a process that stands still acknowledges all probes, and its zone
	// must not know less than a few seconds ago because of it.
	newsWait  = 3 * time.Second
	newsSlack = 500 * time.Millisecond
	// routesAlone is how many nodes each read published routes from the store: routes have
	// to be in force within two seconds though a node in between stands still. So many
	// reads at once are a sixth of what a store of 6,000 serves in a second.
	routesAlone = 1000
	// refusedPause and silentPause are how long a node that had no news to pass on, or did
	// not answer, is left out: the next one in the zone's order is asked meanwhile. Chosen:
	// a node that starts has news within the first, and to wait for a silent one costs a
	// second or two.
	refusedPause = time.Second
	silentPause  = 10 * time.Second
	// quickRefusal tells the two apart.
	quickRefusal = peerConnect
)

// relay reads a topic through another node of the zone. Load pattern: nodes of a
// deployment are restarted and crash, and each wants to know of each. Calls of the store
// on two days with faults of 14 nodes, every node for itself and members through one for
// each zone: 619 and 452, 1,091 and 693 (one play each). Used by one goroutine.
type relay struct {
	// parent names the node to read through, of those that may be asked; known is false
	// for one that reads the store itself.
	parent func(mayAsk func(node string) bool) (m fleet.Member, known bool)
	ask    func(ctx context.Context, of *fleet.Member, topic string, from int64) (page, error)
	logger zerolog.Logger
	// reads is whether there was nobody to ask: the node reads for its zone.
	reads bool
	// leftOut are nodes that failed lately, and until when they are not asked.
	leftOut map[string]time.Time
	// through is the node that was read through last; empty: the store itself.
	through atomic.Value
}

// Through returns the node that was read through last; empty for the store itself.
func (r *relay) Through() string {
	name, _ := r.through.Load().(string)
	return name
}

// note logs where news comes from when that changes.
func (r *relay) note(topic, through string) {
	if r.Through() == through {
		return
	}
	r.through.Store(through)
	r.logger.Info().Str("topic", topic).Str("member", through).Msg("source of news changed")
}

// read reports false when the store is to be read.
func (r *relay) read(ctx context.Context, topic string, from int64) (page, bool) {
	asked := time.Now()
	parent, known := r.parent(func(node string) bool { return !asked.Before(r.leftOut[node]) })
	r.reads = !known
	if r.reads {
		r.note(topic, "")
		return page{}, false
	}
	askCtx, cancel := context.WithTimeout(ctx, newsWait+newsSlack)
	defer cancel()
	p, err := r.ask(askCtx, &parent, topic, from)
	if err != nil {
		r.logger.Debug().Str("topic", topic).Str("member", parent.Node).Err(err).Msg("no news from the node that is read through")
		r.leaveOut(parent.Node, asked)
		r.note(topic, "")
		return page{}, false
	}
	r.note(topic, parent.Node)
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

func (m *Mesh) newRelay(parent func(func(string) bool) (fleet.Member, bool)) *relay {
	return &relay{parent: parent, ask: m.askNews, logger: m.logger}
}

// settle is how long changes of members are gathered for one read of the store. A node
// that reads for its zone gathers little, as the zones are few; one that reads because
// its parent failed it is one of many. Called by the follower of members.
func (m *Mesh) settle() time.Duration {
	if m.following.relay.reads {
		return minSettle
	}
	return settleFor(m.members.count())
}

// parent is the node of the zone that this one reads through.
func (m *Mesh) parent(mayAsk func(node string) bool) (fleet.Member, bool) {
	var others []fleet.Member
	for _, other := range m.members.neighbours(m.cfg) {
		if mayAsk(other.Node) {
			others = append(others, other)
		}
	}
	return fleet.Parent(m.cfg.NodeID, others)
}

// routesParent is the node that this one reads published routes through.
func (m *Mesh) routesParent(mayAsk func(node string) bool) (fleet.Member, bool) {
	if m.members.count() <= routesAlone {
		return fleet.Member{}, false
	}
	return m.parent(mayAsk)
}

// askNews asks another node what came after an offset of a topic.
func (m *Mesh) askNews(ctx context.Context, of *fleet.Member, topic string, from int64) (page, error) {
	query := url.Values{"topic": {topic}, "from": {strconv.FormatInt(from, 10)}, "of": {of.Node}, "store": {m.Settings().Store.Identity()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+of.Address+newsPath+"?"+query.Encode(), nil)
	if err != nil {
		return page{}, err
	}
	raw, err := m.askNode(req, maxMembersBytes)
	if err != nil {
		return page{}, err
	}
	var p page
	if err := json.Unmarshal(raw, &p); err != nil {
		return page{}, errors.Wrap(err, "news of another node")
	}
	return p, nil
}

// serveNews answers a node that reads through this one. The address of a VM that is gone
// is given to another one: a node that took this one for that one may be this node
// itself, and it would wait for news from itself for good. While settings move the nodes to
// another store one by one, an offset of one store must not be taken for one of another:
// the asker would wait at it for records that have come long ago.
func (m *Mesh) serveNews(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no offset", http.StatusBadRequest)
		return
	}
	if query.Get("of") != m.cfg.NodeID {
		http.Error(w, "another node is here", http.StatusMisdirectedRequest)
		return
	}
	if query.Get("store") != m.Settings().Store.Identity() {
		http.Error(w, "another store is read here", http.StatusConflict)
		return
	}
	for _, f := range []*follower{m.following, m.routes.follower} {
		if f.topic.Name() != query.Get("topic") {
			continue
		}
		p, err := f.feed.after(r.Context(), from, newsWait)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		p.AgeMillis = f.age(time.Now()).Milliseconds()
		m.sendJSON(w, &p)
		return
	}
	http.Error(w, "no such topic", http.StatusNotFound)
}
