package idempotency

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Entry is one key in a hand-over to another guard. Times are sent as ages, because the clocks of
// the two guards may differ.
type Entry struct {
	Key      Key
	BodyHash uint64
	CallID   string
	// Code is the result code of the call, zero if the outcome is unknown.
	Code result.Code
	// Response is the stored response, nil if there was none or if it was evicted.
	Response *Response
	// Idle is the time since the key was last used.
	Idle time.Duration
	// ResponseAge is the time since the response was stored.
	ResponseAge time.Duration
}

// Export returns the keys for which match returns true, least recently used first. A key whose
// call is still running is exported with an unknown outcome, because the receiver cannot learn the
// result. A planned stop therefore exports only after its last call has ended.
func (t *Table) Export(now time.Time, match func(Key) bool) []Entry {
	t.Expire(now)
	var out []Entry
	for e := t.byLastSeen.Front(); e != nil; e = e.Next() {
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
		Idle:     max(0, now.Sub(r.lastSeen)),
	}
	if r.response != nil {
		e.Response = r.response
		e.ResponseAge = max(0, now.Sub(r.storedAt))
	}
	return e
}

// Import adds the entries of another guard and reports whether all of them were added. It returns
// false if the table reached MaxKeys. The hand-over is then incomplete, and the caller must treat
// the slots as after a crash of their owner; otherwise the call of a missing key would run again.
func (t *Table) Import(now time.Time, entries []Entry) bool {
	t.Expire(now)
	complete := true
	for _, e := range entries {
		if !t.importEntry(now, e) {
			complete = false
		}
	}
	return complete
}

func (t *Table) importEntry(now time.Time, e Entry) bool {
	r, known := t.records[e.Key]
	if known {
		t.merge(now, r, e)
		return true
	}
	if len(t.records) >= t.cfg.MaxKeys {
		return false
	}
	// The time of last use is that of the import: keeping a key too long is harmless, and the list
	// stays ordered by last use.
	r = &record{key: e.Key, bodyHash: e.BodyHash, callID: e.CallID, lastSeen: now, state: outcomeUnknown, code: e.Code}
	t.insert(r)
	t.applyOutcome(now, r, e)
	return true
}

// merge updates a known key: the imported outcome replaces an unknown one, and any other state is
// kept.
func (t *Table) merge(now time.Time, r *record, e Entry) {
	t.touch(now, r)
	if r.state == outcomeUnknown && r.bodyHash == e.BodyHash {
		r.code = e.Code
		t.applyOutcome(now, r, e)
	}
}

// applyOutcome sets the state of a record from the outcome in an imported entry. An entry with a
// result code but without a response that may still be replayed is marked as evicted.
func (t *Table) applyOutcome(now time.Time, r *record, e Entry) {
	switch {
	case e.Response != nil && e.ResponseAge < t.cfg.KeepAnswers:
		t.storeResponse(now, r, e.Response)
	case e.Code != 0:
		r.state = responseEvicted
	}
}
