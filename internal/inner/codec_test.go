package inner

import (
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

var t0 = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

func sampleContext() *callctx.Context {
	return &callctx.Context{
		RequestID:    "0196d2f0-6f4e-7c52-9f0b-6d7f6f0a1c11",
		CallID:       "0196d2f0-6f4e-7c52-9f0b-6d7f6f0a1c12",
		ParentID:     "0196d2f0-6f4e-7c52-9f0b-6d7f6f0a1c10",
		Workspace:    "chikugo",
		Service:      "letters",
		Level:        callctx.LevelHigh,
		Deadline:     t0.Add(1500 * time.Millisecond),
		RootAdmitted: t0.Add(-20 * time.Millisecond),
		Depth:        2,
		CallerHash:   0xdeadbeef,
		Key:          "letter 4711",
		KeyIssued:    t0.Add(-time.Second),
		TraceParent:  "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
	}
}

func sampleCall() *CallHeader {
	h := FromContext(sampleContext(), t0, 3)
	h.BodyHash = 0x1234567890abcdef
	h.TargetIncarnation = "kurume-letters-1.7"
	h.FromNode = "saga-archive-2"
	h.Hlc = 1 << 57
	return h
}

func sampleAnswer() *AnswerHeader {
	return &AnswerHeader{
		CallId: "0196d2f0-6f4e-7c52-9f0b-6d7f6f0a1c12", Code: 1000, UnusedAllowance: 2,
		Load: &Load{InFlight: 90, Queued: 4, Limit: 180, Threshold: 7, Incarnation: "kurume-letters-1.7"},
	}
}

// Guards against a deadline that depends on the clock of the guard's VM. The IDs, the remaining time
// and the age of the root have to be the same, relative to the clock of the guard.
func TestContextIsIndependentOfClockSkew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := sampleContext()
		remaining := rapid.Int64Range(0, MaxRemaining.Microseconds()).Draw(t, "left")
		c.Deadline = t0.Add(micros(remaining))
		skew := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "skew"))
		h, err := DecodeCall(EncodeCall(FromContext(c, t0, 9)))
		must.NoError(t, err)
		must.Eq(t, 9, h.Allowance)
		got := ToContext(h, t0.Add(skew))
		want := *c
		want.Deadline = c.Deadline.Add(skew)
		want.RootAdmitted = c.RootAdmitted.Add(skew)
		must.True(t, want.KeyIssued.Equal(got.KeyIssued))
		got.KeyIssued = want.KeyIssued
		must.Eq(t, want, got)
	})
}

// Guards against a negative remaining time after the deadline. The receiver would reject the header
// as invalid.
func TestPassedDeadlineLeavesZeroRemaining(t *testing.T) {
	c := sampleContext()
	must.Eq(t, 0, FromContext(c, c.Deadline.Add(time.Hour), 0).RemainingUs)
}

// Guards against a field out of bounds that is accepted, or rejected without its name.
func TestDecodeCallNamesTheField(t *testing.T) {
	cases := []struct {
		field   string
		corrupt func(*CallHeader)
	}{
		{"call_id", func(h *CallHeader) { h.CallId = "" }},
		{"call_id", func(h *CallHeader) { h.CallId = strings.Repeat("x", MaxIDLen+1) }},
		{"request_id", func(h *CallHeader) { h.RequestId = "a b" }},
		{"workspace", func(h *CallHeader) { h.Workspace = "" }},
		{"service", func(h *CallHeader) { h.Service = "letters\r\nX: y" }},
		{"level", func(h *CallHeader) { h.Level = callctx.Levels }},
		{"remaining_us", func(h *CallHeader) { h.RemainingUs = -1 }},
		{"root_age_us", func(h *CallHeader) { h.RootAgeUs = MaxRemaining.Microseconds() + 1 }},
		{"depth", func(h *CallHeader) { h.Depth = MaxDepth + 1 }},
		{"allowance", func(h *CallHeader) { h.Allowance = MaxAllowance + 1 }},
		{"key", func(h *CallHeader) { h.Key = "clé" }},
		{"key_issued_ms", func(h *CallHeader) { h.KeyIssuedMs = -5 }},
	}
	for _, c := range cases {
		h := sampleCall()
		c.corrupt(h)
		_, err := DecodeCall(EncodeCall(h))
		var fe *FieldError
		must.ErrorAs[*FieldError](t, err, &fe, must.Sprintf("%s", c.field))
		must.Eq(t, c.field, fe.Field)
	}
}

