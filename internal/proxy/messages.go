package proxy

import (
	"sync"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
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
