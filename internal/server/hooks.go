package server

import (
	"github.com/galenagrade/galenagrade/internal/membership"
)

// LiveMembers returns the members that are neither dead nor leaving, in order.
// Other zones' members count as live for as long as the log says so.
func (s *Server) LiveMembers() []membership.Identity {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	return s.control.plane.Live()
}

// liveOf returns the live members that serve a service.
func (c *control) liveOf(service string) []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []membership.Member
	for _, id := range c.plane.Live() {
		if m, ok := c.plane.Members().Member(id.Node); ok && m.Identity == id && m.Service == service {
			out = append(out, m)
		}
	}
	return out
}

func identities(members []membership.Member) []membership.Identity {
	out := make([]membership.Identity, len(members))
	for i, m := range members {
		out[i] = m.Identity
	}
	return out
}
