package policy

import (
	"fmt"
	"strings"
)

// Outcome is the result of a publication.
type Outcome string

// Outcomes.
const (
	// Accepted means that the publication is in force for every reader of the log from its record
	// on.
	Accepted Outcome = "accepted"
	// Conflicted means that the publication conflicts with another one: the object has changed since
	// BaseVersion.
	Conflicted Outcome = "lost"
	// Rejected means that the publication is invalid.
	Rejected Outcome = "rejected"
)

// ConflictingPublication is the accepted publication that last changed the object of a Conflicted
// one.
type ConflictingPublication struct {
	ID      string  `json:"id"`
	Author  string  `json:"author"`
	Version Version `json:"version"`
	// What is the text of its change, such as "instance w/s: retry_allowance 2 -> 3".
	What string `json:"what"`
}

// Decision is the result of folding one publication. All replicas that have folded its record
// have the same Decision.
type Decision struct {
	ID      string  `json:"id"`
	Author  string  `json:"author,omitempty"`
	Object  string  `json:"object,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Version is the version of the publication's record; it is the new version of the object if
	// Outcome is Accepted.
	Version  Version                 `json:"version"`
	Conflict *ConflictingPublication `json:"lost_to,omitempty"`
	Errors   FieldErrors             `json:"errors,omitempty"`
}

// Err returns nil for an accepted publication, and a *DecisionError otherwise.
func (d *Decision) Err() error {
	if d.Outcome == Accepted {
		return nil
	}
	return &DecisionError{Decision: *d}
}

// DecisionError is the error of a publication that was not accepted.
type DecisionError struct{ Decision Decision }

// Error implements error.
func (e *DecisionError) Error() string {
	d := &e.Decision
	if d.Conflict != nil {
		return fmt.Sprintf("%s lost to %s by %s at version %d: %s", d.Object, d.Conflict.ID, d.Conflict.Author, d.Conflict.Version, d.Conflict.What)
	}
	return fmt.Sprintf("%s rejected: %v", d.Object, d.Errors)
}

// maxDecisions bounds the decisions in a state. A retry of a publication whose decision was
// dropped is decided again. It can't undo a later change: versions only increase, so the object
// never has the retry's BaseVersion again, and the retry conflicts. At the planned 13,000 changes a
// day, 512 decisions cover 512 / 13,000 of a day = 57 minutes; a writer retries for half a minute.
const maxDecisions = 512

// maxDecisionErrors bounds the errors in the decision of a rejected publication.
const maxDecisionErrors = 4

// decisions is an immutable list of decisions in log order with an index by ID.
type decisions struct {
	list []Decision
	byID map[string]int64
	// dropped is the number of decisions dropped so far. byID has the position of each decision
	// counted from the first one, so that entries stay valid when decisions are dropped.
	dropped int64
}

func (d *decisions) get(id string) (Decision, bool) {
	at, ok := d.byID[id]
	if !ok {
		return Decision{}, false
	}
	return d.list[at-d.dropped], true
}

// with returns a copy with one more decision; it drops the oldest ones beyond maxDecisions.
func (d *decisions) with(added Decision) *decisions {
	next := &decisions{dropped: d.dropped, byID: make(map[string]int64, len(d.list)+1)}
	keep := d.list
	if len(keep) >= maxDecisions {
		drop := len(keep) - maxDecisions + 1
		keep = keep[drop:]
		next.dropped += int64(drop)
	}
	next.list = append(append(make([]Decision, 0, len(keep)+1), keep...), added)
	for i := range next.list {
		next.byID[next.list[i].ID] = next.dropped + int64(i)
	}
	return next
}

// summarize returns the text of a publication's changes, with at most 4 of them.
func summarize(object string, changes []Change) string {
	const maxChanges = 4
	parts := make([]string, 0, maxChanges+1)
	for i, c := range changes {
		if i == maxChanges {
			parts = append(parts, fmt.Sprintf("%d more", len(changes)-maxChanges))
			break
		}
		parts = append(parts, fmt.Sprintf("%s %s -> %s", c.Field, orNone(c.Old), orNone(c.New)))
	}
	if len(parts) == 0 {
		return object + ": no change"
	}
	return object + ": " + strings.Join(parts, ", ")
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
