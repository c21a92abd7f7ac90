package h1

import (
	"bufio"
	"bytes"
	"io"

	"github.com/galenagrade/galenagrade/internal/httphead"
)

// headScanner checks the lines of a head as they arrive.
type headScanner struct {
	checker httphead.Checker
	// line is where the first unchecked line begins, and searched where its end is still to be looked for.
	line, searched int
}

// scan checks the lines in received, which begins with the head, and reports whether the head ends there.
func (s *headScanner) scan(received []byte) (end bool, err error) {
	for {
		n := bytes.IndexByte(received[s.searched:], '\n')
		if n < 0 {
			s.searched = len(received)
			return false, s.checker.Begin(received[s.line:])
		}
		lineEnd := s.searched + n
		end, err := s.checker.Line(received[s.line:lineEnd])
		if end || err != nil {
			return end, err
		}
		s.line, s.searched = lineEnd+1, lineEnd+1
	}
}

// awaitHead waits until the reader holds a whole head, and checks it. A malformed one is noticed with its
// first malformed line: the server may send nothing after that.
func (c *conn) awaitHead() error {
	var scanner headScanner
	for {
		received, _ := c.reader.Peek(c.reader.Buffered())
		end, err := scanner.scan(received)
		if err != nil {
			return malformed(err)
		}
		if end {
			return nil
		}
		if len(received) == c.reader.Size() {
			c.enlargeReader(received)
		}
		if _, err := c.reader.Peek(len(received) + 1); err != nil {
			return c.headError(err)
		}
	}
}

// enlargeReader replaces the reader, whose buffer is full of what was received, by one with twice the buffer.
func (c *conn) enlargeReader(received []byte) {
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(received)), &c.limited)
	c.reader = bufio.NewReaderSize(rest, 2*len(received))
}
