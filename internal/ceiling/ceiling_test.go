package ceiling

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const scarceServiceJSON = `[{"name": "short", "seconds": 10,
  "upstreams": [{"slots": 15, "call_ms": 50}],
  "kinds": [
    {"name": "filing", "rate": 20, "worth": 3, "calls": 8},
    {"name": "lookup", "rate": 100, "worth": 1, "calls": 4},
    {"name": "upload", "rate": 5, "worth": 2, "calls": 0}]}]`

// Guards against an allotment that ignores worth per call. The upstream runs 300 calls
// per second. All 20 filings take 160 of them, at 8 calls each. The remaining 140 are
// enough for 35 of the 100 lookups, at 4 calls each. Uploads make no calls.
func TestBoundOfScarceService(t *testing.T) {
	windows, err := Read(strings.NewReader(scarceServiceJSON))
	must.NoError(t, err)
	r := windows[0].Bound()
	must.InDelta(t, 1.0, r.Kinds[0].AchievableShare, 1e-9)
	must.InDelta(t, 0.35, r.Kinds[1].AchievableShare, 1e-9)
	must.InDelta(t, 1.0, r.Kinds[2].AchievableShare, 1e-9)
	must.InDelta(t, (60.0+35+10)/170, r.AchievableShare, 1e-9)
}

// Guards against a bound that ignores random refusals: each call succeeds with a
// probability of 45 %, so a request of 8 calls in sequence succeeds only once in
// about 600.
func TestBoundOfRandomRefusals(t *testing.T) {
	w := Window{Seconds: 1, Refused: 0.55, Upstreams: []Upstream{{1000, 1}}, Kinds: []Kind{
		{Name: "filing", Rate: 10, Worth: 3, Calls: 8}, {Name: "notice", Rate: 10, Worth: 1, Calls: 1, Tries: 2},
	}}
	must.NoError(t, w.setDefaultsAndValidate())
	r := w.Bound()
	must.InDelta(t, 0.00168, r.Kinds[0].SuccessShare, 1e-4)
	must.InDelta(t, 1-0.55*0.55, r.Kinds[1].SuccessShare, 1e-9)
}

// Guards against windows with invalid values or unknown fields that pass validation.
func TestFieldsOutOfBounds(t *testing.T) {
	for doc, want := range map[string]string{
		`[{"name": "x", "seconds": 0}]`:                               `window "x": seconds is 0, must be 0.001 to 1e+06`,
		`[{"seconds": 1, "refused": 1.5}]`:                            "refused is 1.5, must be 0 to 1",
		`[{"seconds": 1, "kinds": [{"rate": -1}]}]`:                   "kinds.rate is -1",
		`[{"seconds": 1, "upstreams": [{"slots": 0, "call_ms": 1}]}]`: "upstreams.slots is 0",
		`[{"seconds": 1, "slots": 3}]`:                                `unknown field "slots"`,
	} {
		_, err := Read(strings.NewReader(doc))
		must.ErrorContains(t, err, want)
	}
}

// Guards against a bound that is too low: no random allocation within the capacity and
// the success shares achieves more worth.
func TestNoAllocationBeatsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Window{Seconds: 1, Refused: rapid.Float64Range(0, 0.9).Draw(t, "refused"), Partitioned: rapid.Float64Range(0, 1).Draw(t, "apart")}
		for range rapid.IntRange(0, 3).Draw(t, "upstreams") {
			w.Upstreams = append(w.Upstreams, Upstream{rapid.Float64Range(1, 50).Draw(t, "slots"), rapid.Float64Range(10, 200).Draw(t, "ms")})
		}
		for range rapid.IntRange(1, 5).Draw(t, "kinds") {
			w.Kinds = append(w.Kinds, Kind{
				Rate:  rapid.Float64Range(0, 200).Draw(t, "rate"),
				Worth: rapid.Float64Range(0, 5).Draw(t, "worth"),
				Calls: float64(rapid.IntRange(0, 8).Draw(t, "calls")),
				Tries: float64(rapid.IntRange(1, 3).Draw(t, "tries")),
			})
		}
		if err := w.setDefaultsAndValidate(); err != nil {
			t.Fatal(err)
		}
		bound := w.Bound()
		remaining, worth := w.capacity(), 0.0
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4}[:len(w.Kinds)]).Draw(t, "order") {
			k := &w.Kinds[i]
			served := k.Rate * w.successShare(k) * rapid.Float64Range(0, 1).Draw(t, "taken")
			if cost := k.Calls * k.Length; cost > 0 {
				served = min(served, remaining/cost)
				remaining -= served * cost
			}
			worth += served * k.Worth
		}
		if worth > bound.AchievableShare*bound.Offered+1e-6 {
			t.Fatalf("a random allocation achieves a worth of %v, above the bound of %v", worth, bound.AchievableShare*bound.Offered)
		}
	})
}
