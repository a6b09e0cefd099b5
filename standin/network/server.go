package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/standin/fault"
)

// listenRetryDelay is the delay between two attempts to listen again on an
// address that is still in use.
const listenRetryDelay = 10 * time.Millisecond

// readHeaderTimeout bounds how long a client can take to send the headers of a
// request.
const readHeaderTimeout = 30 * time.Second

// Server serves one handler on one address. It is safe for concurrent use.
type Server struct {
	handler http.Handler
	gate    *fault.Gate

	mutex   sync.Mutex
	address string
	// listener is nil while the server accepts no connections.
	listener    net.Listener
	httpServer  *http.Server
	connections map[*connection]struct{}
	closed      bool
}

// New returns a server of handler that does not listen yet. While gate is
// shut, the server accepts no connections and reads and writes no bytes.
func New(handler http.Handler, gate *fault.Gate) *Server {
	return &Server{
		handler:     handler,
		gate:        gate,
		connections: map[*connection]struct{}{},
	}
}

// Listen serves on address and returns the address in use, which differs from
// it if its port is 0.
func (server *Server) Listen(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", eris.Wrapf(err, "listening on %s", address)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closed = false
	server.address = listener.Addr().String()
	server.httpServer = &http.Server{
		Handler:           server.handler,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	server.serve(listener)
	return server.address, nil
}

// serve starts accepting connections on listener. The mutex is held.
func (server *Server) serve(listener net.Listener) {
	server.listener = listener
	httpServer := server.httpServer
	go func() {
		// The error only says that the listener was closed.
		_ = httpServer.Serve(&trackingListener{
			Listener: listener,
			server:   server,
		})
	}()
}

// Address returns the address in use, or "" before Listen.
func (server *Server) Address() string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.address
}

// Silence makes the open connections silent for the rest of their lives and
// returns their number.
func (server *Server) Silence() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for connection := range server.connections {
		connection.silent.Store(true)
	}
	return len(server.connections)
}

// Refuse closes the listener and opens it again after duration. A duration of
// 0 lasts until Resume. Open connections keep working. The error wraps
// fault.ErrNotListening if the server does not listen.
func (server *Server) Refuse(duration time.Duration) error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.httpServer == nil || server.closed {
		return eris.Wrap(fault.ErrNotListening, "refuse")
	}
	if server.listener != nil {
		server.listener.Close()
		server.listener = nil
	}
	if duration > 0 {
		time.AfterFunc(duration, server.Resume)
	}
	return nil
}

// Resume opens the listener again that Refuse closed, and retries while the
// address is in use.
func (server *Server) Resume() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed || server.httpServer == nil || server.listener != nil {
		return
	}
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		time.AfterFunc(listenRetryDelay, server.Resume)
		return
	}
	server.serve(listener)
}

// Close closes the listener and all connections immediately. It does not wait
// for requests in progress.
func (server *Server) Close() {
	server.mutex.Lock()
	server.closed = true
	httpServer := server.httpServer
	if server.listener != nil {
		server.listener.Close()
		server.listener = nil
	}
	openConnections := make([]*connection, 0, len(server.connections))
	for connection := range server.connections {
		openConnections = append(openConnections, connection)
	}
	server.mutex.Unlock()
	if httpServer != nil {
		_ = httpServer.Close()
	}
	for _, connection := range openConnections {
		_ = connection.Close()
	}
}

// Shutdown closes the listener and waits for the requests in progress, at most
// until ctx ends.
func (server *Server) Shutdown(ctx context.Context) error {
	server.mutex.Lock()
	httpServer := server.httpServer
	server.closed = true
	server.mutex.Unlock()
	if httpServer == nil {
		return nil
	}
	if err := httpServer.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "shutting down")
	}
	return nil
}

// add registers an accepted connection. It returns false if the server is
// closed.
func (server *Server) add(connection *connection) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed {
		return false
	}
	server.connections[connection] = struct{}{}
	return true
}

// remove unregisters a closed connection.
func (server *Server) remove(connection *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.connections, connection)
}

// trackingListener registers the connections that it accepts with the server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (trackingListener *trackingListener) Accept() (net.Conn, error) {
	for {
		accepted, err := trackingListener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		trackingListener.server.gate.Wait()
		wrapped := &connection{
			Conn:   accepted,
			server: trackingListener.server,
		}
		if trackingListener.server.add(wrapped) {
			return wrapped, nil
		}
		accepted.Close()
	}
}
