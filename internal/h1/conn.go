package h1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// bufferBytes of each direction: most heads and bodies of a few KB fit, and
	// a thousand connections hold 8 MB.
	bufferBytes = 4 << 10
	// inlineBody is the largest body that is written before the answer is read.
	// A server may answer before it has read a longer one; who only writes then
	// would wait for a reader that waits for nothing more. 16 KB is what Linux gives
	// a fresh socket to send from, so writing less doesn't wait for the reader.
	inlineBody = 16 << 10
	// bodyGrace is how long the rest of a long body may still be written after
	// its answer came. A connection with a body written in part is closed: the
	// next request's bytes would be taken for the rest of it.
	bodyGrace = 50 * time.Millisecond
	// maxSkipped bounds the late answers of earlier requests that are skipped.
	// A server that answers twice leaves one behind each request.
	maxSkipped = 4
	// statedShare of the idle time that a server states is used, so that no
	// request crosses its close.
	statedShare = 0.75
	// unstated is the idle time of a server that states none: above every bound that
	// a pool sets, which then decides.
	unstated = time.Hour
)

// conn is one connection; it carries one request at a time.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	generation uint64
	used       bool
	// stated is how long the server keeps the connection without use.
	stated time.Duration
	// expires is when an idle connection isn't used any more.
	expires time.Time
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}

func newConn(raw net.Conn, generation uint64) *conn {
	return &conn{Conn: raw, generation: generation, stated: unstated}
}

func (c *conn) close() { _ = c.Conn.Close() }

// usable reports whether an idle connection may carry a request: its time is
// not up, and the server has neither closed it nor sent bytes that nobody asked
// for. Without the look at the socket a request would be sent into a connection
// that its server has closed, and a call that is not idempotent would be lost.
func (c *conn) usable(now time.Time) bool {
	if !now.Before(c.expires) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return true
	}
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// exchange sends r and reads its answer. reusable says that the connection may
// carry another request.
func (c *conn) exchange(ctx context.Context, r *Request, maxBody int64) (answer *Response, reusable bool, err error) {
	fresh := !c.used
	c.used = true
	stop := context.AfterFunc(ctx, c.close)
	answer, reusable, err = c.sendAndRead(r, maxBody)
	if !stop() {
		reusable = false
	}
	var failed *Error
	if errors.As(err, &failed) {
		failed.Fresh = fresh
	}
	return answer, reusable, err
}

func (c *conn) sendAndRead(r *Request, maxBody int64) (*Response, bool, error) {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c.Conn)
	defer func() {
		c.reader.Reset(nil)
		readers.Put(c.reader)
		c.reader = nil
	}()
	if len(r.Body) <= inlineBody {
		if err := c.send(r); err != nil {
			return c.rejected(r, maxBody, err)
		}
		return c.read(r, maxBody)
	}
	sent := make(chan error, 1)
	go func() { sent <- c.send(r) }()
	answer, reusable, err := c.read(r, maxBody)
	return answer, c.bodySent(sent) && reusable, err
}

// rejected looks for the answer of a server that closed its side before it had
// read the whole request.
func (c *conn) rejected(r *Request, maxBody int64, sendErr error) (*Response, bool, error) {
	if answer, _, err := c.read(r, maxBody); err == nil {
		return answer, false, nil
	}
	return nil, false, &Error{Stage: StageSend, Cause: sendErr}
}

// bodySent reports whether a long body was written to its end.
func (c *conn) bodySent(sent <-chan error) bool {
	timer := time.NewTimer(bodyGrace)
	defer timer.Stop()
	select {
	case err := <-sent:
		return err == nil
	case <-timer.C:
	}
	c.close()
	<-sent
	return false
}

func (c *conn) send(r *Request) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(c.Conn)
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	if err := writeRequest(w, r); err != nil {
		return err
	}
	return w.Flush()
}

// read takes answers until one is the request's own. An earlier request's
// answer can arrive late, where this one's is due.
func (c *conn) read(r *Request, maxBody int64) (*Response, bool, error) {
	for skipped := range maxSkipped + 1 {
		answer, reusable, err := c.readOne(r, maxBody)
		if err != nil && skipped > 0 {
			return nil, false, &Error{Stage: StageMismatch, Cause: err}
		}
		if err != nil {
			return nil, false, err
		}
		if r.Matches == nil || r.Matches(answer.Header) {
			return answer, reusable && c.reader.Buffered() == 0, nil
		}
		if !reusable {
			break
		}
	}
	return nil, false, &Error{Stage: StageMismatch, Cause: errors.New("no answer of this request came")}
}

func (c *conn) readOne(r *Request, maxBody int64) (*Response, bool, error) {
	resp, err := c.readHead(r)
	if err != nil {
		return nil, false, &Error{Stage: StageHead, Cause: err}
	}
	var body []byte
	if r.Method != http.MethodHead {
		if body, err = readBody(resp, maxBody); err != nil {
			return nil, false, err
		}
	}
	c.noteKeepAlive(resp.Header)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, !resp.Close, nil
}

// readHead skips informational answers.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	for {
		resp, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the server switched protocols unasked")
		}
	}
}

func readBody(resp *http.Response, maxBody int64) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength > maxBody {
		return nil, &Error{Stage: StageTooLarge, Cause: errors.New("announced length " + strconv.FormatInt(resp.ContentLength, 10))}
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, body); err != nil {
			return nil, &Error{Stage: StageBody, Cause: err}
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return nil, &Error{Stage: StageBody, Cause: err}
	}
	if int64(len(body)) > maxBody {
		return nil, &Error{Stage: StageTooLarge, Cause: errors.New("body without announced length")}
	}
	return body, nil
}

// noteKeepAlive takes the idle time that the server states.
func (c *conn) noteKeepAlive(h http.Header) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.stated = time.Duration(float64(seconds) * statedShare * float64(time.Second))
		}
	}
}
