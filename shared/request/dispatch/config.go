package dispatch

import (
	"math/rand/v2"

	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
)

// TeamDefaults applies to jobs of teams and kinds that the plan says nothing
// more precise about.
type TeamDefaults struct {
	// Weight is the team's share where slots are scarce.
	Weight float64
	// DeadlineMs applies to jobs that name no deadline.
	DeadlineMs int64
}

// Config is what a Core is made of.
type Config struct {
	// Domain is the failure domain whose rules of the plan apply.
	Domain string
	Team   TeamDefaults
	// Scheduler must be used by this Core only.
	Scheduler *placement.Scheduler
	// Estimator must be the one that Scheduler was made with.
	Estimator *estimate.Estimator
	Random    *rand.Rand
}

func (config Config) withDefaults() Config {
	if config.Team.Weight <= 0 {
		config.Team.Weight = 1
	}
	if config.Team.DeadlineMs <= 0 {
		config.Team.DeadlineMs = job.DefaultDeadlineMs
	}
	return config
}
