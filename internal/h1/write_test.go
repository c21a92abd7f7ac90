package h1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func writeAndParse(t *testing.T, r *Request) *http.Request {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	must.NoError(t, writeRequest(w, r))
	must.NoError(t, w.Flush())
	got, err := http.ReadRequest(bufio.NewReader(&out))
	must.NoError(t, err)
	return got
}

// Guards against a request that a server parses differently from what the caller specified.
func TestWriteRequestRoundTrip(t *testing.T) {
	got := writeAndParse(t, &Request{Method: "PUT", Target: "/a/b?c=1", Host: "letters.example", Header: http.Header{"X-A": {"1", "2"}, "Accept": nil}, Body: []byte("body")})
	must.EqOp(t, "PUT", got.Method)
	must.EqOp(t, "/a/b?c=1", got.RequestURI)
	must.EqOp(t, "letters.example", got.Host)
	must.Eq(t, http.Header{"X-A": {"1", "2"}, "Content-Length": {"4"}}, got.Header)
	body, err := readBodyText(got)
	must.NoError(t, err)
	must.EqOp(t, "body", body)
}

func readBodyText(r *http.Request) (string, error) {
	var b bytes.Buffer
	_, err := b.ReadFrom(r.Body)
	return b.String(), err
}

// Guards against a server that waits for a body that is never sent, and against a Content-Length on
// a GET request.
func TestContentLengthOfEmptyBody(t *testing.T) {
	must.EqOp(t, 0, writeAndParse(t, &Request{Method: "POST", Target: "/", Host: "h"}).ContentLength)
	must.MapNotContainsKey(t, writeAndParse(t, &Request{Method: "GET", Target: "/", Host: "h"}).Header, "Content-Length")
}

// Guards against header values that inject another header field or another request.
func TestLineBreaksCannotInjectFields(t *testing.T) {
	header := http.Header{"X-A": {"1\r\nX-B: 2"}, "Content-Length": {"99"}, "Transfer-Encoding": {"chunked"}, "Connection": {"close"}}
	got := writeAndParse(t, &Request{Method: "GET", Target: "/x", Host: "h\r\nX-D: 4", Header: header})
	for _, name := range []string{"X-B", "X-D", "Connection"} {
		must.EqOp(t, "", got.Header.Get(name), must.Sprint(name))
	}
	must.EqOp(t, 0, got.ContentLength)
	must.SliceEmpty(t, got.TransferEncoding)
}

// FuzzWriteRequest guards against input that ends the header early. A server would read the rest as
// the body or as another request.
func FuzzWriteRequest(f *testing.F) {
	f.Add("GET", "/x", "h", "X-A", "1")
	f.Add("POST", "/x\r\n\r\nGET /y HTTP/1.1", "h", "X-A", "1\r\n\r\n")
	f.Fuzz(func(t *testing.T, method, target, host, name, value string) {
		if strings.ContainsAny(method+name, "\r\n: ") || name == "" {
			return // the parser of callers' requests rejects these
		}
		var out bytes.Buffer
		w := bufio.NewWriter(&out)
		must.NoError(t, writeRequest(w, &Request{Method: method, Target: target, Host: host, Header: http.Header{name: {value}}}))
		must.NoError(t, w.Flush())
		must.EqOp(t, 1, bytes.Count(out.Bytes(), []byte("\r\n\r\n")))
	})
}
