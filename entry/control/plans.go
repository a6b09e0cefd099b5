package control

import (
	"sync/atomic"
	"time"

	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/version/plan"
)

// Plans holds the latest plan that this VM knows. Ready is safe for concurrent use;
// only the control goroutine may call the other methods.
type Plans struct {
	follower *plan.Follower
	writer   *plan.SnapshotWriter
	logger   *logevent.Logger
	ready    atomic.Bool
	// appliedVersion is the version of the plan that InForce returned last.
	// nextChange is the time of the next change of the rules in force of that
	// plan, or zero if none is left.
	appliedVersion int64
	nextChange     time.Time
}

// PlanDump is the part of the state dump about the plan.
type PlanDump = plan.Dump

// NewPlans returns Plans without a plan. peerAddress is the peer address of this VM.
func NewPlans(peerAddress string, logger *logevent.Logger) *Plans {
	return &Plans{
		follower: plan.New(),
		writer:   plan.NewSnapshotWriter(peerAddress),
		logger:   logger,
	}
}

// Ready reports whether a plan is known.
func (plans *Plans) Ready() bool { return plans.ready.Load() }

// Dump returns the part of the state dump about the plan.
func (plans *Plans) Dump() PlanDump { return plans.follower.DumpState() }

// ApplyRead applies the records of a read of the plan stream and returns the offset
// of the next read.
func (plans *Plans) ApplyRead(now time.Time, read plan.DecodedRead) int64 {
	for _, outcome := range plans.follower.ApplyDecoded(now, read) {
		plans.recordOutcome(outcome)
	}
	return plans.follower.Next()
}

// RecordsTrimmed reports to the follower that the log trimmed all records of the plan
// stream below firstOffset. It returns the offset of the next read.
func (plans *Plans) RecordsTrimmed(firstOffset int64) int64 {
	plans.logger.Log(logevent.PlanTrimmed, "first-offset", firstOffset, "next-offset", plans.follower.Next())
	plans.follower.Trimmed(firstOffset)
	return plans.follower.Next()
}

// AdoptPeerSnapshot adopts a peer's snapshot if it is newer than the known plan. It
// returns the offset of the next read.
func (plans *Plans) AdoptPeerSnapshot(now time.Time, snapshot *plan.Snapshot) int64 {
	plans.recordOutcome(plans.follower.AdoptPeerSnapshot(now, snapshot))
	return plans.follower.Next()
}

// recordOutcome logs the outcome of a record or snapshot, and sets ready when a plan
// was adopted.
func (plans *Plans) recordOutcome(outcome plan.Outcome) {
	switch outcome := outcome.(type) {
	case plan.Adopted:
		plans.ready.Store(true)
		plans.logger.Log(logevent.PlanAdopted, "version", outcome.Version, "digest", outcome.Digest.String(),
			"publish-id", outcome.PublishID, "author", outcome.Author, "source", string(outcome.Source))
	case plan.Conflict:
		plans.logger.Log(logevent.PlanConflict, "offset", outcome.Offset, "publish-id", outcome.PublishID,
			"author", outcome.Author, "base", outcome.Base, "current", outcome.Current)
	case plan.Invalid:
		plans.logger.Log(logevent.PlanInvalid, "offset", outcome.Offset, "cause", outcome.Err.Error())
	case plan.SnapshotRead, plan.Ignored:
	}
}

// InForce returns the plan with the rules in force at now, if they may differ from
// those that it returned last. It returns false otherwise, and if no plan is known.
func (plans *Plans) InForce(now time.Time) (*plan.Plan, bool) {
	version, _, latest := plans.follower.Current()
	if version == 0 {
		return nil, false
	}
	due := !plans.nextChange.IsZero() && !now.Before(plans.nextChange)
	if version == plans.appliedVersion && !due {
		return nil, false
	}
	effective, next := latest.InForceAt(now)
	plans.appliedVersion = version
	plans.nextChange = next
	return effective, true
}

// DueSnapshot returns the snapshot that this VM must append to the plan stream now,
// or false if none is due. live holds the peer addresses of the live entry VMs.
// SnapshotAppendEnded must be called when the append has ended.
func (plans *Plans) DueSnapshot(now time.Time, live []string) (*plan.Snapshot, bool) {
	snapshot, due := plans.writer.StartIfDue(now, plans.follower, live)
	if due {
		plans.logger.Log(logevent.PlanSnapshot, "version", snapshot.Version, "read-up-to", snapshot.ReadUpTo)
	}
	return snapshot, due
}

// SnapshotAppendEnded records that the append of a snapshot ended, successfully or
// not.
func (plans *Plans) SnapshotAppendEnded(now time.Time) {
	plans.writer.AppendEnded(now, plans.follower)
}
