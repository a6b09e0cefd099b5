package submission

import (
	"math"
	"time"

	"tanagerfall/shared/request/job"
)

const (
	// MaxBlock is the maximum number of IDs that one call of Issue returns.
	MaxBlock = 256
	// Lifetime is the time for which an ID can be spent and its answer can be
	// read.
	Lifetime = 15 * time.Minute
	// retention is the time for which an entry is kept after the expiry of its
	// ID. It covers the clock skew between two VMs after a hand-over.
	retention = time.Minute
	// bucketSeconds is the time resolution at which entries are removed.
	bucketSeconds = 8
	// maxExpiredEntries limits the entries that one call of Expire removes to
	// about 1 ms of work.
	maxExpiredEntries = 4096
)

// State is the state of a submission in the Ledger.
type State uint8

// States of a submission.
const (
	// Unspent is the state of an issued ID that has no entry in the ledger.
	Unspent State = iota
	// Running means that the job has no answer yet.
	Running
	// Answered means that the ledger holds the answer to the job.
	Answered
	// Tombstone means that the job ran and its answer was evicted.
	Tombstone
	// TombstoneUnknown means that the job may have run and its answer was
	// evicted.
	TombstoneUnknown
	// TombstoneRefused means that the job was refused and never ran, and that
	// its answer was evicted.
	TombstoneRefused
)

// ClaimResult is the result of Ledger.Claim and Ledger.Lookup for an ID.
type ClaimResult interface{ claimResult() }

// Results of Claim and Lookup.
type (
	// ClaimNew means that the ID was unspent and is now spent. The caller of
	// Claim must start the job; no other call returns ClaimNew for the ID.
	ClaimNew struct{}
	// ClaimRunning means that the job is running. The caller should attach to
	// it and wait for its answer.
	ClaimRunning struct{}
	// ClaimAnswered carries the answer of a job that ended.
	ClaimAnswered struct{ Answer job.Answer }
	// ClaimEvicted means that the job ended and its answer was evicted. Started
	// reports whether the job ran.
	ClaimEvicted struct{ Started job.Started }
	// ClaimExpired means that the ID expired and the ledger has no entry for it.
	ClaimExpired struct{}
	// ClaimNotHeld means that the ledger does not hold the incarnation of the
	// ID, or that the incarnation was taken over and its last issued counter is
	// lower than the counter of the ID.
	ClaimNotHeld struct{}
	// ClaimFrozen means that the ID has no entry and cannot be spent, because
	// the ledger is being handed over.
	ClaimFrozen struct{}
)

func (ClaimNew) claimResult()      {}
func (ClaimRunning) claimResult()  {}
func (ClaimAnswered) claimResult() {}
func (ClaimEvicted) claimResult()  {}
func (ClaimExpired) claimResult()  {}
func (ClaimNotHeld) claimResult()  {}
func (ClaimFrozen) claimResult()   {}

// Identity identifies the process that issues IDs. The ledger writes it into every ID.
type Identity struct {
	// Domain is the failure domain of the VM, Address its peer address (IP:port).
	Domain  string
	Address string
	// Incarnation identifies the process: each start on a VM has its own.
	Incarnation uint64
}

// Ledger issues IDs and records the state and the answer of each submission. It
// is not safe for concurrent use: the control goroutine owns it.
type Ledger struct {
	identity Identity
	// lastIssued is the last counter issued by this incarnation.
	lastIssued uint64
	// partitions holds the entries of this incarnation and of those taken over,
	// by incarnation.
	partitions       map[uint64]*partition
	answers          map[Key]storedAnswer
	frozen           bool
	running          int
	answerBytes      int
	answerBytesLimit int
	// evictionOrder lists the keys of the answers, oldest first. It may contain
	// keys whose answer has already been removed.
	evictionOrder  []Key
	evictedAnswers uint64
}

// partition holds the entries of the spent IDs of one incarnation.
// Answers are stored apart because most entries outlive their answers, which
// keeps the entries small.
type partition struct {
	// lastIssued is the highest issued counter of an incarnation that was taken
	// over.
	lastIssued uint64
	// expiryUnix is the time in Unix seconds from which no ID of the incarnation
	// can be looked up any more. It is 0 while the incarnation issues IDs.
	expiryUnix int64
	// entries holds the entries by counter.
	entries map[uint64]ledgerEntry
	// expiryBuckets lists the counters whose entries are due for removal, by
	// Unix time divided by bucketSeconds.
	expiryBuckets map[int64][]uint64
	// lowestBucket is the first bucket that may have counters. It is 0 if there
	// is none.
	lowestBucket int64
}

