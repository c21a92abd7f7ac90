// Package ceiling works out how much of the worth that callers ask for the scarcest
// service of a graph leaves room for, whatever decides on them: an upper bound to
// measure admission against. It is pure: no I/O, no clock.
package ceiling

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/pkg/errors"
)

// Upstream is one upstream of the scarce service.
type Upstream struct {
	// Slots is how many calls it runs at once.
	Slots float64 `json:"slots"`
	// CallMS is how long a call takes there on average, in milliseconds.
	CallMS float64 `json:"call_ms"`
}

// Kind is one kind of request.
type Kind struct {
	Name string `json:"name"`
	// Rate is how many callers ask each second.
	Rate float64 `json:"rate"`
	// Worth is that of one request answered in time.
	Worth float64 `json:"worth"`
	// Calls of the scarce service that a request makes, one after the other; 0 for a
	// kind that needs none.
	Calls float64 `json:"calls"`
	// Length is how long its calls take, in usual calls. Default 1.
	Length float64 `json:"length"`
	// Tries is how often a caller sends a request at most. Default 1.
	Tries float64 `json:"tries"`
}

// Window is a time in which nothing changes.
type Window struct {
	Name      string     `json:"name"`
	Seconds   float64    `json:"seconds"`
	Kinds     []Kind     `json:"kinds"`
	Upstreams []Upstream `json:"upstreams"`
	// Refused is the share of calls that the scarce service refuses at random.
	Refused float64 `json:"refused"`
	// Partitioned is the share of callers who are cut off from the scarce service.
	Partitioned float64 `json:"apart"`
}

// Share is what fits of one kind.
type Share struct {
	Name string `json:"name"`
	// Chance is the part that would be answered with slots without end.
	Chance float64 `json:"chance"`
	// Fits is the part that the slots leave room for.
	Fits float64 `json:"fits"`
}

// Result is the bound of a window.
type Result struct {
	Name string `json:"name"`
	// Offered is the worth that callers ask for, Fits the part of it that is possible.
	Offered float64 `json:"offered"`
	Fits    float64 `json:"fits"`
	Kinds   []Share `json:"kinds"`
}

// Read decodes and validates windows; unknown fields are errors.
func Read(r io.Reader) ([]Window, error) {
	var windows []Window
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&windows); err != nil {
		return nil, errors.Wrap(err, "windows")
	}
	for i := range windows {
		if err := windows[i].complete(); err != nil {
			return nil, err
		}
	}
	return windows, nil
}

// complete fills in defaults and returns an error that names the first field out of
// bounds, its value and the bound.
func (w *Window) complete() error {
	checks := []bound{{"seconds", w.Seconds, 0.001, 1e6}, {"refused", w.Refused, 0, 1}, {"apart", w.Partitioned, 0, 1}}
	for i := range w.Upstreams {
		u := &w.Upstreams[i]
		checks = append(checks, bound{"upstreams.slots", u.Slots, 1, 1 << 16}, bound{"upstreams.call_ms", u.CallMS, 0.001, 1e6})
	}
	for i := range w.Kinds {
		k := &w.Kinds[i]
		k.Length = cmp.Or(k.Length, 1)
		k.Tries = cmp.Or(k.Tries, 1)
		checks = append(checks, bound{"kinds.rate", k.Rate, 0, 1e9}, bound{"kinds.worth", k.Worth, 0, 1e9},
			bound{"kinds.calls", k.Calls, 0, 1000}, bound{"kinds.length", k.Length, 0.001, 1000}, bound{"kinds.tries", k.Tries, 1, 100})
	}
	for _, c := range checks {
		if math.IsNaN(c.value) || c.value < c.least || c.value > c.most {
			return errors.Errorf("window %q: %s is %v, must be %v to %v", w.Name, c.field, c.value, c.least, c.most)
		}
	}
	return nil
}

// bound is a field with its bounds.
type bound struct {
	field              string
	value, least, most float64
}

// capacity is how many usual calls the scarce service runs in the window.
func (w *Window) capacity() float64 {
	sum := 0.0
	for _, u := range w.Upstreams {
		sum += u.Slots * 1000 / u.CallMS
	}
	return sum * w.Seconds
}

// chance is the part of a kind that lots and cuts leave, all tries together.
func (w *Window) chance(k *Kind) float64 {
	if k.Calls == 0 {
		return 1
	}
	once := math.Pow(1-w.Refused, k.Calls)
	return (1 - w.Partitioned) * (1 - math.Pow(1-once, k.Tries))
}

// Bound returns what fits into the window: whole requests, those worth most for the
// room that they take first. Requests that fail are taken to need no room, so nothing
// can do better.
func (w *Window) Bound() Result {
	out := Result{Name: w.Name, Kinds: make([]Share, len(w.Kinds))}
	order := make([]int, len(w.Kinds))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(w.density(b), w.density(a)) })
	left, fits := w.capacity(), 0.0
	for _, i := range order {
		k := &w.Kinds[i]
		offered := k.Rate * w.Seconds
		served := offered * w.chance(k)
		if room := k.Calls * k.Length; room > 0 {
			served = min(served, left/room)
			left -= served * room
		}
		out.Kinds[i] = Share{Name: k.Name, Chance: w.chance(k), Fits: share(served, offered)}
		out.Offered += offered * k.Worth
		fits += served * k.Worth
	}
	out.Fits = share(fits, out.Offered)
	return out
}

// density is the worth of a kind for the room that it takes.
func (w *Window) density(i int) float64 {
	k := &w.Kinds[i]
	if k.Calls == 0 {
		return math.Inf(1)
	}
	return k.Worth / (k.Calls * k.Length)
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// String says the result in one line.
func (r Result) String() string {
	line := fmt.Sprintf("%-24s fits %.3f of the worth", r.Name, r.Fits)
	for _, k := range r.Kinds {
		line += fmt.Sprintf("; %s %.2f", k.Name, k.Fits)
	}
	return line
}
