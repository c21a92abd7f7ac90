package conns

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketState looks at the state of a socket.
type socketState struct {
	raw syscall.RawConn
	// poll is pollFd as a value, so that a look allocates nothing.
	poll func(fd uintptr)

	mu     sync.Mutex
	fds    [1]unix.PollFd
	closed bool
}

// newSocketState returns the state of the socket of a connection; nil if it has none.
func newSocketState(c net.Conn) *socketState {
	raw, err := rawConn(c)
	if err != nil {
		return nil
	}
	s := &socketState{raw: raw}
	s.poll = s.pollFd
	return s
}

// isClosed reports whether the peer has closed or reset the connection, whatever data is still unread.
func (s *socketState) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = false
	err := s.raw.Control(s.poll)
	return err == nil && s.closed
}

func (s *socketState) pollFd(fd uintptr) {
	s.fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
	n, err := unix.Poll(s.fds[:], 0)
	s.closed = err == nil && n > 0
}
