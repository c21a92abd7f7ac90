package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An upstream that runs a query which many callers send alike, and one that
// nobody sent before, dies; two more do within seconds. The common query must
// go on, the new one must not: it is the only one that can have done it.
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
