package admission

import (
	"math"
	"slices"
	"time"
)

// Classes of waiting jobs, in the order in which they get capacity.
const (
	// classOnTime is for jobs that can meet their objective.
	classOnTime = iota
	// classLate is for jobs that can't meet their objective.
	classLate
	// classWorthless is for jobs whose answer will have no value to the caller.
	classWorthless
)

// entry holds the predictions for a waiting job, in seconds from now.
type entry struct {
	class int
	// key orders the jobs of a class.
	key         float64
	cost        float64
	work        float64
	target      float64
	worthlessAt float64
	run         float64
	fastestRun  float64
}

// rank is the position of a job in the order. Small values sort faster than entries.
type rank struct {
	key      float64
	index    int32
	class    int16
	priority int16
}

// predict fills entries with all jobs. Their keys are the slack to the objective, or the
// arrival for those that can't meet it.
func (planner *Planner) predict(now time.Time, jobs []Job, speed float64) {
	entries := planner.entries[:0]
	for i := range jobs {
		job := &jobs[i]
		remaining := job.Remaining.Seconds()
		next := entry{
			work:        job.work(),
			target:      job.Target.Sub(now).Seconds(),
			worthlessAt: job.WorthlessAt.Sub(now).Seconds(),
			run:         remaining / speed,
			fastestRun:  remaining / planner.topSpeed,
		}
		switch {
		case next.fastestRun <= next.target:
			next.key = next.target - next.fastestRun
		case next.fastestRun <= next.worthlessAt:
			next.class = classLate
		default:
			next.class = classWorthless
		}
		if next.class != classOnTime {
			next.key = job.Arrival.Sub(now).Seconds()
		}
		entries = append(entries, next)
	}
	planner.entries = entries
}

const (
	// loadSteps is the number of deadlines at which the load is measured.
	loadSteps = 32
	// minHorizon is the shortest time over which the load is measured, in seconds. The
	// load until an earlier deadline is that of few tasks.
	minHorizon = 0.05
	// maxExcess bounds the time that an excess of work is expected to last, and
	// maxPlanInterval the time between rounds that counts as part of it, in seconds.
	maxExcess       = 5.0
	maxPlanInterval = 0.1
	// onTimePersistence is how much longer, relative to the time that it has lasted, an
	// excess is expected to last when a job could still meet its objective, and
	// latePersistence when it can't. A late answer is worth less of a wait.
	onTimePersistence = 1
	latePersistence   = 4
	// fallSlowdown is how much slower the weight of the cost falls than it rises, so that
	// the order doesn't change with each pause of an overload.
	fallSlowdown = 5
	// optimisticDeviations is the number of standard deviations by which a run is
	// shorter than predicted in an optimistic prediction.
	optimisticDeviations = 2
)

// measureLoad sets load to the highest ratio, over a number of deadlines, of the work
// that has to be done until then to the capacity until then. Under sustained overload
// the queue alone is short-sighted: while jobs wait for capacity, load is at least the
// ratio of arriving work to capacity.
func (planner *Planner) measureLoad(now time.Time, jobs []Job, capacity Capacity, speed float64) {
	planner.load = 0
	planner.drain = 0
	total := max(float64(capacity.MilliCores)*speed/1000, 1e-9)
	arriving := planner.arrivals.rate(now)
	elapsed := max(now.Sub(planner.plannedAt).Seconds(), 0)
	if capacity.MilliCores > 0 && arriving > total && elapsed < maxPlanInterval {
		planner.excess = min(planner.excess+elapsed, maxExcess)
	} else {
		planner.excess = max(planner.excess-elapsed, 0)
	}
	if len(planner.entries) == 0 {
		return
	}
	planner.drain = math.Inf(1)
	horizon := minHorizon
	waiting, need, largest := 0.0, 0, 0
	for i := range planner.entries {
		next := &planner.entries[i]
		waiting += next.work
		need += jobs[i].need()
		largest = max(largest, jobs[i].MilliCores)
		if next.class == classOnTime {
			horizon = max(horizon, next.target)
		}
	}
	if total > arriving {
		planner.drain = waiting / (total - arriving)
	}
	if need <= capacity.FreeMilliCores && largest <= capacity.LargestFreeMilliCores {
		// All can start now, so that their order doesn't matter.
		planner.load = min(arriving/total, slackLoad)
		return
	}
	var due [loadSteps]float64
	for i := range planner.entries {
		if next := &planner.entries[i]; next.class == classOnTime {
			step := int(max(next.target, minHorizon) / horizon * loadSteps)
			due[min(step, loadSteps-1)] += next.work
		}
	}
	work, available := 0.0, 0.0
	cores := speed / 1000
	rate := float64(capacity.FreeMilliCores) * cores
	release := 0
	for step, dueWork := range due {
		end := horizon * float64(step+1) / loadSteps
		available += rate * horizon / loadSteps
		for ; release < len(capacity.Releases); release++ {
			at := capacity.Releases[release].At.Sub(now).Seconds()
			if at >= end {
				break
			}
			freed := float64(capacity.Releases[release].MilliCores) * cores
			rate += freed
			available += freed * (end - max(at, horizon*float64(step)/loadSteps))
		}
		work += dueWork
		if work > 0 && end >= minHorizon {
			planner.load = max(planner.load, work/max(available, 1e-9))
		}
	}
	if waiting > float64(capacity.FreeMilliCores)*cores*minHorizon {
		planner.load = max(planner.load, arriving/total)
	}
}

