package server

import (
	"sync/atomic"
	"time"
)

// ControlStats counts the messages and log requests that the control plane of a node sent
// since the start.
type ControlStats struct {
	Exchanges, Probes, Gossips, Fetches uint64
	// Reads and Appends count requests to the log, including failed ones.
	Reads, Appends uint64
	// HeadAge is the present age of the newest head observation; 0 before the first.
	HeadAge time.Duration
}

type controlCounters struct {
	exchanges, probes, gossips, fetches, reads atomic.Uint64
}

// ControlStats returns the counters of the control plane.
func (s *Server) ControlStats() ControlStats {
	n := &s.control.counters
	s.control.mu.Lock()
	age, known := s.control.plane.HeadAge(s.node.Now())
	s.control.mu.Unlock()
	if !known {
		age = 0
	}
	return ControlStats{
		Exchanges: n.exchanges.Load(),
		Probes:    n.probes.Load(),
		Gossips:   n.gossips.Load(),
		Fetches:   n.fetches.Load(),
		Reads:     n.reads.Load(),
		Appends:   uint64(s.appender.Stats().Appends),
		HeadAge:   age,
	}
}
