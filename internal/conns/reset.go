package conns

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a socket that was reset or has timed out.
const tcpClose = unix.BPF_TCP_CLOSE

// DialFunc establishes a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// NewDial returns a dial function that connects within a timeout. Its connections report resets (see
// ReportResets) and fail pathTimeout after the path to the peer broke (see DetectDeadPath).
func NewDial(connectTimeout, pathTimeout time.Duration) DialFunc {
	dialer := DetectDeadPath(&net.Dialer{Timeout: connectTimeout}, pathTimeout)
	return ReportResets(dialer.DialContext)
}

// ReportResets returns a dial function whose connections report a reset to their reader whatever was
// written before.
//
// The kernel reports the failure of a connection once, to the read or the write that comes first. A read
// after such a write returns io.EOF, as if the peer had ended its data: a response without a length that
// was cut by a reset would look complete.
func ReportResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: c}, nil
	}
}

// resetConn is a net.Conn whose reads return the failure that a write took.
type resetConn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// failure is the failure of the connection that a write took; nil if none did. writing guards it.
	failure error
}

// SyscallConn implements syscall.Conn as that of closeHookConn does.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

// Write implements net.Conn.
func (c *resetConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && isConnectionFailure(err) { // errors.As allocates
		c.failure = err
	}
	return n, err
}

// isConnectionFailure reports whether the error of a write is one that the kernel reports once. After the
// end of the peer's data, a write fails with EPIPE instead.
func isConnectionFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements net.Conn.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.endOfData()
	}
	return n, err
}

// endOfData returns io.EOF if the peer ended its data, and otherwise the failure of the connection.
func (c *resetConn) endOfData() error {
	if !c.writing.TryLock() {
		if c.mayBeWritten() {
			return io.EOF // the peer may go on reading, and the write may wait for that
		}
		c.writing.Lock() // the write returns now, maybe with the failure
	}
	defer c.writing.Unlock()
	if c.failure != nil {
		return c.failure
	}
	return io.EOF
}

// mayBeWritten reports whether the connection is open for writes, so that a write may wait for the peer. It is not
// after a reset, nor after a close by this process, which may follow a write that took the failure.
func (c *resetConn) mayBeWritten() bool {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return true // not a socket
	}
	open := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err != nil || info.State != tcpClose
	})
	return err == nil && open
}
