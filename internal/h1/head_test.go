package h1

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// plainResponses and otherResponses are responses that readPlainHead accepts and leaves to http.ReadResponse.
var (
	plainResponses = []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 503\r\ncontent-length:0\r\nX-A: 1\r\nx-a:\t 2 \r\nX-B:\r\nConnection: Keep-Alive\r\n\r\n",
		"HTTP/1.1 201 \r\nEtag: \"a:b\"\r\nContent-Length: 0010\r\n\r\n0123456789next",
	}
	otherResponses = []string{
		"HTTP/1.1 200 OK\r\n\r\nrest",
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: 1\r\n 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n X-A: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX A: 1\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: \x00\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: 1\nX-B: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nPragma: no-cache\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTrailer: X-A\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
		"200\r\n\r\n",
	}
)

// requireSameHead reads a response in both ways. Where readPlainHead accepts it, both must read the same.
func requireSameHead(t *testing.T, raw string) (plain bool) {
	fast := bufio.NewReaderSize(strings.NewReader(raw), bufferBytes)
	got, plain, err := readPlainHead(fast)
	reader := bufio.NewReaderSize(strings.NewReader(raw), bufferBytes)
	want, wantErr := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		must.Eq(t, wantErr.Error(), err.Error())
	}
	rest, _ := io.ReadAll(fast)
	if !plain {
		must.EqOp(t, raw, string(rest))
		return false
	}
	must.NoError(t, wantErr)
	_, err = new(headScanner).scan([]byte(raw))
	must.NoError(t, err)
	wantRest, _ := io.ReadAll(reader)
	must.EqOp(t, want.StatusCode, got.status)
	must.Eq(t, want.Header, got.header)
	must.EqOp(t, want.ContentLength, got.length)
	must.False(t, want.Close)
	must.EqOp(t, string(wantRest), string(rest))
	return true
}

// Guards against a response that is read differently from how http.ReadResponse reads it, so that its
// body ends elsewhere and the rest is taken for the next response.
func TestPlainHeadIsReadLikeReadResponse(t *testing.T) {
	for _, raw := range plainResponses {
		must.True(t, requireSameHead(t, raw), must.Sprintf("%q", raw))
	}
	for _, raw := range otherResponses {
		must.False(t, requireSameHead(t, raw), must.Sprintf("%q", raw))
	}
	requireSameHead(t, "")
}

func FuzzPlainHead(f *testing.F) {
	for _, raw := range append(plainResponses, otherResponses...) {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) { requireSameHead(t, raw) })
}
