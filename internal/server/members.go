package server

import (
	"github.com/galenagrade/galenagrade/internal/membership"
)

// LiveMembers returns the members that are neither dead nor leaving, in order of identity.
// Members of other zones count as live while they are members according to the log.
func (s *Server) LiveMembers() []membership.Identity {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	return s.control.plane.Live()
}

// liveMembersOf returns the members that serve a service and are not dead. Members that are
// leaving are included: without them, other guards would take over slots whose keys are still
// being handed over, and the records of the calls that ran would be lost.
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
