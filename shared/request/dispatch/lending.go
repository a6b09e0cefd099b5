package dispatch

import (
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// Shortage is the number of slots that waiting tasks lack, and what a borrowed
// slot must offer to be of use.
type Shortage struct {
	Slots int
	Need  placement.Need
}

// Shortage returns what this VM could borrow. Tasks that wait although slots are
// idle count only if they fit no upstream of this VM: the others wait for a
// faster slot on purpose. In an evacuated failure domain no peer has slots to lend.
func (core *Core) Shortage() Shortage {
	if core.evacuated {
		return Shortage{}
	}
	for key, need := range core.unplaceable {
		if core.fitsUsable(need) {
			delete(core.unplaceable, key)
			continue
		}
		return Shortage{
			Slots: core.waitingTasks(key),
			Need:  need,
		}
	}
	stats := core.config.Scheduler.Stats()
	return Shortage{
		Slots: max(stats.WaitingTasks-stats.IdleSlots, 0),
	}
}

// waitingTasks returns the number of tasks of a job that have neither a result
// nor an attempt that may be running.
func (core *Core) waitingTasks(key submission.Key) int {
	acceptedJob, exists := core.jobs[key]
	if !exists {
		return 0
	}
	return acceptedJob.missingResults - acceptedJob.unsettledAttempts
}

// recordUnplaceable records a job with a task that fits no upstream of this VM.
func (core *Core) recordUnplaceable(acceptedJob *jobState) {
	var lastFitting placement.Need
	for i := range acceptedJob.tasks {
		need := acceptedJob.tasks[i].need()
		if need == lastFitting {
			continue
		}
		if !core.fitsUsable(need) {
			core.unplaceable[acceptedJob.key] = need
			return
		}
		lastFitting = need
	}
}

// IdleSlots is the number of slots of an owned upstream that run no task of this
// VM. Lent slots are not included.
type IdleSlots struct {
	Upstream placement.Upstream
	Slots    int
}

// IdleSlots returns the owned upstreams that may get new tasks and have idle
// slots.
func (core *Core) IdleSlots() []IdleSlots {
	var idle []IdleSlots
	for _, upstream := range core.upstreamOrder {
		if !upstream.open || upstream.borrowed || upstream.slots <= len(upstream.active) {
			continue
		}
		idle = append(idle, IdleSlots{
			Upstream: upstream.declared,
			Slots:    upstream.slots - len(upstream.active),
		})
	}
	return idle
}

// UsedSlots returns the number of this VM's attempts that may be running on the
// upstream with the ID.
func (core *Core) UsedSlots(id string) int {
	if state, exists := core.upstreams[id]; exists {
		return len(state.active)
	}
	return 0
}

// Usage is the number of running and waiting tasks of a team for a kind.
type Usage struct {
	Running int
	Waiting int
}

// Usage returns the present number of tasks of a team for a kind.
func (core *Core) Usage(team, kind string) Usage {
	key := ruleKey{
		team: team,
		kind: kind,
	}
	stats := core.config.Scheduler.TeamStats(key.queueName())
	return Usage{
		Running: stats.Running,
		Waiting: stats.Waiting,
	}
}
