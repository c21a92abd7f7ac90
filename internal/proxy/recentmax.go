package proxy

import (
	"sync"
	"time"
)

// recentMaxWindow is how long a recentMax remembers a value at least; a value expires within twice that.
const recentMaxWindow = 10 * time.Second

// recentMax is the maximum of the recent durations. It is safe for concurrent use; the zero value has none.
type recentMax struct {
	mu sync.Mutex
	// current is the maximum since start, previous that of the window before.
	start             time.Time
	current, previous time.Duration
}

func (m *recentMax) observe(now time.Time, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotateLocked(now)
	m.current = max(m.current, d)
}

// get returns the maximum; 0 if nothing was observed recently.
func (m *recentMax) get(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotateLocked(now)
	return max(m.current, m.previous)
}

func (m *recentMax) rotateLocked(now time.Time) {
	age := now.Sub(m.start)
	if age < recentMaxWindow {
		return
	}
	m.previous = m.current
	if age >= 2*recentMaxWindow {
		m.previous = 0
	}
	m.start, m.current = now, 0
}
