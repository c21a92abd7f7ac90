package membudget

import (
	"context"
	"time"
)

// yieldFactor is how many times as much as another body will hold a body must hold to yield to it. Two that
// yield to each other in turn would both never end.
const yieldFactor = 2

// ResponseBody is the memory of the body of a response while it is read. Of a nil Budget it has no bound.
// Its methods must not be called concurrently.
//
// Load pattern: responses without end, which take what memory there is, beside good ones of usual sizes.
type ResponseBody struct {
	budget *Budget
	// held is the number of bytes that the body takes. onYield ends its reading once it yielded.
	held    int64
	onYield func()
	yielded bool
}

// NewResponseBody returns the memory of a body that holds nothing yet. onYield is called in a goroutine of its
// own if the body has to end, since a smaller one needs its memory.
func (b *Budget) NewResponseBody(onYield func()) *ResponseBody {
	return &ResponseBody{budget: b, onYield: onYield}
}

// Grow takes memory so that the body holds the given number of bytes, more than before. It waits for room, for
// patience at most, and returns false if there is none.
//
// A body may hold as much as is left afterwards: one alone gets half of the budget, two a third each. If
// there is no room after half of the patience, which is enough to collect garbage, the largest body yields
// if it holds yieldFactor times as many bytes. So a body of s bytes gets its memory beside k others that are
// read if the budget has (yieldFactor*k+1)*s bytes.
func (r *ResponseBody) Grow(bytes int64, patience time.Duration) bool {
	b := r.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responses[r] = struct{}{}
	if !b.fitsLocked(bytes) {
		b.awaitLocked(context.Background(), patience/2, func() bool { return r.settledLocked(bytes) })
	}
	if !r.settledLocked(bytes) && b.yieldLargestLocked(yieldFactor*bytes) {
		b.awaitLocked(context.Background(), patience/2, func() bool { return r.settledLocked(bytes) })
	}
	if r.yielded || !b.fitsLocked(bytes) {
		return false
	}
	b.used += bytes - r.held
	r.held = bytes
	return true
}

// fitsLocked reports whether a body may hold the given number of bytes now.
func (b *Budget) fitsLocked(bytes int64) bool { return bytes <= b.total-b.used }

// settledLocked reports whether there is nothing to wait for: the body may hold the given number of bytes, or
// never will.
func (r *ResponseBody) settledLocked(bytes int64) bool {
	return r.yielded || r.budget.fitsLocked(bytes) || r.held+bytes > r.budget.total
}

// yieldLargestLocked ends the reading of the largest body if it holds the given number of bytes. It returns
// whether there is one.
func (b *Budget) yieldLargestLocked(least int64) bool {
	var largest *ResponseBody
	for r := range b.responses {
		if r.held >= least && (largest == nil || r.held > largest.held) {
			largest = r
		}
	}
	if largest == nil {
		return false
	}
	if !largest.yielded {
		largest.yielded = true
		go largest.onYield()
		b.notifyLocked()
	}
	return true
}

// Yielded reports whether the reading of the body was ended for a smaller one. It doesn't change after Complete
// or Abort.
func (r *ResponseBody) Yielded() bool {
	if r.budget == nil {
		return false
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.yielded
}

// Complete ends the reading. The memory comes back when that of body is freed.
func (r *ResponseBody) Complete(body []byte) {
	if r.end() {
		r.budget.ReleaseWhenFreed(body, r.held)
	}
}

// Abort ends the reading and gives the memory back.
func (r *ResponseBody) Abort() {
	if r.end() {
		r.budget.Release(r.held)
	}
}

// end returns whether the body held memory.
func (r *ResponseBody) end() bool {
	if r.budget == nil {
		return false
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.responses, r)
	return r.held > 0
}
