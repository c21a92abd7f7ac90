// Package testclock runs what happens in virtual time, for tests that replay a load.
package testclock

import (
	"container/heap"
	"time"
)

// Clock is a virtual time and what is to happen in it. For use by one goroutine.
type Clock struct {
	start, now time.Time
	added      int
	events     events
}

// New returns a clock that stands at start.
func New(start time.Time) *Clock { return &Clock{start: start, now: start} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// Elapsed returns how long the clock has run.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(c.start) }

// After calls do once d has passed. What is due at the same time is called in the order
// in which it was asked for.
func (c *Clock) After(d time.Duration, do func()) {
	c.added++
	heap.Push(&c.events, event{c.now.Add(d), c.added, do})
}

// Run lets the time pass until the clock has run that long.
func (c *Clock) Run(until time.Duration) {
	end := c.start.Add(until)
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *events) Push(x any) { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
