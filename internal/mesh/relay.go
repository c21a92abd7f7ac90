package mesh

import (
	"context"
	"encoding/json"
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
	// newsWait is how long a question for news waits. It costs one answer of some 100
	// bytes; a node that is silent shows by keep-alive probes, not by its end.
	newsWait = 10 * time.Second
	// relayPause is how long a node reads the store itself after the node that it reads
	// through was silent. Chosen: a restart takes about as long.
	relayPause = 2 * time.Second
	// quickRefusal is how soon a node says that it has no news to pass on, or its VM that
	// it isn't there: asking again after one read of the store costs next to nothing then.
	quickRefusal = peerConnect
)

// relay reads a topic through another node of the zone. Load pattern: all nodes of a
// deployment are restarted in turn, and each of them wants to know of each: read by
// everyone from the store, 76 nodes made 60 calls a second at the bound that was set,
// and learned of a change after 1.3 s; by one node in each zone it is 10 calls, and
// 0.3 s. Used by one goroutine.
type relay struct {
	// parent names the node to read through; known is false for one that reads the
	// store itself.
	parent func() (m fleet.Member, known bool)
	ask    func(ctx context.Context, address, topic string, from int64) (page, error)
	logger zerolog.Logger
	// pausedUntil is when the next question may go to a node.
	pausedUntil time.Time
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
	parent, known := r.parent()
	if !known || time.Now().Before(r.pausedUntil) {
		r.note(topic, "")
		return page{}, false
	}
	asked := time.Now()
	p, err := r.ask(ctx, parent.Address, topic, from)
	if err != nil {
		r.logger.Debug().Str("topic", topic).Str("member", parent.Node).Err(err).Msg("no news from the node that is read through")
		if now := time.Now(); now.Sub(asked) > quickRefusal {
			r.pausedUntil = now.Add(relayPause)
		}
		r.note(topic, "")
		return page{}, false
	}
	r.note(topic, parent.Node)
	return p, true
}

func (m *Mesh) newRelay() *relay { return &relay{parent: m.parent, ask: m.askNews, logger: m.logger} }

// settle is how long changes of members are gathered for one read of the store. A node
// that reads for its zone gathers little, as the zones are few; one that reads because
// its parent failed it is one of many.
func (m *Mesh) settle() time.Duration {
	if _, reads := m.parent(); !reads {
		return minSettle
	}
	return settleFor(m.members.count())
}

// parent is the node of the zone that this one reads through.
func (m *Mesh) parent() (fleet.Member, bool) {
	return fleet.Parent(m.cfg.NodeID, m.members.neighbours(m.cfg))
}

// askNews asks another node what came after an offset of a topic.
func (m *Mesh) askNews(ctx context.Context, address, topic string, from int64) (page, error) {
	ctx, cancel := context.WithTimeout(ctx, newsWait+callTimeout)
	defer cancel()
	query := url.Values{"topic": {topic}, "from": {strconv.FormatInt(from, 10)}, "store": {m.Settings().Store.Address}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+newsPath+"?"+query.Encode(), nil)
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

// serveNews answers a node that reads through this one. While settings move the nodes to
// another store one by one, an offset of one store must not be taken for one of another:
// the asker would wait at it for records that have come long ago.
func (m *Mesh) serveNews(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no offset", http.StatusBadRequest)
		return
	}
	if query.Get("store") != m.Settings().Store.Address {
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
