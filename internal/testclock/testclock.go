// Package testclock provides a virtual clock that runs scheduled functions, for tests that replay
// a load without waiting in real time.
package testclock

import (
	"container/heap"
	"time"
)

// Clock holds a virtual time and the functions scheduled on it. It is not safe for concurrent use.
type Clock struct {
	start, now time.Time
	scheduled  int
	events     eventHeap
}

// New returns a clock whose current time is start.
func New(start time.Time) *Clock { return &Clock{start: start, now: start} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// Elapsed returns the virtual time since start.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(c.start) }

// After schedules do to be called by Run once d has passed. Functions that are due at the same time
// are called in the order of their After calls.
func (c *Clock) After(d time.Duration, do func()) {
	c.scheduled++
	heap.Push(&c.events, event{c.now.Add(d), c.scheduled, do})
}

// Run calls the functions that are due before until, measured from the start of the clock, and then
// sets the elapsed time to until. A function that is due exactly at until is not called.
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
	at       time.Time
	sequence int
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
