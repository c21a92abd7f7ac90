package h1

import (
	"errors"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/galenagrade/galenagrade/internal/membudget"
)

const (
	// maxHeadBytes is the maximum size of the header of a response, with the informational responses
	// before it, and of the trailer of a chunked body.
	maxHeadBytes = 64 << 10
	// framingPerByte is how many bytes of chunked framing one byte of a body may take: a chunk of one
	// byte has five.
	framingPerByte = 8
	// maxFramingBytes bounds the unused allowance for framing, which a trailer could use.
	maxFramingBytes = 8 * maxHeadBytes
	// unchargedBody is the size in bytes up to which a body takes nothing of the budget. The number of
	// such bodies is bounded by that of the calls.
	unchargedBody = membudget.SmallBody
	// memoryPatience is how long a body waits for memory: garbage is collected within that time.
	memoryPatience = 200 * time.Millisecond
	// firstCapacity is the initial capacity in bytes for a body of unknown length.
	firstCapacity = 4 << 10
)

var errTooManyBytes = errors.New("more bytes than a response may have")

// limitedReader reads from a connection until its allowance is used up.
type limitedReader struct {
	src io.Reader
	// left is the number of bytes that may still be read.
	left     int64
	exceeded bool
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		l.exceeded = true
		return 0, errTooManyBytes
	}
	n, err := l.src.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// bodyAllowance returns how many bytes may be read for a body before more of it has arrived. A stated
// length is a bound by itself.
func bodyAllowance(length int64) int64 {
	if length >= 0 {
		return math.MaxInt64
	}
	return maxHeadBytes
}

// readableTo returns the end of the part of a body that one read may fill, from its size to its capacity. A
// read of chunks returns only when that part is full, and must not use up the allowance before it is extended.
func (c *conn) readableTo(size, capacity int, length int64) int {
	if length >= 0 {
		return capacity
	}
	return min(capacity, size+max(1, int(c.limited.left/framingPerByte)))
}

// extend allows the framing and the successors of n bytes of a body.
func (l *limitedReader) extend(n int) {
	l.left = min(l.left+int64(n)*framingPerByte, maxFramingBytes)
}

// readBody reads a body of the given length, or to the end of src if length is negative.
func (c *conn) readBody(src io.Reader, length, maxBody int64) ([]byte, error) {
	if length > maxBody {
		return nil, tooLarge("Content-Length is " + strconv.FormatInt(length, 10))
	}
	if length >= 0 && length <= unchargedBody {
		body := make([]byte, length)
		_, err := io.ReadFull(src, body)
		return body, c.bodyError(err)
	}
	return c.readGrowing(src, length, maxBody)
}

// readGrowing reads a body into memory that grows with what has arrived, since a server may announce or
// send more than it should.
func (c *conn) readGrowing(src io.Reader, length, maxBody int64) ([]byte, error) {
	var body []byte
	complete := false
	memory := c.budget.NewResponseBody(c.close)
	defer func() {
		if complete {
			memory.Complete(body)
		} else {
			memory.Abort()
		}
		c.yielded = memory.Yielded()
	}()
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			next := nextCapacity(int64(cap(body)), length, maxBody)
			if next > unchargedBody && !memory.Grow(next, memoryPatience) {
				return nil, tooLarge("no memory for more than " + strconv.Itoa(len(body)) + " bytes of the body")
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := src.Read(body[len(body):c.readableTo(len(body), cap(body), length)])
		body = body[:len(body)+n]
		if length < 0 {
			c.limited.extend(n)
		}
		switch {
		case int64(len(body)) > maxBody:
			return nil, tooLarge("body without Content-Length exceeds the limit")
		case err == io.EOF && length < 0:
			complete = true
			return body, nil
		case err != nil && memory.Yielded():
			return nil, tooLarge("memory of " + strconv.Itoa(len(body)) + " bytes of the body was needed for smaller ones")
		case err != nil && int64(len(body)) != length:
			return nil, c.bodyError(err)
		}
	}
	complete = true
	return body, nil
}

// nextCapacity doubles a capacity, within the length of the body or one byte above its limit.
func nextCapacity(capacity, length, maxBody int64) int64 {
	most := maxBody + 1
	if length >= 0 {
		most = length
	}
	return min(max(2*capacity, firstCapacity), most)
}

func malformed(cause error) *Error { return &Error{Stage: StageMalformed, Cause: cause} }

func tooLarge(cause string) *Error { return &Error{Stage: StageTooLarge, Cause: errors.New(cause)} }

// headError returns the error for a header that could not be read.
func (c *conn) headError(err error) *Error {
	if c.limited.exceeded {
		return &Error{Stage: StageTooLarge, Cause: err}
	}
	return &Error{Stage: StageHead, Cause: unexpectedEnd(err)}
}

// unexpectedEnd returns the error of a read within a response.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// bodyError returns the error for a body that could not be read; nil if err is nil.
func (c *conn) bodyError(err error) error {
	switch {
	case err == nil:
		return nil
	case c.limited.exceeded:
		return &Error{Stage: StageTooLarge, Cause: err}
	}
	return &Error{Stage: StageBody, Cause: unexpectedEnd(err)}
}
