package share

import (
	"fmt"
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Bounds of what operators set for a workspace.
const (
	// MinWeight and MaxWeight bound a weight. A workspace without a quota or an override has weight 1.
	MinWeight, MaxWeight = 0.001, 1000
	// MaxRate bounds a least and a most rate, in requests per second.
	MaxRate = 10_000_000
	// MaxOverrides bounds the overrides of a settings file.
	MaxOverrides = 16384
)

// Terms are what a workspace is entitled to.
type Terms struct {
	// Weight divides room among workspaces; the average workspace has weight 1.
	Weight float64
	// Least is the rate in requests per second that goes before all shares.
	Least float64
	// Most is the rate in requests per second beyond which requests go after all shares; +Inf if there
	// is none.
	Most float64
	// OwnLevel reports whether all requests of the workspace have Level. Otherwise their routes set it.
	OwnLevel bool
	Level    callctx.Level
}

// defaultTerms are the terms of a workspace of which nothing is known.
var defaultTerms = Terms{Weight: 1, Most: math.Inf(1)}

// Workspace is a workspace of the configuration.
type Workspace struct {
	Name string
	// Rate is its quota in requests per second; 0 means no quota.
	Rate float64
	// Level is the level of all of its requests; nil if their routes set it.
	Level *callctx.Level
}

// Override is what operators set for one workspace. A nil field leaves the default.
type Override struct {
	Workspace           string
	Weight, Least, Most *float64
	// Until is the time at which the override ends; zero means never.
	Until time.Time
}

// FieldError describes an invalid field of an override.
type FieldError struct {
	// Field is the name in the settings, such as "weight".
	Field, Value, Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("share: %s is %s, must be %s", e.Field, e.Value, e.Bound)
}

// Validate returns a *FieldError for the first field out of bounds. NaN is out of all bounds.
func (o *Override) Validate() error {
	for _, x := range []struct {
		field     string
		value     *float64
		low, high float64
	}{
		{"weight", o.Weight, MinWeight, MaxWeight},
		{"least", o.Least, 0, MaxRate},
		{"most", o.Most, 0, MaxRate},
	} {
		if x.value != nil && !(*x.value >= x.low && *x.value <= x.high) {
			return &FieldError{x.field, fmt.Sprint(*x.value), fmt.Sprintf("%g to %g", x.low, x.high)}
		}
	}
	if o.Least != nil && o.Most != nil && *o.Least > *o.Most {
		return &FieldError{"least", fmt.Sprint(*o.Least), fmt.Sprintf("at most most, which is %g", *o.Most)}
	}
	return nil
}

// Book holds the terms of all workspaces of a configuration. It is immutable.
type Book struct {
	byName  map[string]Terms
	groups  [groupCount]group
	expires time.Time
	ignored []string
}

// group sums the workspaces that have the same level of their own, or none.
type group struct {
	count  int
	weight float64
}

// groupCount is the number of groups: one for each level, and one for workspaces without one.
const groupCount = callctx.Levels + 1

// group returns the index of the group of a workspace.
func (t *Terms) group() int {
	if t.OwnLevel {
		return int(t.Level)
	}
	return callctx.Levels
}

// NewBook returns the terms in force at now. The weight of a workspace is that of its override, else its
// quota relative to the mean quota, else 1. Overrides that are invalid or name unknown workspaces are
// ignored; Ignored names them.
func NewBook(workspaces []Workspace, overrides []Override, now time.Time) *Book {
	b := &Book{byName: make(map[string]Terms, len(workspaces))}
	mean := meanQuota(workspaces)
	for i := range workspaces {
		b.add(&workspaces[i], mean)
	}
	for i := range overrides {
		b.override(&overrides[i], now)
	}
	for _, t := range b.byName {
		g := &b.groups[t.group()]
		g.count++
		g.weight += t.Weight
	}
	return b
}

func (b *Book) add(w *Workspace, meanQuota float64) {
	t := defaultTerms
	if w.Rate > 0 {
		t.Weight = min(max(w.Rate/meanQuota, MinWeight), MaxWeight)
	}
	if w.Level != nil {
		t.OwnLevel, t.Level = true, min(*w.Level, callctx.LevelLow)
	}
	b.byName[w.Name] = t
}

func (b *Book) override(o *Override, now time.Time) {
	if !o.Until.IsZero() && !now.Before(o.Until) {
		return
	}
	t, known := b.byName[o.Workspace]
	if !known || o.Validate() != nil {
		b.ignored = append(b.ignored, o.Workspace)
		return
	}
	if !o.Until.IsZero() && (b.expires.IsZero() || o.Until.Before(b.expires)) {
		b.expires = o.Until
	}
	if o.Weight != nil {
		t.Weight = *o.Weight
	}
	if o.Least != nil {
		t.Least = *o.Least
	}
	if o.Most != nil {
		t.Most = *o.Most
	}
	b.byName[o.Workspace] = t
}

// meanQuota returns the mean of the quotas of the workspaces that have one.
func meanQuota(workspaces []Workspace) float64 {
	sum, n := 0.0, 0
	for i := range workspaces {
		if workspaces[i].Rate > 0 {
			sum += workspaces[i].Rate
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// Of returns the terms of a workspace.
func (b *Book) Of(workspace string) Terms {
	if t, known := b.byName[workspace]; known {
		return t
	}
	return defaultTerms
}

// Workspaces returns the number of workspaces.
func (b *Book) Workspaces() int { return len(b.byName) }

// Expired reports whether an override has ended, so that a new Book is needed.
func (b *Book) Expired(now time.Time) bool { return !b.expires.IsZero() && !now.Before(b.expires) }

// Ignored returns the workspaces of the overrides that were ignored.
func (b *Book) Ignored() []string { return b.ignored }
