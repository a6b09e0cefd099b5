package region_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/soak/region"
)

// seeds includes each seed that once failed, with its cause:
//
//	3, 12: an order to start a task was in flight while its worker restarted. The
//	new process executed it, and the task was started on another worker as well.
//
// Seeds 1000 and 1001 have the extended schedule, 1001 with relays.
var seeds = []uint64{1, 3, 12, 1000, 1001}

// cutSeeds are seeds with cuts between failure domains that once failed:
//
//	2000, 2009: a failure domain was cut off for longer than its workers stayed on
//	the list of the others' scheduler. When the cut ended, that one started tasks that
//	ran on those workers.
var cutSeeds = []uint64{2000, 2009}

// combinedSeeds are seeds with all disturbances beside cuts that once failed:
//
//	3001: a task was moved and started again while the worker was still stopping its
//	run; on a worker that had fenced the scheduler's first order, runs counted as over
//	when two polls were lost.
var combinedSeeds = []uint64{3001}

// overloadSeeds are seeds with faults during bursts that once failed:
//
//	4003, 4004: a process that was paused submitted its callers' jobs again when its stream to
//	the scheduler was replaced. The scheduler refused the first submission, which the
//	callers were told, and started the second.
var overloadSeeds = []uint64{4003, 4004}

// TestSeeds checks that the guarantees hold under the faults of each seed: a task
// doesn't run twice at the same time, a refused job has not run, a completed job
// has run all its tasks, and jobs complete again after the faults have ended.
func TestSeeds(t *testing.T) {
	runSeeds(t, seeds, region.Options{
		Processes:     5,
		Workers:       12,
		FaultDuration: 12 * time.Second,
		JobsPerSecond: 20,
	})
}

// TestCutSeeds checks the same guarantees when failure domains and single processes are
// cut off from each other. It does not run beside TestSeeds, whose processes shed jobs
// when they lack processor time.
func TestCutSeeds(t *testing.T) {
	runSeeds(t, cutSeeds, region.Options{
		Processes:     7,
		Workers:       48,
		FaultDuration: 30 * time.Second,
		JobsPerSecond: 20,
	})
}

// TestCombinedSeeds checks the same guarantees under all disturbances at once.
func TestCombinedSeeds(t *testing.T) {
	runSeeds(t, combinedSeeds, region.Options{
		Processes:     7,
		Workers:       48,
		FaultDuration: 20 * time.Second,
		JobsPerSecond: 20,
	})
}

// TestOverloadSeeds checks the same guarantees when the scheduler and other processes are
// disturbed during bursts in which jobs are refused.
func TestOverloadSeeds(t *testing.T) {
	runSeeds(t, overloadSeeds, region.Options{
		Processes:     9,
		Workers:       24,
		FaultDuration: 30 * time.Second,
	})
}

// runSeeds runs the soaks of some seeds at the same time.
func runSeeds(t *testing.T, seeds []uint64, options region.Options) {
	t.Helper()
	options.PlatformProgram = filepath.Join(t.TempDir(), "platform")
	output, err := exec.Command("go", "build", "-o", options.PlatformProgram, "../../platform").CombinedOutput()
	assert.NilError(t, err, string(output))
	var group sync.WaitGroup
	for _, seed := range seeds {
		group.Go(func() {
			options := options
			options.Seed = seed
			report, err := region.Run(context.Background(), options)
			assert.Check(t, err == nil, "%v", err)
			t.Log(report)
			assert.Check(t, report.Err() == nil, report.String())
			assert.Check(t, report.Counts["completed"] > 100, report.String())
		})
	}
	group.Wait()
}
