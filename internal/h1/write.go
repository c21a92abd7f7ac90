package h1

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// ownFields are written from the request itself, or belong to one connection.
var ownFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Trailer": true}

// lineBreaks must not get into a head: what follows one would be read as a field.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

// writeRequest writes a request whose length is known.
func writeRequest(w *bufio.Writer, r *Request) error {
	writeAll(w, r.Method, " ", lineBreaks.Replace(r.Target), " HTTP/1.1\r\nHost: ", lineBreaks.Replace(r.Host), "\r\n")
	for name, values := range r.Header {
		if ownFields[name] {
			continue
		}
		for _, value := range values {
			writeAll(w, name, ": ", lineBreaks.Replace(value), "\r\n")
		}
	}
	if len(r.Body) > 0 || bodyExpected(r.Method) {
		var digits [20]byte
		writeAll(w, "Content-Length: ")
		_, _ = w.Write(strconv.AppendInt(digits[:0], int64(len(r.Body)), 10))
		writeAll(w, "\r\n")
	}
	writeAll(w, "\r\n")
	_, err := w.Write(r.Body)
	return err
}

// writeAll writes texts; bufio.Writer keeps the first error for the next write.
func writeAll(w *bufio.Writer, texts ...string) {
	for _, text := range texts {
		_, _ = w.WriteString(text)
	}
}

// bodyExpected reports whether a request of this method says that it has no body.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
