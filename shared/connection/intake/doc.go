// Package intake bounds what clients can make a process hold: connections, request
// bodies in reading, and jobs that wait for their answers. A Ledger decides who is
// admitted, who is refused and whose connection ends, without a network or a clock of its
// own. A Gate applies the decisions to the connections of an HTTP server.
package intake
