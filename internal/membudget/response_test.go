package membudget

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	kib = 1 << 10
	// patience is that of the bodies of these tests.
	patience = 100 * time.Millisecond
)

// Guards against good responses that get no memory as long as larger ones without end are read.
func TestLargestResponseYieldsToASmallerOne(t *testing.T) {
	b := New(1000*kib, 0)
	ended := make(chan int, 3)
	var large []*ResponseBody
	for i, bytes := range []int64{300 * kib, 350 * kib, 150 * kib} {
		r := b.NewResponseBody(func() { ended <- i })
		must.True(t, r.Grow(bytes, patience))
		large = append(large, r)
	}
	go func() {
		large[<-ended].Abort()
	}()
	small := b.NewResponseBody(func() { t.Error("the smaller one yielded") })
	must.True(t, small.Grow(160*kib, patience))
	must.True(t, small.Grow(170*kib, patience))
	must.True(t, large[1].Yielded())
	must.False(t, large[0].Yielded())
	must.EqOp(t, (300+150+170)*kib, b.Used())
}

// Guards against responses of similar sizes that end each other in turn, so that none is delivered.
func TestResponsesOfSimilarSizesDoNotYield(t *testing.T) {
	b := New(1000*kib, 0)
	first := b.NewResponseBody(func() { t.Error("the first one yielded") })
	must.True(t, first.Grow(500*kib, patience))
	second := b.NewResponseBody(func() {})
	must.True(t, second.Grow(250*kib, patience))
	must.False(t, second.Grow(260*kib, patience))
	second.Abort()
	must.EqOp(t, 500*kib, b.Used())
}
