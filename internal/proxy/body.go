package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/membudget"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

const (
	// callerPatience and guardPatience are the shares of a call's remaining time for which its body waits
	// for memory. A guard waits shorter, since the sender holds the body meanwhile.
	callerPatience, guardPatience = 1. / 3, 1. / 4
	// memoryRetryAfter is the retry delay of a request for whose body there was no memory.
	memoryRetryAfter = time.Second
	// A body of unknown length grows from firstCapacity by capacityGrowth to mediumCapacity, in bytes, which
	// most fit into. Beyond it takes all that its limit allows: with steps in between, several
	// bodies could hold the memory that each of them waits for.
	firstCapacity, capacityGrowth, mediumCapacity = 4 << 10, 16, 1 << 20
	// keptShare is the part of its capacity that a body must use to keep it. Others are copied.
	keptShare = 0.5
	// unreadTimeout bounds the time for discarding the body of a refused request. A caller that still
	// writes it would otherwise get a reset connection in place of the refusal.
	unreadTimeout = time.Second
	// serverDiscardBytes is the size in bytes up to which net/http itself discards a body.
	serverDiscardBytes = 256 << 10
)

// errNoMemory is returned for a body for which there is no memory.
var errNoMemory = errors.New("no memory for the body")

// SetBodyBudget bounds the memory of request bodies. It must be called before serving.
func (p *Proxy) SetBodyBudget(b *membudget.Budget) { p.bodies = b }

// bodyMemory is what the body of one request takes of a budget. nil takes nothing.
type bodyMemory struct {
	budget *membudget.Budget
	// small is the number of bytes of a small body.
	small int64
	large bool
}

// release gives the memory of a small body back. That of a large one comes back when it is freed.
func (m *bodyMemory) release() {
	if m == nil {
		return
	}
	m.budget.Release(m.small)
	m.small = 0
	if m.large {
		m.budget.Ended()
	}
}

// bodyReader reads request bodies into the memory of a budget.
type bodyReader struct {
	ctx    context.Context
	memory *bodyMemory
	// patience bounds the wait for memory.
	patience time.Duration
}

// read reads a body of at most limit bytes. length is its Content-Length; negative if unknown.
func (b bodyReader) read(src io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return b.readGrowing(src, limit)
	}
	body, ok := b.allocate(0, length, b.patience)
	if !ok {
		return nil, errNoMemory
	}
	_, err := io.ReadFull(src, body)
	return body, err
}

