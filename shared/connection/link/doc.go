// Package link carries messages between entry VMs over drpc streams.
//
// Each process opens one stream to each of its peers and sends on it; it
// receives on the streams that the peers opened. The messages on one stream
// arrive in the order of their sending, or not at all. A stream that breaks
// loses the messages in transit; the sender is notified when a new stream is up
// and repeats the messages that are still relevant.
package link
