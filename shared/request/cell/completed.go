package cell

import "time"

// recentRetention is how long a Cell remembers the jobs that it does not have any more. Entry
// VMs submit a job again within the silence after which a connection is replaced, and callers
// 1.3 s after theirs broke.
const recentRetention = 5 * time.Second

// recentJobs holds the IDs of jobs to which something happened lately.
type recentJobs struct {
	// addedAt holds when each job was last added.
	addedAt map[string]time.Time
	// queue holds the additions in their order.
	queue []recentJob
}

// recentJob is an addition to recentJobs.
type recentJob struct {
	id      string
	addedAt time.Time
}

func newRecentJobs() recentJobs {
	return recentJobs{
		addedAt: make(map[string]time.Time),
	}
}

// add records a job.
func (recent *recentJobs) add(now time.Time, id string) {
	recent.addedAt[id] = now
	recent.queue = append(recent.queue, recentJob{
		id:      id,
		addedAt: now,
	})
}

func (recent *recentJobs) contains(id string) bool {
	_, known := recent.addedAt[id]
	return known
}

// expire forgets the jobs that were last added before a time.
func (recent *recentJobs) expire(before time.Time) {
	expired := 0
	for expired < len(recent.queue) && recent.queue[expired].addedAt.Before(before) {
		if id := recent.queue[expired].id; recent.addedAt[id].Before(before) {
			delete(recent.addedAt, id)
		}
		expired++
	}
	if expired > 0 {
		recent.queue = append(recent.queue[:0], recent.queue[expired:]...)
	}
}
