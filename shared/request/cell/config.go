package cell

import (
	"time"

	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/version/routing"
)

// Claim says whether this process may take over an upstream, and from whom.
type Claim int

// Values of Claim.
const (
	// ClaimNone means that another process schedules the upstream.
	ClaimNone Claim = iota
	// ClaimWeak means that this process takes over the upstream unless another
	// process has it.
	ClaimWeak
	// ClaimFirm means that this process takes the upstream back from any other.
	ClaimFirm
)

// Config holds the run time estimator, the claims on upstreams, the source of fencing
// tokens, what the process knows of services and of earlier schedulers' upstreams, and the
// limits of a Cell.
type Config struct {
	// Estimator predicts run times and learns from the ends of runs.
	Estimator *estimate.Estimator
	// Claims returns the claim of this process on an upstream.
	Claims func(upstream Upstream) Claim
	// NextToken returns a fencing token that is higher than all that this process
	// has used or received.
	NextToken func() int64
	// GuardsCapacity reports whether the upstreams of a service refuse runs that exceed
	// their capacity. A service that is not known counts as one that does not.
	GuardsCapacity func(service string) bool
	// WarmUp returns how the upstreams of a service start; nil if all start at full speed.
	WarmUp func(service string) routing.WarmUp
	// KnowsUpstreams reports whether this process knows all upstreams of the sets that
	// Job.EarlierSets identifies.
	KnowsUpstreams func(sets []uint64) bool
	// MayHoldRuns reports whether a scheduler that reported one of the sets may have runs on an
	// upstream that has left the list of this process.
	MayHoldRuns func(upstream string, sets []uint64) bool
	// Limits holds time limits and thresholds; see DefaultLimits.
	Limits Limits
}

// Limits holds the time limits and thresholds of a Cell.
type Limits struct {
	// Lease is how long the runs on an upstream may go on after an order that
	// renews its lease. The platform's workers cut longer leases to 1 s.
	Lease time.Duration
	// ClockSlack is the share by which an upstream's clock may run slow.
	ClockSlack float64
	// ExpiryMargin is added to the computed end of a lease, so that the worker
	// has time to kill the runs under it.
	ExpiryMargin time.Duration
	// PollWait is how long an upstream may hold a long poll until a run ends. It
	// spaces the renewals of the lease, which survives two lost polls.
	PollWait time.Duration
	// IdlePollWait is the wait of a long poll of an upstream without runs, and
	// IdleAfter how long an upstream must have had none. Longer waits cost less;
	// shorter ones notice the loss of an idle upstream earlier.
	IdlePollWait time.Duration
	IdleAfter    time.Duration
	// RenewAfter is the time since the last renewal of the lease after which an
	// upstream with runs gets an immediate poll. It exceeds a long poll and its
	// timeout.
	RenewAfter time.Duration
	// OverdueAfter is how long a run may be overdue, with no answer from its
	// upstream, before the Cell sends an immediate poll. Without it a lost long
	// poll hides the ends of runs for PollWait and more.
	OverdueAfter time.Duration
	// ImmediatePollInterval spaces the immediate polls of an upstream that does
	// not answer.
	ImmediatePollInterval time.Duration
	// LateOrderTime is how long after its sending an upstream may carry out an order
	// that it has not answered.
	LateOrderTime time.Duration
	// StopGrace is the time that a worker may take to end a stopped run.
	StopGrace time.Duration
	// StopRetryDelay spaces repeated stops that were not confirmed.
	StopRetryDelay time.Duration
	// AdoptionWindow is how long a new Cell remembers the ends of tasks whose
	// jobs it does not have.
	AdoptionWindow time.Duration
	// OrphanWindow is how long a run of a job that the Cell does not have goes on
	// before it is stopped. Entry VMs submit their jobs within it.
	OrphanWindow time.Duration
	// YieldGrace is how long the runs on an upstream that another process took
	// over may go on there. It covers that process's adoption window and the
	// stop.
	YieldGrace time.Duration
	// FirmReclaimDelay and WeakReclaimDelay are the times after which an upstream
	// that another process took over is reclaimed, by strength of the claim.
	FirmReclaimDelay time.Duration
	WeakReclaimDelay time.Duration
	// FullBackoff is how long an upstream that refused a start for lack of
	// capacity gets no tasks.
	FullBackoff time.Duration
	// EjectAfter is the number of consecutive failed runs that ejects an
	// upstream.
	EjectAfter int
	// EjectFor is the length of the first ejection. Each further one lasts twice
	// as long, up to MaxEjectFor.
	EjectFor    time.Duration
	MaxEjectFor time.Duration
	// MaxEjectedShare bounds the ejected upstreams as a share of all.
	MaxEjectedShare float64
	// EjectUnhealthyFor is how long an upstream that refused an order as
	// unhealthy is ejected.
	EjectUnhealthyFor time.Duration
	// StallAfter is the time without progress, and StallShare the time without
	// progress as a share of the expected run time. A run that exceeds both is
	// stalled.
	StallAfter time.Duration
	StallShare float64
	// AnswerMargin is the time kept between an answer and the caller's deadline.
	AnswerMargin time.Duration
	// Overhead is the part of the latency objective that connections and messages
	// use.
	Overhead time.Duration
	// IdleShare is the share of free cores above which a task gets the fastest
	// upstream instead of the slowest one that meets the objective.
	IdleShare float64
	// SurplusAfter is how long a job waits for a start before it may be handed to
	// another cell.
	SurplusAfter time.Duration
	// IsolatedAfter is the time for which a Cell must have had no upstreams but evacuated
	// ones before it refuses their jobs. A new Cell claims its upstreams within it.
	IsolatedAfter time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry delay advised to callers
	// whose jobs were refused.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// MaxJobBytes bounds the memory of the jobs of a Cell; 0 means no bound.
	MaxJobBytes int64
}

