package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/admission"
	"tanagerfall/shared/request/estimate"
)

// planningCell returns a Cell with one open upstream, and a job that waits there.
func planningCell(tasks int) (*Cell, *jobState) {
	cell := New(time.Unix(1_000_000, 0), Config{
		Estimator:      estimate.New(),
		Claims:         func(Upstream) Claim { return ClaimFirm },
		NextToken:      func() int64 { return 1024 },
		GuardsCapacity: func(string) bool { return true },
		Limits:         DefaultLimits(),
	})
	cell.applyListing([]Upstream{{
		ID:          "u1",
		Service:     "orders",
		Slots:       8,
		Incarnation: 1,
		Capacity: Resources{
			MilliCores: 16_000,
		},
	}})
	upstream := cell.upstreamOrder[0]
	upstream.clockAt, upstream.incarnation = cell.now, 1
	cell.setStatus(upstream, upstreamOpen, "")
	cell.measureSpeeds()
	job := cell.newJobState(Job{
		ID:      "job",
		Kind:    "quote",
		Service: "orders",
		Steps: []Step{{
			Count: tasks,
			Need: Resources{
				MilliCores: 1_000,
			},
			Estimate: 100 * time.Millisecond,
		}},
		Objective: time.Second,
		TimeLeft:  5 * time.Second,
	})
	cell.jobs["job"] = job
	cell.unblockTasks(job)
	cell.enqueue(job)
	return cell, job
}

// Guards against a refused job that one of its entry VMs hands to another cell, where it runs,
// while the other entry VM answers that it has not run or hands it to a third cell.
func TestRefusedJobOfTwoEntryVMsIsNotHandedOver(t *testing.T) {
	for _, holders := range [][]Holder{{{EntryVM: "vm-1#a"}}, {{EntryVM: "vm-1#a"}, {EntryVM: "vm-2#a"}}} {
		cell, job := planningCell(2)
		job.holders = holders
		cell.refuse(job, admission.Refusal{
			ID:     "job",
			Reason: admission.ReasonOverload,
		})
		answers := 0
		for _, decision := range cell.decisions {
			if answer, isAnswer := decision.(AnswerJob); isAnswer {
				answers++
				assert.Equal(t, answer.Surplus != nil, len(holders) == 1)
			}
		}
		assert.Equal(t, answers, len(holders))
	}
}

// Load: 40 jobs that wait for the only upstream of a service, which is full. Guards against
// jobs of another service that wait behind them while their upstream is free.
func TestServiceWithoutRoomDoesNotBlockOthers(t *testing.T) {
	cell, _ := planningCell(16)
	other := cell.upstreamOrder[0].listing
	other.ID = "u2"
	other.Service = "prices"
	cell.applyListing([]Upstream{cell.upstreamOrder[0].listing, other})
	upstream := cell.upstreams["u2"]
	upstream.clockAt, upstream.incarnation = cell.now, 1
	cell.setStatus(upstream, upstreamOpen, "")
	cell.measureSpeeds()
	cell.placeTasks()
	submit := func(id, service string, objective time.Duration) *jobState {
		job := cell.jobs["job"].submitted
		job.ID, job.Service, job.Objective = id, service, objective
		job.Steps = slices.Clone(job.Steps)
		job.Steps[0].Count = 1
		cell.submit(JobSubmitted{
			EntryVM: "vm-1#a",
			Job:     job,
		})
		return cell.jobs[id]
	}
	for number := range 40 {
		submit(fmt.Sprint(number), "orders", time.Second)
	}
	job := submit("other", "prices", 2*time.Second)
	cell.plannedAt = cell.now.Add(-time.Second)
	cell.placeTasks()
	assert.Equal(t, job.activeTasks, 1)
}

// Guards against a job that the last round of an overload held, and that no later round
// releases: a single job needs none while much capacity is idle.
func TestLastHeldJobStarts(t *testing.T) {
	cell, job := planningCell(2)
	job.held = true
	cell.plannedAt = cell.now.Add(-time.Second)
	cell.placeTasks()
	assert.Equal(t, job.activeTasks, 2)
}

// Guards against a job whose start an upstream has refused, and that is held as a job to
// refuse in each round, although it isn't refused because its start was ordered.
func TestJobWithOrderedStartIsNotRefused(t *testing.T) {
	cell, job := planningCell(2)
	job.startOrdered = true
	assert.Assert(t, cell.admissionJob(job).Started)
}
