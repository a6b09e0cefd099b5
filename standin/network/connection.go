package network

import (
	"io"
	"net"
	"sync/atomic"
)

// connection is an accepted connection. Once it is silent it discards the
// bytes that it receives and sends none.
type connection struct {
	net.Conn
	server *Server
	silent atomic.Bool
}

// Read implements net.Conn.
func (connection *connection) Read(buffer []byte) (int, error) {
	n, err := connection.Conn.Read(buffer)
	connection.server.gate.Wait()
	if !connection.silent.Load() {
		return n, err
	}
	if err == nil {
		// Receives and discards bytes until the client closes the connection.
		_, err = io.Copy(io.Discard, connection.Conn)
	}
	if err == nil {
		err = io.EOF
	}
	return 0, err
}

// Write implements net.Conn.
func (connection *connection) Write(data []byte) (int, error) {
	connection.server.gate.Wait()
	if connection.silent.Load() {
		return len(data), nil
	}
	return connection.Conn.Write(data)
}

// Close implements net.Conn.
func (connection *connection) Close() error {
	connection.server.remove(connection)
	return connection.Conn.Close()
}
