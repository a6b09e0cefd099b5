package cell_test

import (
	"fmt"
	"testing"
	"time"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/estimate"
)

// BenchmarkTask measures the decisions on one task: its part of a submission,
// start, confirmation, end and watch, in cells of different sizes at two thirds
// of their room.
func BenchmarkTask(b *testing.B) {
	for _, size := range []int{48, 350, 1000} {
		b.Run(fmt.Sprintf("upstreams-%d", size), func(b *testing.B) { benchmarkTask(b, size) })
	}
}

func benchmarkTask(b *testing.B, size int) {
	now := time.Unix(1_000_000, 0)
	began := now
	held := cell.New(now, cell.Config{
		Estimator: estimate.New(),
		Claims:    func(cell.Upstream) cell.Claim { return cell.ClaimFirm },
		NextToken: func() int64 { return 1024 },
		Limits:    cell.DefaultLimits(),
	})
	clock := func() int64 { return 1 + now.Sub(began).Milliseconds() }
	reply := func(order cell.Order) cell.Reply {
		return cell.Reply{
			Order:      order,
			Clock:      clock(),
			SentAt:     now,
			ReceivedAt: now,
		}
	}
	var rows []cell.Upstream
	for number := range size {
		rows = append(rows, row(fmt.Sprintf("u%d", number)))
	}
	watch := func(decisions []cell.Decision) {
		for _, decision := range of[cell.Watch](decisions) {
			held.Handle(now, cell.Watched{
				Reply:       reply(decision.Order),
				Look:        decision.Look,
				Incarnation: 1,
			})
		}
	}
	watch(held.Handle(now, cell.UpstreamsListed{
		Upstreams: rows,
	}))
	sequences := make(map[string]int64)
	var running []cell.StartRun
	b.ReportAllocs()
	for done := 0; b.Loop(); done++ {
		now = now.Add(time.Duration(float64(time.Second) / (7 * float64(size))))
		if done%(7*size/40) == 0 {
			held.Handle(now, cell.Tick{})
		}
		for _, start := range of[cell.StartRun](held.Handle(now, cell.JobSubmitted{
			Front: front,
			Job:   job(fmt.Sprintf("j%d", done), 1),
		})) {
			held.Handle(now, cell.StartReplied{
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
		held.Handle(now, cell.Watched{
			Reply:       reply(start.Order),
			Incarnation: 1,
			Ended:       []cell.EndedRun{ended(sequences[start.Order.Upstream], start.Run, cell.EndDone)},
			Running:     stillRunning(running, start.Order.Upstream),
		})
	}
}

func stillRunning(running []cell.StartRun, id string) []cell.RunningRun {
	var rows []cell.RunningRun
	for _, start := range running {
		if start.Order.Upstream == id {
			rows = append(rows, cell.RunningRun{
				Run:     start.Run,
				Percent: 50,
			})
		}
	}
	return rows
}
