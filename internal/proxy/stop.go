package proxy

import (
	"strconv"
	"time"

	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

// BeginStop makes the node refuse requests that would probably last beyond its stop, and bounds the time
// of those that it accepts.
func (p *Proxy) BeginStop(w node.StopWindow) { p.stopWindow.Store(&w) }

// admitWhileStopping decides on a request at a node that may be stopping. Calls of the local upstream are
// never refused: they belong to a call that was accepted.
func (p *Proxy) admitWhileStopping(ex exchange, call *node.Call) *result.Refusal {
	window := p.stopWindow.Load()
	if window == nil {
		return nil
	}
	window.Bound(call)
	if call.Ctx.Depth > 0 {
		return nil
	}
	return window.Admit(p.node.Now(), call.Ctx.Deadline, ex.usual)
}

// encodeFinishBy returns the time until the call has to finish in milliseconds.
func encodeFinishBy(call *node.Call, now time.Time) string {
	return strconv.FormatInt(max(0, call.FinishBy.Sub(now).Milliseconds()), 10)
}

// decodeFinishBy parses the text of encodeFinishBy. It returns zero for an empty or invalid text.
func decodeFinishBy(text string, now time.Time) time.Time {
	if text == "" {
		return time.Time{}
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}
