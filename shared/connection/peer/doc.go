// Package peer carries the messages between entry VMs over drpc, encoded as
// CBOR.
//
// Each message is a Method with a typed request and response. Serve answers
// the methods of a Handlers value; a Pool calls them. The errors of a call
// say whether the request can have reached the peer: ErrNotDelivered is proof
// that it did not, ErrLost leaves it open.
package peer
