package h1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/lifetime"
	"github.com/galenagrade/galenagrade/internal/membudget"
)

const (
	// bufferBytes is the buffer size per direction. Most headers and bodies of a few KB fit, and 1000
	// connections use 8 MB.
	bufferBytes = 4 << 10
	// maxInlineBody is the largest body that is written before the response is read. A server may
	// respond before it has read a longer body and then stop reading; a client that only writes would
	// block. 16 KB is the initial send buffer of a socket on Linux, so a smaller write does not block
	// on the reader.
	maxInlineBody = 16 << 10
	// bodyGrace bounds the time for writing the rest of a long body after its response arrived.
	// A connection with a partially written body is closed, because the server would read the next
	// request as the rest of that body.
	bodyGrace = 50 * time.Millisecond
	// noKeepAliveTimeout is the idle timeout assumed for a server that states none. It is longer than
	// every Config.Idle, so that Config.Idle applies.
	noKeepAliveTimeout = time.Hour
)

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	limited    limitedReader // what reader reads from
	budget     *membudget.Budget
	probe      *probe // nil if the connection has no socket
	generation uint64
	// used is whether the connection carried a request, and reused whether it did before the current one.
	used, reused bool
	// yielded is whether the connection is being closed, since a smaller body needed the memory of its body.
	yielded bool
	// keepAlive is the idle time stated by the server, multiplied by keepAliveShare.
	keepAlive time.Duration
	// expires is the time from which an idle connection is no longer used.
	expires time.Time
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}

func newConn(raw net.Conn, generation uint64, budget *membudget.Budget) (*conn, error) {
	probe, err := newProbe(raw)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &conn{Conn: raw, probe: probe, generation: generation, budget: budget, keepAlive: noKeepAliveTimeout}, nil
}

func (c *conn) close() { _ = c.Conn.Close() }

// ContextEnded implements lifetime.Hook. To close a TLS connection may block.
func (c *conn) ContextEnded(error) { go c.close() }

// usable reports whether an idle connection can carry a request: it has not expired, and its
// socket shows neither a close by the server nor unexpected data. Without the check of the socket,
// a request could be sent on a connection that the server has closed, and a call that is not
// idempotent would be lost.
func (c *conn) usable(now time.Time) bool {
	return now.Before(c.expires) && (c.probe == nil || c.probe.isQuiet())
}

// exchange sends r and reads its response. reusable reports whether the connection can carry
// another request. If ctx ends first, the connection is closed.
func (c *conn) exchange(ctx context.Context, r *Request, maxBody int64) (resp *Response, reusable bool, err error) {
	c.reused = c.used
	c.used = true
	life, isNew := lifetime.Of(ctx)
	if isNew {
		defer life.Cancel()
	}
	life.Attach(c)
	resp, reusable, err = c.sendAndRead(r, maxBody)
	if !life.Detach(c) || c.yielded {
		reusable = false
	}
	if err == nil {
		return resp, reusable, nil
	}
	var exchangeErr *Error
	if errors.As(err, &exchangeErr) {
		exchangeErr.NewConnection = !c.reused
	}
	return resp, false, err
}

func (c *conn) sendAndRead(r *Request, maxBody int64) (*Response, bool, error) {
	pooled := readers.Get().(*bufio.Reader)
	c.limited = limitedReader{src: c.Conn}
	pooled.Reset(&c.limited)
	c.reader = pooled
	defer func() {
		pooled.Reset(nil)
		readers.Put(pooled)
		c.reader = nil
	}()
	if len(r.Body) <= maxInlineBody {
		if err := c.send(r); err != nil {
			return c.readEarlyResponse(r, maxBody, err)
		}
		return c.readResponse(r, maxBody)
	}
	sent := make(chan error, 1)
	go func() { sent <- c.send(r) }()
	resp, reusable, err := c.readResponse(r, maxBody)
	return resp, c.bodySent(sent) && reusable, err
}

// readEarlyResponse reads the response of a server that closed its side before it read the whole
// request. If there is none, it returns sendErr with StageSend.
func (c *conn) readEarlyResponse(r *Request, maxBody int64, sendErr error) (*Response, bool, error) {
	if resp, _, err := c.readResponse(r, maxBody); err == nil {
		return resp, false, nil
	}
	return nil, false, &Error{Stage: StageSend, Cause: sendErr}
}

// bodySent waits for the end of the write of a long body and reports whether the body was written
// completely. If the write takes longer than bodyGrace, it closes the connection and returns false.
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
