package idempotency

import (
	"container/list"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// answerOverhead is charged for each kept answer beside its bytes: the
// structs, the header map and the list element.
const answerOverhead = 512

// Response is what an upstream's answer to a call was. It is immutable once it
// was given to a Table; the table copies nothing.
type Response struct {
	Code   result.Code
	Status int
	Header map[string][]string
	Body   []byte
}

func (a *Response) size() int64 {
	n := int64(answerOverhead + len(a.Body))
	for name, values := range a.Header {
		n += int64(len(name))
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}

// Kind is what to do with a call whose key was looked up.
type Kind int

const (
	// Start: the key is new; run the call and report how it ended.
	Start Kind = iota
	// Join: an attempt is running; wait for it and look the key up again.
	Join
	// Replay: the kept answer is the answer.
	Replay
	// Conflict: the key came with another body; refuse with result.KeyReused.
	Conflict
	// Unknown: it may have run and there is no answer to give; refuse with
	// result.OutcomeUnknown.
	Unknown
	// TableFull: no room to remember the key; refuse with result.NoAuthority.
	TableFull
)

var kindNames = [...]string{"start", "join", "replay", "conflict", "unknown", "full"}

// String returns the name used on the time line.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// Reconfigure puts cfg in force; an invalid one changes nothing. A shorter
// KeepKeys forgets keys that a caller may still resend by the longer one.
func (t *Table) Reconfigure(cfg Config) {
	if cfg.Validate() == nil {
		t.cfg = cfg
	}
}

// BeginResult is the answer to a look-up.
type BeginResult struct {
	Kind Kind
	// Response is set with Replay.
	Answer *Response
	// RunningCallID is set with Join.
	RunningCallID string
	// Code is the code left behind by an evicted answer, with Unknown; zero
	// when no whole answer was ever seen.
	Code result.Code
}

type state uint8

const (
	running state = iota
	answered
	evicted // ran to an answer that is no longer held
	lost    // may have run, no whole answer
)

type record struct {
	key      Key
	bodyHash uint64
	callID   string
	state    state
	code     result.Code
	seen     time.Time
	answer   *Response
	kept     time.Time
	size     int64
	byAge    *list.Element // in Table.ages, by seen
	byAnswer *list.Element // in Table.answers, by kept; nil unless answered
}

// Table is the memory of one guard incarnation: which keys it started and what
// came of them. Not safe for concurrent use.
//
// It guards against a duplicate effect: a caller whose answer was lost sends
// the same key again, and the letter would go out twice. Between two Starts of
// a key there is always a NotRun, as long as its resends come less than
// KeepKeys apart.
type Table struct {
	cfg     Config
	records map[Key]*record
	ages    *list.List
	answers *list.List
	bytes   int64
}

// NewTable returns an empty table; cfg must be valid.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		records: make(map[Key]*record),
		ages:    list.New(),
		answers: list.New(),
	}
}

// Begin looks a key up before its call is run. After Start the caller owes one
// of Finish, NotRun or Lost with the same callID; until then the key is never
// forgotten. bodyHash tells requests with the same key apart.
func (t *Table) Begin(now time.Time, key Key, bodyHash uint64, callID string) BeginResult {
	t.Expire(now)
	r, ok := t.records[key]
	if !ok {
		return t.start(now, key, bodyHash, callID)
	}
	t.touch(now, r)
	if r.bodyHash != bodyHash {
		return BeginResult{Kind: Conflict}
	}
	switch r.state {
	case running:
		return BeginResult{Kind: Join, RunningCallID: r.callID}
	case answered:
		return BeginResult{Kind: Replay, Answer: r.answer}
	default:
		return BeginResult{Kind: Unknown, Code: r.code}
	}
}

func (t *Table) start(now time.Time, key Key, bodyHash uint64, callID string) BeginResult {
	if len(t.records) >= t.cfg.MaxKeys {
		return BeginResult{Kind: TableFull}
	}
	t.insert(&record{key: key, bodyHash: bodyHash, callID: callID, state: running, seen: now})
	return BeginResult{Kind: Start}
}

// Finish keeps the answer that the call ran to. A late whole answer also
// settles a call that was reported Lost.
func (t *Table) Finish(now time.Time, key Key, callID string, a Response) {
	r := t.attempt(key, callID)
	if r == nil || (r.state != running && r.state != lost) {
		return
	}
	t.touch(now, r)
	r.code = a.Code
	t.keep(now, r, &a)
}

// NotRun forgets a running key whose call provably took no effect, so that a
// resend may run. It does nothing once the call was reported Lost: what may
// have run stays that way.
func (t *Table) NotRun(_ time.Time, key Key, callID string) {
	r := t.attempt(key, callID)
	if r == nil || r.state != running {
		return
	}
	t.remove(r)
}

// Lost marks a running key whose call may have run without a whole answer.
func (t *Table) Lost(now time.Time, key Key, callID string) {
	r := t.attempt(key, callID)
	if r == nil || r.state != running {
		return
	}
	t.touch(now, r)
	r.state = lost
}

// attempt returns the record of the attempt callID. A report of an attempt
// that is no longer the recorded one must not settle its successor.
func (t *Table) attempt(key Key, callID string) *record {
	r, ok := t.records[key]
	if !ok || r.callID != callID {
		return nil
	}
	return r
}

// Expire drops answers older than KeepAnswers and keys not seen for KeepKeys.
// A running key stays whatever its age. The work is proportional to what is
// dropped.
func (t *Table) Expire(now time.Time) {
	for e := t.answers.Front(); e != nil; e = t.answers.Front() {
		r := e.Value.(*record)
		if now.Sub(r.kept) < t.cfg.KeepAnswers {
			break
		}
		t.evict(r)
	}
	for e := t.ages.Front(); e != nil; e = t.ages.Front() {
		r := e.Value.(*record)
		if now.Sub(r.seen) < t.cfg.KeepKeys {
			break
		}
		if r.state == running {
			t.touch(now, r)
			continue
		}
		t.remove(r)
	}
}

// Len is the number of keys held.
func (t *Table) Len() int { return len(t.records) }

// Bytes is what the kept answers are charged with.
func (t *Table) Bytes() int64 { return t.bytes }

func (t *Table) insert(r *record) {
	t.records[r.key] = r
	r.byAge = t.ages.PushBack(r)
}

func (t *Table) touch(now time.Time, r *record) {
	if now.After(r.seen) {
		r.seen = now
	}
	t.ages.MoveToBack(r.byAge)
}

// keep holds the answer and evicts the oldest ones beyond MaxBytes. An answer
// larger than MaxBytes is evicted at once and leaves its code.
func (t *Table) keep(now time.Time, r *record, a *Response) {
	r.state = answered
	r.answer = a
	r.kept = now
	r.size = a.size()
	r.byAnswer = t.answers.PushBack(r)
	t.bytes += r.size
	for t.bytes > t.cfg.MaxBytes {
		t.evict(t.answers.Front().Value.(*record))
	}
}

func (t *Table) evict(r *record) {
	t.dropAnswer(r)
	r.state = evicted
}

func (t *Table) dropAnswer(r *record) {
	if r.byAnswer == nil {
		return
	}
	t.answers.Remove(r.byAnswer)
	t.bytes -= r.size
	r.byAnswer = nil
	r.answer = nil
	r.size = 0
}

func (t *Table) remove(r *record) {
	t.dropAnswer(r)
	t.ages.Remove(r.byAge)
	delete(t.records, r.key)
}
