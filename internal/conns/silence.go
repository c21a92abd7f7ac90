package conns

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probes is how many unanswered keep-alive probes end a connection.
const probes = 2

// DetectSilence makes the connections of a dialer fail about that long after
// their path went silent, whether bytes are out or not.
//
// The failure guarded against: something between the two ends has lost track of a
// connection. Nothing says so; whoever waits for an answer on it waits for ever,
// while new connections work. A bound on the wait for an answer can't tell that
// from a slow server, and one short enough to help gives up on servers that are
// only busy. The other end's kernel acknowledges bytes and probes whatever its
// process does, so their absence means the path.
func DetectSilence(d *net.Dialer, after time.Duration) *net.Dialer {
	step := after / (probes + 1)
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: step, Interval: step, Count: probes}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
	return d
}
