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
	// QueueTasks bounds the waiting tasks of all jobs together.
	QueueTasks int
	// WaitMargin is added to the predicted waiting time of a job, as a share of
	// it, before it is compared with the deadline.
	WaitMargin float64
	// MinRetryAfter and MaxRetryAfter bound the advice to refused callers.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// FirstLease is the shortest lease of a task.
	FirstLease time.Duration
	// LeaseGrace is added to the end of a lease before its task is given up.
	LeaseGrace time.Duration
	// AskWindow is how long questions to one upstream are collected.
	AskWindow time.Duration
	// OverdueAfter is the shortest run time after which a task may be asked
	// about because its estimate has passed.
	OverdueAfter time.Duration
	// OverdueShare bounds the asks about overdue tasks, as a share of starts.
	// Each costs two messages, of the 0.02 wasted messages allowed for a task.
	OverdueShare float64
	// OverdueBurst is the number of such asks that may come at once.
	OverdueBurst float64
	// AskBackoff spaces repeated asks that got no answer.
	AskBackoff limit.Backoff
	// SettleWithin bounds how long a job that was cancelled, or is past its
	// deadline, waits for proof of what started before it is answered.
	SettleWithin time.Duration
	// Linger is how long a connection may take to deliver the end of a task
	// that a lease answer already told, before the connection is dropped.
	Linger time.Duration
	// RetryShare bounds the retries of a kind, as a share of its starts.
	RetryShare float64
	// RetryBurst is the number of retries that a kind may make at once.
	RetryBurst float64
	// RetryEvery is the time between two retries of a kind whose budget is
	// used up.
	RetryEvery   time.Duration
	RetryBackoff limit.Backoff
	// MaxEjectedShare bounds the ejected upstreams, as a share of all.
	MaxEjectedShare float64
	// EjectAfter is the smallest number of consecutive failures that ejects.
	EjectAfter int
	// EjectFor is how long the first ejection lasts; each further one lasts
	// twice as long, up to EjectForMax.
	EjectFor    time.Duration
	EjectForMax time.Duration
	// HoldFor bounds how long a new upstream waits for its first occupancy.
	HoldFor time.Duration
	// RoundTrip is counted into the ideal response time.
	RoundTrip time.Duration
}

// DefaultLimits returns the limits for the workload of the design page.
func DefaultLimits() Limits {
	return Limits{
		QueueTasks:    20_000,
		WaitMargin:    0.2,
		MinRetryAfter: 50 * time.Millisecond,
		MaxRetryAfter: 5 * time.Second,
		FirstLease:    3 * time.Second,
		LeaseGrace:    time.Second,
		AskWindow:     5 * time.Millisecond,
		OverdueAfter:  500 * time.Millisecond,
		OverdueShare:  0.004,
		OverdueBurst:  20,
		AskBackoff: limit.Backoff{
			Base: 50 * time.Millisecond,
			Max:  time.Second,
		},
		SettleWithin: 250 * time.Millisecond,
		Linger:       200 * time.Millisecond,
		RetryShare:   0.1,
		RetryBurst:   50,
		RetryEvery:   250 * time.Millisecond,
		RetryBackoff: limit.Backoff{
			Base: 10 * time.Millisecond,
			Max:  time.Second,
		},
		MaxEjectedShare: 1.0 / 3,
		EjectAfter:      3,
		EjectFor:        2 * time.Second,
		EjectForMax:     30 * time.Second,
		HoldFor:         500 * time.Millisecond,
		RoundTrip:       time.Millisecond,
	}
}

func (config Config) withDefaults() Config {
	orDefault(&config.Team.Weight, 1)
	orDefault(&config.Team.DeadlineMs, job.DefaultDeadlineMs)
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
	orDefault(&limits.QueueTasks, defaults.QueueTasks)
	orDefault(&limits.WaitMargin, defaults.WaitMargin)
	orDefault(&limits.MinRetryAfter, defaults.MinRetryAfter)
	orDefault(&limits.MaxRetryAfter, defaults.MaxRetryAfter)
	orDefault(&limits.FirstLease, defaults.FirstLease)
	orDefault(&limits.LeaseGrace, defaults.LeaseGrace)
	orDefault(&limits.AskWindow, defaults.AskWindow)
	orDefault(&limits.OverdueAfter, defaults.OverdueAfter)
	orDefault(&limits.OverdueShare, defaults.OverdueShare)
	orDefault(&limits.OverdueBurst, defaults.OverdueBurst)
	orDefault(&limits.AskBackoff, defaults.AskBackoff)
	orDefault(&limits.SettleWithin, defaults.SettleWithin)
	orDefault(&limits.Linger, defaults.Linger)
	orDefault(&limits.RetryShare, defaults.RetryShare)
	orDefault(&limits.RetryBurst, defaults.RetryBurst)
	orDefault(&limits.RetryEvery, defaults.RetryEvery)
	orDefault(&limits.RetryBackoff, defaults.RetryBackoff)
	orDefault(&limits.MaxEjectedShare, defaults.MaxEjectedShare)
	orDefault(&limits.EjectAfter, defaults.EjectAfter)
	orDefault(&limits.EjectFor, defaults.EjectFor)
	orDefault(&limits.EjectForMax, defaults.EjectForMax)
	orDefault(&limits.HoldFor, defaults.HoldFor)
	orDefault(&limits.RoundTrip, defaults.RoundTrip)
	return limits
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
