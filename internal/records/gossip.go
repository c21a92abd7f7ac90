package records

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenagrade/galenagrade/internal/fleet"
)

const (
	// GossipFanOut is how many nodes of the zone each node that receives a new record sends it to
	// at once. About e^-6 of the nodes, one node in 400, is chosen by no sender and receives the
	// record in a later round (see Gossiper.Round).
	GossipFanOut = 6
	// gossipRoundFanOut is how many nodes the records are sent to in each later round.
	gossipRoundFanOut = 2
	// gossipDuration is how long a record is passed on.
	gossipDuration = 8 * time.Second
	// minGossipRecords and gossipRecordsPerNode bound the records that are passed on: after a power
	// loss each node of the zone has one of its own, and some have a crash record as well.
	minGossipRecords     = 64
	gossipRecordsPerNode = 2
	// MaxGossipBytes bounds the size of one message in bytes.
	MaxGossipBytes = 64 << 10
	// RoundInterval is how often Round is to be called.
	RoundInterval = 500 * time.Millisecond
	// BatchDelay is how long records are collected that arrive together: the crash of an upstream shows on
	// each of its connections within milliseconds.
	BatchDelay = 50 * time.Millisecond
	// gossipTimeout bounds one message within the zone.
	gossipTimeout = 300 * time.Millisecond
)

// UnstoredItem is a record that the store did not accept.
type UnstoredItem struct {
	Item
	// AtMillis is the time at which its node wrote it, in Unix milliseconds; of two records of a
	// key the later one wins.
	AtMillis int64 `json:"at_ms"`
}

// Gossiper passes records on within the zone while the store accepts none.
//
// Load pattern: a zone is cut off from the store and from the other zones, and its upstreams
// leave, crash and come back. If each node sent only its own record to a few others, a record
// would take minutes to reach all nodes of a zone of hundreds. A node that receives a new record
// sends it to some others at once, and to a few more each round, so it reaches all nodes in a
// time logarithmic in their number.
type Gossiper struct {
	neighbours func() []fleet.Member
	// apply applies records of other nodes.
	apply func([]Item)
	// Send sends records to another node.
	Send func(ctx context.Context, to *fleet.Member, items []UnstoredItem) error
	// ctx is canceled when the node stops.
	ctx context.Context

	mu      sync.Mutex
	records map[string]gossipRecord
	// forwardScheduled reports whether records are being collected to be sent together.
	forwardScheduled bool
}

// gossipRecord is a record that is passed on until it expires.
type gossipRecord struct {
	UnstoredItem
	expires time.Time
}

// NewGossiper returns a gossiper without records. Its Send must be set before use. ctx is canceled when
// the node stops.
func NewGossiper(ctx context.Context, neighbours func() []fleet.Member, apply func([]Item)) *Gossiper {
	return &Gossiper{ctx: ctx, neighbours: neighbours, apply: apply, records: map[string]gossipRecord{}}
}

// Publish sends a record of this node to other nodes.
func (g *Gossiper) Publish(item Item) {
	g.merge([]UnstoredItem{{item, time.Now().UnixMilli()}})
	g.forward(GossipFanOut)
}

// Receive applies records from another node and passes on those that are new.
func (g *Gossiper) Receive(items []UnstoredItem) {
	fresh := g.merge(items)
	if len(fresh) == 0 {
		return
	}
	g.apply(fresh)
	g.scheduleForward()
}

// scheduleForward sends the records that arrive within BatchDelay together: after a power loss
// in the zone there are as many records as nodes.
func (g *Gossiper) scheduleForward() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.forwardScheduled {
		return
	}
	g.forwardScheduled = true
	time.AfterFunc(BatchDelay, func() {
		g.mu.Lock()
		g.forwardScheduled = false
		g.mu.Unlock()
		g.forward(GossipFanOut)
	})
}

// Round sends the known records to a few nodes; it is called twice a second while the store is
// lost.
func (g *Gossiper) Round() { g.forward(gossipRoundFanOut) }

// merge adds the records that are new or later than the known ones, and returns them.
func (g *Gossiper) merge(items []UnstoredItem) (fresh []Item) {
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
func (g *Gossiper) forward(fanOut int) {
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
			return g.Send(ctx, &neighbours[i], items)
		})
	}
	_ = group.Wait() // nodes that were not reached get the records from others
}

func (g *Gossiper) pendingItems() []UnstoredItem {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var items []UnstoredItem
	size := 0
	for _, x := range g.records {
		size += len(x.Key) + len(x.Value)
		if now.After(x.expires) || size > MaxGossipBytes/2 {
			continue
		}
		items = append(items, x.UnstoredItem)
	}
	return items
}
