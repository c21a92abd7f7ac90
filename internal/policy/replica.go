package policy

import (
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// Replica decides for one process what to read of the log and which state is
// in force. It is driven by a reader: read from Next, hand the page to Take or
// the truncation to Truncated, and hand peers' states to Merge.
type Replica struct {
	state *State
	// scan is the offset to read next while the entries after state have
	// expired and a snapshot is looked for; below 0 otherwise.
	scan int64
	// skipped is where the scan jumped ahead from, below 0 for nowhere: the
	// entries from there on are scanned only if the newest hold no snapshot.
	skipped int64
	// window is how many of the newest entries the scan looks at first.
	window int64
	// blocked is one more than the version of the state that could not pass
	// the next entry; 0 for none.
	blocked   Version
	headBelow bool
	// markVersion is the newest snapshot known at the last SnapshotDue, and
	// markSince when this process first knew of it, by its own clock.
	markVersion Version
	markSince   time.Time
}

// NewReplica starts from a state, or from nothing when it is nil.
func NewReplica(from *State) *Replica {
	if from == nil {
		from = NewState()
	}
	return &Replica{state: from, scan: -1, skipped: -1, window: scanWindow}
}

// scanWindow is twice DefaultSnapshotRule's MaxBehind, so that the newest
// snapshot lies in it as long as snapshots are written.
const scanWindow = 200_000

// State returns the state in force.
func (r *Replica) State() *State { return r.state }

// Next returns the offset to read from.
func (r *Replica) Next() int64 {
	if r.scan >= 0 {
		return r.scan
	}
	return int64(r.state.version)
}

// Behind reports that entries expired before they were read and no snapshot or
// peer has filled the gap yet. The state in force is then old but never
// reverted; a process that just started has none and serves nothing.
func (r *Replica) Behind() bool { return r.scan >= 0 }

// Blocked reports that the next entry needs rules of a newer release. What is
// in force stays; a newer release, or the state of a peer of one, leads on.
func (r *Replica) Blocked() bool { return r.blocked == r.state.version+1 }

// HeadBelow reports that the log's head was below the state at the last page:
// the log lost acknowledged records or was replaced by another. What comes
// there next would be skipped as folded already, so it needs an operator; a
// log whose reads lag may show it for a moment.
func (r *Replica) HeadBelow() bool { return r.headBelow }

// Take folds a page that was read from Next and reports whether the state
// changed.
func (r *Replica) Take(page logstore.Page) bool {
	before := r.state.version
	r.headBelow = page.Head < int64(before)
	for i := range page.Entries {
		was := r.state
		r.state = was.Apply(page.Entries[i])
		if r.state == was && Version(page.Entries[i].Offset) == was.version {
			r.blocked = was.version + 1
			r.scan = page.Next
		}
	}
	if r.scan < 0 {
		return r.state.version > before
	}
	r.scan = max(r.scan, page.Next)
	r.scanOn(page)
	return r.state.version > before
}

// scanOn chooses the next step of a scan after page. It goes on to the head,
// since a newer snapshot spares folding from an older one, and ends only when
// the entries after the state are still there. A log may hold millions of
// entries of other kinds, so it jumps to the newest window first.
func (r *Replica) scanOn(page logstore.Page) {
	closed := int64(r.state.version) >= page.Oldest && !r.Blocked()
	switch {
	case page.Next < page.Head:
		if r.skipped < 0 && page.Head-r.scan > r.window {
			r.skipped = r.scan
			r.scan = page.Head - r.window
		}
	case closed:
		r.scan = -1
		r.skipped = -1
	case r.skipped >= 0 && r.skipped < page.Head && !r.Blocked():
		r.scan = max(r.skipped, page.Oldest)
		r.skipped = scannedAll
	}
}

// scannedAll stands in Replica.skipped once a scan went back for what it had
// skipped; offsets never reach it.
const scannedAll = math.MaxInt64

// Truncated is told that a read below oldest failed. Entries between the state
// and oldest are gone: folding what is left would miss what they accepted, so
// only a snapshot or a peer's state leads on.
func (r *Replica) Truncated(oldest int64) {
	if oldest > int64(r.state.version) {
		r.scan = max(r.scan, oldest)
		return
	}
	r.scan = -1
	r.skipped = -1
}

// Merge takes a peer's state when it is newer, and reports whether it was.
func (r *Replica) Merge(peer *State) bool {
	if peer == nil || peer.version <= r.state.version {
		return false
	}
	r.state = peer
	// Whether the entries after it are still there shows at the next read.
	r.scan = -1
	r.skipped = -1
	return true
}

// SnapshotRule says when a snapshot is written again.
type SnapshotRule struct {
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// Every is the age at which the newest snapshot is repeated; at most a
	// quarter of Retention, so that three writers in a row may fail.
	Every time.Duration
	// MaxBehind is how many entries a starting reader may have to fold.
	MaxBehind int64
}

// DefaultSnapshotRule fits a log that keeps records for retention.
func DefaultSnapshotRule(retention time.Duration) SnapshotRule {
	return SnapshotRule{Retention: retention, Every: retention / 8, MaxBehind: 100_000}
}

// Validate reports the first setting out of bounds.
func (r *SnapshotRule) Validate() error {
	var errs FieldErrors
	if r.Every <= 0 || r.Every > r.Retention/4 {
		errs.add("every", r.Every.String(), "above 0 and at most a quarter of retention "+r.Retention.String())
	}
	if r.MaxBehind < 1 {
		errs.add("max_behind", formatInt(r.MaxBehind), "at least 1")
	}
	return asError(errs)
}

// SnapshotDue reports whether the state should be written as a snapshot.
// oldest is that of the last page. It is called now and then; a process that
// is behind writes none, since what it holds is of no use to a reader.
func (r *Replica) SnapshotDue(rule *SnapshotRule, now time.Time, oldest int64) bool {
	if r.Behind() {
		return false
	}
	mark := r.state.snapshot
	if r.markSince.IsZero() || mark.Version != r.markVersion {
		r.markVersion = mark.Version
		r.markSince = now
	}
	return rule.due(r.state, now, now.Sub(r.markSince), oldest)
}

// due decides by three ages of the newest snapshot: how long this process has
// known it, what its writer's clock says, and how far down the log it lies. A
// wrong clock can only make it due earlier, and the last age needs no clock:
// so the newest snapshot can't expire because some clock was wrong.
func (r *SnapshotRule) due(s *State, now time.Time, known time.Duration, oldest int64) bool {
	mark := s.snapshot
	behind := int64(s.version - mark.Version)
	if known >= r.Every || behind > r.MaxBehind {
		return true
	}
	if mark.Version == 0 {
		return oldest > 0
	}
	if now.Sub(time.UnixMilli(mark.AtMillis)) >= r.Every {
		return true
	}
	kept := int64(mark.Version) - oldest
	return oldest > 0 && behind > kept
}
