// Package testraw provides servers that respond with bytes of a test's own, and broken responses for them.
package testraw

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// BrokenResponses returns responses with a success status that are no responses of HTTP/1, by what is broken.
// Each has the given fields, lines with their line breaks, and the given body.
func BrokenResponses(fields, body string) map[string]string {
	rest := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	const line = "HTTP/1.1 200 OK\r\n"
	return map[string]string{
		"000":                        "HTTP/1.1 000 OK\r\n" + rest,
		"000 before a response":      "HTTP/1.1 000 OK\r\n\r\n" + line + rest,
		"000 without a length":       "HTTP/1.1 000 OK\r\n" + fields + "\r\n",
		"600":                        "HTTP/1.1 600 OK\r\n" + rest,
		"sign before the status":     "HTTP/1.1 +20 OK\r\n" + rest,
		"control byte in the reason": "HTTP/1.1 200 O\x01K\r\n" + rest,
		"version":                    "HTTP/2.0 200 OK\r\n" + rest,
		"space in a name":            line + "X Odd: 1\r\n" + rest,
		"control byte in a name":     line + "X-\x01Odd: 1\r\n" + rest,
		"space behind the length":    line + fmt.Sprintf("%sContent-Length : %d\r\n\r\n%s", fields, len(body), body),
		"in an interim response":     "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + line + rest,
	}
}

// Serve starts a server that responds to each request with the text that respond returns, and keeps its
// connections open. It returns its address and the number of connections that it has accepted.
func Serve(t testing.TB, respond func(*http.Request) string) (addr string, accepted *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go serveConn(c, respond)
		}
	}()
	return l.Addr().String(), accepted
}

func serveConn(c net.Conn, respond func(*http.Request) string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, respond(r))
	}
}
