package records

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// Guards against an append for each node when the nodes of a zone start at the same time, and against
// an append that exceeds the size of one call.
func TestRecordsAreWrittenInGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const records = maxGroupItems + 40
		var mu sync.Mutex
		var sizes []int
		w := &GroupWriter{ctx: t.Context(), put: func(_ context.Context, items []Item) error {
			mu.Lock()
			defer mu.Unlock()
			sizes = append(sizes, len(items))
			return nil
		}}
		var writes sync.WaitGroup
		for i := range records {
			writes.Go(func() { must.NoError(t, w.Write(t.Context(), Write{Item: Item{Key: fmt.Sprint(i)}})) })
		}
		writes.Wait()
		must.SliceContainsAll(t, []int{maxGroupItems, records - maxGroupItems}, sizes)
		must.NoError(t, w.Write(t.Context(), Write{Item: Item{Key: "later"}}))
		must.Len(t, 3, sizes)
	})
}

// Guards against a record that counts as written although the store refused it.
func TestFailedGroupReportsTheError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &GroupWriter{ctx: t.Context(), put: func(context.Context, []Item) error { return errors.New("refused") }}
		must.Error(t, w.Write(t.Context(), Write{Item: Item{Key: "a"}}))
		ctx, cancel := context.WithTimeout(t.Context(), GroupDelay/2)
		defer cancel()
		must.ErrorIs(t, w.Write(ctx, Write{Item: Item{Key: "b"}}), context.DeadlineExceeded)
		time.Sleep(GroupDelay)
	})
}
