package server

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

// authority implements node.Authority. Before a guard starts a call with an idempotency key, the
// template in force requires either a claim of the key in the log or ownership of the key's slot.
type authority struct {
	server *Server
}

// NeedsClaim implements node.Authority.
func (a authority) NeedsClaim(call *node.Call) bool { return a.server.node.NeedsClaim(call) }

// MayStart implements node.Authority. If the key needs a claim, the claim was decided
// immediately before, so nothing is left to check. If the key needs ownership, an earlier claim of
// another guard still refuses the call: the service may have changed from claims to ownership, and
// the call may be a resend of one that ran at that guard.
func (a authority) MayStart(now time.Time, call *node.Call) (time.Time, *result.Refusal) {
	if a.NeedsClaim(call) {
		return time.Time{}, nil
	}
	if holder, ok := a.server.control.claimHolder(call.IdempotencyKey().Hash()); ok {
		if refusal := a.server.control.checkHolder(holder); refusal != nil {
			return time.Time{}, refusal
		}
	}
	return a.server.ownership.state.MayStart(now, call)
}
