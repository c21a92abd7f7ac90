// Package lifetime provides a context for single calls. It serves where context.WithDeadline,
// context.WithCancel and context.AfterFunc would be nested for each call: what has to end with it is
// kept in the context itself, and nothing is allocated for it.
package lifetime

import (
	"context"
	"sync"
	"time"
)

// Hook is told that a context ended.
type Hook interface {
	// ContextEnded is called at most once for each Attach, with no lock held. It must not block.
	ContextEnded(err error)
}

// usualHooks is the number of hooks for which a context allocates no memory.
const usualHooks = 1

// Context is a context.Context that ends with its parent, at its deadline or when it is cancelled,
// whichever is first. Start must be called before use and Cancel after it. It must not be copied.
type Context struct {
	parent   context.Context
	deadline time.Time

	mu         sync.Mutex
	timer      *time.Timer
	stopParent func() bool // nil if the parent is a Context or never ends
	err        error
	done       chan struct{} // created by the first Done
	hooks      []Hook
	room       [usualHooks]Hook // the initial array of hooks
}

var _ context.Context = (*Context)(nil)

// WithDeadline returns a started context.
func WithDeadline(parent context.Context, deadline time.Time) *Context {
	c := new(Context)
	c.Start(parent, deadline)
	return c
}

// Of returns ctx itself if it is a Context. Otherwise it returns a new one that ends with ctx, which
// the caller has to cancel.
func Of(ctx context.Context) (c *Context, isNew bool) {
	if c, ok := ctx.(*Context); ok {
		return c, false
	}
	return WithDeadline(ctx, time.Time{}), true
}

// Start starts a zero Context. A zero deadline means the parent's.
func (c *Context) Start(parent context.Context, deadline time.Time) {
	c.parent, c.deadline = parent, deadline
	c.hooks = c.room[:0]
	ofParent, bounded := parent.Deadline()
	if bounded && (deadline.IsZero() || ofParent.Before(deadline)) {
		c.deadline = ofParent
	}
	c.followParent()
	if deadline.IsZero() || !c.deadline.Equal(deadline) {
		return // the parent ends first
	}
	left := time.Until(deadline)
	if left <= 0 {
		c.expire()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.timer = time.AfterFunc(left, c.expire)
	}
}

func (c *Context) followParent() {
	if p, ok := c.parent.(*Context); ok {
		p.Attach(c)
		return
	}
	if c.parent.Done() == nil {
		return
	}
	stop := context.AfterFunc(c.parent, c.endWithParent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopParent = stop
}

func (c *Context) endWithParent() { c.end(c.parent.Err()) }

func (c *Context) expire() { c.end(context.DeadlineExceeded) }

// Cancel ends the context.
func (c *Context) Cancel() { c.end(context.Canceled) }

// ContextEnded implements Hook: a context ends with its parent.
func (c *Context) ContextEnded(err error) { c.end(err) }

func (c *Context) end(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	if c.done != nil {
		close(c.done)
	}
	hooks, timer, stopParent := c.hooks, c.timer, c.stopParent
	c.hooks = nil
	c.mu.Unlock()
	if timer != nil {
		timer.Stop()
	}
	if stopParent != nil {
		stopParent()
	}
	if p, ok := c.parent.(*Context); ok {
		p.Detach(c)
	}
	for _, h := range hooks {
		h.ContextEnded(err)
	}
}

// Attach makes the context tell h when it ends; at once if it has ended.
func (c *Context) Attach(h Hook) {
	c.mu.Lock()
	err := c.err
	if err == nil {
		c.hooks = append(c.hooks, h)
	}
	c.mu.Unlock()
	if err != nil {
		h.ContextEnded(err)
	}
}

// Detach undoes Attach. It returns false if h was told of the end, or is about to be.
func (c *Context) Detach(h Hook) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, attached := range c.hooks {
		if attached == h {
			last := len(c.hooks) - 1
			c.hooks[i], c.hooks[last] = c.hooks[last], nil
			c.hooks = c.hooks[:last]
			return true
		}
	}
	return false
}

// Deadline implements context.Context.
func (c *Context) Deadline() (deadline time.Time, ok bool) { return c.deadline, !c.deadline.IsZero() }

// Done implements context.Context.
func (c *Context) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.err != nil {
			close(c.done)
		}
	}
	return c.done
}

// Err implements context.Context.
func (c *Context) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Value implements context.Context.
func (c *Context) Value(key any) any { return c.parent.Value(key) }
