// Package quarantine keeps a request that crashes upstreams from crashing more
// than two.
package quarantine

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

const maxRecords = 8

// Fingerprint names a request by service, method, path and body hash.
type Fingerprint uint64

// Suspect is one record of suspicion: a fingerprint ran when that incarnation
// of an upstream died. Records are merged by (fingerprint, upstream,
// incarnation).
type Suspect struct {
	Fingerprint Fingerprint
	Upstream    string
	Incarnation uint64
	At          time.Time
	// Cleared says that the fingerprint succeeded alone afterwards.
	Cleared bool
	// Alone says that no other suspect ran there at the crash.
	Alone bool
}

// Tracker keeps the records of one node. It is not safe for concurrent use.
type Tracker struct{ cfg Config }

// New returns an empty tracker.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// Crashed records that the local upstream died running these, and returns the
// records to spread.
func (t *Tracker) Crashed(now time.Time, upstream string, incarnation uint64, running []Fingerprint) []Suspect {
	return nil
}

// Witnessed records at an entry node that a call was lost with its upstream.
func (t *Tracker) Witnessed(now time.Time, f Fingerprint, upstream string, incarnation uint64) Suspect {
	return Suspect{}
}

// Marks returns the records of f that a retry has to carry to the next guard,
// which merges them before Admit.
func (t *Tracker) Marks(now time.Time, f Fingerprint) []Suspect { return nil }

// Merge takes in a record of a peer and reports whether it was news.
func (t *Tracker) Merge(now time.Time, s Suspect) bool { return false }

// Admit returns nil when f may run here now.
func (t *Tracker) Admit(now time.Time, f Fingerprint) *result.Refusal { return nil }

// Started tells that f runs here.
func (t *Tracker) Started(now time.Time, f Fingerprint) {}

// Finished tells that a run of f ended, and returns the records to spread.
func (t *Tracker) Finished(now time.Time, f Fingerprint, ok bool) []Suspect { return nil }

// Snapshot returns all records, for a peer that starts.
func (t *Tracker) Snapshot(now time.Time) []Suspect { return nil }

// Home returns the one upstream of candidates at which suspect f may run.
func Home(f Fingerprint, candidates []string) string { return "" }
