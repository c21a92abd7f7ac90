package server

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

// authority chooses, by the template in force, between a claim in the log for
// each key and the ownership of its slot. It implements node.Authority.
type authority struct {
	server *Server
}

// NeedsClaim implements node.Authority.
func (a authority) NeedsClaim(call *node.Call) bool { return a.server.node.NeedsClaim(call) }

// MayStart implements node.Authority. A claimed key was settled just before.
// Under ownership a claim of another guard still counts: the service may have
// changed from claims to ownership while callers resend.
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
