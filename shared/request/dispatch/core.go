package dispatch

import (
	"time"

	"tanagerfall/shared/request/limit"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/plan"
)

// Core is the state of one entry VM's jobs. It is not safe for concurrent
// use: the control goroutine owns it.
type Core struct {
	config    Config
	now       time.Time
	jobs      map[submission.Key]*jobState
	upstreams map[string]*upstreamState
	// upstreamOrder holds the upstreams in order of their listing, so that equal
	// events give equal decisions.
	upstreamOrder   []*upstreamState
	rules           map[ruleKey][]plan.Rule
	schedulerShares map[ruleKey]schedulerShare
	// allowances holds this VM's parts of the rules' caps.
	allowances map[ruleKey]int
	// domainUpstreams holds all upstreams of the failure domain.
	domainUpstreams []placement.Upstream
	// unplaceable holds the needs of the jobs with a task that fits no upstream of
	// this VM and waits for borrowed slots.
	unplaceable map[submission.Key]placement.Need
	// hasPlan is false until the first plan came.
	hasPlan      bool
	guards       plan.Guards
	admission    limit.Admission
	retryBudgets map[string]*limit.Budget
	// nextUnbudgetedRetry holds, by kind, when the next retry without a token may go.
	nextUnbudgetedRetry map[string]time.Time
	overdueBudget       *limit.Budget
	timers              timers
	capacity            capacity
	health              fleetHealth
	load                load
	counters            Counters
	// mayPlace is set when a change may allow the scheduler to place a task.
	mayPlace  bool
	decisions []Decision
}

// New returns a Core without jobs, upstreams or plan.
func New(config Config) *Core {
	config = config.withDefaults()
	limits := config.Limits
	return &Core{
		config:              config,
		jobs:                make(map[submission.Key]*jobState),
		upstreams:           make(map[string]*upstreamState),
		schedulerShares:     make(map[ruleKey]schedulerShare),
		unplaceable:         make(map[submission.Key]placement.Need),
		retryBudgets:        make(map[string]*limit.Budget),
		nextUnbudgetedRetry: make(map[string]time.Time),
		overdueBudget:       limit.NewBudget(limits.OverdueQueryShare, limits.OverdueQueryBurst),
		admission: limit.Admission{
			MaxTasks:      limits.MaxQueuedTasks,
			MinRetryAfter: limits.MinRetryAfter,
			MaxRetryAfter: limits.MaxRetryAfter,
		},
	}
}

// Handle applies one event and returns what is to be done, in order. The
// slice is the caller's. An event about a task that was settled otherwise
// changes nothing. Times before an earlier call's are taken as that call's.
func (core *Core) Handle(now time.Time, event Event) []Decision {
	core.decisions = nil
	core.advanceClock(now)
	core.applyEvent(event)
	core.expireTimers()
	core.placeTasks()
	return core.decisions
}

// Wake returns the time at which a Tick is to be handled if no event comes
// before. It reports false when no Tick is needed.
func (core *Core) Wake() (time.Time, bool) {
	wake, needed := core.config.Scheduler.Wake()
	if len(core.timers) > 0 && (!needed || core.timers[0].expiresAt.Before(wake)) {
		return core.timers[0].expiresAt, true
	}
	return wake, needed
}

func (core *Core) applyEvent(event Event) {
	switch event := event.(type) {
	case JobAccepted:
		core.acceptJob(event)
	case JobCancelled:
		core.cancelJob(event)
	case TaskEnded:
		core.handleTaskEnded(event)
	case TaskNotStarted:
		core.handleNotStarted(event)
	case TaskLost:
		core.handleTaskLost(event)
	case QueryAnswered:
		core.handleQueryAnswer(event)
	case QueryFailed:
		core.handleQueryFailure(event)
	case FleetChanged:
		core.applyFleet(event)
	case AllowancesChanged:
		core.applyAllowances(event)
	case UpstreamDraining:
		core.drainUpstream(event.Upstream)
	case PlanChanged:
		core.applyPlan(event.Plan)
	case Tick:
	}
}

func (core *Core) emit(decision Decision) {
	core.decisions = append(core.decisions, decision)
}

// placeTasks starts tasks while the scheduler finds slots for them.
func (core *Core) placeTasks() {
	wake, timed := core.config.Scheduler.Wake()
	if !core.mayPlace && (!timed || wake.After(core.now)) {
		return
	}
	core.mayPlace = false
	for {
		assignment, placed := core.config.Scheduler.Next(core.now)
		if !placed {
			return
		}
		core.startTask(assignment)
	}
}
