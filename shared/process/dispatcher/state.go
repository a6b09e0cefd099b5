package dispatcher

import (
	"time"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

// State is the state dump of a Dispatcher.
type State struct {
	Self          region.Member   `json:"self"`
	Leaving       bool            `json:"leaving"`
	Scheduler     string          `json:"scheduler"`
	Schedules     bool            `json:"schedules"`
	Token         int64           `json:"token"`
	Live          int             `json:"live"`
	Members       []region.Member `json:"members"`
	RoutesVersion int64           `json:"routes-version"`
	ListAgeMs     int64           `json:"list-age-ms"`
	Held          int             `json:"held-jobs"`
	Carrying      int             `json:"relayed-orders"`
	Suspects      []string        `json:"suspected-relays,omitempty"`
	Cell          *cell.Dump      `json:"cell,omitempty"`
}

func (loop *loop) state() State {
	state := State{
		Self:      loop.view.Self(),
		Leaving:   loop.view.Leaving(),
		Scheduler: loop.leader,
		Schedules: loop.cell != nil,
		Token:     loop.token,
		Live:      loop.view.LiveCount(),
		Members:   loop.view.Members(),
		ListAgeMs: int64(loop.listAge() / time.Millisecond),
		Held:      len(loop.held),
		Carrying:  loop.carrying,
		Suspects:  loop.suspects,
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
