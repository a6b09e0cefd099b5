package simulation_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/soak/simulation"
)

// reportFailed reports the violations of the series that failed.
func reportFailed(t *testing.T, summary simulation.Summary) {
	t.Helper()
	for _, result := range summary.Failed {
		for _, violation := range result.Violations {
			t.Error(violation.Text)
		}
	}
}

// checkRegressions plays seeds that once failed, with the cause.
func checkRegressions(t *testing.T, causes map[uint64]string) {
	t.Helper()
	for seed, cause := range causes {
		for _, violation := range simulation.Run(simulation.Options{
			Seed: seed,
		}).Violations {
			t.Errorf("%s (once: %s)", violation.Text, cause)
		}
	}
}

// regressionSeeds are seeds that once failed, with the cause.
var regressionSeeds = map[uint64]string{
	1:    "a run that is being stopped, and therefore not listed, counted as over",
	331:  "an upstream was fenced before its first answer, and its lease end overflowed",
	459:  "a start was carried out late by a worker that had restarted meanwhile",
	1755: "a start was carried out late by a worker that had restarted while it was silent",
	408:  "the lease that an earlier scheduler had given an adopted run was not known",
}

// forgottenWorkersSeeds fail if a scheduler counts as knowing all upstreams of earlier ones.
var forgottenWorkersSeeds = []uint64{100090, 100150, 100240, 100330, 100510}

// Guards against two runs of one task under the seeds that once showed them.
func TestHandOverRegressions(t *testing.T) {
	for seed, cause := range regressionSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			for _, violation := range simulation.Run(simulation.Options{
				Seed: seed,
			}).Violations {
				t.Errorf("%s (once: %s)", violation.Text, cause)
			}
		})
	}
}

// Guards against two runs of one task after hand-overs, and against series in which
// nothing happens. It plays few series at one time, because the tests of real processes
// beside it need the processor; soak simulate plays more.
func TestHandOverSeeds(t *testing.T) {
	summary := simulation.RunSeeds(1, 20, 1, simulation.Options{})
	reportFailed(t, summary)
	assert.Assert(t, summary.Takeovers > summary.Series, "takeovers: %d", summary.Takeovers)
	assert.Assert(t, summary.Completed > 20*summary.Series, "completed jobs: %d", summary.Completed)
}

// Guards against two runs of one task when a scheduler has forgotten workers during a long
// cut.
func TestForgottenWorkers(t *testing.T) {
	for _, seed := range forgottenWorkersSeeds {
		for _, violation := range simulation.Run(simulation.Options{
			Seed: seed,
		}).Violations {
			t.Error(violation.Text)
		}
	}
}

// evacuationSeeds fail if peers don't tell each other of evacuations (the first four), or if
// an older snapshot replaces a newer one.
var evacuationSeeds = []uint64{200000, 200001, 200008, 200012, 200051, 200079, 200126, 200130}

// Guards against starts in an evacuated domain by processes that can't read the operators'
// records, or read an older state of them.
func TestEvacuationSeeds(t *testing.T) {
	for _, seed := range evacuationSeeds {
		for _, violation := range simulation.Run(simulation.Options{
			Seed: seed,
		}).Violations {
			t.Error(violation.Text)
		}
	}
}

// refusedSeeds once failed: an entry VM took the refusal of one submission to a scheduler for
// that of a later one to the same scheduler, and the caller was told that its job had not run.
// The cause of the later submission differs.
var refusedSeeds = map[uint64]string{
	300009: "the scheduler dropped the jobs of an entry VM that it had not heard",
	300039: "the scheduler stepped down",
	300051: "a stream was replaced",
	300085: "the scheduler dropped jobs; another cell ran them as well",
	300193: "the entry VM left the scheduler and followed it again",
}

// Guards against jobs that start although their requests were answered as not run, in bursts of
// jobs during which schedulers and entry VMs freeze or lose each other.
func TestRefusedJobsDoNotStart(t *testing.T) {
	summary := simulation.RunSeeds(simulation.FirstOverloadSeed, simulation.FirstOverloadSeed+29, 2, simulation.Options{})
	assert.Assert(t, summary.Refused > 10*summary.Series, "refused requests: %d", summary.Refused)
	reportFailed(t, summary)
	checkRegressions(t, refusedSeeds)
}

// Guards against series that can't be repeated, because the product or the model
// depends on something beside the seed.
func TestEqualSeedsYieldEqualSeries(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, simulation.FirstEvacuationSeed + 1, simulation.FirstOverloadSeed + 1, simulation.FirstLongTaskSeed, simulation.FirstRefusingCutSeed} {
		var first, second bytes.Buffer
		for _, log := range []*bytes.Buffer{&first, &second} {
			simulation.Run(simulation.Options{
				Seed: seed,
				Log:  log,
			})
		}
		assert.Assert(t, bytes.Equal(first.Bytes(), second.Bytes()), "seed %d", seed)
	}
}

// longTaskSeeds once failed: two runs of a task that takes seconds. The cause differs.
var longTaskSeeds = map[uint64]string{
	400013: "a drained worker whose entry had expired was taken for gone",
	400194: "a withdrawal was lost with its stream, and the caller sent the job to another cell",
	401137: "a scheduler that was fenced took a lease for expired that the next one renewed",
	401739: "a run whose stop was not carried out went on under a lease that was renewed for others",
	400644: "a process that stopped gave a job up and went on scheduling it",
}

// Guards against two runs of a task whose first run goes on for seconds where the next scheduler
// does not look: in another cell, or on a drained worker that has left the list.
func TestEarlierRunsOfLongTasks(t *testing.T) {
	checkLongTasks(t, simulation.FirstLongTaskSeed, longTaskSeeds)
}

// checkLongTasks plays the first series of long tasks from a seed on, and seeds that once failed.
func checkLongTasks(t *testing.T, first uint64, causes map[uint64]string) {
	t.Helper()
	summary := simulation.RunSeeds(first, first+19, 2, simulation.Options{})
	assert.Assert(t, summary.Takeovers > summary.Series, "takeovers: %d", summary.Takeovers)
	assert.Assert(t, summary.Completed > 20*summary.Series, "completed jobs: %d", summary.Completed)
	reportFailed(t, summary)
	checkRegressions(t, causes)
}

// refusingCutSeeds once failed: two runs of a task, because a worker that had left the list and
// refused the connections of the next scheduler was taken for ended.
var refusingCutSeeds = map[uint64]string{
	500313: "the store did not hear the workers, and they refused the process that took over",
	500824: "the same in a region divided by failure domains",
	501077: "the same with four workers",
}

// Guards against two runs of a task when workers that the store does not hear refuse the
// connections of a process that begins to schedule.
func TestRefusedConnectionsAreNoProof(t *testing.T) {
	checkLongTasks(t, simulation.FirstRefusingCutSeed, refusingCutSeeds)
}
