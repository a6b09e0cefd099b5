package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Mode selects the directions in which a Proxy forwards bytes, for all its
// connections. Bytes of a blocked direction are held until the mode changes.
type Mode int

// Values of Mode.
const (
	// Pass forwards in both directions.
	Pass Mode = iota
	// Silent forwards in neither direction. Connections stay open.
	Silent
	// OneWay forwards to the target only.
	OneWay
)

// pollInterval is the time between two checks of the mode while a direction is
// blocked.
const pollInterval = 10 * time.Millisecond

// Proxy forwards connections from a listening address to a target address. It is
// safe for concurrent use.
type Proxy struct {
	target string
	mutex  sync.Mutex
	mode   Mode
	delay  time.Duration
	conns  map[net.Conn]bool
}

// Listen starts a Proxy that forwards connections from address to target until ctx
// ends. It also returns the address with the port on which it listens.
func Listen(ctx context.Context, address, target string) (*Proxy, string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", eris.Wrap(err, "starting the listener of a proxy")
	}
	proxy := &Proxy{
		target: target,
		conns:  make(map[net.Conn]bool),
	}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		proxy.Reset()
	})
	go proxy.accept(listener)
	return proxy, listener.Addr().String(), nil
}

// Configure sets the mode and the delay before each forwarded chunk, for open and
// new connections.
func (proxy *Proxy) Configure(mode Mode, delay time.Duration) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.mode = mode
	proxy.delay = delay
}

// Reset closes all connections with a TCP reset.
func (proxy *Proxy) Reset() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (proxy *Proxy) accept(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(from)
	}
}

func (proxy *Proxy) serve(from net.Conn) {
	to, err := net.Dial("tcp", proxy.target)
	if err != nil {
		// Nothing listens on the target address: the connecting side sees its
		// connection closed.
		_ = from.Close()
		return
	}
	proxy.track(true, from, to)
	defer proxy.track(false, from, to)
	done := make(chan struct{}, 2)
	go proxy.forward(to, from, false, done)
	go proxy.forward(from, to, true, done)
	<-done
	_ = from.Close()
	_ = to.Close()
	<-done
}

// track adds open connections to the set that Reset closes, or removes closed ones.
func (proxy *Proxy) track(open bool, conns ...net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range conns {
		if open {
			proxy.conns[conn] = true
		} else {
			delete(proxy.conns, conn)
		}
	}
}

// forward copies bytes in one direction until either connection ends. toSource
// means the direction from the target to the source of the connection.
func (proxy *Proxy) forward(to, from net.Conn, toSource bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for {
			proxy.mutex.Lock()
			mode, delay, open := proxy.mode, proxy.delay, proxy.conns[from]
			proxy.mutex.Unlock()
			if !open {
				return
			}
			if mode == Pass || (mode == OneWay && !toSource) {
				time.Sleep(delay)
				break
			}
			time.Sleep(pollInterval)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
