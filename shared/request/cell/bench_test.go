package cell_test

import (
	"fmt"
	"testing"
	"time"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/estimate"
)

// BenchmarkTask measures the decisions on one task: its part of a submission,
// start, confirmation, end and poll. It runs cells of different sizes at two
// thirds of their capacity.
func BenchmarkTask(b *testing.B) {
	for _, size := range []int{48, 350, 1000} {
		b.Run(fmt.Sprintf("upstreams-%d", size), func(b *testing.B) { benchmarkTask(b, size) })
	}
}

func benchmarkTask(b *testing.B, size int) {
	now := time.Unix(1_000_000, 0)
	startedAt := now
	scheduler := cell.New(now, cell.Config{
		Estimator:      estimate.New(),
		Claims:         func(cell.Upstream) cell.Claim { return cell.ClaimFirm },
		NextToken:      func() int64 { return 1024 },
		GuardsCapacity: func(string) bool { return true },
		Limits:         cell.DefaultLimits(),
	})
	clock := func() int64 { return 1 + now.Sub(startedAt).Milliseconds() }
	reply := func(order cell.Order) cell.Reply {
		return cell.Reply{
			Order:      order,
			Clock:      clock(),
			SentAt:     now,
			ReceivedAt: now,
		}
	}
	var upstreams []cell.Upstream
	for number := range size {
		upstreams = append(upstreams, testUpstream(fmt.Sprintf("u%d", number)))
	}
	answerPolls := func(decisions []cell.Decision) {
		for _, poll := range decisionsOf[cell.Poll](decisions) {
			scheduler.Handle(now, cell.PollReplied{
				Reply:       reply(poll.Order),
				Immediate:   poll.Immediate,
				Incarnation: 1,
			})
		}
	}
	answerPolls(scheduler.Handle(now, cell.UpstreamsListed{
		Upstreams: upstreams,
	}))
	sequences := make(map[string]int64)
	var running []cell.StartRun
	b.ReportAllocs()
	for iteration := 0; b.Loop(); iteration++ {
		now = now.Add(time.Duration(float64(time.Second) / (7 * float64(size))))
		if iteration%(7*size/40) == 0 {
			scheduler.Handle(now, cell.Tick{})
		}
		for _, start := range decisionsOf[cell.StartRun](scheduler.Handle(now, cell.JobSubmitted{
			EntryVM: entryVM,
			Job:     testJob(fmt.Sprintf("j%d", iteration), 1),
		})) {
			scheduler.Handle(now, cell.StartReplied{
				Reply: reply(start.Order),
				Run:   start.Run,
			})
			running = append(running, start)
		}
		if len(running) < size*4/3 {
			continue
		}
		start := running[0]
		running = running[1:]
		sequences[start.Order.Upstream]++
		scheduler.Handle(now, cell.PollReplied{
			Reply:       reply(start.Order),
			Incarnation: 1,
			Ended:       []cell.EndedRun{endedRun(sequences[start.Order.Upstream], start.Run, cell.EndDone)},
			Running:     stillRunning(running, start.Order.Upstream),
		})
	}
}

// stillRunning returns the running runs on the upstream with the ID, as its answer to
// a poll lists them.
func stillRunning(running []cell.StartRun, id string) []cell.RunningRun {
	var runs []cell.RunningRun
	for _, start := range running {
		if start.Order.Upstream == id {
			runs = append(runs, cell.RunningRun{
				Run:     start.Run,
				Percent: 50,
			})
		}
	}
	return runs
}

// BenchmarkPlanRound measures a round of decisions on 5,000 waiting jobs while all
// upstreams are busy, with room for all jobs by their deadlines and with too little.
func BenchmarkPlanRound(b *testing.B) {
	for _, size := range []int{48, 350, 1000} {
		for name, objective := range map[string]time.Duration{
			"room":     time.Hour,
			"overload": 300 * time.Millisecond,
		} {
			b.Run(fmt.Sprintf("%s-%d", name, size), func(b *testing.B) { benchmarkPlanRound(b, size, objective) })
		}
	}
}

func benchmarkPlanRound(b *testing.B, size int, objective time.Duration) {
	now := time.Unix(1_000_000, 0)
	scheduler := cell.New(now, cell.Config{
		Estimator:      estimate.New(),
		Claims:         func(cell.Upstream) cell.Claim { return cell.ClaimFirm },
		NextToken:      func() int64 { return 1024 },
		GuardsCapacity: func(string) bool { return true },
		Limits:         cell.DefaultLimits(),
	})
	var upstreams []cell.Upstream
	for number := range size {
		upstreams = append(upstreams, testUpstream(fmt.Sprintf("u%d", number)))
	}
	for _, poll := range decisionsOf[cell.Poll](scheduler.Handle(now, cell.UpstreamsListed{
		Upstreams: upstreams,
	})) {
		scheduler.Handle(now, cell.PollReplied{
			Reply: cell.Reply{
				Order:      poll.Order,
				Clock:      1,
				SentAt:     now,
				ReceivedAt: now,
			},
			Immediate:   poll.Immediate,
			Incarnation: 1,
		})
	}
	submit := func(id string, tasks int) {
		job := testJob(id, tasks)
		job.Objective = objective
		job.TimeLeft = time.Hour
		// Such a job is never refused, so that the queue stays as long as it is.
		job.ResentAfter = time.Second
		scheduler.Handle(now, cell.JobSubmitted{
			EntryVM: entryVM,
			Job:     job,
		})
	}
	for number := range 2 * size {
		submit(fmt.Sprintf("running-%d", number), 1)
	}
	for number := range 5_000 {
		submit(fmt.Sprintf("waiting-%d", number), 1+number%8)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(55 * time.Millisecond)
		submit("next", 2)
		scheduler.Handle(now, cell.JobWithdrawn{
			EntryVM: entryVM,
			ID:      "next",
		})
	}
}
