package dispatch

import (
	"math/rand/v2"
	"time"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/limit"
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
	// Capabilities returns those of an upstream's adapter; nil means that all
	// upstreams support everything.
	Capabilities func(id string) upstream.Capabilities
	// Limits holds bounds; a zero field takes its value from DefaultLimits.
	Limits Limits
}

// Limits holds the bounds of a Core.
type Limits struct {
	// MaxQueuedTasks bounds the waiting tasks of all jobs together.
	MaxQueuedTasks int
	// WaitMargin is added to the predicted waiting time of a job, as a share of
	// it, before it is compared with the deadline.
	WaitMargin float64
	// MinRetryAfter and MaxRetryAfter bound the advice to refused callers.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// MinLease is the shortest lease of a task.
	MinLease time.Duration
	// LeaseGrace is added to the end of a lease before its task is given up.
	LeaseGrace time.Duration
	// QueryWindow is how long questions to one upstream are collected.
	QueryWindow time.Duration
	// OverdueAfter is the shortest run time after which a task may be asked
	// about because its estimate has passed.
	OverdueAfter time.Duration
	// OverdueQueryShare bounds the asks about overdue tasks, as a share of starts.
	// Each costs two messages, of the 0.02 wasted messages allowed for a task.
	OverdueQueryShare float64
	// OverdueQueryBurst is the number of such asks that may come at once.
	OverdueQueryBurst float64
	// QueryBackoff spaces repeated asks that got no answer.
	QueryBackoff limit.Backoff
	// SettleTimeout bounds how long a job that was cancelled, or is past its
	// deadline, waits for proof of what started before it is answered.
	SettleTimeout time.Duration
	// DeliveryTimeout is how long a connection may take to deliver the end of a task
	// that a lease answer already told, before the connection is dropped.
	DeliveryTimeout time.Duration
	// RetryShare bounds the retries of a kind, as a share of its starts.
	RetryShare float64
	// RetryBurst is the number of retries that a kind may make at once.
	RetryBurst float64
	// RetryInterval is the time between two retries of a kind whose budget is
	// used up.
	RetryInterval time.Duration
	RetryBackoff  limit.Backoff
	// MaxEjectedShare bounds the ejected upstreams, as a share of all.
	MaxEjectedShare float64
	// EjectAfter is the smallest number of consecutive failures that ejects.
	EjectAfter int
	// EjectFor is how long the first ejection lasts; each further one lasts
	// twice as long, up to EjectForMax.
	EjectFor    time.Duration
	MaxEjectFor time.Duration
	// OccupancyTimeout bounds how long a new upstream waits for its first occupancy.
	OccupancyTimeout time.Duration
	// RoundTrip is counted into the ideal response time.
	RoundTrip time.Duration
}

// DefaultLimits returns the limits for the workload of the design page.
func DefaultLimits() Limits {
	return Limits{
		MaxQueuedTasks:    20_000,
		WaitMargin:        0.2,
		MinRetryAfter:     50 * time.Millisecond,
		MaxRetryAfter:     5 * time.Second,
		MinLease:          3 * time.Second,
		LeaseGrace:        time.Second,
		QueryWindow:       5 * time.Millisecond,
		OverdueAfter:      500 * time.Millisecond,
		OverdueQueryShare: 0.004,
		OverdueQueryBurst: 20,
		QueryBackoff: limit.Backoff{
			Base: 50 * time.Millisecond,
			Max:  time.Second,
		},
		SettleTimeout:   250 * time.Millisecond,
		DeliveryTimeout: 200 * time.Millisecond,
		RetryShare:      0.1,
		RetryBurst:      50,
		RetryInterval:   250 * time.Millisecond,
		RetryBackoff: limit.Backoff{
			Base: 10 * time.Millisecond,
			Max:  time.Second,
		},
		MaxEjectedShare:  1.0 / 3,
		EjectAfter:       3,
		EjectFor:         2 * time.Second,
		MaxEjectFor:      30 * time.Second,
		OccupancyTimeout: 500 * time.Millisecond,
		RoundTrip:        time.Millisecond,
	}
}

func (config Config) withDefaults() Config {
	setDefault(&config.Team.Weight, 1)
	setDefault(&config.Team.DeadlineMs, job.DefaultDeadlineMs)
	if config.Capabilities == nil {
		config.Capabilities = allCapabilities
	}
	config.Limits = config.Limits.withDefaults()
	return config
}

func allCapabilities(string) upstream.Capabilities {
	return upstream.Capabilities{
		Leases:     true,
		Tombstones: true,
	}
}

func (limits Limits) withDefaults() Limits {
	defaults := DefaultLimits()
	setDefault(&limits.MaxQueuedTasks, defaults.MaxQueuedTasks)
	setDefault(&limits.WaitMargin, defaults.WaitMargin)
	setDefault(&limits.MinRetryAfter, defaults.MinRetryAfter)
	setDefault(&limits.MaxRetryAfter, defaults.MaxRetryAfter)
	setDefault(&limits.MinLease, defaults.MinLease)
	setDefault(&limits.LeaseGrace, defaults.LeaseGrace)
	setDefault(&limits.QueryWindow, defaults.QueryWindow)
	setDefault(&limits.OverdueAfter, defaults.OverdueAfter)
	setDefault(&limits.OverdueQueryShare, defaults.OverdueQueryShare)
	setDefault(&limits.OverdueQueryBurst, defaults.OverdueQueryBurst)
	setDefault(&limits.QueryBackoff, defaults.QueryBackoff)
	setDefault(&limits.SettleTimeout, defaults.SettleTimeout)
	setDefault(&limits.DeliveryTimeout, defaults.DeliveryTimeout)
	setDefault(&limits.RetryShare, defaults.RetryShare)
	setDefault(&limits.RetryBurst, defaults.RetryBurst)
	setDefault(&limits.RetryInterval, defaults.RetryInterval)
	setDefault(&limits.RetryBackoff, defaults.RetryBackoff)
	setDefault(&limits.MaxEjectedShare, defaults.MaxEjectedShare)
	setDefault(&limits.EjectAfter, defaults.EjectAfter)
	setDefault(&limits.EjectFor, defaults.EjectFor)
	setDefault(&limits.MaxEjectFor, defaults.MaxEjectFor)
	setDefault(&limits.OccupancyTimeout, defaults.OccupancyTimeout)
	setDefault(&limits.RoundTrip, defaults.RoundTrip)
	return limits
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
