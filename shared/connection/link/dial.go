package link

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpUserTimeout ends a connection whose peer acknowledges no data for that
	// long. The kernel's default takes minutes.
	tcpUserTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount make TCP detect a
	// silent peer while no data is sent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer whose TCP connections fail if the peer goes silent:
// after 2 s without an acknowledgement of sent data, or after two unanswered
// keep-alive probes, 1 s apart, on an idle connection. timeout bounds each
// connection attempt.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, rawConn syscall.RawConn) error {
			var optionErr error
			err := rawConn.Control(func(descriptor uintptr) {
				optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(tcpUserTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
}

// DialTCP opens a TCP connection to a peer with a Dialer. The attempt times out
// after 300 ms.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return Dialer(dialTimeout).DialContext(ctx, "tcp", address)
}

// isRefused reports whether a connection failed because no process listens at
// the address.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
