package records

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/fleet"
)

// Guards against two contents of one key: a write that is done late would bring back the first one, after
// the records that it lacks were deleted.
func TestKeyOfARecordHasOneContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key := func(m *fleet.Member) string { return fmt.Sprint(m.Revision) }
		own := fleet.Member{Node: "n", Incarnation: 2, Address: "a:1", Service: "s", State: fleet.Gone}
		p := NewPublisher(topicWithoutRecords{}, zerolog.Nop(), key, own, func(Item) {})
		contents, failing := map[string]string{}, true
		p.WriteItem = func(_ context.Context, w Write) error {
			if earlier, ok := contents[w.Key]; ok {
				must.EqOp(t, earlier, string(w.Value))
			}
			contents[w.Key] = string(w.Value)
			must.SliceNotContains(t, w.Replaces, w.Key)
			if failing {
				return errors.New("no response")
			}
			return nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx)
		p.Update(func(m *fleet.Member) { m.Slots = 1 })
		synctest.Wait()
		p.Prepare(func(m *fleet.Member) { m.Upstream = "u" })
		synctest.Wait()
		failing = false
		must.NoError(t, p.AwaitWritten(ctx, p.Newest().Revision))
		must.MapLen(t, 2, contents)
		cancel()
		synctest.Wait()
	})
}

// topicWithoutRecords is a Topic of which only the name is used.
type topicWithoutRecords struct{ Topic }

// Name implements Topic.
func (topicWithoutRecords) Name() string { return "members" }
