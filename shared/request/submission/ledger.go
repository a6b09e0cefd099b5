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
	// maxExpiredEntries bounds the entries that one call of Expire forgets, about
	// 1 ms of work.
	maxExpiredEntries = 4096
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
type ClaimResult interface{ claimResult() }

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

func (ClaimNew) claimResult()      {}
func (ClaimRunning) claimResult()  {}
func (ClaimAnswered) claimResult() {}
func (ClaimEvicted) claimResult()     {}
func (ClaimExpired) claimResult()  {}
func (ClaimNotHeld) claimResult()  {}
func (ClaimFrozen) claimResult()   {}

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
	lastIssued     uint64
	// partitions has the entries of this incarnation and of those taken over.
	partitions        map[uint64]*ledgerPartition
	answers     map[Key]storedAnswer
	frozen      bool
	running     int
	answerBytes int
	answerBytesLimit    int
	// evictionOrder is the eviction order of answers, oldest first.
	evictionOrder []Key
	evictedAnswers  uint64
}

// ledgerPartition are the spent IDs of one incarnation. The entries are small
// because most outlive their answers.
type ledgerPartition struct {
	// lastIssued is the highest counter issued, for an incarnation taken over.
	lastIssued uint64
	// expiryUnix is the time in Unix seconds from which no ID of the incarnation
	// can be asked for; 0 while the incarnation issues IDs.
	expiryUnix   int64
	entries map[uint64]ledgerEntry
	// expiryBuckets lists the counters whose entries are to be forgotten in a span
	// of bucketSeconds, by Unix time divided by bucketSeconds.
	expiryBuckets map[int64][]uint64
	// lowestBucket is the first bucket that may still have counters.
	lowestBucket int64
}

type ledgerEntry struct {
	// expiry is the ID's expiry in Unix seconds.
	expiry uint32
	state  State
}

type storedAnswer struct {
	answer *job.Answer
	// bytes is the size that the answer counts for in the memory bound.
	bytes int
}

func newLedgerPartition() *ledgerPartition {
	return &ledgerPartition{
		entries: make(map[uint64]ledgerEntry),
		expiryBuckets: make(map[int64][]uint64),
	}
}

func (partition *ledgerPartition) add(counter uint64, entry ledgerEntry) {
	partition.entries[counter] = entry
	bucket := (int64(entry.expiry)+int64(retention/time.Second))/bucketSeconds + 1
	partition.expiryBuckets[bucket] = append(partition.expiryBuckets[bucket], counter)
	if partition.lowestBucket == 0 || bucket < partition.lowestBucket {
		partition.lowestBucket = bucket
	}
}

