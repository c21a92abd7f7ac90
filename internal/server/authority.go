package server

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

// authority implements node.Authority. Depending on the template in force, a key needs either
// a claim in the log or the ownership of its slot.
type authority struct {
	server *Server
}

// NeedsClaim implements node.Authority.
func (a authority) NeedsClaim(call *node.Call) bool { return a.server.node.NeedsClaim(call) }

// MayStart implements node.Authority. With claims, the claim of the key was decided
// immediately before, so nothing is left to check. With ownership, a claim of another guard still
// counts: the service may have changed from claims to ownership while callers resend.
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
