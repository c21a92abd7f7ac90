package idempotency

import (
	"container/list"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// responseOverhead is added to the size of each stored response for the structs, the header map
// and the list element.
const responseOverhead = 512

// Response is the response of an upstream to a call. It must not be changed after it was passed to
// a Table, because the table does not copy it.
type Response struct {
	Code   result.Code
	Status int
	Header map[string][]string
	Body   []byte
}

func (resp *Response) size() int64 {
	n := int64(responseOverhead + len(resp.Body))
	for name, values := range resp.Header {
		n += int64(len(name))
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}

// Kind is the decision of Begin on a call.
type Kind int

const (
	// Start means that the key is new: run the call and report how it ended.
	Start Kind = iota
	// Join means that a call with the key is running: wait for it and look the key up again.
	Join
	// Replay means that the stored response is the response to the call.
	Replay
	// Conflict means that the key was used with another body: refuse with result.KeyReused.
	Conflict
	// Unknown means that the call may have run and no response is stored: refuse with
	// result.OutcomeUnknown.
	Unknown
	// TableFull means that there is no space for a new key: refuse with result.NoAuthority.
	TableFull
)

var kindNames = [...]string{"start", "join", "replay", "conflict", "unknown", "full"}

// String returns the name that events of the timeline show.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// Reconfigure replaces the limits; an invalid cfg changes nothing. A shorter KeepKeys also applies
// to known keys: it removes keys that callers may still resend under the longer one.
func (t *Table) Reconfigure(cfg Config) {
	if cfg.Validate() == nil {
		t.cfg = cfg
	}
}

// BeginResult is the result of Begin.
type BeginResult struct {
	Kind Kind
	// Response is the stored response; set with Replay.
	Response *Response
	// RunningCallID is the ID of the running call; set with Join.
	RunningCallID string
	// Code is the result code of an evicted response; set with Unknown. It is zero if no complete
	// response was received.
	Code result.Code
}

// state is the state of the call of a key.
type state uint8

const (
	running state = iota
	responseStored
	responseEvicted // the call ended with a response that is no longer stored
	outcomeUnknown  // the call may have run, no complete response was received
)

// record is the state of one key.
type record struct {
	key             Key
	bodyHash        uint64
	callID          string
	state           state
	code            result.Code
	lastSeen        time.Time
	response        *Response
	storedAt        time.Time
	size            int64
	ageElement      *list.Element // in Table.byLastSeen
	responseElement *list.Element // in Table.byStoredAt; nil unless a response is stored
}

// Table records which keys one guard incarnation has started and how their calls ended. Not safe
// for concurrent use.
//
// It prevents a duplicate effect: a caller that lost the response sends the same key again, and
// without the table the call would run a second time. Between two Start decisions for one key
// there is always a NotRun, provided that the key is resent at intervals shorter than KeepKeys.
type Table struct {
	cfg         Config
	records     map[Key]*record
	byLastSeen  *list.List
	byStoredAt  *list.List
	storedBytes int64
}

// NewTable returns an empty table; cfg must be valid.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:        cfg,
		records:    make(map[Key]*record),
		byLastSeen: list.New(),
		byStoredAt: list.New(),
	}
}

// Begin looks up the key of a call before the call runs. After Start the caller must call one of
// Finish, NotRun and MarkOutcomeUnknown with the same callID; until then the key is never removed.
// bodyHash distinguishes requests with the same key.
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
	case responseStored:
		return BeginResult{Kind: Replay, Response: r.response}
	default:
		return BeginResult{Kind: Unknown, Code: r.code}
	}
}

func (t *Table) start(now time.Time, key Key, bodyHash uint64, callID string) BeginResult {
	if len(t.records) >= t.cfg.MaxKeys {
		return BeginResult{Kind: TableFull}
	}
	t.insert(&record{key: key, bodyHash: bodyHash, callID: callID, state: running, lastSeen: now})
	return BeginResult{Kind: Start}
}

