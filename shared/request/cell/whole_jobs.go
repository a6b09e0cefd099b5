package cell

// maxReservingJobs bounds the jobs for which capacity is kept while they wait for the rest
// of it. Without any, jobs of few tasks would take each upstream that a large job needs.
const maxReservingJobs = 4

const (
	// wholeShare is the largest share of the capacity of a service that a job may need to
	// be started whole. A larger one would never find all of it free.
	wholeShare = 0.5
	// reservedShare is the largest share that is kept for jobs that wait for the rest.
	reservedShare = 0.25
)

// reservation is capacity of an upstream that is kept for a task during one placement.
type reservation struct {
	upstream *upstreamState
	task     *taskState
	need     Resources
}

// startsWhole reports whether a job has to start with all its waiting tasks: its service
// is overloaded, none of its tasks has been started, and the upstreams have room for it.
func (cell *Cell) startsWhole(job *jobState) bool {
	plan := cell.servicePlan(job.submitted.Service)
	if !plan.overloaded || job.startOrdered || job.started ||
		float64(job.initialNeed()) > wholeShare*float64(plan.capacity) {
		return false
	}
	for i := range job.submitted.Steps {
		step := &job.submitted.Steps[i]
		if len(step.DependsOn) == 0 && float64(step.Count) > wholeShare*float64(cell.room(plan, step)) {
			return false
		}
	}
	return true
}

// roomKey holds what limits where the tasks of a step may run.
type roomKey struct {
	need           Resources
	label          string
	maxPerUpstream int
}

// room returns how many tasks of a step could start at once if no task ran, as of the last
// round.
func (cell *Cell) room(plan *servicePlan, step *Step) int {
	key := roomKey{
		need:           step.Need,
		label:          step.Label,
		maxPerUpstream: step.MaxPerUpstream,
	}
	room, known := plan.rooms[key]
	if known {
		return room
	}
	for _, upstream := range cell.upstreamOrder {
		if upstream.listing.Service != plan.service || !upstream.serves() || !upstream.present ||
			upstream.listing.Leaving || !cell.entryAllows(upstream, step) {
			continue
		}
		tasks := min(upstream.listing.Slots, upstream.listing.Capacity.divide(step.Need))
		if step.MaxPerUpstream > 0 {
			tasks = min(tasks, step.MaxPerUpstream)
		}
		if cell.limitsStarts(upstream) {
			tasks = min(tasks, 1)
		}
		room += tasks
	}
	plan.rooms[key] = room
	return room
}

// placeWhole starts all waiting tasks of a job, or none, and reports which. The capacity
// that a job found without starting is kept for it until the end of the placement, if few
// jobs before it in the order wait in the same way.
func (cell *Cell) placeWhole(job *jobState, muchIdle bool) bool {
	first := len(cell.reservations)
	complete := true
	for _, task := range job.tasks {
		if task.status != taskWaiting {
			continue
		}
		var upstream *upstreamState
		if cell.liveRuns[task.name] == 0 {
			upstream = cell.chooseUpstream(job, task, muchIdle)
		}
		if upstream == nil {
			complete = false
			break
		}
		cell.reserve(upstream, task, job.submitted.Steps[task.name.Step].Need)
	}
	if !complete {
		if cell.mayReserve(job) && len(cell.reservations) > first {
			cell.reservingJobs++
			cell.reservedCores += job.initialNeed()
		} else {
			cell.releaseReservations(first)
		}
		return false
	}
	chosen := append(cell.chosenBuffer[:0], cell.reservations[first:]...)
	cell.chosenBuffer = chosen
	cell.releaseReservations(first)
	for _, reservation := range chosen {
		cell.startRun(job, reservation.task, reservation.upstream)
	}
	return len(chosen) > 0
}

// mayReserve reports whether capacity may be kept for a job that waits for the rest.
func (cell *Cell) mayReserve(job *jobState) bool {
	plan := cell.servicePlan(job.submitted.Service)
	if job.lastChance || cell.reservingJobs >= maxReservingJobs {
		return false
	}
	// Any job that starts whole may be the first, however small the service is.
	return cell.reservingJobs == 0 ||
		float64(cell.reservedCores+job.initialNeed()) <= reservedShare*float64(plan.capacity)
}

func (cell *Cell) reserve(upstream *upstreamState, task *taskState, need Resources) {
	upstream.free = upstream.free.minus(need)
	upstream.usedSlots++
	cell.reindex(upstream)
	cell.reservations = append(cell.reservations, reservation{
		upstream: upstream,
		task:     task,
		need:     need,
	})
}

// releaseReservations releases the reservations from the given index on.
func (cell *Cell) releaseReservations(first int) {
	for _, reservation := range cell.reservations[first:] {
		reservation.upstream.free = reservation.upstream.free.plus(reservation.need)
		reservation.upstream.usedSlots--
		cell.reindex(reservation.upstream)
	}
	cell.reservations = cell.reservations[:first]
	if first == 0 {
		cell.reservingJobs = 0
		cell.reservedCores = 0
	}
}

// countReserved returns how many tasks of the named task's step have reserved capacity on
// the upstream.
func (cell *Cell) countReserved(upstream *upstreamState, name TaskName) int {
	count := 0
	for _, reservation := range cell.reservations {
		if reservation.upstream == upstream && reservation.task.name.Job == name.Job && reservation.task.name.Step == name.Step {
			count++
		}
	}
	return count
}

// endsUseless reports whether a task would end on the upstream when the answer is of no
// use any more. While there is room for all jobs, the task may still be early.
func (cell *Cell) endsUseless(job *jobState, step *Step, upstream *upstreamState) bool {
	if !cell.servicePlan(job.submitted.Service).overloaded {
		return false
	}
	endAt := cell.now.Add(job.predictRunTime(step.Estimate, upstream.speed))
	return endAt.After(cell.uselessAt(job))
}
