package plan

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstRankDivisor sets when the VM with rank 0 appends a snapshot: once a
	// third of the retention has passed since the last checkpoint. The VMs with
	// ranks 0 to 11 come due before half of the retention has passed, so that
	// others can take over if the first ones have failed.
	firstRankDivisor = 3
	// rankIntervalDivisor sets the time between one rank and the next, as a
	// fraction of the retention.
	rankIntervalDivisor = 72
)

// SnapshotRank returns the rank of the VM self, from 0, in the order in which
// the live VMs become due to append the next snapshot. self and live are peer
// addresses. The order comes from rendezvous hashing with checkpointMs, the Unix
// time in ms of the last checkpoint, which is a record from which a new reader
// can start. Thus the order changes with each snapshot, which spreads the work
// over the VMs. VMs with different views of live may append the same snapshot
// twice, which is harmless.
func SnapshotRank(self string, live []string, checkpointMs int64) int {
	selfWeight := snapshotWeight(self, checkpointMs)
	rank := 0
	for _, other := range live {
		if other == self {
			continue
		}
		weight := snapshotWeight(other, checkpointMs)
		if cmp.Or(cmp.Compare(weight, selfWeight), cmp.Compare(other, self)) > 0 {
			rank++
		}
	}
	return rank
}

func snapshotWeight(address string, checkpointMs int64) uint64 {
	return xxhash.Sum64String(address + " " + strconv.FormatInt(checkpointMs, 10))
}

// SnapshotDueAt returns when the VM self is due to append a snapshot, unless
// another one is read before. live lists the peer addresses of the live entry
// VMs. The result is zero while the Follower has no plan, isn't synced, since a
// snapshot at an old offset is of no use to new readers, or doesn't know the
// retention, which the last read reports. The clocks of the VMs and of the log
// may differ by a hundredth of the retention.
func (follower *Follower) SnapshotDueAt(self string, live []string) time.Time {
	retention := follower.retention
	if follower.current.Version == 0 || !follower.Synced() || retention <= 0 {
		return time.Time{}
	}
	rank := SnapshotRank(self, live, follower.checkpointMs)
	delay := retention/firstRankDivisor + time.Duration(rank)*retention/rankIntervalDivisor
	return time.UnixMilli(follower.checkpointMs).Add(delay)
}

// SnapshotWriter decides when this VM appends a snapshot, and delays retries. It
// is not safe for concurrent use: the goroutine that owns the Follower owns it.
type SnapshotWriter struct {
	selfAddress string
	// appending is true from StartIfDue until AppendEnded.
	appending bool
	// retryAt is the earliest time of the next append, late enough for the last
	// snapshot to be read back.
	retryAt time.Time
}

// NewSnapshotWriter returns a SnapshotWriter for the VM with the peer address
// self.
func NewSnapshotWriter(self string) *SnapshotWriter {
	return &SnapshotWriter{
		selfAddress: self,
	}
}

// StartIfDue returns a snapshot and true if one is due and no append is in
// progress. The caller encodes and appends it, on another goroutine, and calls
// AppendEnded when the append has ended. live lists the peer addresses of the
// live entry VMs.
func (writer *SnapshotWriter) StartIfDue(now time.Time, follower *Follower, live []string) (*Snapshot, bool) {
	if writer.appending || now.Before(writer.retryAt) {
		return nil, false
	}
	dueAt := follower.SnapshotDueAt(writer.selfAddress, live)
	if dueAt.IsZero() || now.Before(dueAt) {
		return nil, false
	}
	snapshot, ok := follower.Snapshot(writer.selfAddress)
	writer.appending = ok
	return snapshot, ok
}

// AppendEnded reports that the append has succeeded or failed. The next attempt
// waits for a fraction of the retention: by then a snapshot whose reply was lost
// has been read back, so that only a failed append is repeated.
func (writer *SnapshotWriter) AppendEnded(now time.Time, follower *Follower) {
	writer.appending = false
	writer.retryAt = now.Add(follower.retention / rankIntervalDivisor)
}
