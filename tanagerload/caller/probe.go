package caller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/job"
	"tanagerfall/tanagerload/experiment"
)

// probeTimeout bounds one probe and is the deadline of its job.
const probeTimeout = 3 * time.Second

// ErrProbeFailed is wrapped by the errors of Probe.
var ErrProbeFailed = eris.New("probe job did not complete")

// Probe submits a job of one task of 1 ms to one entry VM, without retries, and
// waits for its answer. The error wraps ErrProbeFailed if the outcome is not
// complete.
func (caller *Caller) Probe(ctx context.Context, entry int, workload *experiment.Workload) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	team := workload.Teams[0].Name
	id, _, err := caller.takeID(ctx, entry, team)
	if err != nil {
		return eris.Wrap(ErrProbeFailed, err.Error())
	}
	body, err := json.Marshal(job.Job{
		Kind:       workload.Kinds[0].Name,
		DeadlineMs: probeTimeout.Milliseconds(),
		Tasks: []job.Task{{
			RunMs: 1,
		}},
	})
	if err != nil {
		return eris.Wrap(ErrProbeFailed, err.Error())
	}
	answer, err := caller.putJob(ctx, entry, id, team, body, false)
	if err != nil {
		return eris.Wrap(ErrProbeFailed, err.Error())
	}
	if answer.Outcome != job.Complete {
		return eris.Wrapf(ErrProbeFailed, "%s: %s %s", answer.Outcome, answer.Reason, answer.Detail)
	}
	return nil
}
