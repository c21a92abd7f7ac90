package conns

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// Guards against a request that waits for many minutes on a broken path. The kernel closes the
// connection after the timeout only if both TCP_USER_TIMEOUT and keep-alive are set.
func TestKeepAliveAndUserTimeoutAreSet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	c, err := DetectDeadPath(&net.Dialer{Timeout: time.Second}, 900*time.Millisecond).Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	must.EqOp(t, 900, socketOption(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
	must.EqOp(t, 1, socketOption(t, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	must.EqOp(t, maxProbes, socketOption(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
}

// Guards against a server that works on for minutes for a client that lost power.
func TestServerFindsDeadDialersWithinSeconds(t *testing.T) {
	var config net.ListenConfig
	DetectDeadDialers(&config, time.Second)
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	accepted, err := l.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	must.EqOp(t, 1, socketOption(t, accepted, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	must.EqOp(t, 2, socketOption(t, accepted, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
	must.EqOp(t, 1, socketOption(t, accepted, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
	must.EqOp(t, maxProbes, socketOption(t, accepted, unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
}

func socketOption(t *testing.T, c net.Conn, level, name int) (value int) {
	raw, err := c.(syscall.Conn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), level, name)
	}))
	must.NoError(t, err)
	return value
}
