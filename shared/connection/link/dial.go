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
	// tcpUserTimeout ends a connection whose peer acknowledges nothing for that
	// long. The kernel's default takes minutes.
	tcpUserTimeout = 2 * time.Second
	// keepAliveIdle, probeInterval and probeCount find connections that went
	// silent while nothing is sent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer whose connections break when the peer is silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(descriptor uintptr) {
				failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(tcpUserTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
}

// DialTCP opens a TCP connection to a peer.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return Dialer(dialTimeout).DialContext(ctx, "tcp", address)
}

func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
