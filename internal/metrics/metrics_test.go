package metrics

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/settings"
)

func get(t *testing.T, s *Set, target string) map[string]map[string]float64 {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", target, nil))
	must.Eq(t, 200, w.Code)
	must.Eq(t, "application/json", w.Header().Get("Content-Type"))
	var got map[string]map[string]float64
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	return got
}

// Guards against metrics that are missing in the JSON document or appear under another name.
func TestHandlerServesAllMetrics(t *testing.T) {
	s := New(1)
	s.Inc(CallsReceived, 3)
	s.SetGauge(ConfigVersion, 12)
	s.Result(result.Shed)
	s.Result(result.Code(2999))
	s.Observe(CallTime, 1500*time.Microsecond)
	s.WatchBound(BoundQueue, 100, func() int64 { return 1 })
	s.WatchBound(BoundQueue, 1024, func() int64 { return 7 })
	s.CountRejected(BoundQueue, 2)
	got := get(t, s, "/metrics")
	must.Eq(t, 3, got["calls.received"]["count"])
	must.Eq(t, 12, got["config.version"]["value"])
	must.Eq(t, 1, got["results.shed"]["count"])
	must.Eq(t, 1, got["results.undeclared"]["count"])
	must.Eq(t, 1500, got["calls.total_us"]["99%"])
	must.Eq(t, 7, got["admission.queue.size"]["value"])
	must.Eq(t, 1024, got["admission.queue.limit"]["value"])
	must.Eq(t, 2, got["admission.queue.turned_away"]["count"])
	must.Positive(t, got["process.memory_bytes"]["value"])
	must.MapLen(t, len(result.Codes())+1, get(t, s, "/metrics?prefix=results."))
}

// Guards against a metric that is missing in its table of names, which would have an empty name, and
// against a duplicate name, which would silently replace the other metric in the registry.
func TestNamesAreNonEmptyAndUnique(t *testing.T) {
	seen := map[string]bool{}
	check := func(name string) {
		must.NotEq(t, "", name)
		must.False(t, seen[name], must.Sprint(name))
		seen[name] = true
	}
	for c := range numCounters {
		check(c.String())
	}
	for g := range numGauges {
		check(g.String())
	}
	for b := range numBounds {
		check(b.String())
	}
	for m := range numTimers {
		check(m.String())
	}
}

// Guards against UnwatchedBounds missing a bound, which would hide a queue without exported size.
func TestUnwatchedBoundsAreNamed(t *testing.T) {
	s := New(1)
	must.Len(t, int(numBounds), s.UnwatchedBounds())
	s.WatchBound(BoundTimeline, 1, func() int64 { return 0 })
	must.SliceNotContains(t, s.UnwatchedBounds(), "timeline.events")
}

// Guards against sampling of rarely updated timers, and against recording every value on the request
// path.
func TestTimersOffRequestPathAreNotSampled(t *testing.T) {
	s := New(1 << 30)
	for range 50 {
		s.Observe(CallTime, time.Millisecond)
		s.Observe(LogAppendTime, time.Millisecond)
	}
	must.Eq(t, 50, get(t, s, "/metrics")["log.append_us"]["count"])
	must.Less(t, 50, get(t, s, "/metrics")["calls.total_us"]["count"])
}

// Guards against requests other than GET and HEAD to the JSON handler.
func TestHandlerRejectsPost(t *testing.T) {
	w := httptest.NewRecorder()
	New(1).Handler().ServeHTTP(w, httptest.NewRequest("POST", "/metrics", nil))
	must.Eq(t, 405, w.Code)
}

// Guards against warnings that suppress an error: while a peer is down, a thousand calls log a
// warning in one second. The warnings are sampled, but an error in the same second must be written.
func TestLoggerSamplesLevelsIndependently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var buf bytes.Buffer
		log, err := NewLogger(&buf, "kurume-1", settings.Logging{Level: "info", Burst: 10, Sample: 100})
		must.NoError(t, err)
		for range 1010 {
			log.Warn().Msg("peer unreachable")
			log.Debug().Msg("below the level")
		}
		log.Error().Msg("fold failed")
		lines := strings.Split(strings.TrimSpace(buf.String()), "\n")
		must.Len(t, 10+10+1, lines)
		var last map[string]any
		must.NoError(t, json.Unmarshal([]byte(lines[20]), &last))
		must.Eq(t, "kurume-1", last["node"].(string))
		must.Eq(t, "error", last["level"].(string))
		must.StrHasSuffix(t, "Z", last["time"].(string))
	})
	_, err := NewLogger(&bytes.Buffer{}, "n", settings.Logging{Level: "loud"})
	must.ErrorContains(t, err, "logging.level")
}

func BenchmarkHotPath(b *testing.B) {
	s := New(16)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Inc(CallsReceived, 1)
			s.Result(result.OK)
			s.Observe(CallTime, time.Millisecond)
		}
	})
}
