package httphead

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterim is the maximum number of informational responses before a response.
const maxInterim = 16

// errTooManyInterim is the error of a server that sends informational responses without end.
var errTooManyInterim = errors.New("too many informational responses")

// errHiddenEncoding is the error of a response of HTTP/1.0 without a length. net/http removes a transfer encoding,
// which HTTP/1.0 does not have, and would return the frames of its chunks as the body.
var errHiddenEncoding = errors.New("response of HTTP/1.0 has no length")

// Transport sends requests through a transport of net/http and refuses responses whose heads no response of
// HTTP/1 has, as far as net/http shows them. It closes the connection of such a response.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that uses base. HTTP/2 works over TLS only.
func NewTransport(base *http.Transport) *Transport { return &Transport{base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var head headTrace
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), head.hooks())))
	if err != nil {
		return nil, err
	}
	if err := checkResponse(resp); err != nil {
		head.closeConn()
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections. http.Client.CloseIdleConnections calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// headTrace follows one request.
type headTrace struct {
	conn    net.Conn
	interim int
}

func (h *headTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { h.conn = info.Conn },
		Got1xxResponse: h.gotInterim,
	}
}

// gotInterim checks an informational response. net/http closes the connection after an error.
func (h *headTrace) gotInterim(_ int, fields textproto.MIMEHeader) error {
	if h.interim++; h.interim > maxInterim {
		return errTooManyInterim
	}
	return CheckFields(fields)
}

func (h *headTrace) closeConn() {
	if h.conn != nil {
		_ = h.conn.Close()
	}
}

// checkResponse checks the head of a response that net/http has parsed. Responses of HTTP/2, which are
// framed otherwise, are none of its concern.
func checkResponse(resp *http.Response) error {
	if resp.TLS != nil && resp.TLS.NegotiatedProtocol == "h2" {
		return nil
	}
	var checker Checker
	if err := checker.checkStatusLine([]byte(resp.Proto + " " + resp.Status)); err != nil {
		return err
	}
	if resp.ProtoMinor == 0 && resp.ContentLength < 0 {
		return errHiddenEncoding
	}
	return CheckFields(resp.Header)
}
