// Package platform is a client of the platform's HTTP protocol: append-only
// streams of records with offsets, and the list of VMs.
//
// Client makes single calls. FollowRecords and FollowVMs poll in a loop and pass
// on each change. The messages are described in docs/platform-protocol.md.
package platform