// readGrowing reads a body of unknown length.
func (b bodyReader) readGrowing(src io.Reader, limit int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, ok := b.grow(body, limit+1)
			if !ok {
				return nil, errNoMemory
			}
			body = grown
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return b.trim(body), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of a body with more capacity, up to most bytes.
func (b bodyReader) grow(body []byte, most int64) ([]byte, bool) {
	held := int64(cap(body))
	next := most
	if held < mediumCapacity {
		next = min(max(capacityGrowth*held, firstCapacity), mediumCapacity, most)
	}
	return b.move(body, next, b.patience)
}

// trim returns a body of much capacity in memory of its own size, if there is any.
func (b bodyReader) trim(body []byte) []byte {
	if cap(body) <= mediumCapacity || float64(len(body)) >= keptShare*float64(cap(body)) {
		return body
	}
	trimmed, ok := b.move(body, int64(len(body)), 0)
	if !ok {
		return body
	}
	return trimmed
}

// move returns a copy of a body in memory of n bytes.
func (b bodyReader) move(body []byte, n int64, patience time.Duration) ([]byte, bool) {
	held := int64(cap(body))
	moved, ok := b.allocate(held, n, patience)
	if !ok {
		return nil, false
	}
	if held <= membudget.SmallBody {
		b.memory.budget.Release(held)
		b.memory.small -= held
	}
	return append(moved[:0], body...), true
}

// allocate returns n bytes for a body that holds some already.
func (b bodyReader) allocate(held, n int64, patience time.Duration) ([]byte, bool) {
	budget := b.memory.budget
	if !budget.TakeForRequest(b.ctx, held, n, patience) {
		return nil, false
	}
	body := make([]byte, n)
	if n <= membudget.SmallBody {
		b.memory.small += n
		return body, true
	}
	b.memory.large = true
	budget.ReleaseWhenFreed(body, n)
	return body, true
}

// readCallerBody reads the body of a caller's request. The memory has to be released, also after a
// refusal. A body that arrives slowly holds it until the deadline of the call at most.
func (p *Proxy) readCallerBody(ex exchange, call *node.Call) ([]byte, *bodyMemory, *result.Refusal) {
	length, limit := ex.r.ContentLength, p.maxBody(call)
	if length > limit {
		return nil, nil, result.Refuse(result.BodyTooLarge, "body has %d bytes, limit is %d", length, limit)
	}
	if length == 0 {
		return nil, nil, nil
	}
	memory := &bodyMemory{budget: p.bodies}
	defer boundReading(ex.w, ex.r, call)()
	reader := bodyReader{ex.r.Context(), memory, patienceOf(call, p.node.Now(), callerPatience)}
	body, err := reader.read(http.MaxBytesReader(ex.w, ex.r.Body, limit), length, limit)
	return body, memory, bodyRefusal(err, limit)
}

// boundReading bounds the time for a body that is or may be large by the deadline of its call, and by the
// departure of its caller, which may have to be noticed before the body is read. The returned function ends
// that.
func boundReading(w http.ResponseWriter, r *http.Request, call *node.Call) (end func()) {
	if length := r.ContentLength; length >= 0 && length <= membudget.SmallBody {
		return func() {}
	}
	server := http.NewResponseController(w)
	_ = server.SetReadDeadline(call.Ctx.Deadline)
	stopWatch := conns.WatchUnread(r.Context())
	return func() {
		stopWatch()
		_ = server.SetReadDeadline(time.Time{})
	}
}

func patienceOf(call *node.Call, now time.Time, share float64) time.Duration {
	return time.Duration(share * float64(call.Remaining(now)))
}

// bodyRefusal returns the refusal for a body that could not be read; nil if err is nil.
func bodyRefusal(err error, limit int64) *result.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return result.Refuse(result.BodyTooLarge, "body exceeds the limit of %d bytes", limit)
	case errors.Is(err, errNoMemory):
		return result.Refuse(result.Shed, "node has no memory for the request body").WithRetryAfter(memoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.Refuse(result.DeadlineTooNear, "the deadline passed before the request body had arrived")
	}
	return result.Refuse(result.BadContext, "request body ended early: %v", err)
}

// refuseUnread refuses a request whose body was not read. It discards the body for a while, so that a
// caller that still writes it reads the refusal.
func (p *Proxy) refuseUnread(ex exchange, call *node.Call, refusal *result.Refusal) {
	if length := ex.r.ContentLength; length >= 0 && length <= serverDiscardBytes {
		ex.writer.writeRefusal(ex.w, call, refusal)
		return
	}
	server := http.NewResponseController(ex.w)
	_ = server.EnableFullDuplex()
	ex.w.Header().Set("Connection", "close")
	ex.writer.writeRefusal(ex.w, call, refusal)
	_ = server.Flush()
	_ = server.SetReadDeadline(time.Now().Add(unreadTimeout))
	_, _ = io.Copy(io.Discard, ex.r.Body)
}

// readGuardBody reads the body of a call of another node. The memory has to be released, also after a
// refusal.
func (p *Proxy) readGuardBody(w http.ResponseWriter, r *http.Request, call *node.Call) ([]byte, *bodyMemory, *result.Refusal) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	memory := &bodyMemory{budget: p.bodies}
	defer boundReading(w, r, call)()
	reader := bodyReader{r.Context(), memory, patienceOf(call, p.node.Now(), guardPatience)}
	body, err := reader.read(io.LimitReader(r.Body, maxResponseBody), r.ContentLength, maxResponseBody)
	refusal := bodyRefusal(err, maxResponseBody)
	if errors.Is(err, errNoMemory) && call.Reattach {
		// The first transmission of the call may be running here.
		refusal = result.Refuse(result.LostAnswer, "node has no memory for the second transmission of the call")
	}
	return body, memory, refusal
}
