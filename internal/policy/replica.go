package policy

import (
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// Replica reads the log for one process and holds the state in force. Its caller reads from the
// offset Next, passes the page to Take or a truncation to Truncated, and passes the states of
// peers to Merge.
type Replica struct {
	state *State
	// scanOffset is the next offset to read during a scan for a snapshot; below 0 without a scan.
	// The replica scans while it cannot fold the next entry, because the entry has expired or needs
	// the rules of a newer release.
	scanOffset int64
	// resumeAt is the offset at which the scan jumped to the newest entries; below 0 if it did
	// not. The entries from there on are scanned only if the newest ones contain no snapshot.
	resumeAt int64
	// window is the number of newest entries that the scan reads first.
	window int64
	// blockedAt is the version of the entry that the state cannot fold, which is the version of the
	// state plus 1; 0 for none.
	blockedAt     Version
	headRegressed bool
	// snapshotVersion is the version of the newest snapshot at the last call of SnapshotDue.
	// snapshotSeenAt is the time at which this process first saw it, by its own clock.
	snapshotVersion Version
	snapshotSeenAt  time.Time
}

// NewReplica returns a replica that starts with the state from, or with an empty state if from is
// nil.
func NewReplica(from *State) *Replica {
	if from == nil {
		from = NewState()
	}
	return &Replica{state: from, scanOffset: -1, resumeAt: -1, window: scanWindow}
}

// scanWindow is twice DefaultSnapshotRule's MaxBehind, so that it contains the newest snapshot as
// long as snapshots are written.
const scanWindow = 200_000

// State returns the state in force.
func (r *Replica) State() *State { return r.state }

// Next returns the offset to read from.
func (r *Replica) Next() int64 {
	if r.scanOffset >= 0 {
		return r.scanOffset
	}
	return int64(r.state.version)
}

// Behind reports whether entries expired before they were read and no snapshot or peer has filled
// the gap yet. The state in force is then outdated, but is never reverted. A process that has just
// started has no state and can't serve.
func (r *Replica) Behind() bool { return r.scanOffset >= 0 }

// Blocked reports whether the next entry needs rules of a newer release. The state in force stays
// until this process runs a newer release or merges the state of a peer that does.
func (r *Replica) Blocked() bool { return r.blockedAt == r.state.version+1 }

// HeadRegressed reports whether the log's head in the last page was below the version of the
// state: the log lost acknowledged records or was replaced by another one. New records at these
// offsets would be skipped as already folded, so an operator has to intervene. A stale read of the
// log can also cause it temporarily.
func (r *Replica) HeadRegressed() bool { return r.headRegressed }

// Take folds a page that was read from Next and reports whether the state changed.
func (r *Replica) Take(page logstore.Page) bool {
	before := r.state.version
	r.headRegressed = page.Head < int64(before)
	for i := range page.Entries {
		previous := r.state
		r.state = previous.Apply(page.Entries[i])
		if r.state == previous && Version(page.Entries[i].Offset) == previous.version {
			r.blockedAt = previous.version + 1
			r.scanOffset = page.Next
		}
	}
	if r.scanOffset < 0 {
		return r.state.version > before
	}
	r.scanOffset = max(r.scanOffset, page.Next)
	r.advanceScan(page)
	return r.state.version > before
}

// advanceScan chooses the next offset of a scan after page. The scan continues to the head, since
// a newer snapshot saves folding from an older one. It ends only if the entries after the state
// still exist. A log may have millions of entries of other kinds, so the scan first jumps to the
// newest window.
func (r *Replica) advanceScan(page logstore.Page) {
	canFoldNext := int64(r.state.version) >= page.Oldest && !r.Blocked()
	switch {
	case page.Next < page.Head:
		if r.resumeAt < 0 && page.Head-r.scanOffset > r.window {
			r.resumeAt = r.scanOffset
			r.scanOffset = page.Head - r.window
		}
	case canFoldNext:
		r.scanOffset = -1
		r.resumeAt = -1
	case r.resumeAt >= 0 && r.resumeAt < page.Head && !r.Blocked():
		r.scanOffset = max(r.resumeAt, page.Oldest)
		r.resumeAt = scanResumed
	}
}

// scanResumed is the value of Replica.resumeAt after the scan has returned to the entries that it
// jumped over. No offset reaches it.
const scanResumed = math.MaxInt64

// Truncated records that a read failed because the log starts at oldest. The entries between the
// state and oldest have expired, and folding the remaining ones would omit the changes that the
// expired ones accepted. Only a snapshot or the state of a peer closes the gap.
func (r *Replica) Truncated(oldest int64) {
	if oldest > int64(r.state.version) {
		r.scanOffset = max(r.scanOffset, oldest)
		return
	}
	r.scanOffset = -1
	r.resumeAt = -1
}

// Merge replaces the state by a peer's state if that is newer, and reports whether it was.
func (r *Replica) Merge(peer *State) bool {
	if peer == nil || peer.version <= r.state.version {
		return false
	}
	r.state = peer
	// The next read shows whether the entries after the new state still exist.
	r.scanOffset = -1
	r.resumeAt = -1
	return true
}

// SnapshotRule determines when the next snapshot is written.
type SnapshotRule struct {
	// Retention is the time for which the log keeps a record.
	Retention time.Duration
	// Every is the age of the newest snapshot at which the next one is written. It is at most a
	// quarter of Retention, so that three attempts in a row to write a snapshot may fail.
	Every time.Duration
	// MaxBehind is the number of entries that a starting reader may have to fold.
	MaxBehind int64
}

// DefaultSnapshotRule returns the rule for a log that keeps records for retention.
func DefaultSnapshotRule(retention time.Duration) SnapshotRule {
	return SnapshotRule{Retention: retention, Every: retention / 8, MaxBehind: 100_000}
}

// Validate returns the settings that are out of bounds as FieldErrors.
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

// SnapshotDue reports whether the state is to be written as a snapshot. oldest is the Oldest of
// the last page. The caller calls it periodically. A process that is behind writes no snapshot,
// since its state is outdated.
func (r *Replica) SnapshotDue(rule *SnapshotRule, now time.Time, oldest int64) bool {
	if r.Behind() {
		return false
	}
	snapshot := r.state.snapshot
	if r.snapshotSeenAt.IsZero() || snapshot.Version != r.snapshotVersion {
		r.snapshotVersion = snapshot.Version
		r.snapshotSeenAt = now
	}
	return rule.due(r.state, now, now.Sub(r.snapshotSeenAt), oldest)
}

// due compares three ages of the newest snapshot with the rule: the time for which this process
// has known it, its age by the clock of its writer, and its distance from the head of the log. A
// wrong clock can only make a snapshot due earlier, and the distance needs no clock. The newest
// snapshot can therefore not expire because of a wrong clock.
func (r *SnapshotRule) due(s *State, now time.Time, knownFor time.Duration, oldest int64) bool {
	snapshot := s.snapshot
	behind := int64(s.version - snapshot.Version)
	if knownFor >= r.Every || behind > r.MaxBehind {
		return true
	}
	if snapshot.Version == 0 {
		return oldest > 0
	}
	if now.Sub(time.UnixMilli(snapshot.AtMillis)) >= r.Every {
		return true
	}
	retained := int64(snapshot.Version) - oldest
	return oldest > 0 && behind > retained
}
