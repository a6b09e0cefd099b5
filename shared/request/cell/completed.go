package cell

import "time"

// completedRetention is how long a Cell remembers which jobs it has completed. Entry
// VMs submit a job again within the silence after which a connection is replaced,
// and callers 1.3 s after theirs broke.
const completedRetention = 5 * time.Second

// completedJobs holds the IDs of the jobs that were completed lately. A job that is
// submitted again because its answer was lost is answered without another run.
type completedJobs struct {
	ids map[string]bool
	// queue holds the IDs in the order of completion.
	queue []completedJob
}

// completedJob is the ID of a job and when it was completed.
type completedJob struct {
	id          string
	completedAt time.Time
}

// add records a completed job.
func (completed *completedJobs) add(now time.Time, id string) {
	if completed.ids[id] {
		return
	}
	completed.ids[id] = true
	completed.queue = append(completed.queue, completedJob{
		id:          id,
		completedAt: now,
	})
}

// expire forgets the jobs that were completed before a time.
func (completed *completedJobs) expire(before time.Time) {
	expired := 0
	for expired < len(completed.queue) && completed.queue[expired].completedAt.Before(before) {
		delete(completed.ids, completed.queue[expired].id)
		expired++
	}
	if expired > 0 {
		completed.queue = append(completed.queue[:0], completed.queue[expired:]...)
	}
}
