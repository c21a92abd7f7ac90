package policy

import (
	"fmt"
	"strings"
)

// Outcome of a publication.
type Outcome string

// Outcomes.
const (
	// Accepted means in force for every later reader of the log.
	Accepted Outcome = "accepted"
	// Lost means that the object had changed since the version based on.
	Lost Outcome = "lost"
	// Rejected means that the publication is invalid.
	Rejected Outcome = "rejected"
)

// ConflictingPublication is the accepted publication that stands in the way.
type ConflictingPublication struct {
	ID      string  `json:"id"`
	Author  string  `json:"author"`
	Version Version `json:"version"`
	// What the winner changed, such as "instance w/s: retry_allowance 2 -> 3".
	What string `json:"what"`
}

// Decision is what the fold made of one publication. All replicas that folded
// its record hold the same one.
type Decision struct {
	ID      string  `json:"id"`
	Author  string  `json:"author,omitempty"`
	Object  string  `json:"object,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Version is that of the deciding record: of the object when Accepted.
	Version Version                 `json:"version"`
	Lost    *ConflictingPublication `json:"lost_to,omitempty"`
	Errors  FieldErrors             `json:"errors,omitempty"`
}

// Err returns nil for an accepted publication and else a *DecisionError.
func (d *Decision) Err() error {
	if d.Outcome == Accepted {
		return nil
	}
	return &DecisionError{Decision: *d}
}

// DecisionError is a publication that did not come in force.
type DecisionError struct{ Decision Decision }

// Error implements error.
func (e *DecisionError) Error() string {
	d := &e.Decision
	if d.Lost != nil {
		return fmt.Sprintf("%s lost to %s by %s at version %d: %s", d.Object, d.Lost.ID, d.Lost.Author, d.Lost.Version, d.Lost.What)
	}
	return fmt.Sprintf("%s rejected: %v", d.Object, d.Errors)
}

// maxDecisions bounds the decisions remembered. A repeat of a publication that
// is no longer remembered is decided anew; it can't undo anything, since the
// version that it was based on never comes back. 512 are 57 minutes of the
// planned 13,000 changes a day; a writer repeats for half a minute.
const maxDecisions = 512

// maxDecisionErrors bounds the errors kept of one rejected publication.
const maxDecisionErrors = 4

// decisions is an immutable list in log order with an index.
type decisions struct {
	list []Decision
	byID map[string]int64
	// dropped is how many were forgotten, so that byID's places stay valid.
	dropped int64
}

func (d *decisions) get(id string) (Decision, bool) {
	at, ok := d.byID[id]
	if !ok {
		return Decision{}, false
	}
	return d.list[at-d.dropped], true
}

// with returns a copy with one more.
func (d *decisions) with(more Decision) *decisions {
	next := &decisions{dropped: d.dropped, byID: make(map[string]int64, len(d.list)+1)}
	keep := d.list
	if len(keep) >= maxDecisions {
		drop := len(keep) - maxDecisions + 1
		keep = keep[drop:]
		next.dropped += int64(drop)
	}
	next.list = append(append(make([]Decision, 0, len(keep)+1), keep...), more)
	for i := range next.list {
		next.byID[next.list[i].ID] = next.dropped + int64(i)
	}
	return next
}

// summarize bounds the text on what a publication changed.
func summarize(object string, changes []Change) string {
	const most = 4
	parts := make([]string, 0, most+1)
	for i, c := range changes {
		if i == most {
			parts = append(parts, fmt.Sprintf("%d more", len(changes)-most))
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
