package decisions

import (
	"math"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
)

// TestGeneratedWorkload guards against a workload whose job sizes, run times or
// declaration errors differ from section 3 of docs/design.md, or whose load is
// not the load of the run.
func TestGeneratedWorkload(t *testing.T) {
	experiment := Default()
	experiment.Jobs = 20_000
	run := exactRun("4x spread, declared off", 4, 0.8)
	run.KindError, run.TaskError = 4, 1.5
	const totalSpeed = 400
	specs := generateJobs(experiment, run, totalSpeed)
	largeJobs, tasks, longTasks, workMs := 0, 0, 0, 0.0
	for _, spec := range specs {
		if len(spec.actualMs) > 5 {
			largeJobs++
		}
		assert.Assert(t, len(spec.actualMs) <= 580)
		for i, ms := range spec.actualMs {
			tasks++
			workMs += ms
			if ms > 1000 {
				longTasks++
			}
			assert.Assert(t, ms >= 50 && ms <= 5000)
			logError := math.Abs(math.Log(ms / spec.declaredMs[i]))
			assert.Assert(t, logError <= math.Log(4*1.5)+1e-9)
		}
	}
	share := float64(largeJobs) / float64(len(specs))
	assert.Assert(t, share > 0.40 && share < 0.50, "%.3f of the jobs have more than 5 tasks", share)
	share = float64(longTasks) / float64(tasks)
	assert.Assert(t, share > 0.028 && share < 0.032, "%.4f of the tasks take more than 1 s", share)
	load := workMs / totalSpeed / (float64(specs[len(specs)-1].arrival.Microseconds()) / 1000)
	assert.Assert(t, load > 0.77 && load < 0.83, "load is %.3f", load)
}

// TestTargetPolicyBeatsOthers guards against a change of the policy "target"
// that misses the targets of section 3 of docs/design.md or makes it worse than
// another policy, and against runs that are not reproducible. The workload is
// smaller than the default.
func TestTargetPolicyBeatsOthers(t *testing.T) {
	experiment := Default()
	experiment.Jobs = 5000
	experiment.Runs = []Run{exactRun("4x spread", 4, 0.8)}
	results := Measure(experiment)
	target := results[0]
	assert.Equal(t, target.Policy, "target")
	assert.Assert(t, target.P50 <= 1.20 && target.P99 <= 1.8, "p50 %.3f, p99 %.3f", target.P50, target.P99)
	for _, other := range results[1:] {
		assert.Assert(t, target.P50 < other.P50 && target.P99 < other.P99 && target.P999 < other.P999,
			"%s: %.3f %.3f %.3f, target: %.3f %.3f %.3f", other.Policy,
			other.P50, other.P99, other.P999, target.P50, target.P99, target.P999)
	}
	repeated := Measure(experiment)[0]
	assert.Equal(t, repeated.P999, target.P999)
}

// TestInvalidExperiments guards against an experiment that is accepted with an
// unknown key or an invalid value, and so measured with other values than its
// author meant.
func TestInvalidExperiments(t *testing.T) {
	for _, text := range []string{
		"format: 2",
		"format: 1\nloads: [0.5]",
		"format: 1\npolicies: [best]",
		"format: 1\nruns: [{name: x, load: 0, speed-spread: 4}]",
		"format: 1\njobs: 0",
		"format: 1\nfleet: {upstreams: 0}",
	} {
		_, err := parse([]byte(text))
		assert.Assert(t, eris.Is(err, ErrInvalid), "%s: %v", text, err)
	}
	experiment, err := parse([]byte("format: 1\njobs: 10\nruns: [{name: x, load: 0.5, speed-spread: 2}]\npolicies: [greedy]"))
	assert.NilError(t, err)
	out := strings.Builder{}
	writeTable(&out, Measure(experiment))
	assert.Equal(t, strings.Count(out.String(), "\n"), 3)
	assert.Assert(t, strings.Contains(out.String(), "| x | 50% | greedy |"))
}
