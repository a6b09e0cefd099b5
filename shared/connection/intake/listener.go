package intake

import (
	"context"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// Listen listens on a TCP address with small receive buffers, which accepted connections
// inherit. A system that refuses the size keeps its own.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control: func(_, _ string, rawConn syscall.RawConn) error {
			return rawConn.Control(func(descriptor uintptr) {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ReceiveBuffer)
			})
		},
	}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, eris.Wrapf(err, "listening on %s", address)
}

// listener accepts the connections that a Gate admits.
type listener struct {
	net.Listener
	gate *Gate
}

// Listener returns a listener whose connections the Gate bounds.
func (gate *Gate) Listener(inner net.Listener) net.Listener {
	return &listener{
		Listener: inner,
		gate:     gate,
	}
}

// Accept returns the next connection that is admitted.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		netConn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := listener.gate.admit(netConn); conn != nil {
			return conn, nil
		}
	}
}
