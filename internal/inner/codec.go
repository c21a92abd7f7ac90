package inner

import (
	"encoding/base64"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
)

const (
	// HeaderCall carries a CallHeader from an entry to a guard.
	HeaderCall = "Galena-Inner-Call"
	// HeaderAnswer carries an AnswerHeader back.
	HeaderAnswer = "Galena-Inner-Answer"
	// MaxHeaderLen bounds the encoded form of either header, in bytes. A
	// call with every name at its bound takes about a third of it.
	MaxHeaderLen = 4096
)

// CallHeader is the context of one call between an entry and a guard.
type CallHeader = innerpb.CallHeader

// AnswerHeader goes back with every answer of a guard.
type AnswerHeader = innerpb.AnswerHeader

// Load is what a guard says of itself.
type Load = innerpb.Load

var (
	// ErrTooLong is returned for a header above MaxHeaderLen.
	ErrTooLong = errors.New("inner header is longer than 4096 bytes")
	// ErrMissing is returned for an empty header.
	ErrMissing = errors.New("inner header is missing")
)

// Unknown fields are dropped, not refused: during a rolling restart newer
// nodes call older ones.
var unmarshal = proto.UnmarshalOptions{DiscardUnknown: true}

// scratch holds the buffers of one encoding or decoding.
type scratch struct {
	raw  []byte
	text []byte
}

var scratches = sync.Pool{New: func() any {
	return &scratch{
		raw:  make([]byte, 0, MaxHeaderLen),
		text: make([]byte, 0, MaxHeaderLen),
	}
}}

// EncodeCall returns the value of HeaderCall. It is empty when a field isn't
// valid UTF-8 or the header exceeds MaxHeaderLen; DecodeCall refuses that.
func EncodeCall(h *CallHeader) string { return encode(h) }

// EncodeAnswer returns the value of HeaderAnswer, with the rules of EncodeCall.
// A detail that is too long or not printable ASCII is made to fit, and so is a
// pause out of bounds.
func EncodeAnswer(h *AnswerHeader) string { return encode(withinBounds(h)) }

// DecodeCall reads and checks the value of HeaderCall. The error names the
// field, its value and the bound.
func DecodeCall(s string) (*CallHeader, error) {
	h := &CallHeader{}
	if err := decode(s, h); err != nil {
		return nil, err
	}
	if err := checkCall(h); err != nil {
		return nil, err
	}
	return h, nil
}

// DecodeAnswer reads and checks the value of HeaderAnswer.
func DecodeAnswer(s string) (*AnswerHeader, error) {
	h := &AnswerHeader{}
	if err := decode(s, h); err != nil {
		return nil, err
	}
	if err := checkAnswer(h); err != nil {
		return nil, err
	}
	return h, nil
}

func encode(m proto.Message) string {
	sc := scratches.Get().(*scratch)
	defer scratches.Put(sc)
	raw, err := proto.MarshalOptions{}.MarshalAppend(sc.raw[:0], m)
	if err != nil {
		return ""
	}
	if base64.RawURLEncoding.EncodedLen(len(raw)) > MaxHeaderLen {
		return ""
	}
	sc.raw = raw
	sc.text = base64.RawURLEncoding.AppendEncode(sc.text[:0], raw)
	return string(sc.text)
}

func decode(s string, m proto.Message) error {
	if s == "" {
		return ErrMissing
	}
	if len(s) > MaxHeaderLen {
		return ErrTooLong
	}
	sc := scratches.Get().(*scratch)
	defer scratches.Put(sc)
	sc.text = append(sc.text[:0], s...)
	raw, err := base64.RawURLEncoding.Strict().AppendDecode(sc.raw[:0], sc.text)
	if err != nil {
		return errors.Wrap(err, "inner header is not base64url")
	}
	sc.raw = raw
	if err := unmarshal.Unmarshal(raw, m); err != nil {
		return errors.Wrap(err, "inner header is not a valid message")
	}
	return nil
}
