package cell

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// clockFresh is how old the last answer of an upstream may be for a start:
// beyond it the lease of a start would be short.
const clockFresh = 5 * time.Second

// expected returns the predicted run time at a speed.
func (held *jobState) expected(estimate time.Duration, speed float64) time.Duration {
	return time.Duration(held.ratio * float64(estimate) / speed)
}

// fastest returns the highest speed among the upstreams of a service, as of the
// last tick.
func (cell *Cell) fastest(service string) float64 {
	if fastest := cell.topSpeeds[service]; fastest > 0 {
		return fastest
	}
	return 1
}

// measureSpeeds brings the speeds of the upstreams, and their order, up to date.
func (cell *Cell) measureSpeeds() {
	clear(cell.topSpeeds)
	for _, at := range cell.order {
		at.speed = cell.config.Estimator.Speed(at.listed.ID)
		// A drag within the spread of estimates says nothing.
		if at.drag > dragTolerance {
			at.speed /= at.drag
		}
		if at.state == upstreamOpen {
			cell.topSpeeds[at.listed.Service] = max(cell.topSpeeds[at.listed.Service], at.speed)
		}
	}
	cell.bySpeed = append(cell.bySpeed[:0], cell.order...)
	slices.SortStableFunc(cell.bySpeed, func(a, b *upstream) int { return cmp.Compare(b.speed, a.speed) })
}

// backlog returns how long the capacity of a service needs for the waiting
// work.
func (cell *Cell) backlog(service string) time.Duration {
	cores, work := 0.0, 0.0
	for _, at := range cell.order {
		if at.listed.Service == service && at.state == upstreamOpen {
			cores += float64(at.listed.Capacity.MilliCores) * at.speed
		}
	}
	if cores == 0 {
		return cell.config.Limits.MaxRetryAfter
	}
	for _, held := range cell.waiting {
		if held.job.Service != service {
			continue
		}
		for _, next := range held.tasks {
			if next.state == taskWaiting {
				step := held.job.Steps[next.name.Step]
				work += float64(held.expected(step.Estimate, 1)) * float64(step.Need.MilliCores)
			}
		}
	}
	return time.Duration(work / cores)
}

// mayStart reports whether an upstream may get new tasks.
func (cell *Cell) mayStart(at *upstream) bool {
	return at.state == upstreamOpen && at.present && !at.listed.Leaving &&
		at.missed == 0 && at.orphans == 0 &&
		!at.asideUntil.After(cell.now) && !at.fullUntil.After(cell.now) &&
		cell.now.Sub(at.clockAt) < clockFresh &&
		at.used < at.listed.Slots && (!at.probing || at.used == 0)
}

// place starts waiting tasks where there is room.
func (cell *Cell) place() {
	if !cell.placeable {
		return
	}
	cell.placeable = false
	cell.dropPlaced()
	if len(cell.waiting) == 0 {
		return
	}
	least := cell.leastNeed()
	usable, idle := cell.usableFor(least)
	if len(usable) == 0 {
		return
	}
	if cell.now.Sub(cell.sortedAt) >= sortEvery {
		cell.sortedAt = cell.now
		cell.sortWaiting()
	}
	unplaced := 0
	for _, held := range cell.waiting {
		if cell.placeJob(held, usable, idle) {
			usable = slices.DeleteFunc(usable, func(at *upstream) bool {
				return at.free.MilliCores < least || !cell.mayStart(at)
			})
		} else {
			unplaced++
		}
		if len(usable) == 0 || unplaced >= maxUnplaced {
			break
		}
	}
	cell.dropPlaced()
}

const (
	// sortEvery spaces the sorting of the waiting jobs. Slack changes little
	// within it, and sorting hundreds of jobs at each event took the whole
	// processor.
	sortEvery = 5 * time.Millisecond
	// maxUnplaced bounds the jobs that are tried in vain on the free upstreams,
	// because they need others, before the rest waits for the next change.
	maxUnplaced = 32
)

// leastNeed returns the cores of the smallest waiting task.
func (cell *Cell) leastNeed() int {
	least := math.MaxInt
	for _, held := range cell.waiting {
		for i := range held.job.Steps {
			least = min(least, held.job.Steps[i].Need.MilliCores)
		}
	}
	return least
}

// usableFor returns the upstreams that may get new tasks and have room for the
// smallest, and whether much of the capacity is idle.
func (cell *Cell) usableFor(least int) ([]*upstream, bool) {
	usable := cell.usable[:0]
	free, whole := 0, 0
	for _, at := range cell.bySpeed {
		if at.state == upstreamOpen {
			whole += at.listed.Capacity.MilliCores
			free += max(at.free.MilliCores, 0)
		}
		if at.free.MilliCores >= least && cell.mayStart(at) {
			usable = append(usable, at)
		}
	}
	cell.usable = usable
	return usable, float64(free) > cell.config.Limits.IdleShare*float64(whole)
}

