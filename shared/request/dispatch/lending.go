package dispatch

import (
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// Shortage is the number of slots that waiting tasks lack, and what a slot
// must offer to be of use.
type Shortage struct {
	Slots int
	Need  placement.Need
}

// Shortage returns what this VM could borrow. Tasks that wait although slots
// are idle count only where they fit no upstream of this VM: the others wait
// for a faster slot on purpose.
func (core *Core) Shortage() Shortage {
	for key, need := range core.unfit {
		if core.fitsHere(need) {
			delete(core.unfit, key)
			continue
		}
		return Shortage{
			Slots: core.waitingOf(key),
			Need:  need,
		}
	}
	stats := core.config.Scheduler.Stats()
	return Shortage{
		Slots: max(stats.WaitingTasks-stats.IdleSlots, 0),
	}
}

func (core *Core) waitingOf(key submission.Key) int {
	owner, known := core.jobs[key]
	if !known {
		return 0
	}
	return owner.missing - owner.unsettled
}

// noteUnfit remembers a job with a task that fits no upstream of this VM.
func (core *Core) noteUnfit(accepted *run) {
	var fitting placement.Need
	for i := range accepted.tasks {
		need := accepted.tasks[i].need()
		if need == fitting {
			continue
		}
		if !core.fitsHere(need) {
			core.unfit[accepted.key] = need
			return
		}
		fitting = need
	}
}

// Idle is the number of slots of an owned upstream that run no task of this
// VM, lent ones left out.
type Idle struct {
	Upstream placement.Upstream
	Slots    int
}

// Idle returns the owned upstreams that may get new tasks and have idle slots.
func (core *Core) Idle() []Idle {
	var idle []Idle
	for _, at := range core.order {
		if !at.open || at.borrowed || at.slots <= len(at.active) {
			continue
		}
		idle = append(idle, Idle{
			Upstream: at.declared,
			Slots:    at.slots - len(at.active),
		})
	}
	return idle
}

// Used returns the number of this VM's tasks that may run on an upstream.
func (core *Core) Used(upstream string) int {
	if at, known := core.upstreams[upstream]; known {
		return len(at.active)
	}
	return 0
}

// Usage is the number of running and waiting tasks of a team for a kind.
type Usage struct {
	Running int
	Waiting int
}

// Usage returns the present tasks of a team for a kind.
func (core *Core) Usage(team, kind string) Usage {
	key := ruleKey{
		team: team,
		kind: kind,
	}
	stats := core.config.Scheduler.TeamStats(key.queue())
	return Usage{
		Running: stats.Running,
		Waiting: stats.Waiting,
	}
}
