package routes

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a difference that is missing, reported twice or out of order. One route keeps
// its host and prefix and changes its target and timeout, one is removed, one is added, and a
// limit is lowered.
func TestDiffNamesWhatChanged(t *testing.T) {
	route := func(prefix, service string, timeout time.Duration) Route {
		return Route{Name: prefix, Host: "h", Prefix: prefix, Timeout: timeout, Targets: []WeightedService{{Service: service}}}
	}
	before := &Config{Routes: []Route{route("/a/", "archive", time.Second), route("/b/", "letters", time.Second)}}
	after := &Config{Limits: Limits{HeaderBytes: 1024}, Routes: []Route{route("/c/", "consent", time.Second), route("/a/", "letters", 2*time.Second)}}
	must.Eq(t, []Difference{
		{Route: "limits", Field: "header_bytes", Old: "0", New: "1024"},
		{Route: "h/a/", Field: "to", Old: "archive", New: "letters"},
		{Route: "h/a/", Field: "timeout", Old: "1s", New: "2s"},
		{Route: "h/b/", Old: "letters"},
		{Route: "h/c/", New: "consent"},
	}, Diff(before, after))
	must.SliceEmpty(t, Diff(before, before))
}