func (cell *Cell) dropPlaced() {
	cell.waiting = slices.DeleteFunc(cell.waiting, func(held *jobState) bool {
		held.listed = held.queued > 0
		return !held.listed
	})
}

// The classes of waiting jobs, in the order in which they get upstreams.
const (
	// classOnTime: the job can meet its objective.
	classOnTime = iota
	// classLate: the job can't.
	classLate
	// classWorthless: the answer will be worth nothing.
	classWorthless
)

// ranked is a waiting job with its place in the order.
type ranked struct {
	held  *jobState
	class int
	// at orders the jobs of a class: the latest time for a start that meets the
	// objective, or the arrival.
	at time.Time
}

// sortWaiting puts the jobs with the least slack to their objective first, and
// those that can't meet it any more last.
func (cell *Cell) sortWaiting() {
	all := cell.ranked[:0]
	for _, held := range cell.waiting {
		all = append(all, cell.rank(held))
	}
	cell.ranked = all
	slices.SortStableFunc(all, compareRanked)
	for i := range all {
		cell.waiting[i] = all[i].held
	}
}

func compareRanked(a, b ranked) int {
	if a.class != b.class {
		return a.class - b.class
	}
	return a.at.Compare(b.at)
}

func (cell *Cell) rank(held *jobState) ranked {
	found := ranked{
		held: held,
		at:   held.arrival,
	}
	need := held.expected(held.longest, cell.fastest(held.job.Service))
	end := cell.now.Add(need)
	switch {
	case !end.After(held.target):
		found.class = classOnTime
		found.at = held.target.Add(-need)
	case !end.After(held.lateEnd):
		found.class = classLate
	default:
		found.class = classWorthless
	}
	return found
}

// placeJob starts the waiting tasks of one job as far as there is room, and
// reports whether it started any.
func (cell *Cell) placeJob(held *jobState, usable []*upstream, idle bool) bool {
	if !cell.safe(held) {
		return false
	}
	started := false
	for _, next := range held.tasks {
		if next.state != taskWaiting || cell.live[next.name] > 0 {
			continue
		}
		at := cell.choose(held, next, usable, idle)
		if at == nil {
			// The other tasks of the step need the same.
			if len(held.job.Steps) == 1 {
				break
			}
			continue
		}
		cell.start(held, next, at)
		started = true
	}
	return started
}

// choose returns the upstream for a task, or nil where none has room or the
// task does better to wait for a faster one: the slowest that meets the
// objective, or the fastest while much is idle or none meets it. The usable
// upstreams are in order of their speed, the fastest first.
func (cell *Cell) choose(held *jobState, next *task, usable []*upstream, idle bool) *upstream {
	step := &held.job.Steps[next.name.Step]
	meeting := cell.countMeeting(held, step, usable)
	if idle {
		for _, at := range usable[:meeting] {
			if cell.suits(at, held, next, step) {
				return at
			}
		}
	} else {
		for i := meeting - 1; i >= 0; i-- {
			if cell.suits(usable[i], held, next, step) {
				return usable[i]
			}
		}
	}
	soonest := cell.now.Add(held.expected(step.Estimate, cell.fastest(held.job.Service)))
	if soonest.Before(held.target) {
		return nil
	}
	for _, at := range usable[meeting:] {
		if cell.suits(at, held, next, step) {
			return at
		}
	}
	return nil
}

// countMeeting returns the number of upstreams, from the fastest on, that are
// fast enough for a task to meet its job's objective.
func (cell *Cell) countMeeting(held *jobState, step *Step, usable []*upstream) int {
	left := float64(held.target.Sub(cell.now))
	if left <= 0 {
		return 0
	}
	needed := held.ratio * float64(step.Estimate) / left
	return sort.Search(len(usable), func(i int) bool { return usable[i].speed < needed })
}

// suits reports whether a task may run on an upstream.
func (cell *Cell) suits(at *upstream, held *jobState, next *task, step *Step) bool {
	if at.listed.Service != held.job.Service || at.used >= at.listed.Slots || !at.free.fits(step.Need) {
		return false
	}
	if at.probing && at.used > 0 {
		return false
	}
	if next.failures > 0 && (at.failures > 0 || at.probing || at.listed.ID == next.avoid) {
		return false
	}
	if step.Label != "" && !slices.Contains(at.listed.Labels, step.Label) {
		return false
	}
	return step.MostTogether <= 0 || at.countOf(next.name) < step.MostTogether
}

// countOf returns how many tasks of a task's step the upstream runs.
func (at *upstream) countOf(name TaskName) int {
	count := 0
	for running := range at.runs {
		if running.Task.Job == name.Job && running.Task.Step == name.Step {
			count++
		}
	}
	return count
}