// updateWeight moves the weight of the cost towards that of the load.
func (planner *Planner) updateWeight() {
	wanted := maxCostWeight * min(max((planner.load-slackLoad)/(costLoad-slackLoad), 0), 1)
	gain := planner.gain
	if wanted < planner.costWeight {
		gain = 1 - math.Pow(1-gain, 1.0/fallSlowdown)
	}
	planner.costWeight += (wanted - planner.costWeight) * gain
	if wanted == 0 && planner.costWeight < 0.01 {
		planner.costWeight = 0
	}
}

// weighCosts replaces the key of each entry by the weighted mean of key and cost. The
// keys are divided by their mean, so that both have the same scale.
func (planner *Planner) weighCosts(jobs []Job) {
	updateFactors(planner.kindShares)
	updateFactors(planner.domainShares)
	var sums, counts [classWorthless + 1]float64
	for i := range planner.entries {
		next := &planner.entries[i]
		next.cost = planner.cost(&jobs[i])
		sums[next.class] += math.Abs(next.key)
		counts[next.class]++
	}
	for i := range planner.entries {
		next := &planner.entries[i]
		mean := max(sums[next.class]/counts[next.class], 1e-6)
		next.key = (1-planner.costWeight)*next.key/mean + planner.costWeight*next.cost
	}
}

// sort fills order by class, key, priority and index.
func (planner *Planner) sort(jobs []Job) {
	order := planner.order[:0]
	for i := range planner.entries {
		order = append(order, rank{
			key:      planner.entries[i].key,
			index:    int32(i),
			class:    int16(planner.entries[i].class),
			priority: int16(min(max(jobs[i].Priority, math.MinInt16), math.MaxInt16)),
		})
	}
	slices.SortFunc(order, func(a, b rank) int {
		switch {
		case a.class != b.class:
			return int(a.class - b.class)
		case a.key < b.key:
			return -1
		case a.key > b.key:
			return 1
		case a.priority != b.priority:
			return int(a.priority) - int(b.priority)
		}
		return int(a.index - b.index)
	})
	planner.order = order
}

