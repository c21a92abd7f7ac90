package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a response that ends in the middle, of its header above all, and is taken for a whole one.
func TestCutResponsesAreNotComplete(t *testing.T) {
	const line, id, body = "HTTP/1.1 200 OK\r\n", "Id: a\r\nStamp: s\r\n", "0123456789"
	const informational = "HTTP/1.1 100 Continue\r\n\r\n"
	for name, whole := range map[string]string{
		"length 0":               line + id + "Content-Length: 0\r\n\r\n",
		"length":                 line + id + "Content-Length: 10\r\n\r\n" + body,
		"length first":           line + "Content-Length: 10\r\n" + id + "\r\n" + body,
		"length, closed":         line + id + "Connection: close\r\nContent-Length: 10\r\n\r\n" + body,
		"chunked":                line + id + "Transfer-Encoding: chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n",
		"chunked with a trailer": line + id + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\na\r\n" + body + "\r\n0\r\nT: v\r\n\r\n",
		"after a 100":            informational + line + id + "Content-Length: 10\r\n\r\n" + body,
		"bare line feeds":        "HTTP/1.1 200 OK\nId: a\nContent-Length: 10\n\n" + body,
		"ends with the close":    line + id + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for end := range len(whole) {
				addr, _ := serve(t, func(c net.Conn, reader *bufio.Reader) {
					if _, err := http.ReadRequest(reader); err == nil {
						_, _ = io.WriteString(c, whole[:end])
					}
					_ = c.Close()
				})
				methods := []string{http.MethodGet}
				if headEnd := strings.Index(whole, "\r\n\r\n"); end < headEnd && !strings.HasPrefix(whole, informational) {
					methods = append(methods, http.MethodHead)
				}
				for _, method := range methods {
					request := newRequest("a")
					request.Method = method
					resp, err := newTestPool(t, addr).Do(context.Background(), request)
					must.Error(t, err, must.Sprintf("%s: %q was taken for %v", method, whole[:end], resp))
				}
			}
		})
	}
}
