package h1

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/httphead"
)

const (
	// maxSkippedResponses is the maximum number of late responses to earlier requests that one request
	// skips. A server that responds twice to a request leaves the second response on the connection.
	maxSkippedResponses = 4
	// keepAliveShare is the fraction of the server's idle timeout, as stated in Keep-Alive, after which
	// an idle connection is no longer reused. The rest is a margin, so that no request is sent while
	// the server closes the connection.
	keepAliveShare = 0.75
)

// readResponse reads responses until one belongs to the request. A late response to an earlier
// request can arrive first.
func (c *conn) readResponse(r *Request, maxBody int64) (*Response, bool, error) {
	for skipped := range maxSkippedResponses + 1 {
		resp, reusable, err := c.readOne(r, maxBody)
		if err != nil && skipped > 0 {
			return nil, false, &Error{Stage: StageMismatch, Cause: err}
		}
		if err != nil {
			return nil, false, err
		}
		switch r.classify(resp, c.reused || skipped > 0) {
		case Accept:
			return resp, reusable && c.reader.Buffered() == 0, nil
		case Reject:
			return nil, false, &Error{Stage: StageMismatch, Cause: errors.New("response with status " + strconv.Itoa(resp.Status) + " belongs to no request")}
		}
		if !reusable {
			break
		}
	}
	return nil, false, &Error{Stage: StageMismatch, Cause: errors.New("received only responses to other requests")}
}

func (r *Request) classify(resp *Response, reused bool) Verdict {
	if r.Classify == nil {
		return Accept
	}
	return r.Classify(resp.Status, resp.Header, reused)
}

// readOne reads one response with its body.
func (c *conn) readOne(r *Request, maxBody int64) (*Response, bool, error) {
	c.limited.left = maxHeadBytes
	if r.Method == http.MethodHead {
		return c.readAny(r, maxBody)
	}
	head, plain, err := readPlainHead(c.reader)
	if err != nil {
		return nil, false, c.headError(err)
	}
	if !plain {
		return c.readAny(r, maxBody)
	}
	c.limited.left = math.MaxInt64 // readBody reads no more than the length
	body, err := c.readBody(c.reader, head.length, maxBody)
	if err != nil {
		return nil, false, err
	}
	c.updateKeepAlive(head.header)
	return &Response{Status: head.status, Header: head.header, Body: body}, true, nil
}

// readAny reads a response of any form.
func (c *conn) readAny(r *Request, maxBody int64) (*Response, bool, error) {
	resp, err := c.readHead(r)
	if err != nil {
		return nil, false, err
	}
	var body []byte
	if r.Method != http.MethodHead {
		defer resp.Body.Close()
		c.limited.left = bodyAllowance(resp.ContentLength)
		if body, err = c.readBody(resp.Body, resp.ContentLength, maxBody); err != nil {
			return nil, false, err
		}
		if err = httphead.CheckFields(resp.Trailer); err != nil {
			return nil, false, malformed(err)
		}
	}
	c.updateKeepAlive(resp.Header)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, !resp.Close, nil
}

// readHead reads a response header. It skips informational (1xx) responses.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for {
		if err := c.awaitHead(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, malformed(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, malformed(errors.New("server switched protocols without a request to do so"))
		}
	}
}

// updateKeepAlive stores the idle time that the server states in its Keep-Alive header.
func (c *conn) updateKeepAlive(h http.Header) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.keepAlive = time.Duration(float64(seconds) * keepAliveShare * float64(time.Second))
		}
	}
}
