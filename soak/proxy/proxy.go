package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Mode says what happens to the bytes of all connections.
type Mode int

// The modes.
const (
	// Pass forwards.
	Pass Mode = iota
	// Silent forwards nothing either way. Connections stay open.
	Silent
	// OneWay forwards to the target and nothing back.
	OneWay
)

// pollInterval spaces the looks at the mode while nothing is forwarded.
const pollInterval = 10 * time.Millisecond

// Proxy forwards the connections to one address to another one. It is safe for
// concurrent use.
type Proxy struct {
	target string
	mutex  sync.Mutex
	mode   Mode
	delay  time.Duration
	conns  map[net.Conn]bool
}

// Listen returns a Proxy that forwards from an address until ctx ends, and the
// address with its port.
func Listen(ctx context.Context, address, target string) (*Proxy, string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", eris.Wrap(err, "listening")
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

// Configure changes what happens to the bytes, and by how much each piece of them is
// delayed.
func (proxy *Proxy) Configure(mode Mode, delay time.Duration) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.mode = mode
	proxy.delay = delay
}

// Reset breaks all connections.
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
		// No process listens: the caller sees a broken connection.
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

// forward copies bytes one way until either side ends.
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
