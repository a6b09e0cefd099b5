package load

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// probeInterval is the pause after a failed probe of an entry VM.
const probeInterval = 100 * time.Millisecond

// ErrNotReady is wrapped by the error of AwaitReady if an entry VM completed
// no probe before the timeout.
var ErrNotReady = eris.New("entry VM is not ready")

// AwaitReady waits until every entry VM has completed a probe, a job of one
// short task, which shows that it has a plan and upstreams. The error wraps
// ErrNotReady if that takes longer than timeout or ctx ends.
func (runner *Runner) AwaitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for entry := range runner.config.Experiment.Fleet.Entries {
		for {
			err := runner.caller.Probe(ctx, entry, &runner.config.Experiment.Workload)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return eris.Wrapf(ErrNotReady, "%s: %v", runner.config.Experiment.Fleet.Entries[entry].CallerAddress, err)
			}
			wait(ctx, probeInterval)
		}
	}
	return nil
}
