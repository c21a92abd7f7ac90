package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Guards against a route whose requests are not counted by outcome in the text form, and against
// metrics that remain after the route was deleted.
func TestRouteSeries(t *testing.T) {
	s := New(1)
	route := s.Series("route", "h/a/")
	must.True(t, route == s.Series("route", "h/a/"))
	for range 3 {
		route.CountReceived()
	}
	route.CountEnded(result.OK, 2*time.Millisecond)
	route.CountEnded(result.Shed, 0)
	route.CountEnded(result.Shed, 0)
	read := func() string {
		w := httptest.NewRecorder()
		s.TextHandler(func() { s.SetGauge(ConfigVersion, 7) }).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		must.EqOp(t, 200, w.Code)
		return w.Body.String()
	}
	text := read()
	for _, line := range []string{
		"config.version 7\n", "route.offered{h/a/} 3\n", "route.answered{h/a/} 1\n", "route.ended.shed{h/a/} 2\n", "route.latency_us.max{h/a/} 2000\n",
	} {
		must.StrContains(t, text, line)
	}
	s.DropSeries("route", "h/a/")
	must.StrNotContains(t, read(), "h/a/")
}

// BenchmarkSeries measures the cost per request of the metrics of its route.
func BenchmarkSeries(b *testing.B) {
	s := New(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			x := s.Series("route", "h/a/")
			x.CountReceived()
			x.CountEnded(result.OK, time.Millisecond)
		}
	})
}

// Guards against requests other than GET and HEAD to the text handler.
func TestTextHandlerRejectsPost(t *testing.T) {
	w := httptest.NewRecorder()
	New(1).TextHandler(func() {}).ServeHTTP(w, httptest.NewRequest("POST", "/metrics", strings.NewReader("")))
	must.EqOp(t, 405, w.Code)
}
