package httphead

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// check checks the lines of a head.
func check(head string) (end bool, err error) {
	var c Checker
	for line := range strings.SplitSeq(strings.TrimSuffix(head, "\n"), "\n") {
		if end, err = c.Line([]byte(line)); end || err != nil {
			return end, err
		}
	}
	return false, nil
}

// Guards against a malformed status line that is taken for that of a response, and the reverse.
func TestStatusLines(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 404 Not Found", "HTTP/1.9 100 x", "HTTP/1.1 599 \tx  y"} {
		end, err := check(line + "\r\n\r\n")
		must.NoError(t, err)
		must.True(t, end, must.Sprint(line))
	}
	for line, part := range map[string]string{
		"HTTP/1.1 000 OK":   "status",
		"HTTP/1.1 099 OK":   "status",
		"HTTP/1.1 600 OK":   "status",
		"HTTP/1.1 +20 OK":   "status",
		"HTTP/1.1 20 OK":    "status",
		"HTTP/1.1 2000 OK":  "status",
		"HTTP/1.1  200 OK":  "status",
		"HTTP/1.1 200\tOK":  "status",
		"HTTP/1.1":          "status",
		"HTTP/2.0 200 OK":   "version",
		"HTTP/0.9 200 OK":   "version",
		"HTTP/1.10 200 OK":  "version",
		"HTTP/1. 200 OK":    "version",
		"http/1.1 200 OK":   "version",
		" HTTP/1.1 200 OK":  "version",
		"HTTP/1.1\t200 OK":  "version",
		"ICY 200 OK":        "version",
		"":                  "version",
		"Content-Length: 0": "version",
	} {
		_, err := check(line + "\r\n\r\n")
		must.ErrorContains(t, err, part, must.Sprint(line))
	}
}

// Guards against a server that sends something else than a response, without the end of a line, and is waited on.
func TestBeginOfAHead(t *testing.T) {
	var c Checker
	for _, begin := range []string{"", "H", "HTTP/1.", "HTTP/1.1 20"} {
		must.NoError(t, c.Begin([]byte(begin)))
	}
	for _, begin := range []string{"h", "HTTP/2", "\r", "<html"} {
		must.Error(t, c.Begin([]byte(begin)))
	}
}

// Guards against a malformed name of a field that is taken for one, and the reverse.
func TestFieldNames(t *testing.T) {
	for _, name := range []string{"a", "Content-Length", "x!#$%&'*+-.^_`|~09"} {
		_, err := check("HTTP/1.1 200 OK\r\n" + name + ": 1\r\n 2\r\n\r\n")
		must.NoError(t, err, must.Sprint(name))
		must.NoError(t, CheckFields(map[string][]string{name: {"1"}}))
	}
	for _, name := range []string{"", "a b", "a ", "a\t", " a", "a\x00", "a\x7f", "a\r", "a\x80", "a(", "a\"", "a/", "a;", "a@", "a["} {
		_, err := check("HTTP/1.1 200 OK\r\n" + name + ": 1\r\n\r\n")
		must.ErrorContains(t, err, "malformed field", must.Sprintf("%q", name))
		must.Error(t, CheckFields(map[string][]string{name: {"1"}}))
	}
	for _, line := range []string{"a", " a: 1", "\t", "\r"} {
		_, err := check("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n")
		must.Error(t, err, must.Sprintf("%q", line))
	}
}

// Guards against control bytes that are taken for a part of a reason or of a value, and against bytes that are not.
func TestReasonsAndValues(t *testing.T) {
	for _, text := range []string{"", " ", "a\tb", "~!", "\x80\xff"} {
		_, err := check("HTTP/1.1 200 " + text + "\r\na: " + text + "\r\n " + text + "\r\n\r\n")
		must.NoError(t, err, must.Sprintf("%q", text))
	}
	for _, text := range []string{"\x00", "\x1f", "\x7f", "a\rb", "a\r", "\x0b"} {
		_, err := check("HTTP/1.1 200 " + text + "\r\n\r\n")
		must.ErrorContains(t, err, "reason", must.Sprintf("%q", text))
		for _, field := range []string{"a: " + text, "a: 1\r\n " + text} {
			_, err = check("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n")
			must.ErrorContains(t, err, "field", must.Sprintf("%q", field))
		}
	}
}

// Guards against a head by which two readers see different ends of the body.
func TestFraming(t *testing.T) {
	const length, chunked = "content-length: 4\r\n", "transfer-encoding: chunked\r\n"
	for head, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\n" + length + length:  true,
		"HTTP/1.1 200 OK\r\n" + chunked:          true,
		"HTTP/1.0 200 OK\r\n" + length:           true,
		"HTTP/1.0 200 OK\r\n" + chunked:          false,
		"HTTP/1.1 200 OK\r\n" + chunked + length: false,
		"HTTP/1.1 200 OK\r\n" + length + chunked: false,
	} {
		_, err := check(head + "\r\n")
		must.EqOp(t, want, err == nil, must.Sprint(head))
	}
}
