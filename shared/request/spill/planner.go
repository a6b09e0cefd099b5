package spill

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxReportAge is the age above which a report is not used. Schedulers report
	// every 0.4 s, so that one lost report is tolerated.
	maxReportAge = 1200 * time.Millisecond
	// usableShare is the share of a cell's headroom that one process sends jobs to
	// between two reports. Others may send jobs there at the same time, and the
	// cell's own callers come first.
	usableShare = 0.4
)

// Report is what the scheduler of another cell last reported.
type Report struct {
	// Cell names the cell: its failure domain.
	Cell string `json:"cell"`
	// Scheduler is the address of the process that schedules the cell.
	Scheduler string `json:"scheduler"`
	// Headroom is the capacity, in thousandths of a core, that neither runs nor
	// waiting tasks need, by service.
	Headroom map[string]int `json:"headroom"`
	// ReportedAt is when the scheduler made the report, on the clock of the
	// receiver.
	ReportedAt time.Time `json:"reported-at"`
}

// Planner chooses cells for jobs that the own cell can't serve in time. It is not
// safe for concurrent use.
type Planner struct {
	reports map[string]*reportState
}

// reportState is the last report of a cell and what was sent there since.
type reportState struct {
	report Report
	// sent is the need of the jobs sent to the cell since the report, by service.
	sent map[string]int
}

// NewPlanner returns a Planner without reports.
func NewPlanner() *Planner {
	return &Planner{
		reports: make(map[string]*reportState),
	}
}

// Update records a report. A report that is older than the last one of its cell is
// ignored, and Update returns false.
func (planner *Planner) Update(report Report) bool {
	known, ok := planner.reports[report.Cell]
	if ok && !report.ReportedAt.After(known.report.ReportedAt) {
		return false
	}
	planner.reports[report.Cell] = &reportState{
		report: report,
		sent:   make(map[string]int),
	}
	return true
}

// Reports returns the reports that are recent enough to be used, sorted by cell.
func (planner *Planner) Reports(now time.Time) []Report {
	var reports []Report
	for _, state := range planner.reports {
		if state.fresh(now) {
			reports = append(reports, state.report)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Cell, b.Cell) })
	return reports
}

// Choose returns the scheduler of the cell with the most room for a job of a
// service that needs the given thousandths of a core, and counts the job as sent
// there. It returns false if no cell has room.
func (planner *Planner) Choose(now time.Time, service string, need int) (string, bool) {
	best := planner.mostRoom(now, service, need)
	if best == nil {
		return "", false
	}
	best.sent[service] += need
	return best.report.Scheduler, true
}

// Peek returns what Choose would return, and counts nothing.
func (planner *Planner) Peek(now time.Time, service string, need int) (string, bool) {
	best := planner.mostRoom(now, service, need)
	if best == nil {
		return "", false
	}
	return best.report.Scheduler, true
}

// mostRoom returns the report of the cell with the most room, or nil if none has the given
// room.
func (planner *Planner) mostRoom(now time.Time, service string, need int) *reportState {
	var best *reportState
	bestRoom := 0
	for _, state := range planner.reports {
		room := state.room(now, service)
		if room < need || (best != nil && (room < bestRoom || (room == bestRoom && state.report.Cell > best.report.Cell))) {
			continue
		}
		best, bestRoom = state, room
	}
	return best
}

// Forget drops the report of the cell that a process schedules, because it does not
// answer or does not schedule any more.
func (planner *Planner) Forget(scheduler string) {
	for cellName, state := range planner.reports {
		if state.report.Scheduler == scheduler {
			delete(planner.reports, cellName)
		}
	}
}

func (state *reportState) fresh(now time.Time) bool {
	return now.Sub(state.report.ReportedAt) <= maxReportAge
}

// room returns what may still be sent to a cell before its next report.
func (state *reportState) room(now time.Time, service string) int {
	if !state.fresh(now) {
		return 0
	}
	return int(usableShare*float64(state.report.Headroom[service])) - state.sent[service]
}
