package lease

import (
	"time"
)

// noOffset marks a slot without a record.
const noOffset = -1

// slot is the folded state of one slot and, if self owns it, the state that only the owner has.
type slot struct {
	owner Identity // zero: no owner
	addr  string
	// lastOffset is the offset of the newest record of the present ownership. firstOffset is that
	// of the oldest one or, after a release, of the record that ended the release.
	lastOffset, firstOffset int64
	// readAt is the time at which the record at firstOffset was read.
	readAt time.Time
	// ownerMayBeTruncated reports that the slot may have an owner whose record is in a part of the
	// log that was dropped before it was read.
	ownerMayBeTruncated bool

	// ownerState is nil unless self owns the slot. It is a pointer because a node keeps the slots
	// of every service and owns only a few of them.
	*ownerState
}

// ownerState is the state of a slot that only its owner has.
type ownerState struct {
	// effectiveAt is the time from which self may start calls.
	effectiveAt time.Time
	// Calls with keys issued before unknownBefore may have run under an earlier owner. Their
	// outcome is unknown until unknownUntil. Both are zero if no outcome is unknown.
	unknownBefore, unknownUntil time.Time
	// releasedTo is the address of the guard that self handed the slot to. While released is set,
	// self starts no calls in the slot.
	released   bool
	releasedTo string
}

// importedSlot is a slot whose keys were imported from its owner.
type importedSlot struct {
	from                                     Identity
	offset                                   int64
	effectiveAt, unknownBefore, unknownUntil time.Time
}

// givenPromise is a promise of self to the guard to: self takes over no slot of that guard before
// until.
type givenPromise struct {
	to    Identity
	until time.Time
}

// receivedPromise is a promise of another process not to take over slots of self.
type receivedPromise struct {
	from        Identity
	requestedAt time.Time
}

// Lessor is the ownership state of one service at one guard.
type Lessor struct {
	cfg  Config
	self Identity
	addr string
	// workspace and service are copied into the records.
	workspace, service string

	slots      []slot
	guards     guards
	nextOffset int64 // every record below it was folded
	// joinOffset is the offset of self's join record, noOffset until it was read.
	joinOffset int64
	joinedAt   time.Time
	stopped    bool

	// headReadAt is the start time of the latest read of the log's head, observedHead its result.
	headReadAt   time.Time
	observedHead int64
	headObserved bool // whether there was any observation
	// maxHead is the highest head observed, maxHeadReadAt the start time of the latest read that
	// returned it.
	maxHeadReadAt      time.Time
	maxHead            int64
	receivedPromises   map[string]receivedPromise // by address of the promising process
	lastPromiseRequest map[string]time.Time       // by address
	// givenPromises are the promises of self not to take over slots, by slot.
	givenPromises    map[int]givenPromise
	pendingTakeovers map[int]bool         // slots in records that self appended and has not read back
	importedSlots    map[int]importedSlot // by slot

	lastRefresh   time.Time
	lastRebalance time.Time
}

// Options identify the guard and the service of a Lessor.
type Options struct {
	Self      Identity
	Addr      string // self's inner address
	Workspace string
	Service   string
}

// NewLessor returns the state before any record; cfg must be valid.
func NewLessor(cfg Config, o Options) *Lessor {
	l := &Lessor{
		cfg:                cfg,
		self:               o.Self,
		addr:               o.Addr,
		workspace:          o.Workspace,
		service:            o.Service,
		slots:              make([]slot, cfg.Slots),
		guards:             newGuards(),
		joinOffset:         noOffset,
		receivedPromises:   make(map[string]receivedPromise),
		lastPromiseRequest: make(map[string]time.Time),
		givenPromises:      make(map[int]givenPromise),
		pendingTakeovers:   make(map[int]bool),
		importedSlots:      make(map[int]importedSlot),
	}
	for i := range l.slots {
		l.slots[i].lastOffset = noOffset
		l.slots[i].firstOffset = noOffset
	}
	return l
}

// Truncated records that the oldest records of the log had been dropped when the fold began. A
// slot without an owner may then have an owner whose record was never read. Such slots are taken
// over like slots of an unreachable owner: with the wait, and with unknown keys.
func (l *Lessor) Truncated() {
	for i := range l.slots {
		if l.slots[i].owner.IsZero() {
			l.slots[i].ownerMayBeTruncated = true
		}
	}
}

// ApplyJoin folds a join record. serves reports whether the member is a guard of this service.
// Joins of other members are folded as well, because they show that an address has a new process.
func (l *Lessor) ApplyJoin(now time.Time, offset int64, id Identity, addr string, serves bool) {
	if !l.acceptOffset(offset) {
		return
	}
	if !l.guards.join(offset, id, addr, serves) {
		return
	}
	switch {
	case id == l.self && l.joinOffset == noOffset:
		l.joinOffset = offset
		l.joinedAt = now
	case id.Node == l.self.Node && id.Incarnation > l.self.Incarnation:
		l.stopped = true
	}
}

