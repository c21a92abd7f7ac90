package lease

import (
	"time"
)

// noOffset stands for a slot without a record.
const noOffset = -1

// slot is the fold of one slot and, where self owns it, what self may do.
type slot struct {
	owner Identity // zero: no owner
	addr  string
	// offset is the newest record of this ownership, first the oldest.
	offset, first int64
	// read is when first was read back.
	read time.Time
	// unseen means that an owner may be recorded in a part of the log that
	// was no longer there to read.
	unseen bool

	// tenure is what only self knows of a slot that it owns; nil otherwise.
	// A node keeps the slots of every service, and owns few.
	*tenure
}

// tenure is an owner's own part of a slot.
type tenure struct {
	// effective is when self may start calls.
	effective time.Time
	// Keys issued before unknownBefore may have run under an earlier owner,
	// until cleanAt; both are zero when nothing is unknown.
	unknownBefore, cleanAt time.Time
	// releasedTo is the address that self handed the slot to; self starts
	// nothing more until it has taken the slot again.
	released   bool
	releasedTo string
}

// received is a slot whose owner handed its memory to self.
type received struct {
	from                              Identity
	offset                            int64
	effective, unknownBefore, cleanAt time.Time
}

// hold is a promise that self gave: until then it takes no slot of owner's.
type hold struct {
	to    Identity
	until time.Time
}

type promise struct {
	by Identity
	t0 time.Time
}

// Lessor is the ownership state of one service at one guard.
type Lessor struct {
	cfg  Config
	self Identity
	addr string
	// workspace and service go into the records.
	workspace, service string

	slots  []slot
	guards guards
	next   int64 // every record below it was folded
	// joined is the offset of self's join record, noOffset before.
	joined   int64
	joinedAt time.Time
	stopped  bool

	proofT0   time.Time
	proofHead int64
	proven    bool
	// farHead is the farthest head that any proof showed, from farT0 on.
	farT0    time.Time
	farHead  int64
	promises map[string]promise   // by address of the process that promised
	asked    map[string]time.Time // by address
	// held is until when self promised not to take a slot.
	held     map[int]hold
	pending  map[int]bool // appended by self, not decided yet
	received map[int]received

	refreshed  time.Time
	rebalanced time.Time
}

// Options say whose ownership a Lessor keeps.
type Options struct {
	Self      Identity
	Addr      string // self's inner address
	Workspace string
	Service   string
}

// NewLessor returns the state before any record; cfg must be valid.
func NewLessor(cfg Config, o Options) *Lessor {
	l := &Lessor{
		cfg:       cfg,
		self:      o.Self,
		addr:      o.Addr,
		workspace: o.Workspace,
		service:   o.Service,
		slots:     make([]slot, cfg.Slots),
		guards:    newGuards(),
		joined:    noOffset,
		promises:  make(map[string]promise),
		asked:     make(map[string]time.Time),
		held:      make(map[int]hold),
		pending:   make(map[int]bool),
		received:  make(map[int]received),
	}
	for i := range l.slots {
		l.slots[i].offset = noOffset
		l.slots[i].first = noOffset
	}
	return l
}

// Truncated says that the log's oldest records were gone when the fold began.
// Slots without an owner then may have one that was never read: they are taken
// like slots of a dead owner, with the wait and with unknown keys.
func (l *Lessor) Truncated() {
	for i := range l.slots {
		if l.slots[i].owner.IsZero() {
			l.slots[i].unseen = true
		}
	}
}

// Joined folds a join record. serves says whether the member is a guard of
// this service; other joins matter because they show that an address has a new
// holder.
func (l *Lessor) Joined(now time.Time, offset int64, id Identity, addr string, serves bool) {
	if !l.advance(offset) {
		return
	}
	if !l.guards.join(offset, id, addr, serves) {
		return
	}
	switch {
	case id == l.self && l.joined == noOffset:
		l.joined = offset
		l.joinedAt = now
	case id.Node == l.self.Node && id.Incarnation > l.self.Incarnation:
		l.stopped = true
	}
}

// Left folds a leave record: the process ended what it ran and has stopped.
func (l *Lessor) Left(offset int64, id Identity) {
	if !l.advance(offset) {
		return
	}
	l.guards.stop(id)
	l.stopped = l.stopped || id == l.self
}

