package proxy

import (
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/h1"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/node"
)

// A message of the inner protocol lives for one encoding or decoding, and what is decoded from it is
// copied. The function that takes one from its pool releases it before it returns.

var callHeaders = sync.Pool{New: func() any { return new(innerpb.CallHeader) }}

func newCallHeader() *innerpb.CallHeader { return callHeaders.Get().(*innerpb.CallHeader) }

func releaseCallHeader(h *innerpb.CallHeader) {
	h.Reset()
	callHeaders.Put(h)
}

// answer is the header of a response with its load report.
type answer struct {
	header innerpb.AnswerHeader
	load   innerpb.Load
}

var answers = sync.Pool{New: func() any { return new(answer) }}

func newAnswer() *answer { return answers.Get().(*answer) }

func (a *answer) release() {
	a.header.Reset()
	a.load.Reset()
	answers.Put(a)
}

// outgoingRequest is a request to a guard or an upstream with its own fields. h1.Pool.Do uses neither
// after it returned.
type outgoingRequest struct {
	request h1.Request
	fields  [maxInnerFields]h1.Field
	// guard is the local one if the request is a call that it runs, and callID its ID.
	guard  *node.Guard
	callID string
	// isWanted is stillWanted as a value, so that no request allocates one.
	isWanted func() bool
}

var outgoingRequests = sync.Pool{New: func() any {
	o := new(outgoingRequest)
	o.isWanted = o.stillWanted
	return o
}}

// stillWanted reports whether a caller waits for the call at the local guard.
func (o *outgoingRequest) stillWanted() bool { return o.guard.StillWanted(o.callID) }

func (o *outgoingRequest) release() {
	*o = outgoingRequest{isWanted: o.isWanted}
	outgoingRequests.Put(o)
}

// responseWaiter waits for the response of one call at the local guard. It returns to its pool only
// after it received a response: the guard, which delivers one at most, has dropped it then.
type responseWaiter struct {
	responses chan *node.Response
	deliver   node.Waiter
	// timer fires at the call's deadline; stopped in the pool.
	timer *time.Timer
}

var responseWaiters = sync.Pool{New: func() any {
	responses := make(chan *node.Response, 1)
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &responseWaiter{responses: responses, deliver: func(resp *node.Response) { responses <- resp }, timer: timer}
}}
