package cell

import (
	"time"

	"tanagerfall/shared/request/estimate"
)

// Claim says how firmly this process may take an upstream.
type Claim int

// The claims.
const (
	// ClaimNone: another process schedules the upstream.
	ClaimNone Claim = iota
	// ClaimWeak: this process takes the upstream unless another one has it.
	ClaimWeak
	// ClaimFirm: this process takes the upstream back from any other.
	ClaimFirm
)

// Config is what a Cell is made of.
type Config struct {
	Estimator *estimate.Estimator
	// Claims says which upstreams the Cell may take.
	Claims func(upstream Upstream) Claim
	// NextToken returns a fencing token that is higher than all that this
	// process has used or heard of.
	NextToken func() int64
	// Limits holds bounds; DefaultLimits has the usual ones.
	Limits Limits
}

// Limits holds the bounds of a Cell.
type Limits struct {
	// Lease is how long everything on an upstream may run after an order. The
	// platform's workers cut longer leases to 1 s.
	Lease time.Duration
	// ClockSlack is the share by which an upstream's clock may be slow.
	ClockSlack float64
	// ExpiryMargin is added to the computed end of a lease, for the worker to
	// kill what ran under it.
	ExpiryMargin time.Duration
	// PollWait is how long a watch may wait for an end. It spaces the
	// renewals of leases: a lease survives two lost watches.
	PollWait time.Duration
	// OverdueAfter is how long a run may be overdue, and its upstream quiet,
	// before the Cell looks at it. A watch that gets lost would hide the ends
	// for WatchWait and more.
	OverdueAfter time.Duration
	// ImmediatePollInterval spaces the looks at an upstream that does not answer.
	ImmediatePollInterval time.Duration
	// StopGrace is the time that a worker may take to end a stopped run.
	StopGrace time.Duration
	// StopRetryDelay spaces repeated stops that got no answer.
	StopRetryDelay time.Duration
	// AdoptionWindow is how long a new Cell remembers the ends of jobs that it
	// does not have.
	AdoptionWindow time.Duration
	// OrphanWindow is how long a run of a job that the Cell does not have goes
	// on before it is stopped. Entry VMs submit their jobs within it.
	OrphanWindow time.Duration
	// YieldGrace is how long runs on an upstream that was taken by another
	// process may go on there: its adoption window, and the stop.
	YieldGrace time.Duration
	// FirmReclaimDelay and ReclaimWeak are the times after which an upstream that
	// was taken by another process is taken back.
	FirmReclaimDelay time.Duration
	WeakReclaimDelay time.Duration
	// FullBackoff is how long an upstream that refused for want of room gets
	// nothing.
	FullBackoff time.Duration
	// EjectAfter is the number of failed runs in a row that sets an
	// upstream aside.
	EjectAfter int
	// EjectFor is how long the first time lasts. Each further one lasts
	// twice as long, up to SetAsideMax.
	EjectFor    time.Duration
	MaxEjectFor time.Duration
	// MaxEjectedShare bounds the upstreams that are set aside, as a share of all.
	MaxEjectedShare float64
	// EjectUnhealthyFor is how long an upstream that refused an order as unhealthy
	// is set aside.
	EjectUnhealthyFor time.Duration
	// StallAfter is the time without progress, and StallShare the share of the
	// expected run time, after which a run counts as standing still.
	StallAfter time.Duration
	StallShare float64
	// AnswerMargin is kept between an answer and the caller's deadline.
	AnswerMargin time.Duration
	// Overhead is the part of the objective that connections and messages use.
	Overhead time.Duration
	// IdleShare is the share of free cores from which tasks take the fastest
	// upstream in place of the slowest that meets the objective.
	IdleShare float64
	// MinRetryAfter and MaxRetryAfter bound the advice to refused callers.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultLimits returns the limits for tasks of 50 ms to a few seconds.
func DefaultLimits() Limits {
	return Limits{
		Lease:                 time.Second,
		ClockSlack:            0.02,
		ExpiryMargin:          100 * time.Millisecond,
		PollWait:              300 * time.Millisecond,
		OverdueAfter:          60 * time.Millisecond,
		ImmediatePollInterval: 150 * time.Millisecond,
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
		MinRetryAfter:         time.Second,
		MaxRetryAfter:         5 * time.Second,
	}
}
