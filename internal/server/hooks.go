package server

import (
	"context"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/node"
)

// OwnershipHandler decides who owns idempotency keys. It gets every entry of
// the log once and in order, every proof of the log's head, and the requests
// of other nodes. Its Follower methods are called with the control plane's
// lock held: they must not block or call back into the server.
type OwnershipHandler interface {
	node.Follower
	Promise(ctx context.Context, req *innerpb.PromiseRequest) (*innerpb.PromiseResponse, error)
	HandOver(ctx context.Context, req *innerpb.HandOverRequest) (*innerpb.HandOverResponse, error)
}

// LiveMembers returns the members that are neither dead nor leaving, in order.
// Other zones' members count as live for as long as the log says so.
func (s *Server) LiveMembers() []membership.Identity {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	return s.control.plane.Live()
}
