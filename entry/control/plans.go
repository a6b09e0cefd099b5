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
	// version and next describe the rules last given to the dispatch core.
	version int64
	next    time.Time
}

// PlanDump is the Plans' part of the state dump.
type PlanDump = plan.Dump

// NewPlans returns Plans that know no plan. self is this VM's peer address.
func NewPlans(self string, logger *logevent.Logger) *Plans {
	return &Plans{
		follower: plan.New(),
		writer:   plan.NewSnapshotWriter(self),
		logger:   logger,
	}
}

// Ready reports whether a plan is known.
func (plans *Plans) Ready() bool { return plans.ready.Load() }

// Dump returns the state dump.
func (plans *Plans) Dump() PlanDump { return plans.follower.DumpState() }

// Read takes in what a read of the plan stream brought and returns the offset
// to read next.
func (plans *Plans) Read(now time.Time, read plan.DecodedRead) int64 {
	for _, verdict := range plans.follower.ApplyDecoded(now, read) {
		plans.note(verdict)
	}
	return plans.follower.Next()
}

// Trimmed takes in where the retained records begin and returns the offset to
// read next.
func (plans *Plans) Trimmed(first int64) int64 {
	plans.logger.Log(logevent.PlanTrimmed, "first-offset", first, "next-offset", plans.follower.Next())
	plans.follower.Trimmed(first)
	return plans.follower.Next()
}

// Adopt takes in a peer's snapshot and returns the offset to read next.
func (plans *Plans) Adopt(now time.Time, snapshot *plan.Snapshot) int64 {
	plans.note(plans.follower.AdoptPeerSnapshot(now, snapshot))
	return plans.follower.Next()
}

func (plans *Plans) note(verdict plan.Outcome) {
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
	due := !plans.next.IsZero() && !now.Before(plans.next)
	if version == plans.version && !due {
		return nil, false
	}
	effective, next := known.InForceAt(now)
	plans.version = version
	plans.next = next
	return effective, true
}

// DueSnapshot returns the snapshot that this VM has to append now.
// SnapshotEnded must follow.
func (plans *Plans) DueSnapshot(now time.Time, live []string) (*plan.Snapshot, bool) {
	snapshot, due := plans.writer.StartIfDue(now, plans.follower, live)
	if due {
		plans.logger.Log(logevent.PlanSnapshot, "version", snapshot.Version, "read-up-to", snapshot.ReadUpTo)
	}
	return snapshot, due
}

// SnapshotEnded tells that the append of a snapshot ended, well or not.
func (plans *Plans) SnapshotEnded(now time.Time) {
	plans.writer.AppendEnded(now, plans.follower)
}
