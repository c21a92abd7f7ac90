package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

// Claim implements proxy.Claimer. The claim is decided once this node has read it back from
// the log: the first claim of a key in log order holds the key. When the log does not confirm
// the append, the call is refused as not run. If the claim is in the log nevertheless, it
// holds the key for this guard, and a resend is routed here.
func (c *controlLoop) Claim(ctx context.Context, call *node.Call) *result.Refusal {
	hash := call.IdempotencyKey().Hash()
	id := c.server.node.Identity()
	if holder, ok := c.claimHolder(hash); ok {
		return c.checkHolder(holder)
	}
	c.mu.Lock()
	c.claimSeq++
	claim := idempotency.Claim{KeyHash: hash, Node: id.Node, Incarnation: id.Incarnation, Seq: c.claimSeq, Addr: id.InnerAddr}
	c.mu.Unlock()
	raw, err := json.Marshal(claim)
	if err != nil {
		return result.Refuse(result.NoAuthority, "the claim of the key could not be encoded: %v", err)
	}
	_, err = c.server.appender.Append(ctx, logstore.Record{ID: uuid.NewString(), Kind: logstore.KindClaim, At: time.Now(), Body: raw})
	if err != nil {
		return result.Refuse(result.NoAuthority, "the log did not confirm the claim of the key: %v", err).WithRetryAfter(time.Second)
	}
	holder, ok := c.claimHolder(hash)
	if !ok {
		return result.Refuse(result.NoAuthority, "the claim of the key was read back, but is no longer stored on this node")
	}
	return c.checkHolder(holder)
}

// claimHolder returns the claim that holds the key with this hash.
func (c *controlLoop) claimHolder(hash uint64) (idempotency.Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plane.Replica().Claim(hash)
}

// checkHolder returns nil when this node holds the key, otherwise the refusal for the call.
func (c *controlLoop) checkHolder(holder idempotency.Claim) *result.Refusal {
	id := c.server.node.Identity()
	if holder.Node == id.Node && holder.Incarnation == id.Incarnation {
		return nil
	}
	if !c.isMember(membership.Identity{Node: holder.Node, Incarnation: holder.Incarnation}) {
		return result.Refuse(result.OutcomeUnknown, "node %s held the key and is no longer a member", holder.Node)
	}
	r := result.Refuse(result.OwnedElsewhere, "node %s holds the key", holder.Node)
	r.Owner = holder.Addr
	return r
}
