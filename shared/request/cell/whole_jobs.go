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
// is overloaded, and none of its tasks has been started.
func (cell *Cell) startsWhole(job *jobState) bool {
	plan := cell.servicePlan(job.submitted.Service)
	return plan.overloaded && !job.startOrdered && !job.started &&
		float64(job.initialNeed()) <= wholeShare*float64(plan.capacity)
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
	return cell.reservingJobs < maxReservingJobs && !job.lastChance &&
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
