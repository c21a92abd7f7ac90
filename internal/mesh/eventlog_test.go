package mesh

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// Guards against dropping the lines of starts, stops and a lost store under a flood of other
// lines.
func TestRareLinesAreNeverDropped(t *testing.T) {
	var out bytes.Buffer
	logger, err := metrics.NewLogger(&out, "vm-1", settings.Logging{Level: "info", Burst: 2, Sample: 1 << 20})
	must.NoError(t, err)
	m := &Mesh{logger: logger.Sample(nil), rateLimited: logger}
	records := &members{logger: m.rateLimited}
	for range 100 {
		records.logChange(&fleet.Member{Node: "vm-2"}, "store")
	}
	f := newFollower(&busyTopic{}, nil, nil, m.logger)
	f.noteLost(t.Context(), ErrExpired)
	f.noteRegained()
	must.Less(t, 10, strings.Count(out.String(), "member changed"))
	must.StrContains(t, out.String(), "store unreachable; the node keeps its last state of the topic")
	must.StrContains(t, out.String(), "store reachable again")
}
