package cell

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/estimate"
)

// chooseByScan is chooseUpstream with a pass over all upstreams in the order of speed.
func (cell *Cell) chooseByScan(job *jobState, task *taskState, muchIdle bool) *upstreamState {
	var usable []*upstreamState
	for _, upstream := range cell.upstreamOrder {
		if upstream.listing.Service == job.submitted.Service && cell.acceptsTasks(upstream) {
			usable = append(usable, upstream)
		}
	}
	slices.SortStableFunc(usable, func(a, b *upstreamState) int { return cmp.Compare(b.speed, a.speed) })
	step := &job.submitted.Steps[task.name.Step]
	onTime := func(upstream *upstreamState) bool {
		timeLeft := float64(job.target.Sub(cell.now))
		return timeLeft > 0 && upstream.speed >= job.ratio*float64(step.Estimate)/timeLeft
	}
	var chosen *upstreamState
	for _, upstream := range usable {
		if onTime(upstream) && cell.suitable(upstream, job, task, step) && (chosen == nil || !muchIdle) {
			chosen = upstream
		}
	}
	if chosen != nil {
		return chosen
	}
	if cell.now.Add(job.predictRunTime(step.Estimate, cell.fastestSpeed(job.submitted.Service))).Before(job.target) {
		return nil
	}
	for _, upstream := range usable {
		if !onTime(upstream) && cell.suitable(upstream, job, task, step) {
			return upstream
		}
	}
	return nil
}

// scanMuchIdle is muchIdle with a pass over all upstreams.
func (cell *Cell) scanMuchIdle() bool {
	free, total := 0, 0
	for _, upstream := range cell.upstreamOrder {
		if upstream.status == upstreamOpen {
			total += upstream.listing.Capacity.MilliCores
			free += max(upstream.free.MilliCores, 0)
		}
	}
	return float64(free) > cell.config.Limits.IdleShare*float64(total)
}

// Guards against an index that is not up to date, by which a task gets another upstream
// than a pass over all of them finds, or none.
func TestIndexChoosesAsAScanDoes(t *testing.T) {
	random := rand.New(rand.NewPCG(31, 1))
	now := time.Unix(1_000_000, 0)
	cell := New(now, Config{
		Estimator:      estimate.New(),
		Claims:         func(Upstream) Claim { return ClaimFirm },
		NextToken:      func() int64 { return 1024 },
		GuardsCapacity: func(string) bool { return true },
		Limits:         DefaultLimits(),
	})
	services := []string{"a", "b"}
	var listings []Upstream
	for number := range 60 {
		id := fmt.Sprintf("u%d", number)
		cell.config.Estimator.Declare(id, []float64{0.55, 0.8, 1, 1.2}[random.IntN(4)])
		listings = append(listings, Upstream{
			ID:          id,
			Service:     services[random.IntN(2)],
			Slots:       1 + random.IntN(3),
			Incarnation: 1,
			Capacity: Resources{
				MilliCores: 8_000 * (1 + random.IntN(3)),
				MemoryMb:   1_000,
			},
		})
	}
	cell.applyListing(listings)
	var runs []*runState
	chosen := 0
	for number := range 4_000 {
		if number%50 == 0 {
			cell.measureSpeeds()
		}
		upstream := cell.upstreamOrder[random.IntN(len(cell.upstreamOrder))]
		upstream.clockAt, upstream.incarnation = cell.now, 1
		cell.setStatus(upstream, []upstreamStatus{upstreamOpen, upstreamOpen, upstreamOpen, upstreamSilent}[random.IntN(4)], "")
		if len(runs) > 0 && random.IntN(3) == 0 {
			i := random.IntN(len(runs))
			cell.removeRun(runs[i], "ended")
			runs = slices.Delete(runs, i, i+1)
		}
		job := cell.newJobState(Job{
			ID:      fmt.Sprint(number),
			Kind:    "k",
			Service: services[random.IntN(2)],
			Steps: []Step{{
				Count: 1,
				Need: Resources{
					MilliCores: 1_000 * random.IntN(12),
					MemoryMb:   random.IntN(500),
				},
				Estimate: 100 * time.Millisecond,
			}},
			Objective: time.Duration(80+random.IntN(150)) * time.Millisecond,
			TimeLeft:  time.Second,
		})
		cell.servicePlan(job.submitted.Service)
		muchIdle := random.IntN(2) == 0
		assert.Equal(t, cell.muchIdle(), cell.scanMuchIdle())
		want := cell.chooseByScan(job, job.tasks[0], muchIdle)
		got := cell.chooseUpstream(job, job.tasks[0], muchIdle)
		assert.Assert(t, got == want, "job %d: %v instead of %v", number, got, want)
		if got != nil {
			chosen++
			job.tasks[0].status = taskWaiting
			cell.startRun(job, job.tasks[0], got)
			run := job.tasks[0].currentRun
			run.task, run.job = nil, nil
			runs = append(runs, run)
		}
	}
	assert.Assert(t, chosen > 1_000, "%d of 4000 tasks found an upstream", chosen)
}
