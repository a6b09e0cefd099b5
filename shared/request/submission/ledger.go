package submission

import (
	"math"
	"time"

	"tanagerfall/shared/request/job"
)

const (
	// MaxBlock is the largest number of IDs issued at once.
	MaxBlock = 256
	// Lifetime is how long an ID can be spent and its answer can be read.
	Lifetime = 15 * time.Minute
	// retention is how long an entry outlives its ID's expiry, to cover the
	// difference between the clocks of two VMs after a hand-over.
	retention = time.Minute
	// bucketSeconds is the resolution of the expiry of entries.
	bucketSeconds = 8
	// expireBatch bounds the entries that one call of Expire forgets, about
	// 1 ms of work.
	expireBatch = 4096
)

// State is what became of a submission.
type State uint8

// The states. An ID that was issued and has no entry is Unspent.
const (
	Unspent State = iota
	Running
	Answered
	// Tombstone means that the job ran and its answer is gone.
	Tombstone
	// TombstoneUnknown is a Tombstone of a job that may have run.
	TombstoneUnknown
	// TombstoneRefused is a Tombstone of a job that was refused and never ran.
	TombstoneRefused
)

// ClaimResult is the ledger's verdict on a submission that arrived.
type ClaimResult interface{ claim() }

// The verdicts.
type (
	// ClaimNew means that the ID was unspent and is now spent: the caller of
	// Claim must start the job, and nobody else ever will.
	ClaimNew struct{}
	// ClaimRunning means that the job is running: attach to it.
	ClaimRunning struct{}
	// ClaimAnswered carries the answer of a job that ended.
	ClaimAnswered struct{ Answer job.Answer }
	// ClaimEvicted means that the job ended and its answer was evicted. Started
	// says whether it ran.
	ClaimEvicted struct{ Started job.Started }
	// ClaimExpired means that the ID expired and nothing is known about it.
	ClaimExpired struct{}
	// ClaimNotHeld means that the ledger does not hold the ID's incarnation.
	ClaimNotHeld struct{}
	// ClaimFrozen means that the ledger is being handed over.
	ClaimFrozen struct{}
)

func (ClaimNew) claim()      {}
func (ClaimRunning) claim()  {}
func (ClaimAnswered) claim() {}
func (ClaimEvicted) claim()  {}
func (ClaimExpired) claim()  {}
func (ClaimNotHeld) claim()  {}
func (ClaimFrozen) claim()   {}

// Identity is what the ledger writes into the IDs it issues.
type Identity struct {
	Domain      string
	Address     string
	Incarnation uint64
}

// Ledger issues IDs and remembers what became of each. It is not safe for
// concurrent use: the control goroutine owns it.
type Ledger struct {
	identity Identity
	next     uint64
	// held has the entries of this incarnation and of those taken over.
	held        map[uint64]*heldEntries
	answers     map[Key]storedAnswer
	frozen      bool
	running     int
	answerBytes int
	maxBytes    int
	// answered is the eviction order of answers, oldest first.
	answered []Key
	evicted  uint64
}

// heldEntries are the spent IDs of one incarnation. The entries are small
// because most outlive their answers.
type heldEntries struct {
	// issued is the highest counter issued, for an incarnation taken over.
	issued uint64
	// until is the time in Unix seconds from which no ID of the incarnation
	// can be asked for; 0 while the incarnation issues IDs.
	until   int64
	entries map[uint64]entry
	// buckets lists the counters whose entries are to be forgotten in a span
	// of bucketSeconds, by Unix time divided by bucketSeconds.
	buckets map[int64][]uint64
	// swept is the first bucket that may still have counters.
	swept int64
}

type entry struct {
	// expiry is the ID's expiry in Unix seconds.
	expiry uint32
	state  State
}

type storedAnswer struct {
	answer *job.Answer
	// bytes is the size that the answer counts for in the memory bound.
	bytes int
}

func newHeldEntries() *heldEntries {
	return &heldEntries{
		entries: make(map[uint64]entry),
		buckets: make(map[int64][]uint64),
	}
}

