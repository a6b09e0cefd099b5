package submission_test

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
)

var start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

func newLedger(maxAnswerBytes int) *submission.Ledger {
	return submission.NewLedger(submission.Identity{
		Domain:      "brest",
		Address:     "10.0.0.1:7000",
		Incarnation: 1,
	}, maxAnswerBytes)
}

// Guards against an ID that can be spent twice or after its expiry, in any
// sequence of calls, and against answers that exceed the memory limit.
func TestSpentIDsStaySpent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes = 1000
		ledger := newLedger(maxBytes)
		now := start
		var ids []submission.ID
		spent := make(map[submission.Key]bool)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				ids = append(ids, ledger.Issue(now, "team", rapid.IntRange(0, 3).Draw(t, "count"))...)
			case 1, 2:
				if len(ids) == 0 {
					continue
				}
				id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "id")]
				_, claimed := ledger.Claim(now, id).(submission.ClaimNew)
				if claimed && (spent[id.Key] || !now.Before(id.Expiry)) {
					t.Fatalf("ID %v is spent again or after its expiry", id.Key)
				}
				spent[id.Key] = spent[id.Key] || claimed
			case 3:
				if len(ids) > 0 {
					id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "id")]
					ledger.Finish(id.Key, job.Answer{}, rapid.IntRange(0, 600).Draw(t, "bytes"))
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "s")) * time.Second)
				ledger.Expire(now)
			}
			if stats := ledger.Stats(); stats.AnswerBytes > maxBytes {
				t.Fatalf("%d bytes of answers", stats.AnswerBytes)
			}
		}
	})
}

// Guards against entries that are never removed, against a call of Expire that
// scans the whole ledger, and against the removal of running jobs.
func TestExpireInBatches(t *testing.T) {
	const count = 10_000
	ledger := newLedger(1 << 20)
	for range count / submission.MaxBlock {
		for i, id := range ledger.Issue(start, "team", submission.MaxBlock) {
			ledger.Claim(start, id)
			if i > 0 {
				ledger.Finish(id.Key, job.Answer{}, 1)
			}
		}
	}
	entries := ledger.Stats().Entries
	assert.Assert(t, !ledger.Expire(start.Add(submission.Lifetime)))
	assert.Equal(t, ledger.Stats().Entries, entries, "entries were removed before the retention ended")
	afterRetention := start.Add(submission.Lifetime + 2*time.Minute)
	for ledger.Expire(afterRetention) {
		remaining := ledger.Stats().Entries
		assert.Assert(t, entries-remaining <= 5000, "%d entries were removed in one call", entries-remaining)
		entries = remaining
	}
	assert.Equal(t, ledger.Stats().Entries, ledger.Running())
	assert.Equal(t, ledger.Stats().AnswerBytes, 0)
}

// Guards against an incarnation taken over that is never removed, and against
// one that is removed while its IDs can be spent.
func TestTakenOverIncarnationExpires(t *testing.T) {
	predecessor := newLedger(1 << 20)
	ids := predecessor.Issue(start, "team", 2)
	predecessor.Claim(start, ids[0])
	predecessor.Finish(ids[0].Key, job.Answer{}, 1)
	predecessor.Freeze()
	ledger := submission.NewLedger(submission.Identity{Incarnation: 2}, 1<<20)
	ledger.Import(predecessor.Export(start, submission.DefaultPieceEntries))
	ledger.Expire(start.Add(submission.Lifetime - time.Second))
	assert.Equal(t, ledger.Claim(start, ids[1]), submission.ClaimResult(submission.ClaimNew{}))
	ledger.Finish(ids[1].Key, job.Answer{}, 1)
	for range 3 {
		ledger.Expire(start.Add(submission.Lifetime + 3*time.Minute))
	}
	assert.Equal(t, ledger.Claim(start, ids[1]), submission.ClaimResult(submission.ClaimNotHeld{}))
	assert.Equal(t, ledger.Stats().Entries, 0)
}

const spentIDCount = 100_000

// newLedgerOfSpentIDs returns a ledger with spentIDCount answered submissions,
// whose IDs were issued over the lifetime of an ID.
func newLedgerOfSpentIDs(maxAnswerBytes int) *submission.Ledger {
	ledger := newLedger(maxAnswerBytes)
	for i := 0; i < spentIDCount; i += submission.MaxBlock {
		now := start.Add(submission.Lifetime * time.Duration(i) / spentIDCount)
		for _, id := range ledger.Issue(now, "team", min(submission.MaxBlock, spentIDCount-i)) {
			ledger.Claim(now, id)
			ledger.Finish(id.Key, job.Answer{Outcome: job.Complete}, 200)
		}
	}
	return ledger
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against a ledger that exceeds the target of 16 MB of heap for 100,000
// spent IDs without answers.
func TestHeapOfSpentIDs(t *testing.T) {
	before := heapInUse()
	ledger := newLedgerOfSpentIDs(0)
	used := heapInUse() - before
	assert.Equal(t, ledger.Stats().Entries, spentIDCount)
	t.Logf("%.2f MB of heap for %d spent IDs", float64(used)/(1<<20), spentIDCount)
	assert.Assert(t, used <= 16<<20, "%d bytes", used)
}

func BenchmarkClaimAndFinish(b *testing.B) {
	ledger := newLedger(0)
	b.ReportAllocs()
	for b.Loop() {
		id := ledger.Issue(start, "team", 1)[0]
		ledger.Claim(start, id)
		ledger.Finish(id.Key, job.Answer{}, 1)
	}
}

func BenchmarkExpire(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		ledger := newLedgerOfSpentIDs(0)
		b.StartTimer()
		for ledger.Expire(start.Add(3 * submission.Lifetime)) {
			continue
		}
	}
}
