package mesh

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/records"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// offsetsPath is the path at which a node serves the offsets up to which it has read the
	// store's topics.
	offsetsPath = "/offsets"
	// minCompareInterval bounds the interval between two comparisons of a single node from below.
	minCompareInterval = 500 * time.Millisecond
	// compareTimeout bounds one request for offsets.
	compareTimeout = 500 * time.Millisecond
	// maxOffsetsBytes bounds the response in bytes.
	maxOffsetsBytes = 1 << 10
)

// offsets contains the offsets up to which a node has read the store's topics.
type offsets struct {
	Members int64 `json:"members"`
	Routes  int64 `json:"routes"`
	// RoutesVersion is the version of the routes in force.
	RoutesVersion int64 `json:"routes_version"`
}

// compareOffsets periodically compares this node's offsets with those of a random node of another
// zone.
//
// It detects a store that no longer responds to the reader of a zone while the connection stays
// open. A waiting read then looks the same as one during which nothing changes, and the whole
// zone keeps outdated data. Each zone reads the store on its own, so nodes of another zone are
// ahead as long as the store responds to one of them.
func (m *Mesh) compareOffsets(ctx context.Context) {
	for ctx.Err() == nil {
		interval := max(time.Duration(len(m.members.zoneNeighbours(m.cfg)))*records.ZoneCompareInterval, minCompareInterval)
		wait.For(ctx, time.Duration((0.5+rand.Float64())*float64(interval)))
		peer, known := m.members.randomOtherZone(m.cfg)
		if !known || ctx.Err() != nil {
			continue
		}
		if err := m.compareOffsetsWith(ctx, &peer); err != nil {
			m.logger.Debug().Str("member", peer.Node).Err(err).Msg("comparison of offsets with a node of another zone failed; tried again with a random node")
		}
	}
}

func (m *Mesh) compareOffsetsWith(ctx context.Context, peer *fleet.Member) error {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	query := url.Values{"of": {peer.Node}, "store": {m.Settings().Store.Identity()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Address+offsetsPath+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	raw, err := m.sendControl(req, maxOffsetsBytes)
	if err != nil {
		return err
	}
	var remote offsets
	if err := json.Unmarshal(raw, &remote); err != nil {
		return errors.Wrap(err, "decode offsets of another node")
	}
	m.routes.ObserveVersion(peer.Address, remote.RoutesVersion)
	m.routes.follower.ObserveOffset(remote.Routes)
	m.membersFollower.ObserveOffset(remote.Members)
	return nil
}

// serveOffsets serves the offsets of this node to a node that compares its own with them.
func (m *Mesh) serveOffsets(w http.ResponseWriter, r *http.Request) {
	if mismatch := m.checkRecipient(r.URL.Query()); mismatch != nil {
		http.Error(w, mismatch.Error(), mismatch.status)
		return
	}
	m.sendJSON(w, &offsets{
		Members:       m.membersFollower.Next(),
		Routes:        m.routes.follower.Next(),
		RoutesVersion: m.routes.Version(),
	})
}
