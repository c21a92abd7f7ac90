package proxy

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/lifetime"
	"github.com/galenagrade/galenagrade/internal/node"
)

// Guards against cancelled requests that are kept beyond their deadline or without bound, or whose next run
// may make no calls.
func TestCancelledRunsAreForgotten(t *testing.T) {
	start := time.Now()
	runs, cancelled := newRuns(), 0
	run := func(now time.Time, id string, deadline time.Time, err error) {
		cancelled++
		call := &node.Call{}
		call.Ctx.CallID, call.Ctx.RequestID, call.Ctx.Deadline = strconv.Itoa(cancelled), id, deadline
		ctx := lifetime.WithDeadline(context.Background(), deadline)
		defer ctx.Cancel()
		runs.begin(ctx, call)
		must.False(t, runs.wasCancelled(now, id))
		must.EqOp(t, call.Ctx.CallID, runs.callOf(id))
		runs.end(now, call, err)
		must.EqOp(t, "", runs.callOf(id))
	}
	run(start, "a", start.Add(time.Second), context.Canceled)
	run(start, "b", start.Add(time.Hour), nil)
	must.True(t, runs.wasCancelled(start, "a"))
	must.False(t, runs.wasCancelled(start, "b"))
	must.False(t, runs.wasCancelled(start.Add(time.Second), "a"))
	run(start, "a", start.Add(time.Second), nil)
	must.False(t, runs.wasCancelled(start, "a"))
	for n := range 2 * maxCancelledRuns {
		run(start, "of many "+strconv.Itoa(n), start.Add(time.Hour), context.Canceled)
	}
	must.MapLen(t, maxCancelledRuns, runs.cancelled)
	must.SliceLen(t, maxCancelledRuns, runs.oldest)
	ctx, end := runs.bound(context.Background(), "ended")
	defer end()
	must.ErrorIs(t, ctx.Err(), context.Canceled)
}
