package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// loadSteps is the number of deadlines at which the load is measured.
const loadSteps = 32

// measureLoad returns the highest ratio, over a number of deadlines, of the work that
// has to be done until then to the capacity until then; or the ratio of the arriving work
// to the capacity if that is higher and jobs wait for capacity.
func (planner *Planner) measureLoad(now time.Time, capacity Capacity) float64 {
	speed, _ := speeds(capacity)
	total := float64(capacity.MilliCores) / 1000 * speed
	if len(planner.entries) == 0 {
		return 0
	}
	if total == 0 {
		return math.Inf(1)
	}
	horizon := minHorizon.Seconds()
	waiting := 0.0
	for i := range planner.entries {
		waiting += planner.entries[i].work
		if planner.entries[i].class == classOnTime {
			horizon = max(horizon, planner.entries[i].target)
		}
	}
	var due [loadSteps]float64
	for i := range planner.entries {
		if next := &planner.entries[i]; next.class == classOnTime {
			step := int(max(next.target, minHorizon.Seconds()) / horizon * loadSteps)
			due[min(step, loadSteps-1)] += next.work
		}
	}
	load, work, available := 0.0, 0.0, 0.0
	rate := float64(capacity.FreeMilliCores) / 1000 * speed
	release := 0
	for step := range due {
		end := horizon * float64(step+1) / loadSteps
		available += rate * horizon / loadSteps
		for ; release < len(capacity.Releases); release++ {
			at := capacity.Releases[release].At.Sub(now).Seconds()
			if at >= end {
				break
			}
			freed := float64(capacity.Releases[release].MilliCores) / 1000 * speed
			rate += freed
			available += freed * (end - max(at, horizon*float64(step)/loadSteps))
		}
		work += due[step]
		if work > 0 && end >= minHorizon.Seconds() {
			load = max(load, work/max(available, 1e-9))
		}
	}
	free := float64(capacity.FreeMilliCores) / 1000 * speed
	arriving := planner.arrivals.rate(now)
	if waiting > free*minHorizon.Seconds() {
		load = max(load, arriving/total)
	}
	planner.drain = math.Inf(1)
	if total > arriving {
		planner.drain = waiting / (total - arriving)
	}
	return load
}

// updateWeight moves the weight of the cost towards that of the load.
func (planner *Planner) updateWeight(now time.Time, load float64) {
	wanted := min(max((load-slackLoad)/(costLoad-slackLoad), 0), 1)
	elapsed := now.Sub(planner.plannedAt).Seconds()
	planner.weight += (wanted - planner.weight) * (1 - math.Exp(-max(elapsed, 0)/weightTime.Seconds()))
	if wanted == 0 && planner.weight < 0.01 {
		planner.weight = 0
	}
}

// sort sorts the entries by class, then by a mean of slack and cost.
func (planner *Planner) sort() {
	entries := planner.entries
	if planner.weight > 0 {
		var sum [classWorthless + 1]float64
		var count [classWorthless + 1]float64
		for i := range entries {
			sum[entries[i].class] += math.Abs(entries[i].key)
			count[entries[i].class]++
		}
		for i := range entries {
			next := &entries[i]
			mean := max(sum[next.class]/count[next.class], 1e-6)
			next.key = (1-planner.weight)*next.key/mean + planner.weight*next.cost
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		if a.class != b.class {
			return a.class - b.class
		}
		if a.key != b.key {
			return cmp.Compare(a.key, b.key)
		}
		return a.index - b.index
	})
}

// schedule predicts when each job would start if the jobs got capacity in their order,
// and defers, holds or refuses those for which that is too late.
func (planner *Planner) schedule(now time.Time, jobs []Job, capacity Capacity) {
	plan := &planner.plan
	speed, _ := speeds(capacity)
	total := float64(capacity.MilliCores) / 1000 * speed
	planner.timeline.reset(now, capacity)
	planner.arrivals.accumulate(now, total)
	free := capacity.FreeMilliCores
	largestFree := capacity.LargestFreeMilliCores
	if largestFree == 0 {
		largestFree = free
	}
	planner.deferred = planner.deferred[:0]
	planner.full = false
	for i := range planner.entries {
		next := &planner.entries[i]
		job := &jobs[next.index]
		if next.class != classOnTime {
			planner.deferred = append(planner.deferred, *next)
			continue
		}
		need := job.Tasks * job.MilliCores
		start := planner.timeline.peek(need)
		delay := start / max(1-planner.arrivals.cheaper(next.cost), 1e-3)
		if delay+next.fastestRun > next.target && !job.Started {
			planner.deferred = append(planner.deferred, *next)
			continue
		}
		planner.timeline.take(need, next.run)
		free -= min(need, free)
		plan.Order = append(plan.Order, next.index)
	}
	for i := range planner.deferred {
		next := &planner.deferred[i]
		job := &jobs[next.index]
		need := job.Tasks * job.MilliCores
		start := planner.timeline.peek(need)
		fits := job.MilliCores <= free && job.MilliCores <= largestFree
		if !fits && !job.Started {
			arriving := overloadCertainty * planner.arrivals.cheaper(math.Inf(1))
			optimistic := next.fastestRun * math.Exp(-job.LogStdDev)
			reason := ""
			if optimistic > next.worthlessAt {
				reason = ReasonHopeless
			} else if arriving >= 1 || start/(1-arriving)+optimistic > next.worthlessAt {
				reason = ReasonOverload
			}
			if reason != "" {
				planner.full = true
				plan.Refused = append(plan.Refused, Refusal{
					ID:         job.ID,
					Reason:     reason,
					RetryAfter: planner.config.retryAfter(job.ID, planner.drain),
				})
				continue
			}
		}
		plan.Deferred[next.index] = next.class == classOnTime
		plan.Hold[next.index] = !job.Started && need > free && next.class == classOnTime
		planner.timeline.take(need, next.run)
		if need <= free || job.Started {
			free -= min(need, free)
		}
		plan.Order = append(plan.Order, next.index)
	}
}
