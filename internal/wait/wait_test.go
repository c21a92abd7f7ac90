package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a wait that goes on after its context ended, and against a result
// that is the same whether the time passed or the context ended.
func TestForReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		must.True(t, For(ctx, 400*time.Millisecond))
		must.True(t, For(ctx, 0))
		must.False(t, For(ctx, time.Minute))
		must.EqOp(t, time.Second, time.Since(start))
		must.False(t, For(ctx, 0))
	})
}

// Guards against a wait that misses one of its three events: the signal, the time and the context.
func TestOrWokenReturnsAtFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		woken := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(woken) })
		begun := time.Now()
		OrWoken(t.Context(), woken, 300*time.Millisecond)
		must.EqOp(t, 300*time.Millisecond, time.Since(begun))
		OrWoken(t.Context(), woken, time.Minute)
		must.EqOp(t, time.Second, time.Since(begun))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		OrWoken(ctx, nil, time.Minute)
		must.EqOp(t, time.Second, time.Since(begun))
	})
}
