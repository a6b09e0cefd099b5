package dispatch

import (
	"slices"
	"strings"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/version/plan"
)

// Dump is the part of the state dump that the Core fills.
type Dump struct {
	Jobs               int            `json:"jobs"`
	WaitingTasks       int            `json:"waiting-tasks"`
	ActiveTasks        int            `json:"active-tasks"`
	PredictedWorkMs    float64        `json:"predicted-work-ms"`
	OpenSpeed          float64        `json:"open-speed"`
	Ejected            int            `json:"ejected-upstreams"`
	Timers             int            `json:"timers"`
	Guards             plan.Guards    `json:"guards"`
	Counters           Counters       `json:"counters"`
	Upstreams          []UpstreamDump `json:"upstreams"`
	Budgets            []BudgetDump   `json:"retry-budgets"`
	OverdueQueriesLeft float64        `json:"overdue-asks-left"`
}

// UpstreamDump is the state of one upstream.
type UpstreamDump struct {
	ID                string  `json:"id"`
	Open              bool    `json:"open"`
	Slots             int     `json:"slots"`
	Used              int     `json:"used"`
	OccupiedElsewhere int     `json:"foreign"`
	Leaving           bool    `json:"leaving"`
	Draining          bool    `json:"draining"`
	Ejected           bool    `json:"ejected"`
	ProbeSlots        int     `json:"probe-slots,omitempty"`
	FailureShare      float64 `json:"failure-share"`
	Speed             float64 `json:"speed"`
}

// BudgetDump is the retry budget of one kind.
type BudgetDump struct {
	Kind   string  `json:"kind"`
	Tokens float64 `json:"tokens"`
}

// Counters counts since the start of the process.
type Counters struct {
	Jobs               uint64 `json:"jobs"`
	Complete           uint64 `json:"complete"`
	Failed             uint64 `json:"failed"`
	FailedUnknown      uint64 `json:"failed-started-unknown"`
	Refused            uint64 `json:"refused"`
	Starts             uint64 `json:"starts"`
	Retries            uint64 `json:"retries"`
	PostponedRetries   uint64 `json:"held-retries"`
	Repeats            uint64 `json:"repeats"`
	Messages           uint64 `json:"messages"`
	StatusQueries      uint64 `json:"asks"`
	FailedQueries      uint64 `json:"failed-asks"`
	LostTasks          uint64 `json:"lost-tasks"`
	UnknownTasks       uint64 `json:"unknown-tasks"`
	BusyRefusals       uint64 `json:"busy-refusals"`
	Ejections          uint64 `json:"ejections"`
	Pauses             uint64 `json:"pauses"`
	SilentConnections  uint64 `json:"silent-connections"`
	DroppedConnections uint64 `json:"dropped-connections"`
	MalformedReports   uint64 `json:"malformed-reports"`
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

// Dump returns a copy of the Core's state without the jobs themselves.
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
