package dispatch

import (
	"time"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/limit"
	"tanagerfall/shared/request/placement"
)

// maxCapacityAge bounds the age of the cached capacity. Speeds change with
// each observation, but slowly, and summing them up reads every upstream.
// Upstreams that open or close invalidate the cache at once.
const maxCapacityAge = 500 * time.Millisecond

// maxPredictedWait bounds a predicted waiting time. It exceeds every deadline
// and keeps the arithmetic on waiting times from overflowing.
const maxPredictedWait = time.Hour

// capacity is the cached sum over all upstreams.
type capacity struct {
	stale      bool
	computedAt time.Time
	// speed is the sum of the speeds of all open slots.
	speed float64
	// fastest is the highest speed of a usable upstream.
	fastest float64
	// usable counts the upstreams that are listed and neither leaving nor
	// draining.
	usable int
}

// load sums up the tasks of all jobs that are neither dropped nor settled.
type load struct {
	waiting int
	active  int
	// workMs is the predicted work of the waiting and active tasks, in
	// milliseconds at speed 1.
	workMs float64
}

func (load *load) add(acceptedJob *jobState) {
	load.waiting += len(acceptedJob.tasks)
	for i := range acceptedJob.tasks {
		load.workMs += acceptedJob.tasks[i].workMs
	}
}

// currentCapacity returns the cached capacity and recomputes it when it is
// stale or too old.
func (core *Core) currentCapacity() *capacity {
	cached := &core.capacity
	if !cached.stale && core.now.Sub(cached.computedAt) < maxCapacityAge {
		return cached
	}
	*cached = capacity{
		computedAt: core.now,
	}
	for _, upstream := range core.upstreamOrder {
		speed := core.speedOf(upstream)
		if upstream.open {
			cached.speed += float64(upstream.slots) * speed
		}
		if upstream.usable() {
			cached.usable++
			cached.fastest = max(cached.fastest, speed)
		}
	}
	return cached
}

// speedOf returns the estimated speed of an upstream, open or not.
func (core *Core) speedOf(upstream *upstreamState) float64 {
	if !upstream.open && upstream.speed > 0 {
		return upstream.speed
	}
	return core.config.Estimator.Speed(upstream.declared.ID)
}

// idealResponseTime returns the ideal response time of a job: the larger of
// the run time of its longest task on the fastest fitting slot and its total
// work divided by the total speed, plus the round trip.
func (core *Core) idealResponseTime(acceptedJob *jobState) time.Duration {
	capacity := core.currentCapacity()
	longestMs, sumMs := 0.0, 0.0
	for i := range acceptedJob.tasks {
		workMs := acceptedJob.tasks[i].workMs
		longestMs = max(longestMs, workMs/core.fastestSpeedFor(acceptedJob.tasks[i].need()))
		sumMs += workMs
	}
	if capacity.speed > 0 {
		longestMs = max(longestMs, sumMs/capacity.speed)
	}
	return milliseconds(longestMs) + core.config.Limits.RoundTrip
}

// fastestSpeedFor returns the speed of the fastest upstream that fits the
// need, or 1 if none fits.
func (core *Core) fastestSpeedFor(need placement.Need) float64 {
	fastest := 0.0
	if need == (placement.Need{}) {
		fastest = core.currentCapacity().fastest
	} else {
		for _, upstream := range core.upstreamOrder {
			if upstream.fits(need) {
				fastest = max(fastest, core.speedOf(upstream))
			}
		}
	}
	if fastest == 0 {
		return 1
	}
	return fastest
}

func (upstream *upstreamState) fits(need placement.Need) bool {
	return upstream.usable() && fits(&upstream.declared, need)
}

func fits(declared *placement.Upstream, need placement.Need) bool {
	return declared.Slots > 0 &&
		need.Cores <= declared.Cores &&
		need.MemoryMb <= declared.MemoryMb &&
		need.Accelerators <= declared.Accelerators
}