// NewLedger returns an empty ledger that keeps at most maxAnswerBytes of
// answers.
func NewLedger(identity Identity, maxAnswerBytes int) *Ledger {
	return &Ledger{
		identity: identity,
		partitions:     map[uint64]*ledgerPartition{identity.Incarnation: newLedgerPartition()},
		answers:  make(map[Key]storedAnswer),
		answerBytesLimit: maxAnswerBytes,
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
		ledger.lastIssued++
		ids = append(ids, ID{
			Key: Key{
				Incarnation: ledger.identity.Incarnation,
				Counter:     ledger.lastIssued,
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
	ledger.partitions[id.Key.Incarnation].add(id.Key.Counter, ledgerEntry{
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
	partition, held := ledger.partitions[id.Key.Incarnation]
	if !held || partition.expiryUnix != 0 && id.Key.Counter > partition.lastIssued {
		return ClaimNotHeld{}, true
	}
	entry, known := partition.entries[id.Key.Counter]
	if known {
		return ledger.resultOf(id.Key, entry), true
	}
	if !now.Before(id.Expiry) {
		return ClaimExpired{}, true
	}
	if ledger.frozen {
		return ClaimFrozen{}, true
	}
	return nil, false
}

func (ledger *Ledger) resultOf(key Key, entry ledgerEntry) ClaimResult {
	switch entry.state {
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
	partition, held := ledger.partitions[key.Incarnation]
	if !held {
		return
	}
	entry, known := partition.entries[key.Counter]
	if !known || entry.state != Running {
		return
	}
	ledger.running--
	entry.state = Answered
	partition.entries[key.Counter] = entry
	ledger.storeAnswer(key, &answer, bytes)
	ledger.evictAnswers()
}

func (ledger *Ledger) storeAnswer(key Key, answer *job.Answer, bytes int) {
	ledger.answers[key] = storedAnswer{
		answer: answer,
		bytes:  bytes,
	}
	ledger.answerBytes += bytes
	ledger.evictionOrder = append(ledger.evictionOrder, key)
}

func (ledger *Ledger) evictAnswers() {
	for ledger.answerBytes > ledger.answerBytesLimit && len(ledger.evictionOrder) > 0 {
		key := ledger.evictionOrder[0]
		ledger.evictionOrder = ledger.evictionOrder[1:]
		stored := ledger.answers[key]
		if !ledger.dropAnswer(key) {
			continue
		}
		ledger.evictedAnswers++
		partition := ledger.partitions[key.Incarnation]
		entry := partition.entries[key.Counter]
		entry.state = tombstoneOf(stored.answer)
		partition.entries[key.Counter] = entry
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
	budget := maxExpiredEntries
	for incarnation, partition := range ledger.partitions {
		budget = ledger.expirePartition(now, incarnation, partition, budget)
		if budget <= 0 {
			return true
		}
		if partition.expiryUnix != 0 && now.Unix() >= partition.expiryUnix && len(partition.entries) == 0 {
			delete(ledger.partitions, incarnation)
		}
	}
	for len(ledger.evictionOrder) > 0 {
		if _, kept := ledger.answers[ledger.evictionOrder[0]]; kept {
			break
		}
		ledger.evictionOrder = ledger.evictionOrder[1:]
	}
	return false
}

// expirePartition forgets entries of the buckets that are due and returns how many more
// entries may be forgotten.
func (ledger *Ledger) expirePartition(now time.Time, incarnation uint64, partition *ledgerPartition, budget int) int {
	dueBucket := now.Unix() / bucketSeconds
	if partition.lowestBucket == 0 || len(partition.expiryBuckets) == 0 {
		return budget
	}
	for partition.lowestBucket <= dueBucket {
		counters := partition.expiryBuckets[partition.lowestBucket]
		batch := min(len(counters), budget)
		for _, counter := range counters[:batch] {
			ledger.removeEntry(now, incarnation, partition, counter)
		}
		budget -= batch
		if batch < len(counters) {
			partition.expiryBuckets[partition.lowestBucket] = counters[batch:]
			return 0
		}
		delete(partition.expiryBuckets, partition.lowestBucket)
		if len(partition.expiryBuckets) == 0 {
			partition.lowestBucket = 0
			return budget
		}
		partition.lowestBucket = partition.findLowestBucket()
	}
	return budget
}

func (partition *ledgerPartition) findLowestBucket() int64 {
	if _, used := partition.expiryBuckets[partition.lowestBucket+1]; used {
		return partition.lowestBucket + 1
	}
	lowest := int64(math.MaxInt64)
	for bucket := range partition.expiryBuckets {
		lowest = min(lowest, bucket)
	}
	return lowest
}

func (ledger *Ledger) removeEntry(now time.Time, incarnation uint64, partition *ledgerPartition, counter uint64) {
	entry := partition.entries[counter]
	if entry.state == Running {
		// A job may outlive its ID. It is looked at again a minute later.
		bucket := (now.Unix()+int64(retention/time.Second))/bucketSeconds + 1
		partition.expiryBuckets[bucket] = append(partition.expiryBuckets[bucket], counter)
		return
	}
	ledger.dropAnswer(Key{
		Incarnation: incarnation,
		Counter:     counter,
	})
	delete(partition.entries, counter)
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
	for _, partition := range ledger.partitions {
		entries += len(partition.entries)
	}
	return Stats{
		Issued:       ledger.lastIssued,
		Entries:      entries,
		Running:      ledger.running,
		Incarnations: len(ledger.partitions),
		AnswerBytes:  ledger.answerBytes,
		Evicted:      ledger.evictedAnswers,
		Frozen:       ledger.frozen,
	}
}
