package dispatch

import (
	"slices"
	"strings"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/version/plan"
)

// Dump is the Core's part of the state dump. Jobs are only counted.
type Dump struct {
	Jobs int `json:"jobs"`
	// WaitingTasks counts the tasks that wait for a slot or a retry, ActiveTasks
	// those with an attempt that may be running.
	WaitingTasks int `json:"waiting-tasks"`
	ActiveTasks  int `json:"active-tasks"`
	// PredictedWorkMs is the predicted work of the waiting and active tasks, in
	// milliseconds at speed 1.
	PredictedWorkMs float64 `json:"predicted-work-ms"`
	// OpenSpeed is the sum of the speeds of all open slots.
	OpenSpeed float64 `json:"open-speed"`
	Ejected   int     `json:"ejected-upstreams"`
	// Timers counts the armed timers.
	Timers int         `json:"timers"`
	Guards plan.Guards `json:"guards"`
	// Evacuated is set while operators have evacuated the failure domain.
	Evacuated bool           `json:"evacuated,omitempty"`
	Counters  Counters       `json:"counters"`
	Upstreams []UpstreamDump `json:"upstreams"`
	Budgets   []BudgetDump   `json:"retry-budgets"`
	// OverdueQueriesLeft is the number of status queries for overdue tasks that
	// may be sent at once.
	OverdueQueriesLeft float64 `json:"overdue-asks-left"`
}

// UpstreamDump is the state of one upstream. Leaving is set if the list of upstreams
// marks it as leaving, Draining if the upstream itself signalled that it drains.
type UpstreamDump struct {
	ID string `json:"id"`
	// Open is set if the scheduler may place tasks there.
	Open bool `json:"open"`
	// Slots is the number of slots last offered to the scheduler, Used the number
	// of this VM's attempts that may be running there, and OccupiedElsewhere the
	// number of slots that other VMs occupy.
	Slots             int  `json:"slots"`
	Used              int  `json:"used"`
	OccupiedElsewhere int  `json:"foreign"`
	Leaving           bool `json:"leaving"`
	Draining          bool `json:"draining"`
	Ejected           bool `json:"ejected"`
	// ProbeSlots bounds the slots during slow start; 0 means no bound.
	ProbeSlots int `json:"probe-slots,omitempty"`
	// FailureShare is the moving average of the share of failures.
	FailureShare float64 `json:"failure-share"`
	// Speed is the estimated speed relative to 1.
	Speed float64 `json:"speed"`
}

// BudgetDump is the state of the retry budget of one kind.
type BudgetDump struct {
	Kind string `json:"kind"`
	// Tokens is the number of retries that may be made at once.
	Tokens float64 `json:"tokens"`
}

// Counters holds totals since the start of the process. Jobs counts the jobs of
// JobAccepted events, including those that are refused. Complete, Failed and Refused
// count the answers by outcome, and Ejections the ejections of upstreams.
type Counters struct {
	Jobs     uint64 `json:"jobs"`
	Complete uint64 `json:"complete"`
	Failed   uint64 `json:"failed"`
	// FailedUnknown counts the failed jobs of which it is unknown whether a task
	// started.
	FailedUnknown uint64 `json:"failed-started-unknown"`
	Refused       uint64 `json:"refused"`
	// Starts counts the attempts that were sent to an upstream.
	Starts uint64 `json:"starts"`
	// Retries counts the attempts that were queued again because the previous one
	// did not start.
	Retries uint64 `json:"retries"`
	// PostponedRetries counts how often a retry waited because the budget of its
	// kind was used up.
	PostponedRetries uint64 `json:"held-retries"`
	// Repeats counts the attempts made after one with an unknown outcome.
	Repeats uint64 `json:"repeats"`
	// Messages counts the messages to and from upstreams.
	Messages uint64 `json:"messages"`
	// StatusQueries counts the queries sent, FailedQueries those without an answer.
	StatusQueries uint64 `json:"asks"`
	FailedQueries uint64 `json:"failed-asks"`
	// LostTasks counts the broken connections of tasks, UnknownTasks the attempts
	// of which it stays unknown whether they started.
	LostTasks    uint64 `json:"lost-tasks"`
	UnknownTasks uint64 `json:"unknown-tasks"`
	// BusyRefusals counts the tasks that an upstream refused although a slot should
	// have been free.
	BusyRefusals uint64 `json:"busy-refusals"`
	Ejections    uint64 `json:"ejections"`
	// Pauses counts the pauses of this VM during which leases expired.
	Pauses uint64 `json:"pauses"`
	// SilentConnections counts the connections that did not deliver the end of
	// their task in time. DroppedConnections also includes those of other attempts
	// that were settled by a status query or without news.
	SilentConnections  uint64 `json:"silent-connections"`
	DroppedConnections uint64 `json:"dropped-connections"`
	// MalformedReports counts the reports of upstreams that could not be used.
	MalformedReports uint64 `json:"malformed-reports"`
}

func (counters *Counters) countAnswer(answer job.Answer) {
	switch answer.Outcome {
	case job.Complete:
		counters.Complete++
	case job.Refused:
		counters.Refused++
	case job.Failed:
		counters.Failed++
		if answer.Started == job.StartedUnknown {
			counters.FailedUnknown++
		}
	}
}

// Dump returns a copy of the Core's state, without the jobs themselves.
func (core *Core) Dump() Dump {
	return Dump{
		Jobs:               len(core.jobs),
		WaitingTasks:       core.load.waiting,
		ActiveTasks:        core.load.active,
		PredictedWorkMs:    core.load.workMs,
		OpenSpeed:          core.currentCapacity().speed,
		Ejected:            core.health.ejected + core.health.unreachable,
		Timers:             len(core.timers),
		Guards:             core.guards,
		Evacuated:          core.evacuated,
		Counters:           core.counters,
		Upstreams:          core.dumpUpstreams(),
		Budgets:            core.dumpBudgets(),
		OverdueQueriesLeft: core.overdueBudget.Tokens(),
	}
}

func (core *Core) dumpUpstreams() []UpstreamDump {
	dumps := make([]UpstreamDump, 0, len(core.upstreams))
	for _, upstream := range core.upstreamOrder {
		id := upstream.declared.ID
		dumps = append(dumps, UpstreamDump{
			ID:                id,
			Open:              upstream.open,
			Slots:             upstream.slots,
			Used:              len(upstream.active),
			OccupiedElsewhere: upstream.occupiedElsewhere,
			Leaving:           upstream.leaving,
			Draining:          upstream.draining,
			Ejected:           upstream.health.ejected(),
			ProbeSlots:        upstream.health.probeSlots,
			FailureShare:      upstream.health.failureShare,
			Speed:             core.speedOf(upstream),
		})
	}
	slices.SortFunc(dumps, func(a, b UpstreamDump) int { return strings.Compare(a.ID, b.ID) })
	return dumps
}

func (core *Core) dumpBudgets() []BudgetDump {
	dumps := make([]BudgetDump, 0, len(core.retryBudgets))
	for kind, budget := range core.retryBudgets {
		dumps = append(dumps, BudgetDump{
			Kind:   kind,
			Tokens: budget.Tokens(),
		})
	}
	slices.SortFunc(dumps, func(a, b BudgetDump) int { return strings.Compare(a.Kind, b.Kind) })
	return dumps
}