// ApplyLeave folds a leave record: the process has ended its calls and stopped.
func (l *Lessor) ApplyLeave(offset int64, id Identity) {
	if !l.acceptOffset(offset) {
		return
	}
	l.guards.markStopped(id)
	l.stopped = l.stopped || id == l.self
}

// ApplyEvict folds an evict record: later takeovers of the incarnation are void. The record does
// not show that the process has stopped.
func (l *Lessor) ApplyEvict(now time.Time, offset int64, id Identity) {
	if !l.acceptOffset(offset) {
		return
	}
	l.guards.evict(now, id)
	l.stopped = l.stopped || id == l.self
}

// ApplyTakeover folds a takeover record; now is the local time at which it was read.
func (l *Lessor) ApplyTakeover(now time.Time, offset int64, t Takeover) {
	if !l.acceptOffset(offset) {
		return
	}
	void := l.guards.isVoid(t.NewOwner)
	for _, i := range t.Slots {
		if i < 0 || i >= len(l.slots) {
			continue
		}
		if t.NewOwner == l.self {
			delete(l.pendingTakeovers, i)
		}
		if void || l.slots[i].lastOffset >= t.Folded {
			continue
		}
		l.foldSlot(now, offset, i, t)
	}
}

// acceptOffset moves nextOffset past a record. It returns false if the record was folded before: a
// restarted reader may deliver records twice.
func (l *Lessor) acceptOffset(offset int64) bool {
	if offset < l.nextOffset {
		return false
	}
	l.nextOffset = offset + 1
	return true
}

// foldSlot folds a valid takeover record into one slot.
func (l *Lessor) foldSlot(now time.Time, offset int64, i int, t Takeover) {
	prev := l.slots[i]
	if prev.owner == t.NewOwner {
		l.renew(now, offset, i, t)
		return
	}
	s := slot{owner: t.NewOwner, addr: t.Addr, lastOffset: offset, firstOffset: offset, readAt: now}
	if t.NewOwner == l.self {
		l.startOwnership(now, &s, prev, i)
	}
	l.dropStaleImport(i, offset)
	l.slots[i] = s
}

// dropStaleImport removes the import of a slot if the record at offset is newer than the record to
// which the hand-over refers (HandedSlot.Offset). A hand-over may also arrive before that record is
// folded; the import is then kept.
func (l *Lessor) dropStaleImport(i int, offset int64) {
	if r, ok := l.importedSlots[i]; ok && r.offset < offset {
		delete(l.importedSlots, i)
	}
}

// renew folds a repeated record of the present owner and ends a release. It sets lastOffset to the
// offset of the repeated record, because a fold that begins at that record knows no earlier one:
// all folds must have the same lastOffset to decide alike on later takeovers.
func (l *Lessor) renew(now time.Time, offset int64, i int, t Takeover) {
	s := &l.slots[i]
	s.lastOffset = offset
	s.addr = t.Addr
	l.dropStaleImport(i, offset)
	if s.ownerState != nil && s.released {
		s.released = false
		s.firstOffset = offset
		s.readAt = now
	}
}

// startOwnership sets the time from which self may start calls in a slot, and the keys whose
// outcome is unknown.
//
// The wait prevents two owners at once. A paused or disconnected owner continues until its last
// head observation is Validity old. That observation was made before this takeover was appended,
// so it has expired takeoverWait after the takeover was read back. The unknown keys prevent a
// second run: calls that the earlier owner started before effectiveAt are not in the table of self.
func (l *Lessor) startOwnership(now time.Time, s *slot, prev slot, i int) {
	s.ownerState = &ownerState{effectiveAt: now}
	if prev.owner.IsZero() && !prev.ownerMayBeTruncated {
		return
	}
	if r, ok := l.importedSlots[i]; ok && r.from == prev.owner && r.offset == prev.lastOffset {
		s.effectiveAt = later(now, r.effectiveAt)
		s.unknownBefore = r.unknownBefore
		s.unknownUntil = r.unknownUntil
		return
	}
	s.effectiveAt = now.Add(l.cfg.takeoverWait())
	s.unknownBefore = s.effectiveAt
	s.unknownUntil = s.effectiveAt.Add(l.cfg.withDrift(l.cfg.ResendHorizon))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Next returns the offset after the last folded record.
func (l *Lessor) Next() int64 { return l.nextOffset }

// Owned returns in order the slots that self owns according to the log and has not released.
func (l *Lessor) Owned() []int {
	var out []int
	for i := range l.slots {
		if l.slots[i].owner == l.self && !l.slots[i].released {
			out = append(out, i)
		}
	}
	return out
}

// Owner returns the owner of a key's slot and its inner address; false if the slot has no owner.
func (l *Lessor) Owner(keyHash uint64) (Identity, string, bool) {
	s := &l.slots[l.SlotOf(keyHash)]
	return s.owner, s.addr, !s.owner.IsZero()
}

// SlotOf returns the slot of a key.
func (l *Lessor) SlotOf(keyHash uint64) int { return int(keyHash % uint64(l.cfg.Slots)) }
