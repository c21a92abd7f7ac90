package inner

import (
	"encoding/base64"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
)

const (
	// HeaderCall is the header that carries a CallHeader from an entry node to a guard.
	HeaderCall = "Galena-Inner-Call"
	// HeaderAnswer is the header that carries an AnswerHeader back to the entry node.
	HeaderAnswer = "Galena-Inner-Answer"
	// MaxHeaderLen limits the encoded length of either header, in bytes. A call with all names at
	// their maximum length uses about a third of it.
	MaxHeaderLen = 4096
)

// CallHeader is the context of a call from an entry node to a guard.
type CallHeader = innerpb.CallHeader

// AnswerHeader is part of every response of a guard.
type AnswerHeader = innerpb.AnswerHeader

// Load is the load report of a guard.
type Load = innerpb.Load

var (
	// ErrTooLong is returned for a header longer than MaxHeaderLen.
	ErrTooLong = errors.New("inner header is longer than 4096 bytes")
	// ErrMissing is returned for an empty header.
	ErrMissing = errors.New("inner header is missing")
)

// Unknown fields are discarded instead of rejected: during a rolling restart newer nodes call older
// ones.
var unmarshalOptions = proto.UnmarshalOptions{DiscardUnknown: true}

// codecBuffers contains the reusable buffers of one encoding or decoding.
type codecBuffers struct {
	raw  []byte
	text []byte
}

var bufferPool = sync.Pool{New: func() any {
	return &codecBuffers{
		raw:  make([]byte, 0, MaxHeaderLen),
		text: make([]byte, 0, MaxHeaderLen),
	}
}}

// EncodeCall returns the value of HeaderCall. It returns an empty string, which DecodeCall rejects,
// if a field is not valid UTF-8 or the header exceeds MaxHeaderLen.
func EncodeCall(h *CallHeader) string { return encode(h) }

// EncodeAnswer returns the value of HeaderAnswer, or an empty string under the conditions of
// EncodeCall. A detail that is too long or not printable ASCII, and a retry delay out of bounds, are
// changed to valid values.
func EncodeAnswer(h *AnswerHeader) string { return encode(clampAnswer(h)) }

// DecodeCall decodes and checks the value of HeaderCall. A *FieldError names the field, its value
// and the limit.
func DecodeCall(s string) (*CallHeader, error) {
	h := &CallHeader{}
	if err := DecodeCallInto(h, s); err != nil {
		return nil, err
	}
	return h, nil
}

// DecodeCallInto is DecodeCall for a header that the caller provides. After an error its fields are
// undefined.
func DecodeCallInto(h *CallHeader, s string) error {
	if err := decode(s, h); err != nil {
		return err
	}
	return checkCall(h)
}

// DecodeAnswer decodes and checks the value of HeaderAnswer.
func DecodeAnswer(s string) (*AnswerHeader, error) {
	h := &AnswerHeader{}
	if err := DecodeAnswerInto(h, s); err != nil {
		return nil, err
	}
	return h, nil
}

// DecodeAnswerInto is DecodeAnswer for a header that the caller provides. After an error its fields are
// undefined.
func DecodeAnswerInto(h *AnswerHeader, s string) error {
	if err := decode(s, h); err != nil {
		return err
	}
	return checkAnswer(h)
}

func encode(m proto.Message) string {
	bufs := bufferPool.Get().(*codecBuffers)
	defer bufferPool.Put(bufs)
	raw, err := proto.MarshalOptions{}.MarshalAppend(bufs.raw[:0], m)
	if err != nil {
		return ""
	}
	if base64.RawURLEncoding.EncodedLen(len(raw)) > MaxHeaderLen {
		return ""
	}
	bufs.raw = raw
	bufs.text = base64.RawURLEncoding.AppendEncode(bufs.text[:0], raw)
	return string(bufs.text)
}

func decode(s string, m proto.Message) error {
	if s == "" {
		return ErrMissing
	}
	if len(s) > MaxHeaderLen {
		return ErrTooLong
	}
	bufs := bufferPool.Get().(*codecBuffers)
	defer bufferPool.Put(bufs)
	bufs.text = append(bufs.text[:0], s...)
	raw, err := base64.RawURLEncoding.Strict().AppendDecode(bufs.raw[:0], bufs.text)
	if err != nil {
		return errors.Wrap(err, "inner header is not base64url")
	}
	bufs.raw = raw
	if err := unmarshalOptions.Unmarshal(raw, m); err != nil {
		return errors.Wrap(err, "inner header is not a valid message")
	}
	return nil
}