// Evicted folds an evict record: later takeovers of the incarnation are void.
// It does not show that the process has stopped.
func (l *Lessor) Evicted(now time.Time, offset int64, id Identity) {
	if !l.advance(offset) {
		return
	}
	l.guards.evict(now, id)
	l.stopped = l.stopped || id == l.self
}

// Apply folds a takeover record; now is when it was read, on this clock.
func (l *Lessor) Apply(now time.Time, offset int64, t Takeover) {
	if !l.advance(offset) {
		return
	}
	void := l.guards.isGone(t.NewOwner)
	for _, i := range t.Slots {
		if i < 0 || i >= len(l.slots) {
			continue
		}
		if t.NewOwner == l.self {
			delete(l.pending, i)
		}
		if void || l.slots[i].offset >= t.Folded {
			continue
		}
		l.take(now, offset, i, t)
	}
}

// advance reports whether a record is new; a reader that starts again may
// deliver some twice.
func (l *Lessor) advance(offset int64) bool {
	if offset < l.next {
		return false
	}
	l.next = offset + 1
	return true
}

func (l *Lessor) take(now time.Time, offset int64, i int, t Takeover) {
	prev := l.slots[i]
	if prev.owner == t.NewOwner {
		l.renew(now, offset, i, t)
		return
	}
	s := slot{owner: t.NewOwner, addr: t.Addr, offset: offset, first: offset, read: now}
	if t.NewOwner == l.self {
		l.begin(now, &s, prev, i)
	}
	l.dropStale(i, offset)
	l.slots[i] = s
}

// dropStale forgets a hand-over that a newer record of the slot has overtaken.
// A hand-over may also arrive before the record that it refers to.
func (l *Lessor) dropStale(i int, offset int64) {
	if r, ok := l.received[i]; ok && r.offset < offset {
		delete(l.received, i)
	}
}

// renew folds a record of the present owner: it moves the offset, so that
// folds which begin later agree, and ends a release.
func (l *Lessor) renew(now time.Time, offset int64, i int, t Takeover) {
	s := &l.slots[i]
	s.offset = offset
	s.addr = t.Addr
	l.dropStale(i, offset)
	if s.tenure != nil && s.released {
		s.released = false
		s.first = offset
		s.read = now
	}
}

// begin sets from when self may start calls in a slot, and which keys are
// unknown.
//
// It guards against two owners at once: a paused or cut-off owner goes on
// until its last proof is Validity old. That proof was read before this
// takeover was appended, so it is worthless takeoverWait after the read-back.
// And it guards against a second run: whatever the earlier owner started until
// then is not in this memory.
func (l *Lessor) begin(now time.Time, s *slot, prev slot, i int) {
	s.tenure = &tenure{effective: now}
	if prev.owner.IsZero() && !prev.unseen {
		return
	}
	if r, ok := l.received[i]; ok && r.from == prev.owner && r.offset == prev.offset {
		s.effective = later(now, r.effective)
		s.unknownBefore = r.unknownBefore
		s.cleanAt = r.cleanAt
		return
	}
	s.effective = now.Add(l.cfg.takeoverWait())
	s.unknownBefore = s.effective
	s.cleanAt = s.effective.Add(l.cfg.padded(l.cfg.ResendHorizon))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Next is the offset after the last record folded.
func (l *Lessor) Next() int64 { return l.next }

// Owned returns the slots that the log gives to self and that self did not
// hand over, in order.
func (l *Lessor) Owned() []int {
	var out []int
	for i := range l.slots {
		if l.slots[i].owner == l.self && !l.slots[i].released {
			out = append(out, i)
		}
	}
	return out
}

// Owner returns who owns the slot of a key and its inner address.
func (l *Lessor) Owner(keyHash uint64) (Identity, string, bool) {
	s := &l.slots[l.SlotOf(keyHash)]
	return s.owner, s.addr, !s.owner.IsZero()
}

// SlotOf returns the slot of a key.
func (l *Lessor) SlotOf(keyHash uint64) int { return int(keyHash % uint64(l.cfg.Slots)) }
