package room

import (
	"encoding/json"
	"net/url"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a request that its guard reads differently than its sender meant it.
func TestRequestSurvivesEncoding(t *testing.T) {
	r := &Request{Kind: 7, Rank: 1 << 31, Objective: 1200 * time.Millisecond, GrantedShare: 0.25, Repeatable: true}
	values, err := url.ParseQuery(r.Encode())
	must.NoError(t, err)
	got, err := DecodeRequest(values.Get)
	must.NoError(t, err)
	must.Eq(t, r, got)
}

// Guards against an answer that its receiver reads differently than the guard meant it.
func TestAnswerSurvivesEncoding(t *testing.T) {
	for _, a := range []Answer{
		{Granted: true, Threshold: OpenThreshold, Tight: true},
		{Reason: ReasonNoRoom, RetryAfter: 250 * time.Millisecond, Threshold: 5},
	} {
		body, err := json.Marshal(a)
		must.NoError(t, err)
		got, err := DecodeAnswer(body)
		must.NoError(t, err)
		must.Eq(t, &a, got)
	}
}

// Guards against a crash, or a request out of bounds, from what another node sends.
func FuzzDecodeRequest(f *testing.F) {
	for _, seed := range []string{"kind=1&rank=2&objective_ms=3&repeatable=1", "kind=0&rank=1&objective_ms=1", "kind=-1", "kind=1&rank=1&objective_ms=1&share_milli=1001", "kind=1&rank=1&objective_ms=1&share_milli=NaN", "kind=1&rank=NaN&objective_ms=1", "kind=1&rank=1&objective_ms=-5", "kind=1&rank=99999999999&objective_ms=1", "%zz"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		values, err := url.ParseQuery(text)
		if err != nil {
			return
		}
		r, err := DecodeRequest(values.Get)
		if err != nil {
			return
		}
		must.Positive(t, r.Kind)
		must.Between(t, 0, r.Objective, maxObjective)
		must.Between(t, -1, r.GrantedShare, 1)
	})
}

// Guards against a crash, or a delay out of bounds, from what a guard answers.
func FuzzDecodeAnswer(f *testing.F) {
	for _, seed := range []string{`{"granted":true,"threshold":4294967295}`, `{"reason":"rank","retry_ms":100,"threshold":1,"tight":true}`, `{}`, `{"retry_ms":-1,"reason":"rank"}`, `{"retry_ms":1e300}`, `{"granted":true,"reason":"rank"}`, `{"reason":"unknown"}`, `nul`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := DecodeAnswer(body)
		if err != nil {
			return
		}
		must.Between(t, 0, a.RetryAfter, maxRetryAfter)
		must.EqOp(t, a.Granted, a.Reason == "")
	})
}
