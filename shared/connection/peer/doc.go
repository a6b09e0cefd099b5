// Package peer implements the RPC protocol between entry VMs: CBOR messages
// over drpc.
//
// Each message is a Method with a typed request and response. Serve passes
// incoming calls to a Handlers value; a Pool holds the connections over which
// Method.Call sends requests. The error of a call says whether the request
// can have reached the peer: ErrNotDelivered proves that it did not,
// ErrDeliveryUnknown leaves it open.
package peer
