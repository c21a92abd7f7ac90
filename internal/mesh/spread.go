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
	// unstoredPath is where a node takes records that the store did not take.
	unstoredPath = "/unstored"
	// spreadAtOnce is how many nodes of the zone are told of a record at once; one in 400
	// is missed by all that pass it on, and told at later turns.
	spreadAtOnce = 6
	// spreadAtTurn is how many are told at each later turn.
	spreadAtTurn = 2
	// spreadFor is how long a record is passed on.
	spreadFor = 8 * time.Second
	// maxUnstored bounds the records that are passed on, and maxUnstoredBytes one message.
	maxUnstored      = 64
	maxUnstoredBytes = 64 << 10
	// spreadTimeout bounds one message within the zone.
	spreadTimeout = 300 * time.Millisecond
)

// unstoredItem is a record that the store did not take.
type unstoredItem struct {
	Item
	// AtMillis is when its node wrote it, in Unix milliseconds: of two records of a key
	// the later one holds.
	AtMillis int64 `json:"at_ms"`
}

// unstored is a message with such records.
type unstored struct {
	Items []unstoredItem `json:"items"`
	// Address and RoutesVersion say where newer routes are to be had.
	Address       string `json:"address"`
	RoutesVersion int64  `json:"routes_version"`
}

// spreader passes records on within the zone while the store takes none.
//
// Load pattern: a zone is cut off from the store and from the others, and its upstreams
// leave, crash and come back. With each node telling a few others of its own record alone,
// a zone of hundreds takes minutes to learn of one. Whoever learns of a record passes it on
// to some others at once, and to a few more each turn, so it reaches all in a logarithm of
// their number.
type spreader struct {
	neighbours func() []fleet.Member
	// apply takes in records of other nodes.
	apply func([]Item)
	send  func(ctx context.Context, to *fleet.Member, items []unstoredItem) error
	// down is done when the node ends.
	down context.Context

	mu    sync.Mutex
	known map[string]spreading
	// passing is whether records are gathered to be passed on together.
	passing bool
}

// spreading is a record on its way.
type spreading struct {
	unstoredItem
	until time.Time
}

func newSpreader(down context.Context, neighbours func() []fleet.Member, apply func([]Item)) *spreader {
	return &spreader{down: down, neighbours: neighbours, apply: apply, known: map[string]spreading{}}
}

// tell passes on a record of this node.
func (s *spreader) tell(item Item) {
	s.keep([]unstoredItem{{item, time.Now().UnixMilli()}})
	s.pass(spreadAtOnce)
}

// told takes records from another node and passes on those that are new.
func (s *spreader) told(items []unstoredItem) {
	fresh := s.keep(items)
	if len(fresh) == 0 {
		return
	}
	s.apply(fresh)
	s.passSoon()
}

// passSoon passes on what comes within a moment together: after a loss of power in the
// zone there are as many records as nodes.
func (s *spreader) passSoon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.passing {
		return
	}
	s.passing = true
	time.AfterFunc(gatherFor, func() {
		s.mu.Lock()
		s.passing = false
		s.mu.Unlock()
		s.pass(spreadAtOnce)
	})
}

// turn passes on what is known; called twice a second while the store is lost.
func (s *spreader) turn() { s.pass(spreadAtTurn) }

// keep returns those of some records that were not known.
func (s *spreader) keep(items []unstoredItem) (fresh []Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.known, func(_ string, x spreading) bool { return now.After(x.until) })
	for _, item := range items {
		held, known := s.known[item.Key]
		if known && held.AtMillis >= item.AtMillis || !known && len(s.known) >= maxUnstored {
			continue
		}
		s.known[item.Key] = spreading{item, now.Add(spreadFor)}
		fresh = append(fresh, item.Item)
	}
	return fresh
}

// pass sends what is known to some nodes of the zone, any of them.
func (s *spreader) pass(nodes int) {
	items := s.items()
	if len(items) == 0 {
		return
	}
	neighbours := s.neighbours()
	var group errgroup.Group
	for _, i := range rand.Perm(len(neighbours))[:min(nodes, len(neighbours))] {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(s.down, spreadTimeout)
			defer cancel()
			return s.send(ctx, &neighbours[i], items)
		})
	}
	_ = group.Wait() // who was not reached is told by others
}

func (s *spreader) items() []unstoredItem {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var items []unstoredItem
	size := 0
	for _, x := range s.known {
		size += len(x.Key) + len(x.Value)
		if now.After(x.until) || size > maxUnstoredBytes/2 {
			continue
		}
		items = append(items, x.unstoredItem)
	}
	return items
}

func (m *Mesh) newSpreader() *spreader {
	neighbours := func() []fleet.Member { return m.members.neighbours(m.cfg) }
	s := newSpreader(m.down, neighbours, func(items []Item) { m.members.apply(items) })
	s.send = m.sendUnstored
	return s
}

// sendUnstored gives records that the store did not take to another node.
func (m *Mesh) sendUnstored(ctx context.Context, to *fleet.Member, items []unstoredItem) error {
	own := m.publisher.newest()
	raw, err := json.Marshal(unstored{Items: items, Address: own.Address, RoutesVersion: m.routes.Version()})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+unstoredPath, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	_, err = m.askNode(req, fleet.MaxMemberBytes)
	if err != nil {
		m.logger.Debug().Str("member", to.Node).Err(err).Msg("unstored records not given to another node")
	}
	return err
}

// serveUnstored takes records that the store did not take.
func (m *Mesh) serveUnstored(w http.ResponseWriter, r *http.Request) {
	var got unstored
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxUnstoredBytes)).Decode(&got); err != nil {
		http.Error(w, "records unreadable", http.StatusBadRequest)
		return
	}
	m.routes.ObserveVersion(got.Address, got.RoutesVersion)
	m.spread.told(got.Items)
}
