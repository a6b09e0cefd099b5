package dispatcher

import (
	"time"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

// State is the state dump of a Dispatcher.
type State struct {
	Self            region.Member   `json:"self"`
	Leaving         bool            `json:"leaving"`
	Scheduler       string          `json:"scheduler"`
	IsScheduler     bool            `json:"schedules"`
	Token           int64           `json:"token"`
	LiveProcesses   int             `json:"live"`
	Members         []region.Member `json:"members"`
	RoutesVersion   int64           `json:"routes-version"`
	ListAgeMs       int64           `json:"list-age-ms"`
	HeldJobs        int             `json:"held-jobs"`
	RelayedOrders   int             `json:"relayed-orders"`
	SuspectedRelays []string        `json:"suspected-relays,omitempty"`
	Cell            *cell.Dump      `json:"cell,omitempty"`
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
		ListAgeMs:       int64(loop.listAge() / time.Millisecond),
		HeldJobs:        len(loop.heldJobs),
		RelayedOrders:   loop.relayedOrders,
		SuspectedRelays: loop.suspectedRelays,
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
