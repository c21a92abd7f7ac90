package admission

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/handback"
)

// handBackReserve is the least time that a call must have left, beyond its service time, to be handed
// back: it has to reach another upstream.
const handBackReserve = 20 * time.Millisecond

// Backlog returns the length of the queue and the expected wait of the last call in it. The wait
// follows from the service time or from the rate of recent starts, whichever is longer: the rate shows
// an upstream that has just become slow.
func (c *Controller) Backlog() handback.Backlog {
	b := handback.Backlog{Queued: c.queue.len(), ServiceTime: c.estimate.median}
	if b.Queued == 0 {
		return b
	}
	byServiceTime := c.estimate.median * time.Duration(b.Queued) / time.Duration(c.limiter.limit)
	b.Wait = max(byServiceTime, c.rate.wait(b.Queued))
	if c.startRate > 0 {
		starts := max(c.startRate, minStartRate)
		b.Wait = max(b.Wait, time.Duration(float64(b.Queued)/starts*float64(c.cfg.SojournInterval)))
	}
	return b
}

// HandBack removes up to limit waiting calls from the queue and returns their IDs, the last to start
// first. It takes those with MayBeHandedBack for which may returns true and that can still run
// elsewhere by their deadline. They do not count as refused.
func (c *Controller) HandBack(now time.Time, limit int, may func(id string) bool) []string {
	var ids []string
	for len(ids) < limit {
		w := c.lastToHandBack(now, may)
		if w == nil {
			break
		}
		ids = append(ids, w.request.ID)
		c.queue.remove(w)
		c.release(w)
	}
	c.leastQueued = min(c.leastQueued, c.queue.len())
	return ids
}

// lastToHandBack returns the call that would start last of those that may be handed back, or nil.
func (c *Controller) lastToHandBack(now time.Time, may func(id string) bool) *call {
	var last *call
	for _, w := range c.queue.expiry.items {
		r := &w.request
		if !r.MayBeHandedBack || w.probe || last != nil && !c.queue.before(last, w) {
			continue
		}
		tooLate := !r.Deadline.IsZero() && r.Deadline.Sub(now) < c.serviceTime(r.Level)+handBackReserve
		if !tooLate && may(r.ID) {
			last = w
		}
	}
	return last
}
