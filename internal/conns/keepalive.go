package conns

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxProbes is the number of unacknowledged keep-alive probes after which the kernel closes a
// connection.
const maxProbes = 2

// DetectDeadPath configures a dialer so that its connections fail about timeout after the peer's
// kernel stops acknowledging, with or without unacknowledged data. It sets keep-alive probes and
// TCP_USER_TIMEOUT. The idle time before the first probe and the interval after each of the maxProbes
// probes are equal and add up to timeout.
//
// This covers a device on the path, such as a NAT or firewall, that drops its state of a
// connection. Neither end receives an error, and a request on the connection never gets a response,
// while new connections work. A response timeout cannot distinguish this from a slow server, and a
// short one aborts requests to servers that are only busy. The kernel of the peer acknowledges data
// and probes independently of its process, so missing acknowledgements indicate a broken path.
func DetectDeadPath(d *net.Dialer, timeout time.Duration) *net.Dialer {
	interval := timeout / (maxProbes + 1)
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: maxProbes}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
	return d
}

// serverKeepAliveFactor is how much longer than a dialer's the first wait of a server's keep-alive probes is.
// A server thus sends none while the dialer's probes arrive.
const serverKeepAliveFactor = 2

// DetectDeadDialers configures a listener so that its connections fail some time after their dialer, which
// uses DetectDeadPath with the same timeout, can't be reached any more: because it lost power, or because
// it gave the connection up while its close could not arrive. The kernel counts whole seconds.
//
// Without it a server works on for a client that will never read the response.
func DetectDeadDialers(l *net.ListenConfig, timeout time.Duration) {
	interval := max(timeout/(maxProbes+1), time.Second)
	l.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: serverKeepAliveFactor * interval, Interval: interval, Count: maxProbes}
}
