package control

import (
	"sync/atomic"
	"time"

	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/version/plan"
)

// Plans holds the plan that this VM knows. Ready is safe for concurrent use;
// all else belongs to the control goroutine.
type Plans struct {
	follower *plan.Follower
	writer   *plan.SnapshotWriter
	logger   *logevent.Logger
	ready    atomic.Bool
	// appliedVersion and next describe the rules last given to the dispatch core.
	appliedVersion int64
	nextChange     time.Time
}

// PlanDump is the Plans' part of the state dump.
type PlanDump = plan.Dump

// NewPlans returns Plans that know no plan. self is this VM's peer address.
func NewPlans(peerAddress string, logger *logevent.Logger) *Plans {
	return &Plans{
		follower: plan.New(),
		writer:   plan.NewSnapshotWriter(peerAddress),
		logger:   logger,
	}
}

// Ready reports whether a plan is known.
func (plans *Plans) Ready() bool { return plans.ready.Load() }

// Dump returns the state dump.
func (plans *Plans) Dump() PlanDump { return plans.follower.DumpState() }

// ApplyRead takes in what a read of the plan stream brought and returns the offset
// to read next.
func (plans *Plans) ApplyRead(now time.Time, read plan.DecodedRead) int64 {
	for _, verdict := range plans.follower.ReadDecoded(now, read) {
		plans.recordOutcome(verdict)
	}
	return plans.follower.Next()
}

// RecordsTrimmed takes in where the retained records begin and returns the offset to
// read next.
func (plans *Plans) RecordsTrimmed(first int64) int64 {
	plans.logger.Log(logevent.PlanTrimmed, "first-offset", first, "next-offset", plans.follower.Next())
	plans.follower.Trimmed(first)
	return plans.follower.Next()
}

// AdoptPeerSnapshot takes in a peer's snapshot and returns the offset to read next.
func (plans *Plans) AdoptPeerSnapshot(now time.Time, snapshot *plan.Snapshot) int64 {
	plans.recordOutcome(plans.follower.Adopt(now, snapshot))
	return plans.follower.Next()
}

func (plans *Plans) recordOutcome(verdict plan.Verdict) {
	switch verdict := verdict.(type) {
	case plan.Adopted:
		plans.ready.Store(true)
		plans.logger.Log(logevent.PlanAdopted, "version", verdict.Version, "digest", verdict.Digest.String(),
			"publish-id", verdict.PublishID, "author", verdict.Author, "source", string(verdict.Source))
	case plan.Conflict:
		plans.logger.Log(logevent.PlanConflict, "offset", verdict.Offset, "publish-id", verdict.PublishID,
			"author", verdict.Author, "base", verdict.Base, "current", verdict.Current)
	case plan.Invalid:
		plans.logger.Log(logevent.PlanInvalid, "offset", verdict.Offset, "cause", verdict.Err.Error())
	case plan.SnapshotRead, plan.Ignored:
	}
}

// InForce returns the rules in force at now, and whether they differ from
// those returned before.
func (plans *Plans) InForce(now time.Time) (*plan.Plan, bool) {
	version, _, known := plans.follower.Current()
	if version == 0 {
		return nil, false
	}
	due := !plans.nextChange.IsZero() && !now.Before(plans.nextChange)
	if version == plans.appliedVersion && !due {
		return nil, false
	}
	effective, next := known.At(now)
	plans.appliedVersion = version
	plans.nextChange = next
	return effective, true
}

// DueSnapshot returns the snapshot that this VM has to append now.
// SnapshotEnded must follow.
func (plans *Plans) DueSnapshot(now time.Time, live []string) (*plan.Snapshot, bool) {
	snapshot, due := plans.writer.Due(now, plans.follower, live)
	if due {
		plans.logger.Log(logevent.PlanSnapshot, "version", snapshot.Version, "read-up-to", snapshot.ReadUpTo)
	}
	return snapshot, due
}

// SnapshotAppendEnded tells that the append of a snapshot ended, well or not.
func (plans *Plans) SnapshotAppendEnded(now time.Time) {
	plans.writer.Ended(now, plans.follower)
}
