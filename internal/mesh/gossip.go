package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/records"
)

const (
	// unstoredPath is the path at which a node receives records that the store did not accept.
	unstoredPath = "/unstored"
)

// gossipMessage is the message that carries unstored records to another node.
type gossipMessage struct {
	Items []records.UnstoredItem `json:"items"`
	// Address is the sender's address, from which its routes can be fetched. RoutesVersion is the
	// version of those routes.
	Address       string `json:"address"`
	RoutesVersion int64  `json:"routes_version"`
}

func (m *Mesh) newGossiper() *records.Gossiper {
	neighbours := func() []fleet.Member { return m.members.zoneNeighbours(m.cfg) }
	g := records.NewGossiper(m.ctx, neighbours, func(items []records.Item) { m.members.applyUnstored(items) })
	g.Send = m.sendGossip
	return g
}

// sendGossip sends records that the store did not accept to another node.
func (m *Mesh) sendGossip(ctx context.Context, to *fleet.Member, items []records.UnstoredItem) error {
	own := m.publisher.Newest()
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, records.MaxGossipBytes)).Decode(&message); err != nil {
		http.Error(w, "gossip message could not be decoded", http.StatusBadRequest)
		return
	}
	if fleet.ValidAddress(message.Address) {
		m.routes.ObserveVersion(message.Address, message.RoutesVersion)
	}
	latest := time.Now().Add(maxClockLead).UnixMilli()
	// A record from the future would keep the later ones of its key from being passed on.
	m.gossiper.Receive(slices.DeleteFunc(message.Items, func(item records.UnstoredItem) bool { return item.AtMillis > latest }))
}
