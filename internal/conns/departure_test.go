package conns

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against requests that are served on for a caller that left after it had sent a further one.
func TestDepartureBehindAPipelinedRequestIsNoticed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	started, ended, pipelined := make(chan string, 2), make(chan string, 2), make(chan bool, 1)
	srv := &http.Server{ConnContext: ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		<-r.Context().Done()
		ended <- r.URL.Path
	})}
	defer srv.Close()
	departures := NewDepartures(func() { pipelined <- true })
	go func() { _ = srv.Serve(departures.Listener(l)) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	for n := range 2 {
		_, err = fmt.Fprintf(caller, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", n)
		must.NoError(t, err)
		if n == 0 {
			must.EqOp(t, "/0", <-started)
		}
	}
	<-pipelined
	must.NoError(t, caller.Close())
	select {
	case path := <-ended:
		must.EqOp(t, "/0", path)
	case <-time.After(5 * time.Second):
		t.Fatal("the request is still served")
	}
}

// Guards against requests over TLS that are served on for a caller that left after it had sent a further one.
func TestDepartureBehindAnEncryptedPipelinedRequestIsNoticed(t *testing.T) {
	started, ended := make(chan bool, 1), make(chan bool, 1)
	departures := NewDepartures(func() {})
	srv := httptest.NewUnstartedServer(departures.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started <- true
		<-r.Context().Done()
		ended <- true
	})))
	srv.Config.ConnContext = ConnContext
	srv.Listener = departures.Listener(srv.Listener)
	srv.StartTLS()
	caller, err := tls.Dial("tcp", srv.Listener.Addr().String(), srv.Client().Transport.(*http.Transport).TLSClientConfig)
	must.NoError(t, err)
	_, err = io.WriteString(caller, "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	<-started
	_, err = io.WriteString(caller, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	must.NoError(t, caller.Close())
	select {
	case <-ended:
		srv.Close()
	case <-time.After(5 * time.Second):
		t.Fatal("the request is still served")
	}
}

// Guards against requests that are served for callers that had left before the requests were read, as after a
// time in which the process got no processor time.
func TestRequestReadAfterItsCallerLeftIsCanceled(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	caller, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	_, err = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
	must.NoError(t, err)
	must.NoError(t, caller.Close())
	time.Sleep(50 * time.Millisecond)
	atStart := make(chan error, 1)
	departures := NewDepartures(func() {})
	srv := &http.Server{ConnContext: ConnContext, Handler: departures.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		atStart <- r.Context().Err()
	}))}
	defer srv.Close()
	go func() { _ = srv.Serve(departures.Listener(l)) }()
	must.EqOp(t, context.Canceled, <-atStart)
}

// BenchmarkLook measures one look at the connection of a caller.
func BenchmarkLook(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	must.NoError(b, err)
	defer caller.Close()
	accepted, err := NewDepartures(func() {}).Listener(l).Accept()
	must.NoError(b, err)
	defer accepted.Close()
	for b.Loop() {
		must.False(b, accepted.(*CallerConn).socket.isClosed())
	}
}
