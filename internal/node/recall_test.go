package node

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/dedup"
	"github.com/galenagrade/galenagrade/internal/result"
)

// numberedCall returns a call that is not idempotent with a number of its sender.
func numberedCall(id string, number uint64) *Call {
	call := newCall(id, epoch.Add(time.Hour))
	call.Origin = dedup.Origin{Sender: dedup.Sender{Node: "sender", Incarnation: 1}, Number: number}
	return call
}

func reattachmentOf(call *Call) *Call {
	again := *call
	again.Reattach = true
	return &again
}

// Guards against a call that runs a second time by a re-attachment that arrives after the guard forgot
// the call, for example because its sender was paused.
func TestReattachmentOfAForgottenCallDoesNotRun(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second, 9 * time.Second, 11 * time.Second, time.Minute} {
		runner := &fakeRunner{}
		g := newGuard(2, runner, &fakeAuthority{})
		call := numberedCall("upload", 1)
		g.Arrive(epoch, call, func(*Response) {})
		g.Finish(epoch, "upload", completeResponseOf(call, "stored"))
		g.Tick(epoch.Add(delay))
		_, response := g.Arrive(epoch.Add(delay), reattachmentOf(call), func(*Response) {})
		must.Len(t, 1, runner.runs)
		must.NotNil(t, response)
		must.True(t, response.Complete() || response.Code.Ran() == result.RanUnknown)
	}
}

// Guards against a call that runs a second time by its first transmission, which arrives after the
// guard forgot that the second one ran or was refused as not run.
func TestLateFirstTransmissionDoesNotRun(t *testing.T) {
	for _, refused := range []bool{false, true} {
		for _, between := range []int{0, 2 * maxAwaitedFirsts} {
			runner := &fakeRunner{}
			g := newGuard(2, runner, &fakeAuthority{})
			late := numberedCall("upload", 1)
			if refused {
				g.UpstreamDown(epoch, "n")
			}
			g.Arrive(epoch, reattachmentOf(late), func(*Response) {})
			g.Finish(epoch, "upload", completeResponseOf(late, "stored"))
			g.UpstreamUp(epoch, limits(2))
			ranBefore := len(runner.runs)
			for i := range between {
				id := "other-" + strconv.Itoa(i)
				other := numberedCall(id, uint64(2+i))
				g.Arrive(epoch, reattachmentOf(other), func(*Response) {})
				g.Finish(epoch, id, completeResponseOf(other, "stored"))
			}
			g.Tick(epoch.Add(time.Minute))
			_, response := g.Arrive(epoch.Add(time.Minute), late, func(*Response) {})
			must.NotNil(t, response)
			must.Len(t, ranBefore+between, runner.runs)
			must.True(t, len(g.calls) <= maxAwaitedFirsts)
		}
	}
}

// Guards against calls that are refused as duplicates though they were never here: a re-attachment
// whose first transmission was lost, and a first one that later calls of its sender overtook.
func TestNewCallsRunBesideForgottenOnes(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(4, runner, &fakeAuthority{})
	for i := range uint64(3) {
		id := strconv.Itoa(int(i))
		call := numberedCall(id, 1+2*i)
		g.Arrive(epoch, call, func(*Response) {})
		g.Finish(epoch, id, completeResponseOf(call, "stored"))
	}
	later := epoch.Add(time.Minute)
	g.Tick(later)
	_, overtaken := g.Arrive(later, numberedCall("overtaken", 2), func(*Response) {})
	must.Nil(t, overtaken)
	_, lost := g.Arrive(later, reattachmentOf(numberedCall("lost", 6)), func(*Response) {})
	must.Nil(t, lost)
	idempotent := reattachmentOf(numberedCall("idempotent", 0))
	idempotent.Ctx.Idempotent = true
	_, repeated := g.Arrive(later, idempotent, func(*Response) {})
	must.Nil(t, repeated)
	must.Len(t, 6, runner.runs)
}
