package dispatch

import (
	"time"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/limit"
	"tanagerfall/shared/request/placement"
)

// capacityAge bounds the age of the cached capacity: speeds change with each
// observation, but slowly, and their sum reads every upstream. Upstreams that
// open or close refresh it at once.
const capacityAge = 500 * time.Millisecond

// longestWait bounds a predicted waiting time, above every deadline, so that
// the arithmetic on it does not overflow.
const longestWait = time.Hour

// capacity sums up the upstreams.
type capacity struct {
	stale bool
	at    time.Time
	// speed is the sum over the open slots of their speeds.
	speed float64
	// fastest is the highest speed of an upstream that may be used.
	fastest float64
	// usable counts the upstreams that are listed and not leaving.
	usable int
}

// load sums up the tasks of all jobs that are neither dropped nor settled.
type load struct {
	waiting int
	active  int
	// workMs is the predicted work of waiting and running tasks, at speed 1.
	workMs float64
}

func (load *load) add(accepted *run) {
	load.waiting += len(accepted.tasks)
	for i := range accepted.tasks {
		load.workMs += accepted.tasks[i].workMs
	}
}

func (core *Core) currentCapacity() *capacity {
	cached := &core.capacity
	if !cached.stale && core.now.Sub(cached.at) < capacityAge {
		return cached
	}
	*cached = capacity{
		at: core.now,
	}
	for _, at := range core.order {
		speed := core.speedOf(at)
		if at.open {
			cached.speed += float64(at.slots) * speed
		}
		if at.usable() {
			cached.usable++
			cached.fastest = max(cached.fastest, speed)
		}
	}
	return cached
}

// speedOf returns the estimated speed of an upstream, open or not.
func (core *Core) speedOf(at *upstreamState) float64 {
	if !at.open && at.speed > 0 {
		return at.speed
	}
	return core.config.Estimator.Speed(at.declared.ID)
}

// ideal returns the ideal response time of a job: the larger of its longest
// task on the fastest fitting slot and its work divided by the total speed,
// plus the round trip.
func (core *Core) ideal(owner *run) time.Duration {
	current := core.currentCapacity()
	longestMs, sumMs := 0.0, 0.0
	for i := range owner.tasks {
		workMs := owner.tasks[i].workMs
		longestMs = max(longestMs, workMs/core.fastestFor(owner.tasks[i].need()))
		sumMs += workMs
	}
	if current.speed > 0 {
		longestMs = max(longestMs, sumMs/current.speed)
	}
	return milliseconds(longestMs) + core.config.Limits.RoundTrip
}

// fastestFor returns the speed of the fastest upstream that fits, or 1 when
// there is none.
func (core *Core) fastestFor(need placement.Need) float64 {
	fastest := 0.0
	if need == (placement.Need{}) {
		fastest = core.currentCapacity().fastest
	} else {
		for _, at := range core.order {
			if at.fits(need) {
				fastest = max(fastest, core.speedOf(at))
			}
		}
	}
	if fastest == 0 {
		return 1
	}
	return fastest
}

func (at *upstreamState) fits(need placement.Need) bool {
	return at.usable() && fits(&at.declared, need)
}

func fits(declared *placement.Upstream, need placement.Need) bool {
	return declared.Slots > 0 &&
		need.Cores <= declared.Cores &&
		need.MemoryMb <= declared.MemoryMb &&
		need.Accelerators <= declared.Accelerators
}

// refusal returns the refusal of a job that must not enter the queue. Nothing
// of the job has been given to the scheduler at this point.
func (core *Core) refusal(asked *run) (job.Answer, bool) {
	if answer, refused := core.ruleRefusal(asked); refused {
		return answer, true
	}
	if answer, refused := core.fitRefusal(asked); refused {
		return answer, true
	}
	if core.guards.NoAdmission {
		return job.Answer{}, false
	}
	return core.loadRefusal(asked)
}

// fitRefusal refuses a job with a task that no upstream can ever run. An
// ejected upstream counts, because it returns.
func (core *Core) fitRefusal(asked *run) (job.Answer, bool) {
	if core.currentCapacity().usable == 0 && len(core.domain) == 0 {
		answer := job.Refusal(job.ReasonNotReady, "no upstream is known")
		answer.RetryAfterMs = core.config.Limits.MaxRetryAfter.Milliseconds()
		return answer, true
	}
	var fitting placement.Need
	for i := range asked.tasks {
		need := asked.tasks[i].need()
		if i > 0 && need == fitting {
			continue
		}
		if !core.anyFits(need) {
			return job.Refusal(job.ReasonImpossible, "a task fits no upstream"), true
		}
		fitting = need
	}
	return job.Answer{}, false
}

func (core *Core) anyFits(need placement.Need) bool {
	if core.fitsHere(need) {
		return true
	}
	for i := range core.domain {
		if fits(&core.domain[i], need) {
			return true
		}
	}
	return false
}

// fitsHere reports whether an upstream that this VM may use now can run a task.
func (core *Core) fitsHere(need placement.Need) bool {
	for _, at := range core.order {
		if at.fits(need) {
			return true
		}
	}
	return false
}

func (core *Core) loadRefusal(asked *run) (job.Answer, bool) {
	drain := core.drainTime()
	verdict := core.admission.Decide(limit.Request{
		Tasks:        len(asked.tasks),
		WaitingTasks: core.load.waiting,
		Deadline:     asked.deadline,
		PredictedEnd: core.predict(asked, drain),
		DrainTime:    drain,
	})
	var answer job.Answer
	switch verdict.Cause {
	case limit.Admitted:
		return job.Answer{}, false
	case limit.QueueFull:
		answer = job.Refusal(job.ReasonOverload, "the queue is full")
	case limit.TooLate:
		answer = job.Refusal(job.ReasonOverload, "the predicted end is past the deadline")
	}
	// Jitter keeps callers that were refused together from coming back together.
	jitter := time.Duration(core.config.Random.Int64N(int64(verdict.RetryAfter)/2 + 1))
	answer.RetryAfterMs = (verdict.RetryAfter + jitter).Milliseconds()
	return answer, true
}

// drainTime returns the time in which the present work would be done.
func (core *Core) drainTime() time.Duration {
	speed := core.currentCapacity().speed
	if speed == 0 {
		return 0
	}
	return milliseconds(core.load.workMs / speed)
}

// predict returns when a job would end if it were admitted. The scheduler can
// tell while it has open slots. Its prediction knows the order of the queue,
// but a job that goes first delays those that were admitted before; so the job
// must also fit behind all work that is present. Waiting is predicted with a
// margin, because a job that misses its deadline wastes what it ran.
func (core *Core) predict(asked *run, drain time.Duration) time.Time {
	ideal := time.Duration(asked.idealMs) * time.Millisecond
	wait := drain
	if core.currentCapacity().speed > 0 {
		predicted := core.config.Scheduler.Predict(core.now, asked.placing)
		wait = min(max(wait, predicted.Sub(core.now)-ideal), longestWait)
	}
	return core.now.Add(ideal + time.Duration(float64(wait)*(1+core.config.Limits.WaitMargin)))
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
