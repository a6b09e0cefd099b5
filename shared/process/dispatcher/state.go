package dispatcher

import (
	"time"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/spill"
	"tanagerfall/shared/version/region"
)

// State is the state dump of a Dispatcher, served to operators as JSON.
type State struct {
	// Self describes this process.
	Self region.Member `json:"self"`
	// Leaving is set from the start of a graceful shutdown on.
	Leaving bool `json:"leaving"`
	// Scheduler is the address of the process that this one submits jobs to;
	// empty if there is none.
	Scheduler string `json:"scheduler"`
	// IsScheduler is set while this process schedules the region.
	IsScheduler bool `json:"schedules"`
	// Token is the last fencing token that this process issued; 0 if none.
	Token int64 `json:"token"`
	// LiveProcesses is the number of processes with recent heartbeats, this one
	// included.
	LiveProcesses int `json:"live"`
	// Members lists all known processes, this one included.
	Members []region.Member `json:"members"`
	// AbsentMembers is the number of members of the cell that are taken to be lost.
	AbsentMembers int `json:"absent-members"`
	// Division says how this process takes the region to be divided.
	Division string `json:"division"`
	// Neighbours lists the recent reports of the schedulers of other cells.
	Neighbours []spill.Report `json:"neighbours,omitempty"`
	// RoutesVersion is the version of the routing table in force; 0 if none.
	RoutesVersion int64 `json:"routes-version"`
	// Evacuated lists the failure domains that operators have evacuated, according to
	// the log up to EvacuationsPosition; 0 if this process has seen no evacuation.
	Evacuated           []string `json:"evacuated,omitempty"`
	EvacuationsPosition int64    `json:"evacuations-position,omitempty"`
	// ListAgeMs is the age of the list of upstreams in ms; an hour if there is none.
	ListAgeMs int64 `json:"list-age-ms"`
	// HeldJobs is the number of jobs that callers of this process wait for.
	HeldJobs int `json:"held-jobs"`
	// Cancellations is the number of cancelled jobs that this process remembers.
	Cancellations int `json:"cancellations"`
	// RelayedOrders is the number of orders that this process is executing for
	// schedulers elsewhere.
	RelayedOrders int `json:"relayed-orders"`
	// SuspectedRelays lists the relays that this process, when it last scheduled,
	// temporarily sent no orders to.
	SuspectedRelays []string `json:"suspected-relays,omitempty"`
	// Cell is nil unless this process schedules.
	Cell *cell.Dump `json:"cell,omitempty"`
}

func (loop *loop) state() State {
	state := State{
		Self:            loop.view.Self(),
		Leaving:         loop.view.Leaving(),
		Scheduler:       loop.leader,
		IsScheduler:     loop.cell != nil,
		Token:           loop.token,
		LiveProcesses:   loop.view.LiveCount(),
		Members:         loop.view.Members(),
		AbsentMembers:   loop.view.AbsentCount(),
		Division:        loop.view.Division().String(),
		Neighbours:      loop.neighbours.planner.Reports(loop.now),
		ListAgeMs:       int64(loop.listAge() / time.Millisecond),
		HeldJobs:        len(loop.heldJobs),
		Cancellations:   loop.cancellations.Len(),
		RelayedOrders:   loop.relayedOrders,
		SuspectedRelays: loop.suspectedRelays,
		Evacuated:       loop.evacuations.Domains(),

		EvacuationsPosition: loop.evacuations.Position(),
	}
	if loop.routes != nil {
		state.RoutesVersion = loop.routes.Version
	}
	if loop.cell != nil {
		dump := loop.cell.Dump()
		state.Cell = &dump
	}
	return state
}
