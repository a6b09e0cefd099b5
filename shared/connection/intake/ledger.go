package intake

import (
	"container/list"
	"time"
)

// minStall is the time without progress after which a caller's connection or body may be
// ended for the sake of another. Packets that are lost once are sent again within it.
const minStall = 250 * time.Millisecond

// progressBytes is how much of a body has to arrive to count as progress. Clients that send
// single bytes to stay ahead of others gain nothing by it.
const progressBytes = 1 << 10

// largeJobShare is the share of the memory for jobs that large jobs can take; the rest is
// for jobs of up to largeJob bytes.
const (
	largeJob      = 32 << 10
	largeJobShare = 0.75
)

// phase is what a process waits for on a connection.
type phase int

const (
	// phaseServed means that the process itself works on the request.
	phaseServed phase = iota
	// phaseWaiting means that the next request's header, or the reading of the last
	// answer, is awaited.
	phaseWaiting
	// phaseSmallBody and phaseLargeBody mean that a body is being read.
	phaseSmallBody
	phaseLargeBody
	// phaseLeaving means that the connection ends and its client is being answered.
	phaseLeaving
	phaseCount
)

// Entry is the Ledger's record of a connection. Its fields belong to the Ledger.
type Entry struct {
	phase      phase
	progressAt time.Time
	// arrived counts the bytes of the body since progressAt.
	arrived int
	// element is the place in the list of the phase; nil in phaseServed.
	element *list.Element
	// bodyBytes is the memory reserved for the body, of the pool for large bodies if
	// isLarge is set.
	bodyBytes int64
	isLarge   bool
	// jobBytes is the memory held for the job.
	jobBytes int64
	// evicted is set once the connection has to end, closed once it no longer counts.
	evicted bool
	closed  bool
}

// newUncountedEntry returns an entry that holds memory and counts as no connection.
func newUncountedEntry() *Entry {
	return &Entry{
		closed: true,
	}
}

// pool is the memory for bodies of one size class.
type pool struct {
	limit    int64
	reserved int64
	// leaving is the part of reserved whose connections have been told to end.
	leaving int64
}

// Verdict is the answer to a reservation.
type Verdict int

// Values of Verdict.
const (
	// Granted means that the memory is reserved.
	Granted Verdict = iota
	// Pending means that the memory is free once others have ended.
	Pending
	// Refused means that the request has to be refused.
	Refused
)

// Ledger keeps account of what a process holds for clients, and decides who gives way
// when a limit is reached: the connection that has made no progress for longest. It is
// not safe for concurrent use.
type Ledger struct {
	limits   Limits
	open     int
	jobBytes int64
	small    pool
	large    pool
	// byPhase holds the entries of each phase, the one without progress for longest
	// first.
	byPhase [phaseCount]*list.List
}

// NewLedger returns a Ledger without connections.
func NewLedger(limits Limits) *Ledger {
	ledger := &Ledger{
		limits: limits,
		small: pool{
			limit: limits.SmallBodyBytes,
		},
		large: pool{
			limit: limits.LargeBodyBytes,
		},
	}
	for i := range ledger.byPhase {
		ledger.byPhase[i] = list.New()
	}
	return ledger
}

// Open admits a connection, and returns another one to close first if the limit is
// reached. If none has waited for Limits.ConnectionStall, it returns nil and how long to
// wait until one has. It returns nil and no wait if all have requests in progress.
func (ledger *Ledger) Open(now time.Time) (opened, victim *Entry, wait time.Duration) {
	if ledger.limits.Connections > 0 && ledger.open >= ledger.limits.Connections {
		victim = ledger.slowest()
		if victim == nil {
			return nil, nil, 0
		}
		if wait := victim.progressAt.Add(ledger.limits.ConnectionStall).Sub(now); wait > 0 && victim.phase != phaseLeaving {
			return nil, nil, wait
		}
		ledger.evict(victim)
		ledger.Close(victim)
	}
	ledger.open++
	opened = &Entry{}
	ledger.enter(now, opened, phaseWaiting)
	return opened, victim, 0
}

// slowest returns the connection to close for a new one, or nil. One that ends anyway
// goes first.
func (ledger *Ledger) slowest() *Entry {
	if entry := ledger.front(phaseLeaving); entry != nil {
		return entry
	}
	var slowest *Entry
	for _, phase := range []phase{phaseWaiting, phaseSmallBody, phaseLargeBody} {
		entry := ledger.front(phase)
		if entry != nil && (slowest == nil || entry.progressAt.Before(slowest.progressAt)) {
			slowest = entry
		}
	}
	return slowest
}

// front returns the entry of a phase without progress for longest, or nil.
func (ledger *Ledger) front(phase phase) *Entry {
	element := ledger.byPhase[phase].Front()
	if element == nil {
		return nil
	}
	return element.Value.(*Entry)
}

// enter moves an entry to the end of a phase's list. An entry that leaves stays so.
func (ledger *Ledger) enter(now time.Time, entry *Entry, phase phase) {
	if entry.closed || (entry.evicted && phase != phaseLeaving) {
		return
	}
	ledger.unlink(entry)
	entry.phase = phase
	entry.progressAt = now
	entry.arrived = 0
	if phase != phaseServed {
		entry.element = ledger.byPhase[phase].PushBack(entry)
	}
}

