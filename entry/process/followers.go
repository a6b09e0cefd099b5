package process

import (
	"context"
	"time"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/version/plan"
)

// appendTimeout bounds the append of a snapshot to the plan stream.
const appendTimeout = 2 * time.Second

// followVMs passes each newer list of VMs from the platform to the control loop.
func (process *Process) followVMs(ctx context.Context) error {
	reachable := reachability{
		logger:           process.logger,
		unreachableEvent: logevent.ListUnreachable,
		reachableEvent:   logevent.ListReachable,
	}
	deliver := func(_ context.Context, list platform.VMsResponse, err error) error {
		reachable.record(err)
		if err == nil {
			process.loop.NotifyVMList(list)
		}
		return nil
	}
	return process.platform.FollowVMs(ctx, platform.FollowConfig{}, deliver)
}

// followPlan passes the records of the plan stream to the control loop.
func (process *Process) followPlan(ctx context.Context) error {
	reachable := reachability{
		logger:           process.logger,
		unreachableEvent: logevent.LogUnreachable,
		reachableEvent:   logevent.LogReachable,
	}
	next := int64(0)
	deliver := func(ctx context.Context, event platform.ReadResult) (int64, error) {
		var err error
		switch event := event.(type) {
		case platform.RecordsRead:
			reachable.record(nil)
			next, err = process.loop.ApplyRecords(ctx, event.Response)
		case platform.RecordsTrimmed:
			reachable.record(nil)
			next, err = process.loop.RecordsTrimmed(ctx, event.FirstOffset)
		case platform.ReadFailed:
			reachable.record(event.Err)
		}
		return next, err
	}
	return process.platform.FollowRecords(ctx, process.settings.PlanStream, platform.FollowConfig{}, next, deliver)
}

// appendSnapshot appends a snapshot to the plan stream on a goroutine of its own.
// After a failure the snapshot writer of the control loop decides on a retry.
func (process *Process) appendSnapshot(snapshot *plan.Snapshot) {
	process.group.Go(func(ctx context.Context) error {
		defer process.loop.SnapshotAppendEnded(ctx)
		data, err := plan.Encode(snapshot)
		if err != nil {
			process.logger.Log(logevent.PlanInvalid, "cause", err.Error())
			return nil
		}
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, _ = process.platform.Append(appendCtx, process.settings.PlanStream, data)
		return nil
	})
}

// reachability logs when a service becomes unreachable and when it is reachable
// again.
type reachability struct {
	logger           *logevent.Logger
	unreachableEvent logevent.Event
	reachableEvent   logevent.Event
	unreachable      bool
}

// record records the result of a call of the service.
func (reachability *reachability) record(err error) {
	if err != nil && !reachability.unreachable {
		reachability.logger.Log(reachability.unreachableEvent, "cause", err.Error())
	}
	if err == nil && reachability.unreachable {
		reachability.logger.Log(reachability.reachableEvent)
	}
	reachability.unreachable = err != nil
}
