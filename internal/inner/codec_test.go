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

// A guard on another clock sees the same call: IDs as sent, the same time
// left and the same age of the root, counted from its own now.
func TestContextSurvivesAnotherClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := sampleContext()
		left := rapid.Int64Range(0, MaxRemaining.Microseconds()).Draw(t, "left")
		c.Deadline = t0.Add(micros(left))
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
		must.Eq(t, want, *got)
	})
}

func TestPassedDeadlineIsSentAsZero(t *testing.T) {
	c := sampleContext()
	must.Eq(t, 0, FromContext(c, c.Deadline.Add(time.Hour), 0).RemainingUs)
}

func TestDecodeCallNamesTheField(t *testing.T) {
	cases := []struct {
		field string
		spoil func(*CallHeader)
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
		c.spoil(h)
		_, err := DecodeCall(EncodeCall(h))
		var fe *FieldError
		must.ErrorAs[*FieldError](t, err, &fe, must.Sprintf("%s", c.field))
		must.Eq(t, c.field, fe.Field)
	}
}

func TestDecodeBoundsTheSize(t *testing.T) {
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

// A newer node in a rolling restart sends a field that this one lacks: the
// call is taken, and the field isn't kept.
func TestUnknownFieldIsDropped(t *testing.T) {
	raw, err := proto.Marshal(sampleCall())
	must.NoError(t, err)
	raw = append(raw, 0xf8, 0x07, 0x01) // field 127, varint 1
	h, err := DecodeCall(base64.RawURLEncoding.EncodeToString(raw))
	must.NoError(t, err)
	must.True(t, proto.Equal(sampleCall(), h))
}

func TestAnswerRoundTrip(t *testing.T) {
	h, err := DecodeAnswer(EncodeAnswer(sampleAnswer()))
	must.NoError(t, err)
	must.True(t, proto.Equal(sampleAnswer(), h))
	bad := sampleAnswer()
	bad.Code = 200
	_, err = DecodeAnswer(EncodeAnswer(bad))
	must.ErrorContains(t, err, "code is 200")
}

// Guards against a refusal turned into an unknown outcome by the text of its detail.
func TestRefusalSurvivesAnyDetail(t *testing.T) {
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
		must.True(t, proto.Equal(before, h), must.Sprint("the caller's header isn't touched"))
		back := ToRefusal(got)
		must.Eq(t, r.Code, back.Code)
		must.Eq(t, r.AllFull, back.AllFull)
		must.LessEq(t, MaxDetailLen, len(back.Detail))
		must.Between(t, 0, back.RetryAfter, MaxRetryAfter)
	})
}

// Whatever arrives, decoding doesn't panic, and what it accepts is encoded to
// a header that it accepts again with the same meaning.
func FuzzDecodeCall(f *testing.F) {
	f.Add(EncodeCall(sampleCall()))
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, s string) {
		h, err := DecodeCall(s)
		if err != nil {
			return
		}
		again, err := DecodeCall(EncodeCall(h))
		must.NoError(t, err)
		must.True(t, proto.Equal(h, again))
	})
}

func FuzzDecodeAnswer(f *testing.F) {
	f.Add(EncodeAnswer(sampleAnswer()))
	f.Fuzz(func(t *testing.T, s string) {
		h, err := DecodeAnswer(s)
		if err != nil {
			return
		}
		again, err := DecodeAnswer(EncodeAnswer(h))
		must.NoError(t, err)
		must.True(t, proto.Equal(h, again))
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
