package httphead

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/testraw"
)

// get sends a request through a Transport with a connection pool and returns the body of the response.
func get(t *testing.T, client *http.Client, addr string) (string, error) {
	resp, err := client.Get("http://" + addr)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return string(body), nil
}

func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// Guards against a broken response that a client of net/http takes for one, waits on, or reuses the connection of.
func TestTransportRefusesBrokenResponses(t *testing.T) {
	responses := testraw.BrokenResponses("", "body")
	responses["chunks in HTTP/1.0"] = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			client := newClient(t)
			addr, accepted := testraw.Serve(t, func(*http.Request) string { return response })
			for n := range 3 {
				_, err := get(t, client, addr)
				must.Error(t, err)
				must.StrNotContains(t, err.Error(), "Timeout")
				must.EqOp(t, int64(n+1), accepted.Load())
			}
		})
	}
}

// Guards against informational responses without end.
func TestTransportBoundsInterimResponses(t *testing.T) {
	endless := strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInterim+1)
	addr, _ := testraw.Serve(t, func(*http.Request) string { return endless })
	_, err := get(t, newClient(t), addr)
	must.ErrorIs(t, err, errTooManyInterim)
}

// Guards against odd but legal responses that are refused, or cost a connection each.
func TestTransportPassesLegalResponses(t *testing.T) {
	client := newClient(t)
	addr, accepted := testraw.Serve(t, func(*http.Request) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 200\r\nx!#$%&'*+-.^_`|~: \xc3\xa4\r\nContent-Length: 4\r\n\r\nbody"
	})
	for range 3 {
		body, err := get(t, client, addr)
		must.NoError(t, err)
		must.EqOp(t, "body", body)
	}
	must.EqOp(t, 1, accepted.Load())
}
