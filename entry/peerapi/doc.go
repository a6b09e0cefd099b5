// Package peerapi answers the messages of other entry VMs.
package peerapi
