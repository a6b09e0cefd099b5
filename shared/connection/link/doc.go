// Package link carries messages between entry VMs over drpc streams.
//
// Each process opens one stream to each of its peers and sends on it; it
// receives on the streams that the peers opened. Messages on one stream arrive
// in order or not at all. A stream that breaks loses what was under way, so
// the sender is told when it is up again and repeats what still matters.
package link
