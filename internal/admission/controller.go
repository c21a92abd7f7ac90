package admission

import "time"

// Controller decides on the calls of one upstream. It is not safe for
// concurrent use.
type Controller struct {
	cfg Config
}

// New returns a controller with a full limit and an empty queue.
func New(cfg Config, now time.Time) *Controller { return &Controller{cfg: cfg} }

// Offer decides on a new call.
func (c *Controller) Offer(now time.Time, r Request) (Decision, []Decision) {
	return Decision{ID: r.ID, Verdict: Run}, nil
}

// Finish frees the slot of a running call.
func (c *Controller) Finish(now time.Time, id string, o Outcome, latency time.Duration) []Decision {
	return nil
}

// Abandon forgets a waiting call.
func (c *Controller) Abandon(now time.Time, id string) []Decision { return nil }

// Tick expires waits.
func (c *Controller) Tick(now time.Time) []Decision { return nil }

// Drain refuses all calls that do not run yet.
func (c *Controller) Drain(now time.Time) []Decision { return nil }

// Reconfigure puts cfg in force.
func (c *Controller) Reconfigure(now time.Time, cfg Config) []Decision { return nil }

// Load returns the present reading.
func (c *Controller) Load() Load { return Load{Limit: c.cfg.Slots, Threshold: nothingShed} }
