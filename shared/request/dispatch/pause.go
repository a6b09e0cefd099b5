package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// advanceClock moves the Core's clock. After a gap longer than the slack of a
// lease (the half that is left when it is renewed), this VM was probably paused
// and leases may have expired in the meantime.
func (core *Core) advanceClock(now time.Time) {
	previous := core.now
	if now.Before(previous) {
		return
	}
	core.now = now
	if previous.IsZero() || now.Sub(previous) <= core.config.Limits.MinLease/2 {
		return
	}
	expired := core.expiredSince(previous)
	if len(expired) > 0 {
		core.counters.Pauses++
	}
	for _, task := range expired {
		core.queryAfterPause(task)
	}
}

// expiredSince returns the attempts whose lease expired after previous, ordered
// by job and task so that equal events give equal decisions.
func (core *Core) expiredSince(previous time.Time) []*task {
	var expired []*task
	for _, acceptedJob := range core.jobs {
		for i := range acceptedJob.tasks {
			task := &acceptedJob.tasks[i]
			if task.active() && !task.leaseEnd.After(core.now) && task.leaseEnd.After(previous) {
				expired = append(expired, task)
			}
		}
	}
	slices.SortFunc(expired, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.acceptedJob.key.Counter, b.acceptedJob.key.Counter), cmp.Compare(a.index, b.index))
	})
	return expired
}

// queryAfterPause queries the status of an attempt whose lease expired during a
// pause, and gives the upstream the time of a lease to answer before the attempt
// is abandoned.
func (core *Core) queryAfterPause(task *task) {
	task.expiredInPause = true
	task.abandonAt = core.now.Add(core.config.Limits.MinLease)
	core.queryTask(task, 0)
}
