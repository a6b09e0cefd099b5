package plan

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// snapshotDivisor: the first VM in the order writes a snapshot when the
	// last one is a third of the retention old, so that a dozen others can
	// step in before half of it has passed.
	firstRankDivisor = 3
	// rankIntervalDivisor is the part of the retention that each VM leaves the one
	// before it in the order.
	rankIntervalDivisor = 72
)

// SnapshotRank returns the place of the VM self in the order in which live
// VMs write the next snapshot, by rendezvous hashing; 0 goes first. The order
// changes with each snapshot, so that the work moves round the VMs. VMs with
// different views may write the same snapshot, which is harmless.
func SnapshotRank(self string, live []string, lastMs int64) int {
	mine := snapshotWeight(self, lastMs)
	rank := 0
	for _, other := range live {
		if other == self {
			continue
		}
		weight := snapshotWeight(other, lastMs)
		if cmp.Or(cmp.Compare(weight, mine), cmp.Compare(other, self)) > 0 {
			rank++
		}
	}
	return rank
}

func snapshotWeight(address string, lastMs int64) uint64 {
	return xxhash.Sum64String(address + " " + strconv.FormatInt(lastMs, 10))
}

// SnapshotDueAt returns when the VM self has to append a snapshot unless another
// one appears before. live lists the peer addresses of the live entry VMs.
// The result is zero while the Follower has no plan or lacks records: a
// snapshot of an old offset would help nobody. The retention is that of the
// last read. The clocks of VMs and log may differ by a hundredth of it.
func (follower *Follower) SnapshotDueAt(self string, live []string) time.Time {
	retention := follower.retention
	if follower.current.Version == 0 || !follower.Synced() || retention <= 0 {
		return time.Time{}
	}
	rank := SnapshotRank(self, live, follower.checkpointMs)
	delay := retention/firstRankDivisor + time.Duration(rank)*retention/rankIntervalDivisor
	return time.UnixMilli(follower.checkpointMs).Add(delay)
}

// SnapshotWriter decides when this VM appends a snapshot, and spaces its
// attempts. It belongs to the goroutine that owns the Follower.
type SnapshotWriter struct {
	selfAddress    string
	appending bool
	// retryAt keeps the writer from appending again before its own snapshot
	// was read back.
	retryAt time.Time
}

// NewSnapshotWriter returns a SnapshotWriter for the VM with the peer address
// self.
func NewSnapshotWriter(self string) *SnapshotWriter {
	return &SnapshotWriter{
		selfAddress: self,
	}
}

// StartIfDue returns the snapshot to be encoded and appended now, on another
// goroutine. live lists the peer addresses of the live entry VMs. The caller
// reports the end of the append to Ended.
func (writer *SnapshotWriter) StartIfDue(now time.Time, follower *Follower, live []string) (*Snapshot, bool) {
	if writer.appending || now.Before(writer.retryAt) {
		return nil, false
	}
	at := follower.SnapshotDueAt(writer.selfAddress, live)
	if at.IsZero() || now.Before(at) {
		return nil, false
	}
	snapshot, known := follower.Snapshot(writer.selfAddress)
	writer.appending = known
	return snapshot, known
}

// AppendEnded tells that the append ended, well or not. The next attempt follows
// after a part of the retention: a failed one is repeated, and one whose reply
// was lost has been read back by then.
func (writer *SnapshotWriter) AppendEnded(now time.Time, follower *Follower) {
	writer.appending = false
	writer.retryAt = now.Add(follower.retention / rankIntervalDivisor)
}

func digestMismatchError(actual, named Digest) error {
	return eris.Wrapf(ErrInvalidPlan, "the changed plan's digest is %s, the record names %s", actual, named)
}

func readAheadError(readUpTo, offset int64) error {
	return eris.Wrapf(ErrMalformedRecord, "snapshot at offset %d claims to be read up to %d", offset, readUpTo)
}
