package server

import "github.com/galenagrade/galenagrade/internal/membership"

// LiveMembers returns the members that are neither dead nor leaving, in order.
// Other zones' members count as live for as long as the log says so.
func (s *Server) LiveMembers() []membership.Identity {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	return s.control.plane.Live()
}
