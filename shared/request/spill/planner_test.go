package spill_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/spill"
)

var start = time.Unix(1_000_000, 0)

func report(cell string, cores int, reportedAt time.Time) spill.Report {
	return spill.Report{
		Cell:      cell,
		Scheduler: cell + ":1",
		Headroom: map[string]int{
			"orders": cores * 1000,
		},
		ReportedAt: reportedAt,
	}
}

// Guards against a burst of one domain that goes to a single neighbour and fills it:
// 65% of a domain's callers move at once, and each process sees the same reports.
func TestBurstIsSpreadOverCells(t *testing.T) {
	planner := spill.NewPlanner()
	for number, cores := range []int{400, 400, 100, 0} {
		planner.Update(report(fmt.Sprintf("domain-%d", number), cores, start))
	}
	sent := make(map[string]int)
	for range 100 {
		scheduler, found := planner.Choose(start, "orders", 16_000)
		if !found {
			break
		}
		sent[scheduler] += 16
	}
	assert.DeepEqual(t, sent, map[string]int{
		"domain-0:1": 160,
		"domain-1:1": 160,
		"domain-2:1": 32,
	})
}

// Guards against jobs that go to a cell whose scheduler is gone, full or unknown.
func TestUnusableCellsAreNotChosen(t *testing.T) {
	for _, test := range []struct {
		name    string
		report  spill.Report
		service string
		after   time.Duration
		want    bool
	}{
		{"room", report("a", 100, start), "orders", 0, true},
		{"full", report("a", 20, start), "orders", 0, false},
		{"more waits than is free", report("a", -100, start), "orders", 0, false},
		{"another service", report("a", 100, start), "invoices", 0, false},
		{"old report", report("a", 100, start), "orders", 2 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			planner := spill.NewPlanner()
			planner.Update(test.report)
			_, found := planner.Choose(start.Add(test.after), test.service, 16_000)
			assert.Equal(t, found, test.want)
		})
	}
}

// Guards against a delayed report that replaces a newer one, and against a lost
// scheduler that is chosen again.
func TestReportsDoNotGoBack(t *testing.T) {
	planner := spill.NewPlanner()
	assert.Assert(t, planner.Update(report("a", 0, start)))
	assert.Assert(t, !planner.Update(report("a", 100, start.Add(-time.Second))))
	_, found := planner.Choose(start, "orders", 1000)
	assert.Assert(t, !found)
	assert.Assert(t, planner.Update(report("a", 100, start.Add(time.Second))))
	planner.Forget("a:1")
	_, found = planner.Choose(start.Add(time.Second), "orders", 1000)
	assert.Assert(t, !found)
}
