package cell

import "time"

// Cell is the state of the jobs and upstreams of one cell. It is not safe for
// concurrent use: the control goroutine owns it.
type Cell struct {
	config Config
	now    time.Time
	// origin is the time from which this Cell schedules.
	origin time.Time
	token  int64

	jobs      map[string]*jobState
	upstreams map[string]*upstream
	// order holds the upstreams in order of their listing, so that equal
	// events give equal decisions.
	order []*upstream
	// live counts the runs of each task that may exist, those that nobody wants
	// any more included.
	live map[TaskName]int
	// orphans holds, by job, the runs of jobs that the Cell does not have.
	orphans map[string][]*run
	// earlyEnds holds, by job, the tasks that ended as done before their job
	// was submitted to this Cell.
	earlyEnds map[string][]TaskName
	// waiting holds the jobs with waiting tasks.
	waiting []*jobState
	// quarantinedUntil is when the last quarantine of a job is over.
	quarantinedUntil time.Time
	// topSpeeds holds the highest speed of an upstream by service.
	topSpeeds map[string]float64
	// sortedAt is when the waiting jobs were sorted last.
	sortedAt time.Time
	// bySpeed holds the upstreams by speed, the fastest first.
	bySpeed []*upstream
	// usable and ranked keep the memory of place.
	usable []*upstream
	ranked []ranked
	// placeable is set when a change may allow a task to be placed.
	placeable bool
	decisions []Decision
	counters  Counters
}

// Counters count what a Cell has done, for metrics and the state dump.
type Counters struct {
	Submitted   int64 `json:"submitted"`
	Completed   int64 `json:"completed"`
	Failed      int64 `json:"failed"`
	Interrupted int64 `json:"interrupted"`
	NotRun      int64 `json:"not-run"`
	Starts      int64 `json:"starts"`
	Stops       int64 `json:"stops"`
	Adopted     int64 `json:"adopted"`
	Lost        int64 `json:"lost"`
	Moved       int64 `json:"moved"`
	Taken       int64 `json:"taken"`
	Fenced      int64 `json:"fenced"`
}

// New returns a Cell that takes the upstreams of its claims from now on.
func New(now time.Time, config Config) *Cell {
	return &Cell{
		config:    config,
		now:       now,
		origin:    now,
		token:     config.NextToken(),
		jobs:      make(map[string]*jobState),
		upstreams: make(map[string]*upstream),
		live:      make(map[TaskName]int),
		topSpeeds: make(map[string]float64),
		orphans:   make(map[string][]*run),
		earlyEnds: make(map[string][]TaskName),
	}
}

// Token returns the fencing token of the Cell's next order.
func (cell *Cell) Token() int64 { return cell.token }

// Counters returns the counts since New.
func (cell *Cell) Counters() Counters { return cell.counters }

// Handle applies one event and returns what is to be done, in order. The
// slice is the caller's.
func (cell *Cell) Handle(now time.Time, event Event) []Decision {
	if now.After(cell.now) {
		cell.now = now
	}
	cell.decisions = nil
	cell.apply(event)
	cell.place()
	return cell.decisions
}

func (cell *Cell) apply(event Event) {
	switch event := event.(type) {
	case JobSubmitted:
		cell.submit(event)
	case JobWithdrawn:
		cell.withdraw(event.Front, event.ID)
	case FrontLost:
		cell.loseFront(event.Front)
	case StartReplied:
		cell.startReplied(event)
	case StopReplied:
		cell.stopReplied(event)
	case Watched:
		cell.watched(event)
	case UpstreamsListed:
		cell.list(event.Upstreams)
	case Tick:
		cell.tick()
	}
}

// tick acts on everything whose time has come.
func (cell *Cell) tick() {
	cell.measureSpeeds()
	for _, at := range cell.order {
		cell.tickUpstream(at)
	}
	for _, held := range cell.jobs {
		cell.tickJob(held)
	}
	cell.expireEarlyEnds()
	cell.placeable = true
}

func (cell *Cell) decide(decision Decision) {
	cell.decisions = append(cell.decisions, decision)
}

// young reports whether entry VMs may still submit jobs of a previous Cell.
func (cell *Cell) young() bool {
	return cell.now.Sub(cell.origin) < cell.config.Limits.AdoptWindow
}

// Pending returns, by kind, the number of jobs of which no task has started.
func (cell *Cell) Pending() map[string]int {
	pending := make(map[string]int)
	for _, held := range cell.jobs {
		if !held.started && held.active == 0 {
			pending[held.job.Kind]++
		}
	}
	return pending
}

// Release returns what the Cell leaves of its jobs. It must not be used any
// more afterwards: the next Cell starts the tasks of jobs that have no runs.
// Jobs of which an earlier Cell may have left runs that this one has not found
// yet are not among them.
func (cell *Cell) Release() []Release {
	var released []Release
	for id, held := range cell.jobs {
		if !cell.safe(held) {
			continue
		}
		var runsAt []string
		for _, at := range cell.order {
			for name := range at.runs {
				if name.Task.Job == id {
					runsAt = append(runsAt, at.listed.ID)
					break
				}
			}
		}
		for _, front := range held.fronts {
			released = append(released, Release{
				ID:         id,
				RunsAt:     runsAt,
				NotStarted: held.job.fresh() && !held.ordered,
				Front:      front,
			})
		}
	}
	return released
}