func (held *heldEntries) add(counter uint64, added entry) {
	held.entries[counter] = added
	bucket := (int64(added.expiry)+int64(retention/time.Second))/bucketSeconds + 1
	held.buckets[bucket] = append(held.buckets[bucket], counter)
	if held.swept == 0 || bucket < held.swept {
		held.swept = bucket
	}
}

// NewLedger returns an empty ledger that keeps at most maxAnswerBytes of
// answers.
func NewLedger(identity Identity, maxAnswerBytes int) *Ledger {
	return &Ledger{
		identity: identity,
		held:     map[uint64]*heldEntries{identity.Incarnation: newHeldEntries()},
		answers:  make(map[Key]storedAnswer),
		maxBytes: maxAnswerBytes,
	}
}

// Issue returns count fresh IDs for a team, at most MaxBlock, and none after
// Freeze.
func (ledger *Ledger) Issue(now time.Time, team string, count int) []ID {
	count = min(count, MaxBlock)
	if ledger.frozen {
		return nil
	}
	ids := make([]ID, 0, max(count, 0))
	for range count {
		ledger.next++
		ids = append(ids, ID{
			Key: Key{
				Incarnation: ledger.identity.Incarnation,
				Counter:     ledger.next,
			},
			Domain:  ledger.identity.Domain,
			Address: ledger.identity.Address,
			Team:    team,
			Expiry:  now.Add(Lifetime).Truncate(time.Second),
		})
	}
	return ids
}

// Claim spends id if it is unspent and says what became of it otherwise.
func (ledger *Ledger) Claim(now time.Time, id ID) ClaimResult {
	claim, known := ledger.Lookup(now, id)
	if known {
		return claim
	}
	ledger.held[id.Key.Incarnation].add(id.Key.Counter, entry{
		expiry: uint32(id.Expiry.Unix()),
		state:  Running,
	})
	ledger.running++
	return ClaimNew{}
}

// Lookup says what became of id and spends nothing. The second result is false
// where the ID is unspent. While the ledger is frozen, an ID without an entry
// is ClaimFrozen, because the successor may spend it.
func (ledger *Ledger) Lookup(now time.Time, id ID) (ClaimResult, bool) {
	held, holds := ledger.held[id.Key.Incarnation]
	if !holds || held.until != 0 && id.Key.Counter > held.issued {
		return ClaimNotHeld{}, true
	}
	found, known := held.entries[id.Key.Counter]
	if known {
		return ledger.claimOf(id.Key, found), true
	}
	if !now.Before(id.Expiry) {
		return ClaimExpired{}, true
	}
	if ledger.frozen {
		return ClaimFrozen{}, true
	}
	return nil, false
}

func (ledger *Ledger) claimOf(key Key, found entry) ClaimResult {
	switch found.state {
	case Running:
		return ClaimRunning{}
	case Answered:
		return ClaimAnswered{
			Answer: *ledger.answers[key].answer,
		}
	case Tombstone:
		return ClaimEvicted{
			Started: job.StartedYes,
		}
	case TombstoneRefused:
		return ClaimEvicted{
			Started: job.StartedNo,
		}
	case TombstoneUnknown, Unspent:
	}
	return ClaimEvicted{
		Started: job.StartedUnknown,
	}
}

// Finish records the answer of a running job. bytes is the size the answer
// counts for. The oldest answers are evicted, leaving tombstones, while the
// answers exceed the memory bound.
func (ledger *Ledger) Finish(key Key, answer job.Answer, bytes int) {
	held, holds := ledger.held[key.Incarnation]
	if !holds {
		return
	}
	found, known := held.entries[key.Counter]
	if !known || found.state != Running {
		return
	}
	ledger.running--
	found.state = Answered
	held.entries[key.Counter] = found
	ledger.store(key, &answer, bytes)
	ledger.evict()
}

func (ledger *Ledger) store(key Key, answer *job.Answer, bytes int) {
	ledger.answers[key] = storedAnswer{
		answer: answer,
		bytes:  bytes,
	}
	ledger.answerBytes += bytes
	ledger.answered = append(ledger.answered, key)
}

