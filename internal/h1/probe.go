package h1

import (
	"errors"
	"net"
	"syscall"
)

// probe checks the socket of an idle connection. It is used by one goroutine at a time, and a check
// allocates no memory.
type probe struct {
	raw syscall.RawConn
	// peek is the method value of peekSocket.
	peek  func(fd uintptr) bool
	quiet bool
	first [1]byte
}

// newProbe returns the probe of a connection. It returns nil for a connection without a socket, and
// an error for a closed one.
func newProbe(c net.Conn) (*probe, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := sc.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	p := &probe{raw: raw}
	p.peek = p.peekSocket
	return p, nil
}

// isQuiet reports whether the socket shows neither a close by the server nor data.
func (p *probe) isQuiet() bool {
	p.quiet = false
	err := p.raw.Read(p.peek)
	return err == nil && p.quiet
}

func (p *probe) peekSocket(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), p.first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	p.quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	return true
}