// LeaseTime returns the longest time for which an upstream may run tasks after the last order
// that renewed its lease: the clock may be slow, and the worker needs time to end the runs.
func (limits Limits) LeaseTime() time.Duration {
	return time.Duration(float64(limits.Lease)/(1-limits.ClockSlack)) + limits.ExpiryMargin
}

// DefaultLimits returns the limits for tasks that take from 50 ms to a few
// seconds.
func DefaultLimits() Limits {
	return Limits{
		Lease:                 time.Second,
		ClockSlack:            0.02,
		ExpiryMargin:          100 * time.Millisecond,
		PollWait:              300 * time.Millisecond,
		IdlePollWait:          900 * time.Millisecond,
		IdleAfter:             time.Second,
		RenewAfter:            450 * time.Millisecond,
		OverdueAfter:          60 * time.Millisecond,
		ImmediatePollInterval: 150 * time.Millisecond,
		LateOrderTime:         15 * time.Second,
		StopGrace:             50 * time.Millisecond,
		StopRetryDelay:        10 * time.Millisecond,
		AdoptionWindow:        900 * time.Millisecond,
		OrphanWindow:          300 * time.Millisecond,
		YieldGrace:            2500 * time.Millisecond,
		FirmReclaimDelay:      500 * time.Millisecond,
		WeakReclaimDelay:      6 * time.Second,
		FullBackoff:           40 * time.Millisecond,
		EjectAfter:            2,
		EjectFor:              time.Second,
		MaxEjectFor:           8 * time.Second,
		MaxEjectedShare:       1.0 / 3,
		EjectUnhealthyFor:     300 * time.Millisecond,
		StallAfter:            250 * time.Millisecond,
		StallShare:            0.4,
		AnswerMargin:          100 * time.Millisecond,
		Overhead:              15 * time.Millisecond,
		IdleShare:             0.3,
		SurplusAfter:          10 * time.Millisecond,
		IsolatedAfter:         500 * time.Millisecond,
		MinRetryAfter:         time.Second,
		MaxRetryAfter:         5 * time.Second,
	}
}