func (ledger *Ledger) evict() {
	for ledger.answerBytes > ledger.maxBytes && len(ledger.answered) > 0 {
		key := ledger.answered[0]
		ledger.answered = ledger.answered[1:]
		stored := ledger.answers[key]
		if !ledger.dropAnswer(key) {
			continue
		}
		ledger.evicted++
		held := ledger.held[key.Incarnation]
		found := held.entries[key.Counter]
		found.state = tombstoneOf(stored.answer)
		held.entries[key.Counter] = found
	}
}

// tombstoneOf returns what is still said of a job without its answer. A
// refusal must stay one: a caller may have acted on it.
func tombstoneOf(answer *job.Answer) State {
	switch {
	case answer.Outcome == job.Refused:
		return TombstoneRefused
	case answer.Outcome == job.Failed && answer.Started != job.StartedYes:
		return TombstoneUnknown
	}
	return Tombstone
}

func (ledger *Ledger) dropAnswer(key Key) bool {
	stored, known := ledger.answers[key]
	if !known {
		return false
	}
	ledger.answerBytes -= stored.bytes
	delete(ledger.answers, key)
	return true
}

// Expire forgets the entries whose IDs expired, at most expireBatch of them in
// one call, and reports whether some are left for the next call. Running jobs
// are kept.
func (ledger *Ledger) Expire(now time.Time) bool {
	left := expireBatch
	for incarnation, held := range ledger.held {
		left = ledger.sweep(now, incarnation, held, left)
		if left <= 0 {
			return true
		}
		if held.until != 0 && now.Unix() >= held.until && len(held.entries) == 0 {
			delete(ledger.held, incarnation)
		}
	}
	for len(ledger.answered) > 0 {
		if _, kept := ledger.answers[ledger.answered[0]]; kept {
			break
		}
		ledger.answered = ledger.answered[1:]
	}
	return false
}

// sweep forgets entries of the buckets that are due and returns how many more
// entries may be forgotten.
func (ledger *Ledger) sweep(now time.Time, incarnation uint64, held *heldEntries, left int) int {
	due := now.Unix() / bucketSeconds
	if held.swept == 0 || len(held.buckets) == 0 {
		return left
	}
	for held.swept <= due {
		counters := held.buckets[held.swept]
		batch := min(len(counters), left)
		for _, counter := range counters[:batch] {
			ledger.forget(now, incarnation, held, counter)
		}
		left -= batch
		if batch < len(counters) {
			held.buckets[held.swept] = counters[batch:]
			return 0
		}
		delete(held.buckets, held.swept)
		if len(held.buckets) == 0 {
			held.swept = 0
			return left
		}
		held.swept = held.firstBucket()
	}
	return left
}

func (held *heldEntries) firstBucket() int64 {
	if _, used := held.buckets[held.swept+1]; used {
		return held.swept + 1
	}
	first := int64(math.MaxInt64)
	for bucket := range held.buckets {
		first = min(first, bucket)
	}
	return first
}

func (ledger *Ledger) forget(now time.Time, incarnation uint64, held *heldEntries, counter uint64) {
	found := held.entries[counter]
	if found.state == Running {
		// A job may outlive its ID. It is looked at again a minute later.
		bucket := (now.Unix()+int64(retention/time.Second))/bucketSeconds + 1
		held.buckets[bucket] = append(held.buckets[bucket], counter)
		return
	}
	ledger.dropAnswer(Key{
		Incarnation: incarnation,
		Counter:     counter,
	})
	delete(held.entries, counter)
}

// Stats counts what the ledger holds.
type Stats struct {
	Issued  uint64 `json:"issued"`
	Entries int    `json:"entries"`
	Running int    `json:"running"`
	// Incarnations counts those whose IDs are held, this one included.
	Incarnations int    `json:"incarnations"`
	AnswerBytes  int    `json:"answer-bytes"`
	Evicted      uint64 `json:"evicted-answers"`
	Frozen       bool   `json:"frozen"`
}

// Stats returns the ledger's counts.
func (ledger *Ledger) Stats() Stats {
	entries := 0
	for _, held := range ledger.held {
		entries += len(held.entries)
	}
	return Stats{
		Issued:       ledger.next,
		Entries:      entries,
		Running:      ledger.running,
		Incarnations: len(ledger.held),
		AnswerBytes:  ledger.answerBytes,
		Evicted:      ledger.evicted,
		Frozen:       ledger.frozen,
	}
}