// ledgerEntry is the state of a spent ID.
type ledgerEntry struct {
	// expiry is the expiry of the ID in Unix seconds.
	expiry uint32
	state  State
}

type storedAnswer struct {
	answer *job.Answer
	// bytes is the size by which the answer counts against answerBytesLimit.
	bytes int
}

func newPartition() *partition {
	return &partition{
		entries:       make(map[uint64]ledgerEntry),
		expiryBuckets: make(map[int64][]uint64),
	}
}

func (partition *partition) add(counter uint64, entry ledgerEntry) {
	partition.entries[counter] = entry
	bucket := (int64(entry.expiry)+int64(retention/time.Second))/bucketSeconds + 1
	partition.expiryBuckets[bucket] = append(partition.expiryBuckets[bucket], counter)
	if partition.lowestBucket == 0 || bucket < partition.lowestBucket {
		partition.lowestBucket = bucket
	}
}

// NewLedger returns an empty ledger that keeps at most maxAnswerBytes bytes of
// answers, by the sizes given to Finish.
func NewLedger(identity Identity, maxAnswerBytes int) *Ledger {
	return &Ledger{
		identity:         identity,
		partitions:       map[uint64]*partition{identity.Incarnation: newPartition()},
		answers:          make(map[Key]storedAnswer),
		answerBytesLimit: maxAnswerBytes,
	}
}

// Issue returns count new IDs for a team, but at most MaxBlock. It returns none
// while the ledger is frozen.
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

// Claim spends id and returns ClaimNew if id is unspent. Otherwise it returns
// the result of Lookup.
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

// Lookup returns the state of id without spending it. The second result is
// false if the ID is unspent. While the ledger is frozen, the result for an ID
// without an entry is ClaimFrozen, because the successor may spend the ID.
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

// Finish records the answer of a running job and ignores any other key. The
// answer counts as bytes against the memory limit. While the answers exceed the
// limit, the oldest are evicted and leave tombstones.
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

// tombstoneOf returns the state that replaces an evicted answer. A refused job
// must still be reported as not started, because its caller may have acted on
// the refusal.
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

// Expire removes the entries whose IDs expired, at most maxExpiredEntries in one
// call, and reports whether due entries may remain for another call. Entries of
// running jobs are kept. Incarnations taken over are removed when they have
// expired and have no entry left.
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

// expirePartition removes at most budget entries from the due buckets of a
// partition and returns the rest of the budget.
func (ledger *Ledger) expirePartition(now time.Time, incarnation uint64, partition *partition, budget int) int {
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

// findLowestBucket returns the first bucket after lowestBucket that has
// counters; there must be one. It is usually the next bucket, which is tried
// before all buckets are scanned.
func (partition *partition) findLowestBucket() int64 {
	if _, used := partition.expiryBuckets[partition.lowestBucket+1]; used {
		return partition.lowestBucket + 1
	}
	lowest := int64(math.MaxInt64)
	for bucket := range partition.expiryBuckets {
		lowest = min(lowest, bucket)
	}
	return lowest
}

// removeEntry removes a due entry and its answer. The entry of a running job
// is kept.
func (ledger *Ledger) removeEntry(now time.Time, incarnation uint64, partition *partition, counter uint64) {
	entry := partition.entries[counter]
	if entry.state == Running {
		// A job may outlive its ID. Its entry is due again after retention.
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

// Stats describes the contents of a ledger.
type Stats struct {
	// Issued is the number of IDs that this incarnation issued.
	Issued uint64 `json:"issued"`
	// Entries is the number of spent IDs, Running the number of those whose job
	// has no answer yet.
	Entries int `json:"entries"`
	Running int `json:"running"`
	// Incarnations is the number of incarnations whose IDs the ledger holds,
	// including its own.
	Incarnations int `json:"incarnations"`
	// AnswerBytes is the size of the answers held, in bytes.
	AnswerBytes int `json:"answer-bytes"`
	// Evicted is the number of answers evicted since the start.
	Evicted uint64 `json:"evicted-answers"`
	// Frozen is set from Freeze to Thaw.
	Frozen bool `json:"frozen"`
}

// Stats returns the current statistics of the ledger.
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
