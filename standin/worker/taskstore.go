package worker

import (
	"time"

	"tanagerfall/shared/connection/upstream"
)

// taskStore holds the records by task ID. Results are bounded in age and
// number. An ID is remembered longer than its result, so that a late duplicate
// of a start does not run the task again.
type taskStore struct {
	config  *Config
	records map[string]*record
	// ended holds the ended tasks whose results are kept, oldest first.
	ended endedQueue
	// evicted holds the tasks whose results were evicted, oldest first.
	evicted endedQueue
}

// endedTask is a record and the time at which its task ended.
type endedTask struct {
	record  *record
	endedAt time.Time
}

// endedQueue is a first-in, first-out queue. Entries before head are free.
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

// addNeverStarted records a task that has not started and must not start
// later.
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

// markEnded queues the record of an ended task for eviction.
func (taskStore *taskStore) markEnded(record *record, now time.Time) {
	taskStore.ended.push(endedTask{
		record:  record,
		endedAt: now,
	})
}

// expire evicts results and then removes evicted IDs until both are within the
// bounds of the config.
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

// evict drops a task's result. The record still states whether the task was
// started, so that its ID is not run again.
func (taskStore *taskStore) evict(task endedTask) {
	if task.record.state == upstream.Finished {
		task.record.state = upstream.TaskFailed
		task.record.reason = ReasonEvicted
	}
	task.record.echo = nil
	task.record.timer = nil
	taskStore.evicted.push(task)
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

// pop removes the first entry. It compacts the queue once more than half of
// the entries are free.
func (endedQueue *endedQueue) pop() {
	endedQueue.entries[endedQueue.head] = endedTask{}
	endedQueue.head++
	if endedQueue.head*2 > len(endedQueue.entries) {
		endedQueue.entries = append([]endedTask(nil), endedQueue.entries[endedQueue.head:]...)
		endedQueue.head = 0
	}
}
