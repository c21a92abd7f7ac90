package node

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/routing"
)

// startsWithin offers calls, each of which ends at once with a notice, for a time and returns how many
// of them run.
func startsWithin(g *Guard, runner *fakeRunner, now time.Time, d time.Duration, notice routing.UpstreamNotice) int {
	before := len(runner.runs)
	for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
		call := newCall(strconv.FormatInt(now.UnixNano(), 10), now.Add(time.Minute))
		g.Arrive(now, call, func(*Response) {})
		for _, run := range runner.runs[before:] {
			response := completeResponseOf(run, "")
			response.Notice = &notice
			g.Finish(now, run.Ctx.CallID, response)
		}
	}
	return len(runner.runs) - before
}

// Guards against a rate limit that is forgotten when an upstream that was considered dead reports
// again: the process has not ended, and still names the limit.
func TestRateLimitOutlivesAnUpstreamConsideredDead(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(100, runner, &fakeAuthority{})
	limit := routing.UpstreamNotice{RateLimited: true, RateLimit: 1}
	startsWithin(g, runner, epoch, time.Second, limit)
	now := epoch.Add(time.Second)
	g.UpstreamDown(now, "vm")
	g.UpstreamResumed(now, limits(100))
	must.Eq(t, limit, g.Notice())
	must.LessEq(t, 2, startsWithin(g, runner, now, time.Second, limit))
}

// Guards against a notice of an upstream's process that is applied to the next one.
func TestNoticeOfThePreviousProcessIsIgnored(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(100, runner, &fakeAuthority{})
	g.Arrive(epoch, newCall("old", epoch.Add(time.Minute)), func(*Response) {})
	g.UpstreamReplaced(epoch.Add(time.Second), routing.Process{ID: "next"}, limits(100))
	response := completeResponseOf(runner.runs[0], "")
	response.Notice = &routing.UpstreamNotice{Leaving: true}
	g.Finish(epoch.Add(2*time.Second), "old", response)
	must.False(t, g.Draining())
}
