// Package httphead checks the heads of HTTP/1 responses by the grammar of RFC 9110 and RFC 9112, which
// net/http does not enforce in all parts.
package httphead

import (
	"bytes"
	"fmt"
	"strings"
)

// Error is the error of a head that is not one of an HTTP/1 response.
type Error struct {
	// Part is the part of the head that is malformed.
	Part string
	// Text is the beginning of the line.
	Text string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("malformed %s in %q", e.Part, e.Text) }

// maxErrorText is the maximum length in bytes of Error.Text.
const maxErrorText = 100

func malformed(part string, line []byte) error {
	return &Error{part, string(line[:min(len(line), maxErrorText)])}
}

const (
	// minStatus and maxStatus bound the status codes (RFC 9110, section 15).
	minStatus, maxStatus = 100, 599
	statusDigits         = 3
	// versionPrefix is how the version of HTTP/1 begins. A digit follows (RFC 9112, section 2.3).
	versionPrefix = "HTTP/1."
)

// IsStatus reports whether a number is a status code.
func IsStatus(code int) bool { return code >= minStatus && code <= maxStatus }

// IsToken reports whether a text is a token, as the names of fields are (RFC 9110, section 5.6.2).
func IsToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// tokenBytes are the bytes that a token may consist of.
var tokenBytes = func() (set [256]bool) {
	const lower, others = "abcdefghijklmnopqrstuvwxyz", "0123456789!#$%&'*+-.^_`|~"
	for _, c := range []byte(lower + strings.ToUpper(lower) + others) {
		set[c] = true
	}
	return set
}()

// IsText reports whether a text consists of what the values of fields and reason phrases may hold: visible
// characters, spaces, tabs and bytes beyond ASCII (RFC 9110, section 5.5; RFC 9112, section 4).
func IsText[T string | []byte](text T) bool {
	for i := range len(text) {
		c := text[i]
		if c < ' ' && c != '\t' || c == asciiDelete {
			return false
		}
	}
	return true
}

// asciiDelete is the control character beside those below the space.
const asciiDelete = 0x7f

// Checker checks the lines of one head. The zero value expects the status line.
type Checker struct {
	// lines is the number of lines checked.
	lines int
	// minor is the digit of the minor version.
	minor byte
	// encoded and stated are whether there is a transfer encoding, and a length.
	encoded, stated bool
}

// Line checks the next line, without its line feed, and reports whether it ends the head.
func (c *Checker) Line(line []byte) (end bool, err error) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	c.lines++
	switch {
	case c.lines == 1:
		return false, c.checkStatusLine(line)
	case len(line) == 0:
		return true, c.checkFraming()
	case !IsText(line):
		return false, malformed("field", line)
	case c.lines > 2 && isFolded(line):
		return false, nil
	}
	return false, c.checkField(line)
}

// isFolded reports whether a line continues the value of the field before it. A gateway may accept that
// (RFC 9112, section 5.2).
func isFolded(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

// CheckFields checks the names of fields that net/http has parsed. It has checked the values.
func CheckFields(fields map[string][]string) error {
	for name := range fields {
		if !IsToken(name) {
			return malformed("field name", []byte(name))
		}
	}
	return nil
}

func (c *Checker) checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !IsToken(name) {
		return malformed("field name", line)
	}
	c.encoded = c.encoded || strings.EqualFold(string(name), "Transfer-Encoding")
	c.stated = c.stated || strings.EqualFold(string(name), "Content-Length")
	return nil
}

// checkFraming checks that the head leaves no doubt about the end of the body (RFC 9112, sections 6.1 and 6.3).
// HTTP/1.0 has no transfer encodings.
func (c *Checker) checkFraming() error {
	if c.encoded && (c.stated || c.minor == '0') {
		return &Error{Part: "framing", Text: "Transfer-Encoding"}
	}
	return nil
}

// Begin checks the part of the next line that has arrived, so that a server that sends something else and
// keeps the connection open is noticed.
func (c *Checker) Begin(line []byte) error {
	n := min(len(line), len(versionPrefix))
	if c.lines == 0 && string(line[:n]) != versionPrefix[:n] {
		return malformed("version", line)
	}
	return nil
}

func (c *Checker) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !isVersion(version) {
		return malformed("version", line)
	}
	c.minor = version[len(versionPrefix)]
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	if !isStatusText(code) {
		return malformed("status", line)
	}
	if !IsText(reason) {
		return malformed("reason", line)
	}
	return nil
}

func isVersion(text []byte) bool {
	minor, found := bytes.CutPrefix(text, []byte(versionPrefix))
	return found && len(minor) == 1 && isDigit(minor[0])
}

func isStatusText(text []byte) bool {
	if len(text) != statusDigits {
		return false
	}
	code := 0
	for _, c := range text {
		if !isDigit(c) {
			return false
		}
		code = 10*code + int(c-'0')
	}
	return IsStatus(code)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
