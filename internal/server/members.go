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

// liveMembersOf returns the members that serve a service and are not dead. Those that
// are leaving count: were they left out, the others would take their keys over
// while they hand them on, and the memory of what ran would be lost.
func (c *controlLoop) liveMembersOf(service string) []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	dead := c.plane.Dead()
	var out []membership.Member
	for _, m := range c.plane.Members().ByService("", service) {
		if !dead[m.Identity] {
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
