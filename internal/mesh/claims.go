package mesh

import (
	"context"
	"time"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// claimInterval is the least time between two answers to records that claim the name or the address of
	// this node: each is a write to the store.
	claimInterval = time.Second
	// maxClaims bounds the records that wait for an answer. Later ones are seen again when records are read.
	maxClaims = 8
)

// claims answers records of others that claim the name or the address of this node and would hide it. The
// node is at its address, so that a newer record of its own is true. A record with its name at another
// address may be of a process that replaces it, which is asked first.
type claims struct {
	mesh    *Mesh
	pending chan fleet.Member
}

func newClaims(m *Mesh) *claims { return &claims{mesh: m, pending: make(chan fleet.Member, maxClaims)} }

// observe takes a record that was read. It does not block.
func (c *claims) observe(record *fleet.Member) {
	own := c.mesh.publisher.Newest()
	if !record.Claims(&own) {
		return
	}
	select {
	case c.pending <- *record:
	default:
	}
}

func (c *claims) run(ctx context.Context) {
	for {
		select {
		case record := <-c.pending:
			c.answer(ctx, &record)
			wait.For(ctx, claimInterval)
		case <-ctx.Done():
			return
		}
	}
}

// answer publishes the node's record anew, as one that is newer than the claim.
func (c *claims) answer(ctx context.Context, claim *fleet.Member) {
	m := c.mesh
	own := m.publisher.Newest()
	if !claim.Claims(&own) || m.stopping.Load() {
		return
	}
	if claim.Address != own.Address && c.holdsName(ctx, claim) {
		m.logger.Error().Str("claims", claim.Node).Str("address", claim.Address).Uint64("incarnation", claim.Incarnation).
			Msg("another process holds the name of this node; it is the one that others use")
		return
	}
	m.proxy.AcceptIncarnation(claim.Incarnation + 1)
	m.members.applyMember(m.publisher.Supersede(claim.Incarnation))
	m.logger.Error().Str("claims", claim.Node).Str("address", claim.Address).Uint64("incarnation", claim.Incarnation).
		Msg("a record of another writer claims the name or the address of this node; the own record is published as newer")
}

// holdsName reports whether a process at the address of a claim has the name of this node.
func (c *claims) holdsName(ctx context.Context, claim *fleet.Member) bool {
	answer, err := c.mesh.exchangeRecords(ctx, claim.Address)
	return err == nil && answer.Node == claim.Node
}
