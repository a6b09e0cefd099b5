package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// advance moves the Core's clock. After a gap that is longer than the slack of
// a lease (the half that is left when it is renewed), this VM was probably
// paused, and leases may have lapsed unseen.
func (core *Core) advance(now time.Time) {
	previous := core.now
	if now.Before(previous) {
		return
	}
	core.now = now
	if previous.IsZero() || now.Sub(previous) <= core.config.Limits.FirstLease/2 {
		return
	}
	lapsed := core.lapsedSince(previous)
	if len(lapsed) > 0 {
		core.counters.Pauses++
	}
	for _, task := range lapsed {
		core.doubt(task)
	}
}

// lapsedSince returns the attempts whose lease ended after previous, in a
// fixed order.
func (core *Core) lapsedSince(previous time.Time) []*task {
	var lapsed []*task
	for _, owner := range core.jobs {
		for i := range owner.tasks {
			task := &owner.tasks[i]
			if task.active() && !task.leaseEnd.After(core.now) && task.leaseEnd.After(previous) {
				lapsed = append(lapsed, task)
			}
		}
	}
	slices.SortFunc(lapsed, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.owner.key.Counter, b.owner.key.Counter), cmp.Compare(a.index, b.index))
	})
	return lapsed
}

// doubt asks about an attempt whose lease lapsed, and gives the upstream the
// time of a lease to answer before the attempt is given up.
func (core *Core) doubt(task *task) {
	task.paused = true
	task.giveUpAt = core.now.Add(core.config.Limits.FirstLease)
	core.ask(task, 0)
}
