package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenagrade/galenagrade/internal/fleet"
)

const (
	// unstoredPath is the path at which a node receives records that the store did not accept.
	unstoredPath = "/unstored"
	// gossipFanOut is how many nodes of the zone each node that receives a new record sends it to
	// at once. About e^-6 of the nodes, one node in 400, is chosen by no sender and receives the
	// record in a later round (see gossiper.round).
	gossipFanOut = 6
	// gossipRoundFanOut is how many nodes the records are sent to in each later round.
	gossipRoundFanOut = 2
	// gossipDuration is how long a record is passed on.
	gossipDuration = 8 * time.Second
	// minGossipRecords and gossipRecordsPerNode bound the records that are passed on: after a power
	// loss each node of the zone has one of its own, and some have a crash record as well.
	minGossipRecords     = 64
	gossipRecordsPerNode = 2
	// maxGossipBytes bounds the size of one message in bytes.
	maxGossipBytes = 64 << 10
	// gossipTimeout bounds one message within the zone.
	gossipTimeout = 300 * time.Millisecond
)

// unstoredItem is a record that the store did not accept.
type unstoredItem struct {
	Item
	// AtMillis is the time at which its node wrote it, in Unix milliseconds; of two records of a
	// key the later one wins.
	AtMillis int64 `json:"at_ms"`
}

// gossipMessage is the message that carries unstored records to another node.
type gossipMessage struct {
	Items []unstoredItem `json:"items"`
	// Address is the sender's address, from which its routes can be fetched. RoutesVersion is the
	// version of those routes.
	Address       string `json:"address"`
	RoutesVersion int64  `json:"routes_version"`
}

// gossiper passes records on within the zone while the store accepts none.
//
// Load pattern: a zone is cut off from the store and from the other zones, and its upstreams
// leave, crash and come back. If each node sent only its own record to a few others, a record
// would take minutes to reach all nodes of a zone of hundreds. A node that receives a new record
// sends it to some others at once, and to a few more each round, so it reaches all nodes in a
// time logarithmic in their number.
type gossiper struct {
	neighbours func() []fleet.Member
	// apply applies records of other nodes.
	apply func([]Item)
	send  func(ctx context.Context, to *fleet.Member, items []unstoredItem) error
	// ctx is canceled when the node stops.
	ctx context.Context

	mu      sync.Mutex
	records map[string]gossipRecord
	// forwardScheduled reports whether records are being collected to be sent together.
	forwardScheduled bool
}

// gossipRecord is a record that is passed on until it expires.
type gossipRecord struct {
	unstoredItem
	expires time.Time
}

func newGossiper(ctx context.Context, neighbours func() []fleet.Member, apply func([]Item)) *gossiper {
	return &gossiper{ctx: ctx, neighbours: neighbours, apply: apply, records: map[string]gossipRecord{}}
}

// publish sends a record of this node to other nodes.
func (g *gossiper) publish(item Item) {
	g.merge([]unstoredItem{{item, time.Now().UnixMilli()}})
	g.forward(gossipFanOut)
}

// receive applies records from another node and passes on those that are new.
func (g *gossiper) receive(items []unstoredItem) {
	fresh := g.merge(items)
	if len(fresh) == 0 {
		return
	}
	g.apply(fresh)
	g.scheduleForward()
}

// scheduleForward sends the records that arrive within batchDelay together: after a power loss
// in the zone there are as many records as nodes.
func (g *gossiper) scheduleForward() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.forwardScheduled {
		return
	}
	g.forwardScheduled = true
	time.AfterFunc(batchDelay, func() {
		g.mu.Lock()
		g.forwardScheduled = false
		g.mu.Unlock()
		g.forward(gossipFanOut)
	})
}

// round sends the known records to a few nodes; it is called twice a second while the store is
// lost.
func (g *gossiper) round() { g.forward(gossipRoundFanOut) }

// merge adds the records that are new or later than the known ones, and returns them.
func (g *gossiper) merge(items []unstoredItem) (fresh []Item) {
	limit := max(minGossipRecords, gossipRecordsPerNode*(len(g.neighbours())+1))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(g.records, func(_ string, x gossipRecord) bool { return now.After(x.expires) })
	for _, item := range items {
		existing, known := g.records[item.Key]
		if known && existing.AtMillis >= item.AtMillis || !known && len(g.records) >= limit {
			continue
		}
		g.records[item.Key] = gossipRecord{item, now.Add(gossipDuration)}
		fresh = append(fresh, item.Item)
	}
	return fresh
}

// forward sends the known records to fanOut random nodes of the zone.
func (g *gossiper) forward(fanOut int) {
	items := g.pendingItems()
	if len(items) == 0 {
		return
	}
	neighbours := g.neighbours()
	var group errgroup.Group
	for _, i := range rand.Perm(len(neighbours))[:min(fanOut, len(neighbours))] {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(g.ctx, gossipTimeout)
			defer cancel()
			return g.send(ctx, &neighbours[i], items)
		})
	}
	_ = group.Wait() // nodes that were not reached get the records from others
}

func (g *gossiper) pendingItems() []unstoredItem {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var items []unstoredItem
	size := 0
	for _, x := range g.records {
		size += len(x.Key) + len(x.Value)
		if now.After(x.expires) || size > maxGossipBytes/2 {
			continue
		}
		items = append(items, x.unstoredItem)
	}
	return items
}

func (m *Mesh) newGossiper() *gossiper {
	neighbours := func() []fleet.Member { return m.members.zoneNeighbours(m.cfg) }
	g := newGossiper(m.ctx, neighbours, func(items []Item) { m.members.apply(items) })
	g.send = m.sendGossip
	return g
}

// sendGossip sends records that the store did not accept to another node.
func (m *Mesh) sendGossip(ctx context.Context, to *fleet.Member, items []unstoredItem) error {
	own := m.publisher.newest()
	raw, err := json.Marshal(gossipMessage{Items: items, Address: own.Address, RoutesVersion: m.routes.Version()})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+unstoredPath, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	_, err = m.sendControl(req, fleet.MaxMemberBytes)
	if err != nil {
		m.logger.Debug().Str("member", to.Node).Err(err).Msg("gossip of unstored records to another node failed; other nodes pass them on")
	}
	return err
}

// serveGossip receives records that the store did not accept.
func (m *Mesh) serveGossip(w http.ResponseWriter, r *http.Request) {
	var message gossipMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGossipBytes)).Decode(&message); err != nil {
		http.Error(w, "gossip message could not be decoded", http.StatusBadRequest)
		return
	}
	m.routes.ObserveVersion(message.Address, message.RoutesVersion)
	m.gossiper.receive(message.Items)
}
