package worker

import (
	"time"

	"tanagerfall/shared/connection/upstream"
)

// memory holds the records by task ID. Results are kept for a time and
// bounded in number; an ID outlives its result, so that a late duplicate of a
// start does not run the task again.
type memory struct {
	config  *Config
	records map[string]*record
	// results holds the records that are over, oldest first.
	results queue
	// known holds the IDs whose results were evicted, oldest first.
	known queue
}

// ended is a record and the time at which it was over.
type ended struct {
	record *record
	at     time.Time
}

// queue is a first-in first-out list.
type queue struct {
	entries []ended
	head    int
}

func newMemory(config *Config) memory {
	return memory{
		config:  config,
		records: map[string]*record{},
	}
}

func (memory *memory) get(id string) *record {
	return memory.records[id]
}

func (memory *memory) add(record *record) {
	memory.records[record.id] = record
}

// entomb records that a task never started and never will.
func (memory *memory) entomb(id, reason string, now time.Time) *record {
	record := &record{
		id:     id,
		state:  upstream.NeverStarted,
		reason: reason,
		done:   over,
	}
	memory.add(record)
	memory.finish(record, now)
	return record
}

// finish notes that a record is over.
func (memory *memory) finish(record *record, now time.Time) {
	memory.results.push(ended{
		record: record,
		at:     now,
	})
}

// expire evicts the results beyond the bounds and forgets IDs beyond theirs.
func (memory *memory) expire(now time.Time) {
	for memory.results.size() > 0 {
		oldest := memory.results.first()
		if memory.results.size() <= memory.config.MaxResults && now.Sub(oldest.at) < memory.config.ResultRetention {
			break
		}
		memory.results.pop()
		memory.evict(oldest)
	}
	for memory.known.size() > memory.config.MaxEvictedIDs {
		delete(memory.records, memory.known.first().record.id)
		memory.known.pop()
	}
}

// evict drops a result; the record goes on saying that the task started, or
// that it never did.
func (memory *memory) evict(oldest ended) {
	if oldest.record.state == upstream.Finished {
		oldest.record.state = upstream.TaskFailed
		oldest.record.reason = ReasonEvicted
	}
	oldest.record.echo = nil
	oldest.record.timer = nil
	memory.known.push(oldest)
}

func (queue *queue) size() int {
	return len(queue.entries) - queue.head
}

func (queue *queue) first() ended {
	return queue.entries[queue.head]
}

func (queue *queue) push(entry ended) {
	queue.entries = append(queue.entries, entry)
}

// pop removes the first entry; the space is reused once half of it is free.
func (queue *queue) pop() {
	queue.entries[queue.head] = ended{}
	queue.head++
	if queue.head*2 > len(queue.entries) {
		queue.entries = append([]ended(nil), queue.entries[queue.head:]...)
		queue.head = 0
	}
}