// admissionRefusal returns the refusal of a job that must not enter the queue,
// and false for a job that is admitted. It runs before the scheduler gets
// anything of the job.
func (core *Core) admissionRefusal(candidate *jobState) (job.Answer, bool) {
	if core.evacuated {
		return core.evacuationRefusal(), true
	}
	if answer, refused := core.ruleRefusal(candidate); refused {
		return answer, true
	}
	if answer, refused := core.fitRefusal(candidate); refused {
		return answer, true
	}
	if core.guards.NoAdmission {
		return job.Answer{}, false
	}
	return core.loadRefusal(candidate)
}

// fitRefusal refuses a job with a task that fits no upstream. Ejected
// upstreams count as fitting, because they return.
func (core *Core) fitRefusal(candidate *jobState) (job.Answer, bool) {
	if core.currentCapacity().usable == 0 && len(core.domainUpstreams) == 0 {
		answer := job.Refusal(job.ReasonNotReady, "no upstream is known")
		answer.RetryAfterMs = core.config.Limits.MaxRetryAfter.Milliseconds()
		return answer, true
	}
	var lastFitting placement.Need
	for i := range candidate.tasks {
		need := candidate.tasks[i].need()
		if i > 0 && need == lastFitting {
			continue
		}
		if !core.fitsAnywhere(need) {
			return job.Refusal(job.ReasonImpossible, "a task fits no upstream"), true
		}
		lastFitting = need
	}
	return job.Answer{}, false
}

// fitsAnywhere reports whether a usable upstream or any upstream of the
// failure domain can run a task.
func (core *Core) fitsAnywhere(need placement.Need) bool {
	if core.fitsUsable(need) {
		return true
	}
	for i := range core.domainUpstreams {
		if fits(&core.domainUpstreams[i], need) {
			return true
		}
	}
	return false
}

// fitsUsable reports whether an upstream that this VM may use now can run a
// task.
func (core *Core) fitsUsable(need placement.Need) bool {
	for _, upstream := range core.upstreamOrder {
		if upstream.fits(need) {
			return true
		}
	}
	return false
}

// loadRefusal refuses a job if the queue is full or its predicted end is past
// its deadline.
func (core *Core) loadRefusal(candidate *jobState) (job.Answer, bool) {
	drain := core.drainTime()
	decision := core.admission.Decide(limit.Request{
		Tasks:        len(candidate.tasks),
		WaitingTasks: core.load.waiting,
		Deadline:     candidate.deadline,
		PredictedEnd: core.predictEnd(candidate, drain),
		DrainTime:    drain,
	})
	var answer job.Answer
	switch decision.Cause {
	case limit.Admitted:
		return job.Answer{}, false
	case limit.QueueFull:
		answer = job.Refusal(job.ReasonOverload, "the queue is full")
	case limit.TooLate:
		answer = job.Refusal(job.ReasonOverload, "the predicted end is past the deadline")
	}
	// Jitter keeps callers that were refused together from retrying together.
	jitter := time.Duration(core.config.Random.Int64N(int64(decision.RetryAfter)/2 + 1))
	answer.RetryAfterMs = (decision.RetryAfter + jitter).Milliseconds()
	return answer, true
}

// drainTime returns the time that the open slots need for the present work.
func (core *Core) drainTime() time.Duration {
	speed := core.currentCapacity().speed
	if speed == 0 {
		return 0
	}
	return milliseconds(core.load.workMs / speed)
}

// predictEnd returns when a job would end if it were admitted. While slots are
// open, the scheduler predicts it from the order of the queue. A job that
// overtakes others delays those that were admitted before it, so the job must
// also fit behind all present work. A margin is added to the predicted wait,
// because a job that misses its deadline wastes the work done for it.
func (core *Core) predictEnd(candidate *jobState, drain time.Duration) time.Time {
	ideal := time.Duration(candidate.idealMs) * time.Millisecond
	wait := drain
	if core.currentCapacity().speed > 0 {
		predicted := core.config.Scheduler.Predict(core.now, candidate.schedulerJob)
		wait = min(max(wait, predicted.Sub(core.now)-ideal), maxPredictedWait)
	}
	return core.now.Add(ideal + time.Duration(float64(wait)*(1+core.config.Limits.WaitMargin)))
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
