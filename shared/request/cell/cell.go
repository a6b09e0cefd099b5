package cell

import (
	"maps"
	"slices"
	"time"
)

// Cell holds the state of the jobs and upstreams of one cell. It is not safe
// for concurrent use; the control goroutine owns it.
type Cell struct {
	config Config
	now    time.Time
	// createdAt is the time from which this Cell schedules.
	createdAt time.Time
	token     int64

	// heldBytes is the memory of the jobs.
	heldBytes int64
	jobs      map[string]*jobState
	upstreams map[string]*upstreamState
	// upstreamOrder holds the upstreams in the order of their listing, so that
	// equal events yield equal decisions.
	upstreamOrder []*upstreamState
	// liveRuns counts the runs of each task that may exist, including those that
	// are no longer wanted.
	liveRuns map[TaskName]int
	// orphans holds, by job, the runs of jobs that the Cell does not have.
	orphans map[string][]*runState
	// earlyEnds holds, by job, the tasks that ended as done before their job was
	// submitted to this Cell.
	earlyEnds map[string][]TaskName
	// waitingJobs holds the jobs with waiting tasks.
	waitingJobs []*jobState
	// quarantinedUntil is when the last quarantine of a job ends.
	quarantinedUntil time.Time
	// fencedAt is when an upstream last showed that another process has taken it over.
	fencedAt time.Time
	// evacuatedDomains holds the evacuated failure domains, unservedServices the services
	// without upstreams elsewhere.
	evacuatedDomains map[string]bool
	unservedServices map[string]bool
	// reachedAt holds, by service, when the Cell last had an upstream outside the evacuated
	// domains, or could hand jobs over; it is kept during evacuations only.
	reachedAt   map[string]time.Time
	mayHandOver bool
	// topSpeeds holds the highest speed of an upstream by service.
	topSpeeds map[string]float64
	// slowUpstreams is the number of upstreams that were slow as of the last tick.
	slowUpstreams int
	// plans holds the decisions about waiting jobs by service, and planOrder the same in
	// the order of their first job. plannedAt is the time of the last round.
	plans     map[string]*servicePlan
	planOrder []*servicePlan
	plannedAt time.Time
	// indexes holds the upstreams by service and speed, and openCores their cores.
	indexes   map[string]*speedIndex
	openCores openCores
	// reservations holds the capacity that is kept for tasks during a placement.
	reservations []reservation
	// reservingJobs is the number of jobs with reservations, and reservedCores what they
	// need in all, in thousandths of a core.
	reservingJobs int
	reservedCores int
	// The buffers are reused to avoid allocations during placement.
	orderedBuffer []*jobState
	blockedBuffer []*jobState
	chosenBuffer  []reservation
	// listOutdated is set while no task may start by the list of upstreams.
	listOutdated bool
	// placementPending is set when a change may allow a task to be placed.
	placementPending bool
	// completed holds the jobs that were completed lately: one that is submitted again because
	// its answer was lost is answered without another run. startedJobs holds those that the
	// Cell does not have any more and that may have run.
	completed   recentJobs
	startedJobs recentJobs
	// ended holds what became of the submissions whose jobs this Cell had and that it
	// did not complete.
	ended endedSubmissions
	// slacks holds the average slack by kind.
	slacks map[string]kindSlack
	// averageNeed is the moving average of the cores of a task, in thousandths.
	averageNeed float64
	decisions   []Decision
	counters    Counters
	// trial is set during a call of Explain.
	trial *trial
}

// Counters counts the actions of a Cell for metrics and the state dump.
// Submitted, Completed, Failed, Interrupted and NotRun count jobs; Starts,
// Stops, AdoptedRuns, LostRuns and MovedRuns count runs; Claimed and Fenced
// count upstreams that the Cell claimed or yielded to another process.
type Counters struct {
	Submitted   int64 `json:"submitted"`
	Completed   int64 `json:"completed"`
	Failed      int64 `json:"failed"`
	Interrupted int64 `json:"interrupted"`
	NotRun      int64 `json:"not-run"`
	Starts      int64 `json:"starts"`
	Stops       int64 `json:"stops"`
	AdoptedRuns int64 `json:"adopted"`
	LostRuns    int64 `json:"lost"`
	MovedRuns   int64 `json:"moved"`
	Claimed     int64 `json:"taken"`
	Fenced      int64 `json:"fenced"`
	// HandedOver counts the jobs that went to another cell.
	HandedOver int64 `json:"handed-over"`
	// MovedInVain counts the slow runs that were moved and were as slow elsewhere,
	// because their tasks are long.
	MovedInVain int64 `json:"moved-in-vain"`
	// Refused counts the jobs that were refused because others needed the capacity, and
	// DiscardedStarts the starts of tasks of jobs that were given up later.
	Refused         int64 `json:"refused"`
	DiscardedStarts int64 `json:"discarded-starts"`
}

