package submission

import (
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
)

// State is what became of a submission.
type State uint8

// The states. An ID that was issued and has no entry is Unspent.
const (
	Unspent State = iota
	Running
	Answered
	// Tombstone means that the job ended and its answer is gone.
	Tombstone
)

// Entry is what the ledger remembers of one spent ID.
type Entry struct {
	State  State       `cbor:"1,keyasint"`
	Expiry time.Time   `cbor:"2,keyasint"`
	Answer *job.Answer `cbor:"3,keyasint,omitempty"`
	// Bytes is the size that the answer counts for in the memory bound.
	Bytes int `cbor:"4,keyasint,omitempty"`
}

// Claim is the ledger's verdict on a submission that arrived.
type Claim interface{ claim() }

// The verdicts.
type (
	// ClaimNew means that the ID was unspent and is now spent: the caller of
	// Claim must start the job, and nobody else ever will.
	ClaimNew struct{}
	// ClaimRunning means that the job is running: attach to it.
	ClaimRunning struct{}
	// ClaimAnswered carries the answer of a job that ended.
	ClaimAnswered struct{ Answer job.Answer }
	// ClaimGone means that the job ended and its answer was evicted.
	ClaimGone struct{}
	// ClaimExpired means that the ID expired and nothing is known about it.
	ClaimExpired struct{}
	// ClaimForeign means that the ledger does not hold the ID's incarnation.
	ClaimForeign struct{}
	// ClaimFrozen means that the ledger is being handed over.
	ClaimFrozen struct{}
)

func (ClaimNew) claim()      {}
func (ClaimRunning) claim()  {}
func (ClaimAnswered) claim() {}
func (ClaimGone) claim()     {}
func (ClaimExpired) claim()  {}
func (ClaimForeign) claim()  {}
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
	identity    Identity
	next        uint64
	held        map[uint64]bool
	entries     map[Key]Entry
	frozen      bool
	answerBytes int
	maxBytes    int
	// answered is the eviction order of answers, oldest first.
	answered []Key
	evicted  uint64
}

// NewLedger returns an empty ledger that keeps at most maxAnswerBytes of
// answers.
func NewLedger(identity Identity, maxAnswerBytes int) *Ledger {
	return &Ledger{
		identity: identity,
		held:     map[uint64]bool{identity.Incarnation: true},
		entries:  make(map[Key]Entry),
		maxBytes: maxAnswerBytes,
	}
}

// Issue returns count fresh IDs for a team, at most MaxBlock.
func (ledger *Ledger) Issue(now time.Time, team string, count int) []ID {
	count = min(count, MaxBlock)
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
func (ledger *Ledger) Claim(now time.Time, id ID) Claim {
	if !ledger.held[id.Key.Incarnation] {
		return ClaimForeign{}
	}
	entry, known := ledger.entries[id.Key]
	if known {
		return claimOf(entry)
	}
	if ledger.frozen {
		return ClaimFrozen{}
	}
	if !now.Before(id.Expiry) {
		return ClaimExpired{}
	}
	ledger.entries[id.Key] = Entry{
		State:  Running,
		Expiry: id.Expiry,
	}
	return ClaimNew{}
}

// Look says what became of id and spends nothing. The second result is false
// where the ID is unspent.
func (ledger *Ledger) Look(now time.Time, id ID) (Claim, bool) {
	if !ledger.held[id.Key.Incarnation] {
		return ClaimForeign{}, true
	}
	entry, known := ledger.entries[id.Key]
	if known {
		return claimOf(entry), true
	}
	if !now.Before(id.Expiry) {
		return ClaimExpired{}, true
	}
	return nil, false
}

func claimOf(entry Entry) Claim {
	switch entry.State {
	case Running:
		return ClaimRunning{}
	case Answered:
		return ClaimAnswered{Answer: *entry.Answer}
	case Tombstone, Unspent:
		return ClaimGone{}
	}
	return ClaimGone{}
}

// Finish records the answer of a running job. bytes is the size the answer
// counts for. The oldest answers are evicted, leaving tombstones, while the
// answers exceed the memory bound.
func (ledger *Ledger) Finish(key Key, answer job.Answer, bytes int) {
	entry, known := ledger.entries[key]
	if !known || entry.State != Running {
		return
	}
	entry.State = Answered
	entry.Answer = &answer
	entry.Bytes = bytes
	ledger.entries[key] = entry
	ledger.answerBytes += bytes
	ledger.answered = append(ledger.answered, key)
	ledger.evict()
}

func (ledger *Ledger) evict() {
	for ledger.answerBytes > ledger.maxBytes && len(ledger.answered) > 0 {
		key := ledger.answered[0]
		ledger.answered = ledger.answered[1:]
		entry, known := ledger.entries[key]
		if !known || entry.State != Answered {
			continue
		}
		ledger.answerBytes -= entry.Bytes
		ledger.evicted++
		ledger.entries[key] = Entry{
			State:  Tombstone,
			Expiry: entry.Expiry,
		}
	}
}

// Expire forgets the entries whose IDs expired. Running jobs are kept.
func (ledger *Ledger) Expire(now time.Time) {
	for key, entry := range ledger.entries {
		if entry.State == Running || now.Before(entry.Expiry.Add(retention)) {
			continue
		}
		if entry.State == Answered {
			ledger.answerBytes -= entry.Bytes
		}
		delete(ledger.entries, key)
	}
}

// Stats counts what the ledger holds.
type Stats struct {
	Issued      uint64 `json:"issued"`
	Entries     int    `json:"entries"`
	AnswerBytes int    `json:"answer-bytes"`
	Evicted     uint64 `json:"evicted-answers"`
	Frozen      bool   `json:"frozen"`
}

// Stats returns the ledger's counts.
func (ledger *Ledger) Stats() Stats {
	return Stats{
		Issued:      ledger.next,
		Entries:     len(ledger.entries),
		AnswerBytes: ledger.answerBytes,
		Evicted:     ledger.evicted,
		Frozen:      ledger.frozen,
	}
}
