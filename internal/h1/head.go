package h1

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/galenagrade/galenagrade/internal/httphead"
)

// plainHead is the header of a plain response: one of HTTP/1.1 with a Content-Length, whose
// connection stays open.
type plainHead struct {
	status int
	header http.Header
	length int64
}

const (
	statusLinePrefix = "HTTP/1.1 "
	statusDigits     = 3
	// maxLengthDigits keeps a Content-Length within an int64.
	maxLengthDigits = 18
)

var headEnd = []byte("\r\n\r\n")

// readPlainHead reads the header of a response if it is plain and arrived as a whole. Otherwise it
// reads nothing and returns false, and http.ReadResponse decides on the response. It accepts no
// header that http.ReadResponse rejects. It allocates less than that, since its strings share one copy
// of the header.
func readPlainHead(r *bufio.Reader) (plainHead, bool, error) {
	if _, err := r.Peek(1); err != nil {
		return plainHead{}, false, unexpectedEnd(err)
	}
	received, _ := r.Peek(r.Buffered())
	end := bytes.Index(received, headEnd)
	if end < 0 {
		return plainHead{}, false, nil
	}
	h, ok := parsePlainHead(string(received[:end+len("\r\n")]))
	if ok {
		_, _ = r.Discard(end + len(headEnd))
	}
	return h, ok, nil
}

// parsePlainHead parses a status line and header fields, each with its line break.
func parsePlainHead(text string) (plainHead, bool) {
	line, fields, _ := strings.Cut(text, "\r\n")
	status, ok := plainStatus(line)
	if !ok {
		return plainHead{}, false
	}
	count := strings.Count(fields, "\n")
	h := plainHead{status: status, header: make(http.Header, count)}
	values := make([]string, 0, count)
	for len(fields) > 0 {
		line, fields, _ = strings.Cut(fields, "\r\n")
		name, value, ok := plainField(line)
		if !ok {
			return plainHead{}, false
		}
		if earlier := h.header[name]; earlier != nil {
			h.header[name] = append(earlier, value)
			continue
		}
		// A capacity of 1 keeps a later append out of the next field's value.
		n := len(values)
		values = append(values, value)
		h.header[name] = values[n : n+1 : n+1]
	}
	h.length, ok = plainLength(h.header)
	return h, ok
}

// plainStatus returns the status of a status line if it allows a body.
func plainStatus(line string) (int, bool) {
	code, found := strings.CutPrefix(line, statusLinePrefix)
	if !found || len(code) < statusDigits || !httphead.IsText(code) {
		return 0, false
	}
	if len(code) > statusDigits && code[statusDigits] != ' ' {
		return 0, false
	}
	status, ok := parseDigits(code[:statusDigits])
	return int(status), ok && mayHaveBody(int(status))
}

// mayHaveBody reports whether a status is valid and the body of its response ends with the Content-Length.
func mayHaveBody(status int) bool {
	switch status {
	case http.StatusNoContent, http.StatusNotModified:
		return false
	}
	return status >= http.StatusOK && httphead.IsStatus(status)
}

// plainField returns the canonical name and the value of a header field.
func plainField(line string) (name, value string, ok bool) {
	name, value, found := strings.Cut(line, ":")
	if !found || !httphead.IsToken(name) || !httphead.IsText(value) {
		return "", "", false
	}
	name = textproto.CanonicalMIMEHeaderKey(name)
	switch name {
	case "Transfer-Encoding", "Trailer", "Pragma":
		return "", "", false // these change how the rest of the response is read
	}
	value = strings.Trim(value, " \t")
	if name == "Connection" && !strings.EqualFold(value, "keep-alive") {
		return "", "", false
	}
	return name, value, true
}

// plainLength returns the length that a header states exactly once.
func plainLength(h http.Header) (int64, bool) {
	stated := h["Content-Length"]
	if len(stated) != 1 || len(stated[0]) > maxLengthDigits {
		return 0, false
	}
	return parseDigits(stated[0])
}

// parseDigits parses a number that consists of digits only.
func parseDigits(text string) (int64, bool) {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}
