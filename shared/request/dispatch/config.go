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

// TeamDefaults applies to jobs for whose team and kind the plan gives no value.
type TeamDefaults struct {
	// Weight is the team's share of the slots when they are scarce.
	Weight float64
	// DeadlineMs is the deadline, in milliseconds after the arrival, of jobs
	// that name none.
	DeadlineMs int64
}

// Config holds the components that a Core uses, its failure domain and its limits.
type Config struct {
	// Domain is the failure domain whose rules of the plan apply.
	Domain string
	// Team holds the defaults; a zero field takes weight 1 or the default
	// deadline of package job.
	Team TeamDefaults
	// Scheduler must not be shared with another Core.
	Scheduler *placement.Scheduler
	// Estimator must be the estimator that Scheduler uses.
	Estimator *estimate.Estimator
	// Random is the source of all jitter.
	Random *rand.Rand
	// Capabilities returns what an upstream's adapter supports. If it is nil,
	// all upstreams support leases and tombstones.
	Capabilities func(id string) upstream.Capabilities
	// Limits bounds the Core; zero fields take the value of DefaultLimits.
	Limits Limits
}

// Limits holds the bounds, timeouts and rates of a Core.
type Limits struct {
	// MaxQueuedTasks bounds the waiting tasks of all jobs together.
	MaxQueuedTasks int
	// WaitMargin is added to the predicted waiting time of a job, as a share of
	// it, before the predicted end is compared with the deadline.
	WaitMargin float64
	// MinRetryAfter and MaxRetryAfter bound the delay that refused callers are
	// advised to wait before they retry.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// MinLease is the shortest lease of a task. Longer expected run times get
	// longer leases.
	MinLease time.Duration
	// LeaseGrace is how long after the end of its lease an attempt without news
	// is abandoned.
	LeaseGrace time.Duration
	// QueryWindow is how long status queries to one upstream are collected into
	// one message.
	QueryWindow time.Duration
	// OverdueAfter is the shortest run time after which a status query may be
	// sent for a task because it exceeds its estimate.
	OverdueAfter time.Duration
	// OverdueQueryShare bounds the status queries for overdue tasks, as a share
	// of starts. Each query costs two messages. The target allows 0.02 wasted
	// messages per task, that is, messages besides those for its start and its end.
	OverdueQueryShare float64
	// OverdueQueryBurst is the number of such queries that may be sent at once.
	OverdueQueryBurst float64
	// QueryBackoff spaces repeated status queries for a task.
	QueryBackoff limit.Backoff
	// SettleTimeout bounds how long a job that can no longer complete waits for
	// proof of what started before it is answered.
	SettleTimeout time.Duration
	// DeliveryTimeout is how long a connection may take to deliver the end of a
	// task that a status query already reported, before it is dropped.
	DeliveryTimeout time.Duration
	// RetryShare bounds the retries of a kind, as a share of its starts.
	RetryShare float64
	// RetryBurst is the number of retries that a kind may make at once.
	RetryBurst float64
	// RetryInterval is the time between two retries of a kind whose budget is
	// used up.
	RetryInterval time.Duration
	// RetryBackoff spaces the attempts of one task.
	RetryBackoff limit.Backoff
	// MaxEjectedShare bounds the ejected upstreams, as a share of all.
	MaxEjectedShare float64
	// EjectAfter is the smallest number of consecutive failures that ejects an
	// upstream.
	EjectAfter int
	// EjectFor is the length of the first ejection. Each further one lasts
	// twice as long, up to MaxEjectFor.
	EjectFor    time.Duration
	MaxEjectFor time.Duration
	// OccupancyTimeout bounds how long a new upstream stays unused until it
	// reports its occupancy.
	OccupancyTimeout time.Duration
	// RoundTrip is the network time included in the ideal response time.
	RoundTrip time.Duration
}

// DefaultLimits returns the limits for the model workload of the project's design page,
// in which most tasks run for 50 ms to 1 s.
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
