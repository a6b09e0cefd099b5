package dispatcher_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tanagerfall/shared/request/cell"
)

// startDividedRegion starts three processes in each of three failure domains, which
// are too weak to schedule all 90 upstreams, and waits until each domain has a
// scheduler and the schedulers know each other.
func startDividedRegion(t *testing.T, fleet *fakeFleet) []*regionProcess {
	t.Helper()
	fleet.weight = 0.1
	processes := startProcesses(t, fleet, 9)
	awaitSchedulers(t, processes, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, process := range processes {
			state, err := process.dispatcher.State(t.Context())
			if err != nil || len(state.Neighbours) != 2 {
				return poll.Continue("%d neighbours: %v", len(state.Neighbours), err)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	return processes
}

// schedulerOf returns the index of the process that schedules the cell of another.
func schedulerOf(t *testing.T, processes []*regionProcess, member int) int {
	t.Helper()
	for number := member % 3; number < len(processes); number += 3 {
		state, err := processes[number].dispatcher.State(t.Context())
		if err == nil && state.IsScheduler {
			return number
		}
	}
	t.Fatalf("no process of domain-%d schedules", member%3)
	return -1
}

// Guards against callers of one domain that wait for its upstreams while those of
// other domains are idle: 60 jobs of three tasks need three times what the 30
// upstreams of the domain can run at once.
func TestFullCellHandsJobsToOthers(t *testing.T) {
	fleet := newFleet(300*time.Millisecond, 90)
	processes := startDividedRegion(t, fleet)
	entryVM := (schedulerOf(t, processes, 0) + 3) % len(processes)
	answers := submitJobs(t, slices.Repeat(processes[entryVM:entryVM+1], 60), func() {})
	fleet.checkAnswers(t, answers)
	state, err := processes[schedulerOf(t, processes, 0)].dispatcher.State(t.Context())
	assert.NilError(t, err)
	// 20 jobs fit into the cell. Each of the two others reports room for 20, of which
	// 8 are used before its next report.
	assert.Assert(t, state.Cell.Counters.HandedOver >= 16, "%d jobs were handed over", state.Cell.Counters.HandedOver)
}

// Guards against lost jobs and concurrent runs of one task when the scheduler of a
// cell dies that has handed jobs to others, or one that has got them.
func TestHandedOverJobsSurviveSchedulerCrash(t *testing.T) {
	for _, test := range []struct {
		name   string
		domain int
	}{
		{"own scheduler", 0},
		{"scheduler of another cell", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := newFleet(300*time.Millisecond, 90)
			processes := startDividedRegion(t, fleet)
			entryVM := (schedulerOf(t, processes, 0) + 3) % len(processes)
			victim := schedulerOf(t, processes, test.domain)
			answers := submitJobs(t, slices.Repeat(processes[entryVM:entryVM+1], 60), processes[victim].kill)
			fleet.checkAnswers(t, answers)
		})
	}
}

// Guards against jobs that wait for a new scheduler of their cell although other
// cells have room: the entry VM notices the loss after about 0.25 s.
func TestCellWithoutSchedulerUsesOthers(t *testing.T) {
	fleet := newFleet(50*time.Millisecond, 90)
	processes := startDividedRegion(t, fleet)
	scheduler := schedulerOf(t, processes, 0)
	entryVM := processes[(scheduler+3)%len(processes)]
	for number := scheduler % 3; number < len(processes); number += 3 {
		if processes[number] != entryVM {
			processes[number].kill()
		}
	}
	time.Sleep(300 * time.Millisecond)
	answers := submitJobs(t, slices.Repeat([]*regionProcess{entryVM}, 5), func() {})
	fleet.checkAnswers(t, answers)
}

// Guards against a cancellation that reaches only the cell of the entry VM that
// received it, and against one that reports a job as unknown before all cells have
// answered.
func TestCancellationReachesAllCells(t *testing.T) {
	fleet := newFleet(3*time.Second, 90)
	processes := startDividedRegion(t, fleet)
	answered := make(chan cell.Answer, 1)
	go func() {
		answer, err := processes[1].dispatcher.Submit(context.Background(), testJob("cancelled", 2, 5*time.Second))
		assert.Check(t, err == nil)
		answered <- answer
	}()
	waitForRuns(t, fleet, 2)
	known, err := processes[0].dispatcher.Cancel(t.Context(), "cancelled")
	assert.NilError(t, err)
	assert.Assert(t, known)
	assert.Equal(t, (<-answered).Result, cell.Interrupted)
	known, err = processes[0].dispatcher.Cancel(t.Context(), "cancelled")
	assert.NilError(t, err)
	assert.Assert(t, !known)
}
