package metrics

import (
	"os"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
)

var (
	boundRow   = regexp.MustCompile("(?m)^\\| ((?:`[a-z_.]+`(?:, )?)+) \\| [^`|]* \\|$")
	quotedName = regexp.MustCompile("`([a-z]+\\.[a-z_]+)`")
)

// Guards against an operations page that names metrics that don't exist, or lacks a bound.
// Operators define alerts by that page.
func TestDocumentedMetricsExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/metrics-and-logs.md")
	must.NoError(t, err)
	documented := map[string]bool{}
	for _, row := range boundRow.FindAllStringSubmatch(string(page), -1) {
		for _, m := range quotedName.FindAllStringSubmatch(row[1], -1) {
			documented[m[1]] = true
		}
	}
	s := New(1)
	for b := range numBounds {
		must.True(t, documented[b.String()], must.Sprintf("%s isn't documented", b))
		s.WatchBound(b, 1, func() int64 { return 0 })
	}
	must.MapLen(t, int(numBounds), documented)
	for _, m := range quotedName.FindAllStringSubmatch(string(page), -1) {
		if m[1] == "logging.burst" || m[1] == "logging.sample" || documented[m[1]] {
			continue
		}
		must.NotNil(t, s.registry.Get(m[1]), must.Sprintf("%s doesn't exist", m[1]))
	}
}
