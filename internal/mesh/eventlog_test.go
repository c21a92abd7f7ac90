package mesh

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/records"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// Guards against dropping the lines of starts, stops and a lost store under a flood of other
// lines.
func TestRareLinesAreNeverDropped(t *testing.T) {
	var out bytes.Buffer
	logger, err := metrics.NewLogger(&out, "vm-1", settings.Logging{Level: "info", Burst: 2, Sample: 1 << 20})
	must.NoError(t, err)
	m := &Mesh{logger: logger.Sample(nil), rateLimited: logger}
	changed := &members{logger: m.rateLimited}
	for range 100 {
		changed.logChange(&fleet.Member{Node: "vm-2"}, "store")
	}
	ctx, stop := context.WithCancel(t.Context())
	topic := &lostOnceTopic{emptyTopic: "members", onRegained: stop}
	records.NewFollower(topic, nil, nil, m.logger).Run(ctx)
	must.Less(t, 10, strings.Count(out.String(), "member changed"))
	must.StrContains(t, out.String(), "store unreachable; the node keeps its last state of the topic")
	must.StrContains(t, out.String(), "store reachable again")
}

// lostOnceTopic is a topic whose first read fails.
type lostOnceTopic struct {
	emptyTopic
	failed     bool
	onRegained func()
}

// NewestPage implements Topic.
func (l *lostOnceTopic) NewestPage(ctx context.Context, after string) (records.Page, error) {
	if !l.failed {
		l.failed = true
		return records.Page{}, errors.New("refused")
	}
	return l.emptyTopic.NewestPage(ctx, after)
}

// Read implements Topic.
func (l *lostOnceTopic) Read(ctx context.Context, from int64, wait time.Duration) ([]records.Item, int64, error) {
	l.onRegained()
	return l.emptyTopic.Read(ctx, from, wait)
}
