package cell

import "slices"

// Surplus is a job that waits although another cell may have room for it.
type Surplus struct {
	ID      string
	Service string
	// MilliCores is what all tasks of the job's first steps need at once.
	MilliCores int
}

// Surplus returns the jobs that may be handed to another cell: they have waited for
// Limits.SurplusAfter without a start, no earlier Cell can have started them, and
// they have not been handed over before. If all upstreams here are evacuated, neither the
// wait nor an earlier hand-over matters. The jobs that would be served last come first.
func (cell *Cell) Surplus() []Surplus {
	var surplus []Surplus
	allEvacuated := cell.allEvacuated()
	for _, job := range slices.Backward(cell.waitingJobs) {
		if job.startOrdered || job.mayHaveRun() ||
			!cell.handsOver(job, allEvacuated) {
			continue
		}
		surplus = append(surplus, Surplus{
			ID:         job.submitted.ID,
			Service:    job.submitted.Service,
			MilliCores: job.initialNeed(),
		})
	}
	return surplus
}

// initialNeed returns the cores that the waiting tasks of a job need, in
// thousandths.
func (job *jobState) initialNeed() int {
	need := 0
	for _, task := range job.tasks {
		if task.status == taskWaiting {
			need += job.submitted.Steps[task.name.Step].Need.MilliCores
		}
	}
	return need
}

// HandOver removes a job that Surplus has returned, and returns the entry VMs that
// hold it with their last submissions. No run of the job was ordered. It returns nothing if the job has been
// started or answered since.
func (cell *Cell) HandOver(id string) []Holder {
	job, ok := cell.jobs[id]
	if !ok || job.startOrdered || job.mayHaveRun() {
		return nil
	}
	cell.counters.HandedOver++
	for _, holder := range job.holders {
		cell.rememberUnanswered(job, holder)
	}
	cell.removeJob(job, "handed to another cell")
	cell.waitingJobs = slices.DeleteFunc(cell.waitingJobs, func(waiting *jobState) bool { return waiting == job })
	job.inWaitingJobs = false
	return job.holders
}

// Headroom returns, by service, the cores in thousandths that neither runs nor
// waiting tasks need. Capacity counts in units of an average task, because what is
// left of an upstream below that serves none.
func (cell *Cell) Headroom() map[string]int {
	headroom := make(map[string]int)
	for _, upstream := range cell.upstreamOrder {
		if !cell.acceptsTasks(upstream) {
			continue
		}
		unit := max(int(cell.averageNeed), 1)
		headroom[upstream.listing.Service] += upstream.free.MilliCores / unit * unit
	}
	for _, job := range cell.waitingJobs {
		headroom[job.submitted.Service] -= job.initialNeed()
	}
	return headroom
}

// needGain is the weight of one run in the average need of a task.
const needGain = 0.02

// recordNeed updates the average need of a task.
func (cell *Cell) recordNeed(milliCores int) {
	if cell.averageNeed == 0 {
		cell.averageNeed = float64(milliCores)
	}
	cell.averageNeed += needGain * (float64(milliCores) - cell.averageNeed)
}
