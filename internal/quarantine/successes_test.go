package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a common request that is quarantined because it was running at the crashes of
// several upstreams, as when a rack fails, although it succeeded before.
func TestSucceededRequestIsNotSuspectedAfterCrashes(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxRecentSuccesses = 64
	const common, crasher = Fingerprint(1), Fingerprint(2)
	tracker := New(cfg)
	now := time.Unix(1000, 0)
	tracker.Started(now, common)
	tracker.Finished(now, common, true)
	for crash := range uint64(3) {
		for _, s := range tracker.Crashed(now, "u", crash+1, []Fingerprint{common, crasher}) {
			must.EqOp(t, crasher, s.Fingerprint)
		}
		now = now.Add(time.Second)
	}
	must.Nil(t, tracker.Admit(now, common))
	must.NotNil(t, tracker.Admit(now, crasher))
}

// Guards against a set of recent successes that grows without limit.
func TestRecentSuccessesAreBounded(t *testing.T) {
	var p recentSuccesses
	for f := range Fingerprint(1000) {
		p.add(f, 10)
	}
	must.LessEq(t, 10, len(p.current)+len(p.previous))
	must.True(t, p.has(999))
	must.False(t, p.has(1))
}
