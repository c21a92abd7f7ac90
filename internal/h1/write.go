package h1

import (
	"bufio"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// reservedFields are header fields that are derived from the request or apply to one connection
// only. They are not copied from Request.Header.
var reservedFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Trailer": true}

// lineBreakReplacer removes line breaks from header values. Text after a line break would be parsed
// as another header field.
var lineBreakReplacer = strings.NewReplacer("\r", " ", "\n", " ")

// writeRequest writes a request with its body. The length of the body is known.
func writeRequest(w *bufio.Writer, r *Request) error {
	writeStrings(w, r.Method, " ", lineBreakReplacer.Replace(r.Target), " HTTP/1.1\r\nHost: ", lineBreakReplacer.Replace(r.Host), "\r\n")
	for name, values := range r.Header {
		if reservedFields[name] || r.replaces(name) {
			continue
		}
		for _, value := range values {
			writeStrings(w, name, ": ", lineBreakReplacer.Replace(value), "\r\n")
		}
	}
	for _, f := range r.Fields {
		writeStrings(w, f.Name, ": ", lineBreakReplacer.Replace(f.Value), "\r\n")
	}
	if len(r.Body) > 0 || requiresContentLength(r.Method) {
		writeStrings(w, "Content-Length: ")
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(len(r.Body)), 10))
		writeStrings(w, "\r\n")
	}
	writeStrings(w, "\r\n")
	_, err := w.Write(r.Body)
	return err
}

// replaces reports whether a field replaces the header fields of a name.
func (r *Request) replaces(name string) bool {
	return slices.ContainsFunc(r.Fields, func(f Field) bool { return f.Name == name })
}

// writeStrings writes strings. Errors are ignored here, since bufio.Writer returns its first error
// from every later write.
func writeStrings(w *bufio.Writer, texts ...string) {
	for _, text := range texts {
		_, _ = w.WriteString(text)
	}
}

// requiresContentLength reports whether a request of this method without a body has to state a
// Content-Length of 0.
func requiresContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
