package process

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/process/logevent"
)

const (
	firstRetry  = 50 * time.Millisecond
	maxRetry    = time.Second
	recordBatch = 64
)

// followVms reads the VM list by long polls and passes each newer list on.
func (process *Process) followVms(ctx context.Context) error {
	var version int64
	reach := reachability{
		logger: process.logger,
		lost:   logevent.ListUnreachable,
		back:   logevent.ListReachable,
	}
	for ctx.Err() == nil {
		response, err := process.platform.Vms(ctx, version, pollWait)
		if !reach.note(ctx, err) {
			continue
		}
		if response.Version != version {
			version = response.Version
			process.loop.TellVms(response)
		}
	}
	return nil
}

// followPlan reads the plan stream by long polls and passes each record on.
func (process *Process) followPlan(ctx context.Context) error {
	var next int64
	reach := reachability{
		logger: process.logger,
		lost:   logevent.LogUnreachable,
		back:   logevent.LogReachable,
	}
	for ctx.Err() == nil {
		response, err := process.platform.Read(ctx, process.settings.PlanStream, next, recordBatch, pollWait)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			process.loop.TellTrimmed(trimmed.FirstOffset)
			next = trimmed.FirstOffset
			continue
		}
		if !reach.note(ctx, err) {
			continue
		}
		for _, record := range response.Records {
			process.loop.TellRecord(record)
			next = record.Offset + 1
		}
	}
	return nil
}

// reachability logs when a service is lost and when it is back, and spaces
// the attempts in between.
type reachability struct {
	logger *logevent.Logger
	lost   logevent.Event
	back   logevent.Event
	retry  time.Duration
}

// note takes the result of one attempt. After an error it waits and reports
// false.
func (reachability *reachability) note(ctx context.Context, err error) bool {
	if err == nil {
		if reachability.retry > 0 {
			reachability.logger.Log(reachability.back)
		}
		reachability.retry = 0
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if reachability.retry == 0 {
		reachability.logger.Log(reachability.lost, "cause", err.Error())
	}
	reachability.retry = min(max(2*reachability.retry, firstRetry), maxRetry)
	select {
	case <-ctx.Done():
	case <-time.After(reachability.retry/2 + rand.N(reachability.retry)):
	}
	return false
}
