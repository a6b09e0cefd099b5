package cancellation

import "time"

// Cancellation is a cancelled job.
type Cancellation struct {
	JobID string `cbor:"1,keyasint"`
	// Age is the time since the caller cancelled the job.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// Set holds the jobs that were cancelled lately. It is not safe for concurrent use.
type Set struct {
	retention time.Duration
	capacity  int
	ids       map[string]bool
	// entries holds the cancellations in the order in which they were added.
	entries []entry
	// added counts the cancellations that were ever added.
	added int
}

// entry is a cancellation in a Set.
type entry struct {
	id          string
	cancelledAt time.Time
	// forward is set if this process passes the cancellation on.
	forward bool
}

// NewSet returns a Set that remembers at most capacity cancellations, each until
// retention has passed since the caller cancelled the job.
func NewSet(retention time.Duration, capacity int) *Set {
	return &Set{
		retention: retention,
		capacity:  capacity,
		ids:       make(map[string]bool),
	}
}

// Add adds a cancellation and reports whether it is new. The oldest one is forgotten
// if there are too many. Since returns the cancellations with forward set.
func (set *Set) Add(now time.Time, cancellation Cancellation, forward bool) bool {
	if cancellation.Age >= set.retention || set.ids[cancellation.JobID] {
		return false
	}
	if len(set.entries) >= set.capacity {
		set.removeOldest(1 + len(set.entries) - set.capacity)
	}
	set.ids[cancellation.JobID] = true
	set.added++
	set.entries = append(set.entries, entry{
		id:          cancellation.JobID,
		cancelledAt: now.Add(-max(cancellation.Age, 0)),
		forward:     forward,
	})
	return true
}

// Contains reports whether a job was cancelled lately.
func (set *Set) Contains(id string) bool { return set.ids[id] }

// Len returns the number of cancellations.
func (set *Set) Len() int { return len(set.entries) }

// Added returns the number of cancellations that were ever added.
func (set *Set) Added() int { return set.added }

// Expire forgets the oldest cancellations that have passed the retention.
func (set *Set) Expire(now time.Time) {
	expired := 0
	for expired < len(set.entries) && now.Sub(set.entries[expired].cancelledAt) >= set.retention {
		expired++
	}
	set.removeOldest(expired)
}

// Since returns the cancellations that were added after the first added ones. If
// forwardedOnly is set, those that this process does not pass on are omitted.
func (set *Set) Since(now time.Time, added int, forwardedOnly bool) []Cancellation {
	first := max(len(set.entries)-(set.added-added), 0)
	var cancellations []Cancellation
	for _, entry := range set.entries[first:] {
		age := now.Sub(entry.cancelledAt)
		if (forwardedOnly && !entry.forward) || age >= set.retention {
			continue
		}
		cancellations = append(cancellations, Cancellation{
			JobID: entry.id,
			Age:   age,
		})
	}
	return cancellations
}

func (set *Set) removeOldest(count int) {
	for _, entry := range set.entries[:count] {
		delete(set.ids, entry.id)
	}
	set.entries = append(set.entries[:0], set.entries[count:]...)
}
