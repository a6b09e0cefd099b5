package dispatch

import (
	"time"

	"tanagerfall/shared/request/limit"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/plan"
)

// Core holds the state of one entry VM's jobs. It is not safe for concurrent
// use: the control goroutine owns it.
type Core struct {
	config    Config
	now       time.Time
	jobs      map[submission.Key]*jobState
	upstreams map[string]*upstreamState
	// upstreamOrder holds the upstreams in the order in which they were listed,
	// so that equal events give equal decisions.
	upstreamOrder []*upstreamState
	rules         map[ruleKey][]plan.Rule
	// schedulerShares holds what the scheduler last got for each rule.
	schedulerShares map[ruleKey]schedulerShare
	// allowances holds this VM's parts of the caps of the rules.
	allowances map[ruleKey]int
	// domainUpstreams holds all upstreams of the failure domain.
	domainUpstreams []placement.Upstream
	// unplaceable holds, for each job with a task that fits no upstream of this
	// VM, the need of that task. The task waits for borrowed slots.
	unplaceable map[submission.Key]placement.Need
	// hasPlan is false until the first plan arrives.
	hasPlan bool
	guards  plan.Guards
	// evacuated is set while the plan evacuates the failure domain of this VM, which is that
	// of all its upstreams.
	evacuated    bool
	admission    limit.Admission
	retryBudgets map[string]*limit.Budget
	// nextUnbudgetedRetry holds, by kind, the earliest time of the next retry
	// without a token.
	nextUnbudgetedRetry map[string]time.Time
	// overdueBudget limits the status queries for overdue tasks.
	overdueBudget *limit.Budget
	timers        timers
	capacity      capacity
	health        fleetHealth
	load          load
	counters      Counters
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

// Handle applies one event and returns the decisions to carry out, in order.
// The caller owns the returned slice. An event about an attempt that is already
// settled changes nothing. A time before that of an earlier call counts as that
// call's time.
func (core *Core) Handle(now time.Time, event Event) []Decision {
	core.decisions = nil
	core.advanceClock(now)
	core.applyEvent(event)
	core.expireTimers()
	core.placeTasks()
	return core.decisions
}

// Wake returns the time at which a Tick must be handled if no event comes
// earlier. It returns false if no Tick is needed.
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

// placeTasks starts tasks as long as the scheduler finds slots for them.
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