// Guards against a header that is accepted although it is too long or empty. A call that cannot be
// encoded gives an empty header, which the receiver rejects.
func TestCodecBoundsHeaderLength(t *testing.T) {
	_, err := DecodeCall(strings.Repeat("A", MaxHeaderLen+1))
	must.ErrorIs(t, err, ErrTooLong)
	_, err = DecodeAnswer("")
	must.ErrorIs(t, err, ErrMissing)
	h := sampleCall()
	h.Key = strings.Repeat("k", MaxHeaderLen)
	must.Eq(t, "", EncodeCall(h))
	h.Key = "\xff"
	must.Eq(t, "", EncodeCall(h))
}

// Guards against a failed call during a rolling restart: a newer node sends a field that this node
// does not know. The field is discarded.
func TestUnknownFieldIsDropped(t *testing.T) {
	raw, err := proto.Marshal(sampleCall())
	must.NoError(t, err)
	raw = append(raw, 0xf8, 0x07, 0x01) // field 127, varint 1
	h, err := DecodeCall(base64.RawURLEncoding.EncodeToString(raw))
	must.NoError(t, err)
	must.True(t, proto.Equal(sampleCall(), h))
}

// Guards against fields that change between sender and receiver, and against an HTTP status that is
// accepted as a result code.
func TestAnswerRoundTrip(t *testing.T) {
	h, err := DecodeAnswer(EncodeAnswer(sampleAnswer()))
	must.NoError(t, err)
	must.True(t, proto.Equal(sampleAnswer(), h))
	bad := sampleAnswer()
	bad.Code = 200
	_, err = DecodeAnswer(EncodeAnswer(bad))
	must.ErrorContains(t, err, "code is 200")
}

// Guards against a refusal that is reported as an unknown outcome because of the text of its detail.
func TestRefusalWithAnyDetailDecodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		codes := result.Codes()
		r := &result.Refusal{
			Code:       rapid.SampledFrom(codes).Draw(t, "code"),
			Detail:     string(rapid.SliceOfN(rapid.Byte(), 0, 700).Draw(t, "detail")),
			RetryAfter: time.Duration(rapid.Int64().Draw(t, "after")),
			AllFull:    rapid.Bool().Draw(t, "full"),
		}
		h := FromRefusal("call-1", r)
		before := proto.CloneOf(h)
		got, err := DecodeAnswer(EncodeAnswer(h))
		must.NoError(t, err)
		must.True(t, proto.Equal(before, h), must.Sprint("EncodeAnswer must not change its argument"))
		refusal := ToRefusal(got)
		must.Eq(t, r.Code, refusal.Code)
		must.Eq(t, r.AllFull, refusal.AllFull)
		must.LessEq(t, MaxDetailLen, len(refusal.Detail))
		must.Between(t, 0, refusal.RetryAfter, MaxRetryAfter)
	})
}

// FuzzDecodeCall checks DecodeCall with arbitrary input. Decoding must not panic. A header that it
// accepts has to be equal after encoding and decoding it again.
func FuzzDecodeCall(f *testing.F) {
	f.Add(EncodeCall(sampleCall()))
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, s string) {
		h, err := DecodeCall(s)
		if err != nil {
			return
		}
		reencoded, err := DecodeCall(EncodeCall(h))
		must.NoError(t, err)
		must.True(t, proto.Equal(h, reencoded))
	})
}

// FuzzDecodeAnswer checks the same as FuzzDecodeCall for the header of a response.
func FuzzDecodeAnswer(f *testing.F) {
	f.Add(EncodeAnswer(sampleAnswer()))
	f.Fuzz(func(t *testing.T, s string) {
		h, err := DecodeAnswer(s)
		if err != nil {
			return
		}
		reencoded, err := DecodeAnswer(EncodeAnswer(h))
		must.NoError(t, err)
		must.True(t, proto.Equal(h, reencoded))
	})
}

func BenchmarkEncodeCall(b *testing.B) {
	h := sampleCall()
	b.ReportAllocs()
	for b.Loop() {
		_ = EncodeCall(h)
	}
}

func BenchmarkDecodeCall(b *testing.B) {
	s := EncodeCall(sampleCall())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeCall(s); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodeAnswer(b *testing.B) {
	h := sampleAnswer()
	b.ReportAllocs()
	for b.Loop() {
		_ = EncodeAnswer(h)
	}
}

func BenchmarkDecodeAnswer(b *testing.B) {
	s := EncodeAnswer(sampleAnswer())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeAnswer(s); err != nil {
			b.Fatal(err)
		}
	}
}