// schedule fills the plan from the sorted entries.
//
// Under overload it predicts when each job would start whole if the jobs got capacity in
// their order. A job for which that is too late gets none: its capacity goes to the jobs
// behind it, and it is considered once more after all others. While work of lower cost
// arrives at a rate r relative to the capacity, a wait grows by the factor 1/(1-r).
func (planner *Planner) schedule(now time.Time, jobs []Job, capacity Capacity, speed float64) {
	plan := &planner.plan
	overload := planner.costWeight > 0
	free := max(capacity.FreeMilliCores, 0)
	largestFree := capacity.LargestFreeMilliCores
	if largestFree == 0 {
		largestFree = free
	}
	if overload {
		planner.timeline.reset(now, capacity)
		planner.arrivals.accumulate(now, max(float64(capacity.MilliCores)/1000*speed, 1e-9))
	}
	deferred := planner.deferred[:0]
	for _, rank := range planner.order {
		index := int(rank.index)
		next := &planner.entries[index]
		job := &jobs[index]
		if next.class != classOnTime {
			deferred = append(deferred, rank.index)
			continue
		}
		if overload {
			// A start at once may meet the objective on a fast upstream. Later ones find
			// upstreams of mean speed.
			latest := max(next.target-next.run, 0)
			arriving := planner.arrivals.cheaper(next.cost)
			if !job.Started && planner.stretch(planner.timeline.earliest(), arriving, onTimePersistence) > latest {
				deferred = append(deferred, rank.index)
				continue
			}
			start := planner.timeline.take(job.need())
			if !job.Started && planner.stretch(start, arriving, onTimePersistence) > latest {
				planner.timeline.restore()
				deferred = append(deferred, rank.index)
				continue
			}
			planner.timeline.occupy(next.run)
		}
		free -= min(job.need(), free)
		plan.Order = append(plan.Order, index)
	}
	planner.deferred = deferred
	for _, position := range deferred {
		index := int(position)
		next := &planner.entries[index]
		job := &jobs[index]
		// A job that can't end in time doesn't fit any capacity while others need it.
		hopeless := next.optimisticRun(job) > next.worthlessAt
		fits := job.need() <= free && job.MilliCores <= largestFree && (!hopeless || !overload)
		if !job.Started && !fits {
			if reason := planner.refusalReason(next, job); reason != "" {
				planner.kind(now, job.Kind).refusedAt = now
				plan.Refused = append(plan.Refused, Refusal{
					ID:         job.ID,
					Reason:     reason,
					RetryAfter: planner.config.retryAfter(job.ID, planner.drain),
				})
				continue
			}
			plan.Hold[index] = overload && job.need() > free && job.need() <= capacity.MilliCores/2
		} else if overload {
			planner.timeline.take(job.need())
			planner.timeline.occupy(next.run)
		}
		plan.Deferred[index] = next.class == classOnTime
		if !plan.Hold[index] {
			free -= min(job.need(), free)
		}
		plan.Order = append(plan.Order, index)
	}
	full := 0.0
	if free == 0 || largestFree < 0 {
		full = 1
	}
	planner.fullShare += (full - planner.fullShare) * planner.gain
	if overload {
		planner.threshold = planner.arrivals.threshold()
	}
}

// optimisticRun returns the shortest run time that is to be expected.
func (entry *entry) optimisticRun(job *Job) float64 {
	return entry.fastestRun * math.Exp(-optimisticDeviations*job.LogStdDev)
}

// refusalReason returns why the job, which comes after all that can meet their
// objectives, is refused now, or "" if it is not. Unless it is refused, it occupies its
// capacity on the timeline. This answers many hopeless jobs, and sustained overload: no
// job is held for a start that will not come.
func (planner *Planner) refusalReason(next *entry, job *Job) string {
	latest := next.worthlessAt - next.optimisticRun(job)
	if latest < 0 {
		return ReasonHopeless
	}
	if planner.costWeight == 0 {
		return ""
	}
	arriving := planner.arrivals.cheaper(math.Inf(1))
	persistence := float64(onTimePersistence)
	if next.class != classOnTime {
		persistence = latePersistence
	}
	if planner.stretch(planner.timeline.earliest(), arriving, persistence) > latest {
		return ReasonOverload
	}
	if planner.stretch(planner.timeline.take(job.need()), arriving, persistence) > latest {
		planner.timeline.restore()
		return ReasonOverload
	}
	planner.timeline.occupy(next.run)
	return ""
}

// stretch returns the wait for capacity while work that goes first arrives at a rate
// relative to the capacity. An excess of work is expected to last persistence times as
// long as it has lasted: the objectives absorb a short burst.
func (planner *Planner) stretch(wait, arriving, persistence float64) float64 {
	if wait == 0 {
		return 0
	}
	arriving *= arrivalCertainty
	return min(wait/max(1-arriving, 1e-6), wait+arriving*persistence*planner.excess)
}
