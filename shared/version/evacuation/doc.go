// Package evacuation holds which failure domains the operators have evacuated: their
// upstreams get no new tasks until the evacuation is taken back.
//
// The operators' log is the source. A Snapshot is what the log says up to a position,
// so that of two snapshots the one with the higher position is the newer one, however
// it was learned. A process keeps the newest that it has read or received from a peer.
package evacuation
