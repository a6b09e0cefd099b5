package dispatch

import (
	"time"

	"tanagerfall/shared/request/submission"
)

// Core is the state of one entry VM's jobs. It is not safe for concurrent
// use: the control goroutine owns it.
type Core struct {
	config    Config
	now       time.Time
	jobs      map[submission.Key]*run
	decisions []Decision
}

// New returns a Core without jobs, upstreams or plan.
func New(config Config) *Core {
	return &Core{
		config: config.withDefaults(),
		jobs:   make(map[submission.Key]*run),
	}
}

// Handle applies one event and returns what is to be done, in order. The
// slice is the caller's.
func (core *Core) Handle(now time.Time, event Event) []Decision {
	core.now = now
	core.decisions = nil
	core.apply(event)
	core.place()
	return core.decisions
}

// Wake returns the time at which a Tick is to be handled if no event comes
// before. It reports false when no Tick is needed.
func (core *Core) Wake() (time.Time, bool) {
	return core.config.Scheduler.Wake()
}

func (core *Core) apply(event Event) {
	switch event := event.(type) {
	case JobAccepted:
		core.acceptJob(event)
	case TaskEnded:
		core.endTask(event)
	case FleetChanged:
		core.changeFleet(event)
	case UpstreamDraining:
		core.config.Scheduler.CloseUpstream(event.Upstream)
	}
}

func (core *Core) decide(decision Decision) {
	core.decisions = append(core.decisions, decision)
}

func (core *Core) changeFleet(event FleetChanged) {
	for _, upstream := range event.Upstreams {
		core.config.Scheduler.SetUpstream(upstream)
	}
	for _, id := range event.Leaving {
		core.config.Scheduler.CloseUpstream(id)
	}
}
