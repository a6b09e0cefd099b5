package dispatch

// Dump is the part of the state dump that the Core fills.
type Dump struct {
	Jobs         int `json:"jobs"`
	WaitingTasks int `json:"waiting-tasks"`
}

// Dump returns a copy of the Core's counts.
func (core *Core) Dump() Dump {
	return Dump{
		Jobs:         len(core.jobs),
		WaitingTasks: core.config.Scheduler.Waiting(),
	}
}
