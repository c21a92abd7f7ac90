package mesh

import (
	"io"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// BenchmarkLogEvent measures what the log line of one event adds to its call, with the
// asynchronous writer: for a written line, and for one dropped by the limit of lines per second,
// as nearly all events are under load.
func BenchmarkLogEvent(b *testing.B) {
	event := &timeline.Event{
		Kind: timeline.CallRefused, CallID: "0196d2f06f4e7c529f0b6d7f6f0a1c11", RequestID: "7c0d8d9cbd4c3aa1", Service: "archive",
		Upstream: "vm-12", Code: result.Shed, Detail: "rank of this normal caller is at or above the shed threshold 0x8a00, 122 of 122 slots in use",
	}
	for name, burst := range map[string]int{"written": 1 << 30, "bounded": 1} {
		b.Run(name, func(b *testing.B) {
			out := metrics.NewAsyncWriter(io.Discard)
			defer out.Close(0)
			logger, err := metrics.NewLogger(out, "vm-1", settings.Logging{Level: "info", Burst: burst, Sample: 100})
			must.NoError(b, err)
			m := &Mesh{logger: logger.Sample(nil), rateLimited: logger, routes: &routeKeeper{}}
			m.failureTrees.Budget = burst
			b.ReportAllocs()
			for b.Loop() {
				m.logEvent(event)
			}
		})
	}
	b.Run("off", func(b *testing.B) {
		m := &Mesh{rateLimited: zerolog.Nop(), routes: &routeKeeper{}}
		for b.Loop() {
			m.logEvent(event)
		}
	})
}
