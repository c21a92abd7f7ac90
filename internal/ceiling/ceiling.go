// Package ceiling computes an upper bound on the worth that admission can achieve.
// Worth is the value of the requests that get their response in time. The bound is
// the share of the offered worth that the scarcest service of a call graph has the
// capacity for, regardless of the admission policy. The results of runs are compared
// with it. The computation does no I/O and reads no clock.
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

// Upstream is one upstream of the scarce service, that is, the service with the least
// capacity for its load.
type Upstream struct {
	// Slots is the number of calls that the upstream runs at a time.
	Slots float64 `json:"slots"`
	// CallMS is the mean duration of a call at this upstream, in milliseconds.
	CallMS float64 `json:"call_ms"`
}

// Kind is one kind of request.
type Kind struct {
	Name string `json:"name"`
	// Rate is the number of requests per second.
	Rate float64 `json:"rate"`
	// Worth is the value of one request that gets its response in time.
	Worth float64 `json:"worth"`
	// Calls is the number of sequential calls that a request makes to the scarce
	// service; 0 for a kind that doesn't use it.
	Calls float64 `json:"calls"`
	// Length is the duration of its calls as a multiple of CallMS. Default 1.
	Length float64 `json:"length"`
	// Tries is the maximum number of attempts per request. Default 1.
	Tries float64 `json:"tries"`
}

// Window is a period with constant load, capacity and faults.
type Window struct {
	Name      string     `json:"name"`
	Seconds   float64    `json:"seconds"`
	Kinds     []Kind     `json:"kinds"`
	Upstreams []Upstream `json:"upstreams"`
	// Refused is the probability that the scarce service refuses a call.
	Refused float64 `json:"refused"`
	// Partitioned is the share of callers that a partition separates from the scarce
	// service.
	Partitioned float64 `json:"apart"`
}

// KindBound is the bound for one kind of request.
type KindBound struct {
	Name string `json:"name"`
	// SuccessShare is the share of requests that would succeed with unlimited slots.
	SuccessShare float64 `json:"chance"`
	// AchievableShare is the share of requests that can succeed with the slots of the
	// window.
	AchievableShare float64 `json:"fits"`
}

// Result is the bound of a window.
type Result struct {
	Name string `json:"name"`
	// Offered is the total worth of all requests, AchievableShare the share of it that
	// can be achieved.
	Offered         float64     `json:"offered"`
	AchievableShare float64     `json:"fits"`
	Kinds           []KindBound `json:"kinds"`
}

// Read decodes windows from JSON, sets defaults and validates them. Unknown fields are
// errors.
func Read(r io.Reader) ([]Window, error) {
	var windows []Window
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&windows); err != nil {
		return nil, errors.Wrap(err, "decode windows")
	}
	for i := range windows {
		if err := windows[i].setDefaultsAndValidate(); err != nil {
			return nil, err
		}
	}
	return windows, nil
}

// setDefaultsAndValidate sets defaults and returns an error that names the first field
// out of bounds, its value and its bounds.
func (w *Window) setDefaultsAndValidate() error {
	checks := []fieldBounds{{"seconds", w.Seconds, 0.001, 1e6}, {"refused", w.Refused, 0, 1}, {"apart", w.Partitioned, 0, 1}}
	for i := range w.Upstreams {
		u := &w.Upstreams[i]
		checks = append(checks, fieldBounds{"upstreams.slots", u.Slots, 1, 1 << 16}, fieldBounds{"upstreams.call_ms", u.CallMS, 0.001, 1e6})
	}
	for i := range w.Kinds {
		k := &w.Kinds[i]
		k.Length = cmp.Or(k.Length, 1)
		k.Tries = cmp.Or(k.Tries, 1)
		checks = append(checks, fieldBounds{"kinds.rate", k.Rate, 0, 1e9}, fieldBounds{"kinds.worth", k.Worth, 0, 1e9},
			fieldBounds{"kinds.calls", k.Calls, 0, 1000}, fieldBounds{"kinds.length", k.Length, 0.001, 1000}, fieldBounds{"kinds.tries", k.Tries, 1, 100})
	}
	for _, c := range checks {
		if math.IsNaN(c.value) || c.value < c.min || c.value > c.max {
			return errors.Errorf("window %q: %s is %v, must be %v to %v", w.Name, c.field, c.value, c.min, c.max)
		}
	}
	return nil
}

// fieldBounds is the value of a field with its bounds.
type fieldBounds struct {
	field           string
	value, min, max float64
}

// capacity returns the number of calls of Length 1 that the scarce service can run in
// the window.
func (w *Window) capacity() float64 {
	sum := 0.0
	for _, u := range w.Upstreams {
		sum += u.Slots * 1000 / u.CallMS
	}
	return sum * w.Seconds
}

// successShare returns the probability that a request of kind k succeeds within its
// attempts, given random refusals and partitions but unlimited slots.
func (w *Window) successShare(k *Kind) float64 {
	if k.Calls == 0 {
		return 1
	}
	attemptSuccess := math.Pow(1-w.Refused, k.Calls)
	return (1 - w.Partitioned) * (1 - math.Pow(1-attemptSuccess, k.Tries))
}

// Bound returns the bound of the window. It allots the capacity to whole requests in
// descending order of worth per call. Requests that fail are assumed to use no
// capacity, so no allocation achieves more.
func (w *Window) Bound() Result {
	out := Result{Name: w.Name, Kinds: make([]KindBound, len(w.Kinds))}
	byDensity := make([]int, len(w.Kinds))
	for i := range byDensity {
		byDensity[i] = i
	}
	slices.SortStableFunc(byDensity, func(a, b int) int { return cmp.Compare(w.density(b), w.density(a)) })
	remaining, achieved := w.capacity(), 0.0
	for _, i := range byDensity {
		k := &w.Kinds[i]
		offered := k.Rate * w.Seconds
		served := offered * w.successShare(k)
		if cost := k.Calls * k.Length; cost > 0 {
			served = min(served, remaining/cost)
			remaining -= served * cost
		}
		out.Kinds[i] = KindBound{Name: k.Name, SuccessShare: w.successShare(k), AchievableShare: ratio(served, offered)}
		out.Offered += offered * k.Worth
		achieved += served * k.Worth
	}
	out.AchievableShare = ratio(achieved, out.Offered)
	return out
}

// density returns the worth of kind i per call of Length 1; infinite for a kind that
// makes no calls.
func (w *Window) density(i int) float64 {
	k := &w.Kinds[i]
	if k.Calls == 0 {
		return math.Inf(1)
	}
	return k.Worth / (k.Calls * k.Length)
}

// ratio returns part/whole, and 1 for an empty whole.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// String formats the result as one line.
func (r Result) String() string {
	line := fmt.Sprintf("%-24s fits %.3f of the worth", r.Name, r.AchievableShare)
	for _, k := range r.Kinds {
		line += fmt.Sprintf("; %s %.2f", k.Name, k.AchievableShare)
	}
	return line
}
