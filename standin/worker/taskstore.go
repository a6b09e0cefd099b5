package worker

import (
	"time"

	"tanagerfall/shared/connection/upstream"
)

// taskStore holds the records by task ID. Results are kept for a time and
// bounded in number; an ID outlives its result, so that a late duplicate of a
// start does not run the task again.
type taskStore struct {
	config  *Config
	records map[string]*record
	// ended holds the records that are over, oldest first.
	ended endedQueue
	// evicted holds the IDs whose results were evicted, oldest first.
	evicted endedQueue
}

// endedTask is a record and the time at which it was over.
type endedTask struct {
	record  *record
	endedAt time.Time
}

// endedQueue is a first-in first-out list.
type endedQueue struct {
	entries []endedTask
	head    int
}

func newTaskStore(config *Config) taskStore {
	return taskStore{
		config:  config,
		records: map[string]*record{},
	}
}

func (taskStore *taskStore) get(id string) *record {
	return taskStore.records[id]
}

func (taskStore *taskStore) add(record *record) {
	taskStore.records[record.id] = record
}

// addNeverStarted records that a task never started and never will.
func (taskStore *taskStore) addNeverStarted(id, reason string, now time.Time) *record {
	record := &record{
		id:     id,
		state:  upstream.NeverStarted,
		reason: reason,
		done:   closedChannel,
	}
	taskStore.add(record)
	taskStore.markEnded(record, now)
	return record
}

// markEnded notes that a record is over.
func (taskStore *taskStore) markEnded(record *record, now time.Time) {
	taskStore.ended.push(endedTask{
		record:  record,
		endedAt: now,
	})
}

// expire evicts the results beyond the bounds and forgets IDs beyond theirs.
func (taskStore *taskStore) expire(now time.Time) {
	for taskStore.ended.size() > 0 {
		oldest := taskStore.ended.oldest()
		if taskStore.ended.size() <= taskStore.config.MaxResults && now.Sub(oldest.endedAt) < taskStore.config.ResultRetention {
			break
		}
		taskStore.ended.pop()
		taskStore.evict(oldest)
	}
	for taskStore.evicted.size() > taskStore.config.MaxEvictedIDs {
		delete(taskStore.records, taskStore.evicted.oldest().record.id)
		taskStore.evicted.pop()
	}
}

// evict drops a result; the record goes on saying that the task started, or
// that it never did.
func (taskStore *taskStore) evict(oldest endedTask) {
	if oldest.record.state == upstream.Finished {
		oldest.record.state = upstream.TaskFailed
		oldest.record.reason = ReasonEvicted
	}
	oldest.record.echo = nil
	oldest.record.timer = nil
	taskStore.evicted.push(oldest)
}

func (endedQueue *endedQueue) size() int {
	return len(endedQueue.entries) - endedQueue.head
}

func (endedQueue *endedQueue) oldest() endedTask {
	return endedQueue.entries[endedQueue.head]
}

func (endedQueue *endedQueue) push(entry endedTask) {
	endedQueue.entries = append(endedQueue.entries, entry)
}

// pop removes the first entry; the space is reused once half of it is free.
func (endedQueue *endedQueue) pop() {
	endedQueue.entries[endedQueue.head] = endedTask{}
	endedQueue.head++
	if endedQueue.head*2 > len(endedQueue.entries) {
		endedQueue.entries = append([]endedTask(nil), endedQueue.entries[endedQueue.head:]...)
		endedQueue.head = 0
	}
}
