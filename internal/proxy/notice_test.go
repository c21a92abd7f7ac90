package proxy

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/routing"
)

// Guards against a notice that is lost or changed between nodes, whatever the ID of the process.
func TestNoticeSurvivesTheHop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := routing.ProcessNotice{Process: routing.Process{
			ID:        rapid.StringN(1, 40, -1).Draw(t, "id"),
			StartedAt: rapid.Int64().Draw(t, "startedAt"),
		}}
		n.Leaving = rapid.Bool().Draw(t, "leaving")
		if n.RateLimited = rapid.Bool().Draw(t, "limited"); n.RateLimited {
			n.RateLimit = rapid.Float64Range(0, routing.MaxRateLimit).Draw(t, "limit")
		}
		got := decodeNotice(encodeNotice(&n))
		if got == nil || *got != n {
			t.Fatalf("%+v became %+v", n, got)
		}
	})
}

// FuzzDecodeNotice guards against a header of another node that stops the process or sets an invalid
// limit.
func FuzzDecodeNotice(f *testing.F) {
	for _, seed := range []string{"", "i-1 0 - false", "i-1 17 12.5 true", "i%20 1 NaN true", " 1 2 true", "i 1 -1 false"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if n := decodeNotice(text); n != nil {
			must.True(t, n.ID != "" && n.RateLimit >= 0 && n.RateLimit <= routing.MaxRateLimit)
		}
	})
}
