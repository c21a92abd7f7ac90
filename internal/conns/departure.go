package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// departureInterval is the time between two looks at a watched connection.
	departureInterval = 100 * time.Millisecond
	// serverWatchBytes is the size in bytes of the read by which net/http watches a connection while it
	// serves a request of it.
	serverWatchBytes = 1
)

// Departures watches the connections of callers for their close. net/http does so itself from the end of a
// request's body until a byte of a further (pipelined) request arrives, and not before or after: the request
// would be served to its end for a caller that has left. It is safe for concurrent use.
type Departures struct {
	// onPipelined is called when a request arrives while another one of its connection is served.
	onPipelined func()

	mu sync.Mutex
	// watched holds for each connection how many reasons there are to watch it.
	watched map[*CallerConn]int
	// looking is whether look runs. It ends when nothing is left to watch.
	looking bool
}

// NewDepartures returns a Departures that watches nothing yet. onPipelined is called when a request
// arrives while another one of its connection is served; it must not block.
func NewDepartures(onPipelined func()) *Departures {
	return &Departures{onPipelined: onPipelined, watched: make(map[*CallerConn]int)}
}

// Wrap returns the connection c of a caller. A server that serves it has to use ConnContext and Handler.
func (d *Departures) Wrap(c net.Conn) *CallerConn {
	return &CallerConn{Conn: c, departures: d, socket: newSocketState(c)}
}

// Handler returns a handler for requests of wrapped connections. A request that was read only after its
// caller had left, for example since the process got no processor time, is canceled before next gets it.
func (d *Departures) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c != nil && c.socket != nil && c.socket.isClosed() {
			c.cancel()
		}
		if r.TLS != nil && r.ProtoMajor == 1 { // reads of encrypted connections don't show pipelined requests
			defer c.watch()()
		}
		next.ServeHTTP(w, r)
	})
}

// WatchUnread watches the connection of a request whose body is not read yet, until stop is called. ctx is
// the context of the request.
func WatchUnread(ctx context.Context) (stop func()) { return connOf(ctx).watch() }

// Listener returns a listener whose connections are wrapped.
func (d *Departures) Listener(l net.Listener) net.Listener { return &callerListener{l, d} }

type callerListener struct {
	net.Listener
	departures *Departures
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.departures.Wrap(c), nil
}

// CallerConn is the connection of a caller.
type CallerConn struct {
	net.Conn
	departures *Departures
	socket     *socketState // nil if the connection has no socket
	// cancel ends the requests of the connection.
	cancel context.CancelFunc
	// pipelined is whether net/http has stopped watching. Reads are made one after another.
	pipelined bool
}

// departing is implemented by a CallerConn and by connections that embed one.
type departing interface {
	requestContext(ctx context.Context) context.Context
}

// ConnContext returns the context for the requests of a connection that Wrap returned, or that embeds
// one or encrypts one. It is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if encrypted, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = encrypted.NetConn()
	}
	if d, ok := c.(departing); ok {
		return d.requestContext(ctx)
	}
	return ctx
}

// connKey is the key of the CallerConn in the contexts of its requests.
type connKey struct{}

// connOf returns the connection of a request; nil if it is not wrapped.
func connOf(ctx context.Context) *CallerConn {
	c, _ := ctx.Value(connKey{}).(*CallerConn)
	return c
}

func (c *CallerConn) requestContext(ctx context.Context) context.Context {
	ctx, c.cancel = context.WithCancel(ctx)
	return context.WithValue(ctx, connKey{}, c)
}

// Read implements net.Conn.
func (c *CallerConn) Read(b []byte) (int, error) {
	if c.pipelined { // the request that was served has its response
		c.pipelined = false
		c.departures.forget(c)
	}
	n, err := c.Conn.Read(b)
	if n > 0 && len(b) == serverWatchBytes {
		c.pipelined = true
		c.departures.onPipelined()
		c.departures.watch(c)
	}
	return n, err
}

// Close implements net.Conn.
func (c *CallerConn) Close() error {
	c.departures.forgetClosed(c)
	if c.cancel != nil {
		c.cancel()
	}
	return c.Conn.Close()
}

// watch watches a connection, which may be nil, until stop is called.
func (c *CallerConn) watch() (stop func()) {
	if c == nil {
		return func() {}
	}
	c.departures.watch(c)
	return func() { c.departures.forget(c) }
}

func (d *Departures) watch(c *CallerConn) {
	if c.socket == nil || c.cancel == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watched[c]++
	if !d.looking {
		d.looking = true
		go d.look()
	}
}

// forget takes back one reason to watch a connection.
func (d *Departures) forget(c *CallerConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watched[c]--; d.watched[c] <= 0 {
		delete(d.watched, c)
	}
}

func (d *Departures) forgetClosed(c *CallerConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watched, c)
}

// look cancels the requests of watched connections whose callers have left. It returns when there is
// nothing to watch.
func (d *Departures) look() {
	ticker := time.NewTicker(departureInterval)
	defer ticker.Stop()
	for range ticker.C {
		watched, due := d.toLookAt()
		if !due {
			return
		}
		for _, c := range watched {
			if c.socket.isClosed() {
				d.forgetClosed(c)
				c.cancel()
			}
		}
	}
}

// toLookAt returns the watched connections. Without any it returns false, and look has to end.
func (d *Departures) toLookAt() (watched []*CallerConn, due bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.watched) == 0 {
		d.looking = false
		return nil, false
	}
	for c := range d.watched {
		watched = append(watched, c)
	}
	return watched, true
}
