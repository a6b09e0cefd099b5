package dispatcher_test

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/evacuation"
)

func readEvacuations(process *regionProcess, position int64, domains ...string) {
	process.dispatcher.SetEvacuations(evacuation.Snapshot{
		Position: position,
		Domains:  domains,
	})
}

// awaitEvacuated waits until all processes take exactly these domains as evacuated. The
// limit is far below the 5 s that the platform allows.
func awaitEvacuated(t *testing.T, processes []*regionProcess, domains ...string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for number, process := range processes {
			state, err := process.dispatcher.State(t.Context())
			if err != nil || !slices.Equal(state.Evacuated, domains) {
				return poll.Continue("process %d: %v %v", number, state.Evacuated, err)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
}

// startedIn returns how many runs the upstreams of a domain have had.
func (fleet *fakeFleet) startedIn(domain string) int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	count := 0
	for _, upstream := range fleet.upstreamList() {
		if upstream.Domain == domain {
			count += len(fleet.upstreams[upstream.ID].running) + len(fleet.upstreams[upstream.ID].stopped)
		}
	}
	return count
}

// Guards against processes that the store refuses, or that start during an evacuation,
// and that never learn of it: one reads the log, the others hear it from peers. And
// against an evacuation that a rewound read ends, or that comes back by one.
func TestEvacuationReachesProcessesThatCannotReadIt(t *testing.T) {
	fleet := newFleet(50*time.Millisecond, 12)
	processes := startRegion(t, fleet, 4)
	reader := processes[(schedulerIndex(t, processes)+1)%len(processes)]
	readEvacuations(reader, 7, "domain-0", "domain-1")
	awaitEvacuated(t, processes, "domain-0", "domain-1")

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	state, err := reader.dispatcher.State(t.Context())
	assert.NilError(t, err)
	started := startProcess(t, fleet, 4, listener, []string{state.Self.Address})
	processes = append(processes, started)
	awaitEvacuated(t, processes, "domain-0", "domain-1")

	for _, process := range processes {
		readEvacuations(process, 5)
	}
	fleet.checkAnswers(t, submitAndDisturb(t, processes, -1, func() {}))
	assert.Equal(t, fleet.startedIn("domain-0")+fleet.startedIn("domain-1"), 0)
	awaitEvacuated(t, processes, "domain-0", "domain-1")

	readEvacuations(started, 9, "domain-1")
	awaitEvacuated(t, processes, "domain-1")
	readEvacuations(reader, 8, "domain-0", "domain-1")
	// More tasks than domain-2 has room for.
	answer, err := reader.dispatcher.Submit(t.Context(), testJob("wide", 12, 8*time.Second))
	assert.NilError(t, err)
	assert.Equal(t, answer.Result, cell.Completed)
	awaitEvacuated(t, processes, "domain-1")
	assert.Assert(t, fleet.startedIn("domain-0") > 0)
	assert.Equal(t, fleet.startedIn("domain-1"), 0)
}

// Guards against callers of an evacuated domain that are not served by the upstreams of
// others, against cells that learn of an evacuation only from the log, and against callers
// that wait when all domains are evacuated, or theirs is and the others are cut off.
func TestEvacuationInADividedRegion(t *testing.T) {
	fleet := newFleet(50*time.Millisecond, 90)
	processes := startDividedRegion(t, fleet)
	readEvacuations(processes[1], 7, "domain-0")
	awaitEvacuated(t, processes, "domain-0")
	before := fleet.startedIn("domain-0")
	// A cell whose upstreams are all evacuated refuses jobs from then on, if no other
	// takes them.
	time.Sleep(cell.DefaultLimits().IsolatedAfter + 100*time.Millisecond)
	entryVM := processes[(schedulerOf(t, processes, 0)+3)%len(processes)]
	fleet.checkAnswers(t, submitJobs(t, slices.Repeat([]*regionProcess{entryVM}, 12), func() {}))
	assert.Equal(t, fleet.startedIn("domain-0"), before)

	checkRefusal := func(process *regionProcess, id string) {
		sentAt := time.Now()
		answer, err := process.dispatcher.Submit(t.Context(), testJob(id, 1, 8*time.Second))
		assert.NilError(t, err)
		assert.Equal(t, answer.Result, cell.NotRun)
		assert.Equal(t, answer.Reason, "evacuated")
		assert.Assert(t, answer.RetryAfter > 0)
		assert.Assert(t, time.Since(sentAt) < 500*time.Millisecond)
	}
	readEvacuations(processes[2], 9, "domain-0", "domain-1", "domain-2")
	awaitEvacuated(t, processes, "domain-0", "domain-1", "domain-2")
	for number, process := range processes {
		checkRefusal(process, fmt.Sprintf("all-%d", number))
	}
	readEvacuations(processes[0], 11, "domain-0")
	awaitEvacuated(t, processes, "domain-0")
	for number, process := range processes {
		if number%3 != 0 {
			process.kill()
		}
	}
	time.Sleep(2500 * time.Millisecond)
	checkRefusal(processes[0], "cut-off")
}