// Finish stores the response of a call. A complete response that arrives after MarkOutcomeUnknown
// also replaces the unknown outcome.
func (t *Table) Finish(now time.Time, key Key, callID string, resp Response) {
	r := t.recordOf(key, callID)
	if r == nil || (r.state != running && r.state != outcomeUnknown) {
		return
	}
	t.touch(now, r)
	r.code = resp.Code
	t.storeResponse(now, r, &resp)
}

// NotRun removes a running key whose call provably had no effect, so that a resend may run. It
// does nothing after MarkOutcomeUnknown: a call that may have run keeps its unknown outcome.
func (t *Table) NotRun(_ time.Time, key Key, callID string) {
	r := t.recordOf(key, callID)
	if r == nil || r.state != running {
		return
	}
	t.remove(r)
}

// MarkOutcomeUnknown records that the outcome of a running call is unknown: the call may have run
// but returned no complete response.
func (t *Table) MarkOutcomeUnknown(now time.Time, key Key, callID string) {
	r := t.recordOf(key, callID)
	if r == nil || r.state != running {
		return
	}
	t.touch(now, r)
	r.state = outcomeUnknown
}

// recordOf returns the record of the key if it belongs to the call callID, otherwise nil. A late
// report of an earlier call must not change the state of its successor.
func (t *Table) recordOf(key Key, callID string) *record {
	r, ok := t.records[key]
	if !ok || r.callID != callID {
		return nil
	}
	return r
}

// Expire removes responses older than KeepAnswers and keys that were not used for KeepKeys. A key
// whose call is running is kept regardless of its age. The cost is proportional to the number of
// removed items.
func (t *Table) Expire(now time.Time) {
	for e := t.byStoredAt.Front(); e != nil; e = t.byStoredAt.Front() {
		r := e.Value.(*record)
		if now.Sub(r.storedAt) < t.cfg.KeepAnswers {
			break
		}
		t.evict(r)
	}
	for e := t.byLastSeen.Front(); e != nil; e = t.byLastSeen.Front() {
		r := e.Value.(*record)
		if now.Sub(r.lastSeen) < t.cfg.KeepKeys {
			break
		}
		if r.state == running {
			t.touch(now, r)
			continue
		}
		t.remove(r)
	}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.records) }

// Bytes returns the size of the stored responses, including responseOverhead for each one.
func (t *Table) Bytes() int64 { return t.storedBytes }

func (t *Table) insert(r *record) {
	t.records[r.key] = r
	r.ageElement = t.byLastSeen.PushBack(r)
}

func (t *Table) touch(now time.Time, r *record) {
	if now.After(r.lastSeen) {
		r.lastSeen = now
	}
	t.byLastSeen.MoveToBack(r.ageElement)
}

// storeResponse stores a response and evicts the oldest ones until the total is within MaxBytes. A
// response larger than MaxBytes is evicted at once; only its code is kept.
func (t *Table) storeResponse(now time.Time, r *record, resp *Response) {
	r.state = responseStored
	r.response = resp
	r.storedAt = now
	r.size = resp.size()
	r.responseElement = t.byStoredAt.PushBack(r)
	t.storedBytes += r.size
	for t.storedBytes > t.cfg.MaxBytes {
		t.evict(t.byStoredAt.Front().Value.(*record))
	}
}

func (t *Table) evict(r *record) {
	t.dropResponse(r)
	r.state = responseEvicted
}

func (t *Table) dropResponse(r *record) {
	if r.responseElement == nil {
		return
	}
	t.byStoredAt.Remove(r.responseElement)
	t.storedBytes -= r.size
	r.responseElement = nil
	r.response = nil
	r.size = 0
}

func (t *Table) remove(r *record) {
	t.dropResponse(r)
	t.byLastSeen.Remove(r.ageElement)
	delete(t.records, r.key)
}
