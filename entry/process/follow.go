package process

import (
	"context"
	"time"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/version/plan"
)

// appendTimeout bounds the append of a plan snapshot.
const appendTimeout = 2 * time.Second

// followVms passes each newer VM list on.
func (process *Process) followVms(ctx context.Context) error {
	reach := reachability{
		logger: process.logger,
		lost:   logevent.ListUnreachable,
		back:   logevent.ListReachable,
	}
	deliver := func(_ context.Context, list platform.VmsResponse, failure error) error {
		reach.note(failure)
		if failure == nil {
			process.loop.TellVms(list)
		}
		return nil
	}
	return process.platform.FollowVms(ctx, platform.FollowConfig{}, deliver)
}

// followPlan passes the records of the plan stream on.
func (process *Process) followPlan(ctx context.Context) error {
	reach := reachability{
		logger: process.logger,
		lost:   logevent.LogUnreachable,
		back:   logevent.LogReachable,
	}
	next := int64(0)
	deliver := func(ctx context.Context, event platform.ReadResult) (int64, error) {
		var err error
		switch event := event.(type) {
		case platform.RecordsRead:
			reach.note(nil)
			next, err = process.loop.ReadRecords(ctx, event.Response)
		case platform.RecordsTrimmed:
			reach.note(nil)
			next, err = process.loop.TrimRecords(ctx, event.FirstOffset)
		case platform.ReadFailed:
			reach.note(event.Err)
		}
		return next, err
	}
	return process.platform.FollowRecords(ctx, process.settings.PlanStream, platform.FollowConfig{}, next, deliver)
}

// appendSnapshot appends a plan snapshot on a goroutine of its own. A failure
// is repeated by the snapshot writer's own rule.
func (process *Process) appendSnapshot(snapshot *plan.Snapshot) {
	process.group.Go(func(ctx context.Context) error {
		defer process.loop.EndSnapshot(ctx)
		data, err := plan.Encode(snapshot)
		if err != nil {
			process.logger.Log(logevent.PlanInvalid, "cause", err.Error())
			return nil
		}
		appending, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, _ = process.platform.Append(appending, process.settings.PlanStream, data)
		return nil
	})
}

// reachability logs when a service is lost and when it is back.
type reachability struct {
	logger *logevent.Logger
	lost   logevent.Event
	back   logevent.Event
	failed bool
}

func (reachability *reachability) note(err error) {
	if err != nil && !reachability.failed {
		reachability.logger.Log(reachability.lost, "cause", err.Error())
	}
	if err == nil && reachability.failed {
		reachability.logger.Log(reachability.back)
	}
	reachability.failed = err != nil
}
