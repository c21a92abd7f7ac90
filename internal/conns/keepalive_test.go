package conns

import (
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
	raw, err := c.(syscall.Conn).SyscallConn()
	must.NoError(t, err)
	option := func(level, name int) int {
		value := 0
		must.NoError(t, raw.Control(func(fd uintptr) {
			value, err = unix.GetsockoptInt(int(fd), level, name)
		}))
		must.NoError(t, err)
		return value
	}
	must.EqOp(t, 900, option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
	must.EqOp(t, 1, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	must.EqOp(t, maxProbes, option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
}
