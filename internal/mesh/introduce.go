package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/galenagrade/galenagrade/internal/fleet"
)

const (
	// introductionPath is where a node takes another one's record and answers with
	// its own.
	introductionPath = "/introduction"
	// membersPath is where a node gives the records that it knows to others.
	membersPath = "/members"
	// introduceEvery is how often absent members are looked for. A node that starts
	// without the store serves after about this time.
	introduceEvery = 500 * time.Millisecond
	// introducers is how many nodes of a zone look for one at each turn, on average:
	// 5 % of turns find none of three, and 400 bytes are sent for each.
	introducers = 3
	// introduceAtOnce bounds the introductions that wait at a time: with a third of
	// 412 nodes of a zone gone, a turn asks one or two.
	introduceAtOnce = 8
	// tellAtOnce is how many nodes of the zone are told of a record that the store
	// did not take, at each try to write it: tries come once a second or so, and
	// each costs 400 bytes a node told.
	tellAtOnce = 4
	// introduceTimeout bounds one introduction within the zone.
	introduceTimeout = 300 * time.Millisecond
	// maxMembersBytes bounds records taken from another node: 14,000 of some 250
	// bytes, twice.
	maxMembersBytes = 8 << 20
)

// introducer looks for members of its zone that may have started without the
// store, and tells them where routes and records are to be had.
type introducer struct {
	mesh   *Mesh
	absent *fleet.Absent
	logger zerolog.Logger
}

func (i *introducer) run(ctx context.Context) {
	turn := time.NewTicker(introduceEvery)
	defer turn.Stop()
	for {
		select {
		case <-turn.C:
			i.turn(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (i *introducer) turn(ctx context.Context) {
	neighbours := i.mesh.members.neighbours(i.mesh.cfg)
	share := introducers / float64(max(len(neighbours), 1))
	var group errgroup.Group
	group.SetLimit(introduceAtOnce)
	meet := func(m *fleet.Member) {
		group.Go(func() error { i.introduce(ctx, m); return nil })
	}
	for _, m := range i.absent.Due(time.Now(), neighbours, i.mesh.unreached) {
		if rand.Float64() < share {
			meet(&m)
		}
	}
	if i.mesh.storeLost() && len(neighbours) > 0 {
		meet(&neighbours[rand.IntN(len(neighbours))])
	}
	_ = group.Wait()
}

// tellZone gives the node's record, which the store did not take, to some nodes
// of its zone. Without it a node that stopped during an outage went on to be
// called, and nobody looked for its successor.
func (m *Mesh) tellZone(ctx context.Context) {
	neighbours := slices.Clone(m.members.neighbours(m.cfg))
	rand.Shuffle(len(neighbours), func(i, j int) { neighbours[i], neighbours[j] = neighbours[j], neighbours[i] })
	var group errgroup.Group
	for _, to := range neighbours[:min(tellAtOnce, len(neighbours))] {
		group.Go(func() error {
			record, err := m.exchangeRecords(ctx, to.Address)
			if err != nil {
				m.logger.Debug().Str("member", to.Node).Err(err).Msg("own record not given to another node")
				return nil
			}
			m.members.learn(record)
			return nil
		})
	}
	_ = group.Wait()
}

// introduce tells a member who this node is, and learns who is there now. That
// nobody answers is usual: most absent members are.
func (i *introducer) introduce(ctx context.Context, to *fleet.Member) {
	record, err := i.mesh.exchangeRecords(ctx, to.Address)
	if err != nil {
		i.logger.Debug().Str("member", to.Node).Err(err).Msg("absent member not found")
		return
	}
	if record.Incarnation != to.Incarnation {
		i.logger.Info().Str("member", record.Node).Str("state", string(record.State)).Str("address", to.Address).Msg("member met again")
	}
	i.mesh.members.learn(record)
}

func (m *Mesh) exchangeRecords(ctx context.Context, address string) (fleet.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	own := m.publisher.newest()
	raw, err := own.Encode()
	if err != nil {
		return fleet.Member{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+introductionPath, bytes.NewReader(raw))
	if err != nil {
		return fleet.Member{}, err
	}
	answer, err := m.askNode(req, fleet.MaxMemberBytes)
	if err != nil {
		return fleet.Member{}, err
	}
	return fleet.DecodeMember(answer)
}

// askNode sends a question to another node and returns the answer's body.
func (m *Mesh) askNode(req *http.Request, most int64) ([]byte, error) {
	resp, err := m.servers.control.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return io.ReadAll(io.LimitReader(resp.Body, most))
}

// unreached reports whether calls to a node failed to reach it lately.
func (m *Mesh) unreached(name string) bool {
	t := m.node.Table().ByNode(name)
	return t != nil && (t.Ejected() || t.Stats().ConsecutiveFailures > 0)
}

func (m *Mesh) storeLost() bool { return m.following.lost.Load() || m.routes.follower.lost.Load() }

// serveIntroduction takes another node's record and answers with this one's. A
// node that lacks routes or records fetches them there.
func (m *Mesh) serveIntroduction(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, fleet.MaxMemberBytes))
	if err != nil {
		http.Error(w, "record unreadable", http.StatusBadRequest)
		return
	}
	record, err := fleet.DecodeMember(raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.members.learn(record)
	if m.routes.Version() == 0 || !m.members.informed() {
		m.routes.fetch(record.Address)
	}
	own := m.publisher.newest()
	m.sendJSON(w, &own)
}

// serveMembers gives the records known here to other nodes.
func (m *Mesh) serveMembers(w http.ResponseWriter, _ *http.Request) { m.sendJSON(w, m.members.all()) }

func (m *Mesh) sendJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		m.logger.Warn().Err(err).Msg("answer to another node not sent")
	}
}

// fetchMembers takes over what another node knows. Records are folded: older
// ones change nothing.
func (m *Mesh) fetchMembers(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+membersPath, nil)
	if err != nil {
		return err
	}
	raw, err := m.askNode(req, maxMembersBytes)
	if err != nil {
		return err
	}
	var records []fleet.Member
	if err := json.Unmarshal(raw, &records); err != nil {
		return errors.Wrap(err, "records of another node")
	}
	m.members.takeOver(records, address)
	return nil
}