// New returns a Cell that claims upstreams from now on as config.Claims allows.
func New(now time.Time, config Config) *Cell {
	return &Cell{
		config:      config,
		now:         now,
		createdAt:   now,
		token:       config.NextToken(),
		jobs:        make(map[string]*jobState),
		upstreams:   make(map[string]*upstreamState),
		liveRuns:    make(map[TaskName]int),
		topSpeeds:   make(map[string]float64),
		plans:       make(map[string]*servicePlan),
		indexes:     make(map[string]*speedIndex),
		slacks:      make(map[string]kindSlack),
		completed:   newRecentJobs(),
		startedJobs: newRecentJobs(),
		ended: endedSubmissions{
			last: make(map[submitter]endedSubmission),
		},
		orphans:   make(map[string][]*runState),
		earlyEnds: make(map[string][]TaskName),
	}
}

// Token returns the fencing token of the Cell's next order.
func (cell *Cell) Token() int64 { return cell.token }

// Counters returns the counts since New.
func (cell *Cell) Counters() Counters { return cell.counters }

// Handle applies one event and returns the decisions to carry out, in order.
// The caller may keep the slice.
func (cell *Cell) Handle(now time.Time, event Event) []Decision {
	if now.After(cell.now) {
		cell.now = now
	}
	cell.decisions = nil
	cell.apply(event)
	cell.placeTasks()
	return cell.decisions
}

func (cell *Cell) apply(event Event) {
	switch event := event.(type) {
	case JobSubmitted:
		cell.submit(event)
	case JobWithdrawn:
		cell.withdraw(event)
	case EntryVMLost:
		cell.withdrawEntryVM(event.EntryVM)
	case StartReplied:
		cell.startReplied(event)
	case StopReplied:
		cell.stopReplied(event)
	case PollReplied:
		cell.pollReplied(event)
	case UpstreamsListed:
		cell.listOutdated = event.Outdated
		cell.applyListing(event.Upstreams)
	case DomainsEvacuated:
		cell.evacuate(event)
	case Tick:
		cell.tick()
	}
}

// tick performs everything that is due.
func (cell *Cell) tick() {
	cell.measureSpeeds()
	for _, upstream := range cell.upstreamOrder {
		cell.tickUpstream(upstream)
	}
	cell.recordReach()
	for _, id := range cell.jobIDs() {
		cell.tickJob(cell.jobs[id])
	}
	cell.expireEarlyEnds()
	cell.endIdleOverloads()
	forgetBefore := cell.now.Add(-recentRetention)
	cell.completed.expire(forgetBefore)
	cell.startedJobs.expire(forgetBefore)
	cell.ended.expire(forgetBefore)
	cell.placementPending = true
}

func (cell *Cell) decide(decision Decision) {
	cell.decisions = append(cell.decisions, decision)
}

// withinAdoptionWindow reports whether entry VMs may still submit jobs of a
// previous Cell.
func (cell *Cell) withinAdoptionWindow() bool {
	return cell.now.Sub(cell.createdAt) < cell.config.Limits.AdoptionWindow
}

// jobIDs returns the IDs of the jobs, sorted so that equal events yield equal decisions.
func (cell *Cell) jobIDs() []string { return slices.Sorted(maps.Keys(cell.jobs)) }

// HasWaitingJobs reports whether tasks of any job wait for an upstream.
func (cell *Cell) HasWaitingJobs() bool { return len(cell.waitingJobs) > 0 }

// Pending returns, by kind, the number of jobs without a started task.
func (cell *Cell) Pending() map[string]int {
	pending := make(map[string]int)
	for _, job := range cell.jobs {
		if !job.started && job.activeTasks == 0 {
			pending[job.submitted.Kind]++
		}
	}
	return pending
}

// Release returns, for each job and each entry VM that holds it, where runs of the
// job may still exist when the Cell steps down. The Cell must not be used afterwards,
// because the next Cell starts the tasks of jobs without runs. Jobs that may have
// runs of an earlier Cell that this one has not found yet are omitted.
func (cell *Cell) Release() []Release {
	var releases []Release
	for _, id := range cell.jobIDs() {
		job := cell.jobs[id]
		if !cell.mayStartTasks(job) {
			continue
		}
		var runsAt []string
		for _, upstream := range cell.upstreamOrder {
			for name := range upstream.runs {
				if name.Task.Job == id {
					runsAt = append(runsAt, upstream.listing.ID)
					break
				}
			}
		}
		for _, holder := range job.holders {
			releases = append(releases, Release{
				ID:         id,
				RunsAt:     runsAt,
				NotStarted: !job.mayHaveRun() && !job.startOrdered,
				EntryVM:    holder.EntryVM,
				Submission: holder.Submission,
			})
		}
	}
	return releases
}