// unlink removes an entry from the list of its phase.
func (ledger *Ledger) unlink(entry *Entry) {
	if entry.element != nil {
		ledger.byPhase[entry.phase].Remove(entry.element)
		entry.element = nil
	}
}

// evict marks a connection that has to end.
func (ledger *Ledger) evict(entry *Entry) {
	if entry.evicted {
		return
	}
	entry.evicted = true
	ledger.poolOf(entry).leaving += entry.bodyBytes
	ledger.enter(entry.progressAt, entry, phaseLeaving)
}

// Close ends the account of a connection. Memory for its body and its job counts until it
// is released.
func (ledger *Ledger) Close(entry *Entry) {
	if entry.closed {
		return
	}
	ledger.unlink(entry)
	entry.closed = true
	ledger.open--
}

// Leave records that a connection ends once its client has the answer.
func (ledger *Ledger) Leave(entry *Entry) { ledger.evict(entry) }

// Wait records that the process waits for a client's next request.
func (ledger *Ledger) Wait(now time.Time, entry *Entry) { ledger.enter(now, entry, phaseWaiting) }

// Answer records that the process waits for a client to read its answer.
func (ledger *Ledger) Answer(now time.Time, entry *Entry) {
	if entry.phase == phaseServed {
		ledger.enter(now, entry, phaseWaiting)
	}
}

// Serve records that the process works on a request that it has received whole.
func (ledger *Ledger) Serve(now time.Time, entry *Entry) { ledger.enter(now, entry, phaseServed) }

// Read records that the reading of a body begins.
func (ledger *Ledger) Read(now time.Time, entry *Entry) { ledger.enter(now, entry, phaseSmallBody) }

// Progress records that bytes of a body have arrived.
func (ledger *Ledger) Progress(now time.Time, entry *Entry, bytes int) {
	entry.arrived += bytes
	if entry.arrived >= progressBytes {
		ledger.enter(now, entry, bodyPhase(entry.isLarge))
	}
}

// bodyPhase returns the phase of a body.
func bodyPhase(isLarge bool) phase {
	if isLarge {
		return phaseLargeBody
	}
	return phaseSmallBody
}

// poolOf returns the pool of an entry's body.
func (ledger *Ledger) poolOf(entry *Entry) *pool {
	if entry.isLarge {
		return &ledger.large
	}
	return &ledger.small
}

// Reserve reserves more memory for a body; isLarge says whether it has more than
// SmallBody bytes. If there is too little, it returns the connections that have to end:
// those of the same size class without progress for longest. The request itself is
// refused if all others make progress.
func (ledger *Ledger) Reserve(now time.Time, entry *Entry, bytes int64, isLarge bool) (Verdict, []*Entry) {
	if entry.evicted {
		return Refused, nil
	}
	isLarge = isLarge || entry.isLarge
	needed := bytes
	target := &ledger.small
	if isLarge {
		target = &ledger.large
		if !entry.isLarge {
			needed += entry.bodyBytes
		}
	}
	if target.limit == 0 || target.reserved+needed <= target.limit {
		ledger.poolOf(entry).reserved -= entry.bodyBytes
		entry.bodyBytes += bytes
		target.reserved += entry.bodyBytes
		if isLarge && !entry.isLarge {
			entry.isLarge = true
			ledger.enter(now, entry, phaseLargeBody)
		}
		return Granted, nil
	}
	if needed > target.limit {
		return Refused, nil
	}
	var victims []*Entry
	for target.reserved-target.leaving+needed > target.limit {
		victim := ledger.front(bodyPhase(isLarge))
		if victim == nil || victim == entry || now.Sub(victim.progressAt) < minStall {
			return Refused, victims
		}
		ledger.evict(victim)
		victims = append(victims, victim)
	}
	return Pending, victims
}

// ReleaseBody ends the reservation for a body.
func (ledger *Ledger) ReleaseBody(entry *Entry) {
	pool := ledger.poolOf(entry)
	pool.reserved -= entry.bodyBytes
	if entry.evicted {
		pool.leaving -= entry.bodyBytes
	}
	entry.bodyBytes = 0
	entry.isLarge = false
}

// HoldJob reserves memory for a job whose caller waits, and reports whether there is
// room.
func (ledger *Ledger) HoldJob(entry *Entry, bytes int64) bool {
	limit := ledger.limits.JobBytes
	if bytes > largeJob {
		limit = int64(largeJobShare * float64(limit))
	}
	if ledger.limits.JobBytes > 0 && ledger.jobBytes+bytes > limit {
		return false
	}
	entry.jobBytes += bytes
	ledger.jobBytes += bytes
	return true
}

// ReleaseJob ends the reservation for a job.
func (ledger *Ledger) ReleaseJob(entry *Entry) {
	ledger.jobBytes -= entry.jobBytes
	entry.jobBytes = 0
}

// Usage is what a process holds for clients.
type Usage struct {
	Connections    int   `json:"connections"`
	SmallBodyBytes int64 `json:"small-body-bytes"`
	LargeBodyBytes int64 `json:"large-body-bytes"`
	JobBytes       int64 `json:"job-bytes"`
}

// Usage returns what is held now.
func (ledger *Ledger) Usage() Usage {
	return Usage{
		Connections:    ledger.open,
		SmallBodyBytes: ledger.small.reserved,
		LargeBodyBytes: ledger.large.reserved,
		JobBytes:       ledger.jobBytes,
	}
}
