package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a common request refused because it ran beside crashing ones.
func TestCommonRequestOutlivesARackOfCrashes(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Proven = 64
	const common, deadly = Fingerprint(1), Fingerprint(2)
	tracker := New(cfg)
	now := time.Unix(1000, 0)
	tracker.Started(now, common)
	tracker.Finished(now, common, true)
	for crash := range uint64(3) {
		for _, s := range tracker.Crashed(now, "u", crash+1, []Fingerprint{common, deadly}) {
			must.EqOp(t, deadly, s.Fingerprint)
		}
		now = now.Add(time.Second)
	}
	must.Nil(t, tracker.Admit(now, common))
	must.NotNil(t, tracker.Admit(now, deadly))
}

func TestProvenIsBounded(t *testing.T) {
	var p proven
	for f := range Fingerprint(1000) {
		p.add(f, 10)
	}
	must.LessEq(t, 10, len(p.young)+len(p.old))
	must.True(t, p.has(999))
	must.False(t, p.has(1))
}
