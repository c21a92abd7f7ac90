package idempotency

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Entry is one key on its way to another guard. Times are ages, since the two
// guards' clocks may differ.
type Entry struct {
	Key      Key
	BodyHash uint64
	CallID   string
	// Code is zero when the outcome is unknown.
	Code result.Code
	// Response is nil when it was lost or evicted.
	Answer *Response
	// Idle is the time since the key was last seen.
	Idle time.Duration
	// AnswerAge is the time since the answer was kept.
	AnswerAge time.Duration
}

// Export returns the matching keys, longest unseen first. A key that is still
// running is exported as unknown: the receiver cannot learn how it ends. A
// planned stop therefore exports after its last call has ended.
func (t *Table) Export(now time.Time, match func(Key) bool) []Entry {
	t.Expire(now)
	var out []Entry
	for e := t.ages.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if !match(r.key) {
			continue
		}
		out = append(out, r.entry(now))
	}
	return out
}

func (r *record) entry(now time.Time) Entry {
	e := Entry{
		Key:      r.key,
		BodyHash: r.bodyHash,
		CallID:   r.callID,
		Code:     r.code,
		Idle:     max(0, now.Sub(r.seen)),
	}
	if r.answer != nil {
		e.Answer = r.answer
		e.AnswerAge = max(0, now.Sub(r.kept))
	}
	return e
}

// Import takes over another guard's entries. It reports whether every entry
// was taken. False means that MaxKeys was reached: the hand-over is
// incomplete and its slots must be treated as after a crash of their owner,
// or a key that was left out would run again.
func (t *Table) Import(now time.Time, entries []Entry) bool {
	t.Expire(now)
	complete := true
	for _, e := range entries {
		if !t.take(now, e) {
			complete = false
		}
	}
	return complete
}

func (t *Table) take(now time.Time, e Entry) bool {
	r, known := t.records[e.Key]
	if known {
		t.merge(now, r, e)
		return true
	}
	if len(t.records) >= t.cfg.MaxKeys {
		return false
	}
	// Seen counts from the import: keeping a key too long is harmless, and
	// the order of ages stays that of arrival.
	r = &record{key: e.Key, bodyHash: e.BodyHash, callID: e.CallID, seen: now, state: lost, code: e.Code}
	t.insert(r)
	t.settle(now, r, e)
	return true
}

// merge lets an answer win over the lack of one; else what is known stays.
func (t *Table) merge(now time.Time, r *record, e Entry) {
	t.touch(now, r)
	if r.state == lost && r.bodyHash == e.BodyHash {
		r.code = e.Code
		t.settle(now, r, e)
	}
}

func (t *Table) settle(now time.Time, r *record, e Entry) {
	switch {
	case e.Answer != nil && e.AnswerAge < t.cfg.KeepAnswers:
		t.keep(now, r, e.Answer)
	case e.Code != 0:
		r.state = evicted
	}
}
