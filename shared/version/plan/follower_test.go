package plan_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/plan"
)

// Guards against a rule that accepts a publication on another base than the
// current one, or one that is not what its author saw.
func TestPublicationOutcomes(t *testing.T) {
	one, two := planOf(rule("a", 1)), planOf(rule("a", 2), rule("b", 1))
	wrongDigest := publication("publish-x", 1, one, two)
	wrongDigest.Digest++
	noDomain := publication("publish-x", 1, one, two)
	noDomain.Change.Domains = &plan.Domains{}
	unknownRule := publication("publish-x", 1, one, two)
	unknownRule.Change.Remove = []plan.Key{rule("z", 1).Key()}
	cases := []struct {
		name    string
		record  plan.Record
		verdict string
		version int64
	}{
		{name: "current base", record: publication("publish-x", 1, one, two), verdict: "plan.Adopted", version: 2},
		{name: "stale base", record: publication("publish-x", 0, one, two), verdict: "plan.Conflict", version: 1},
		{name: "base that is no version yet", record: publication("publish-x", 2, one, two), verdict: "plan.Conflict", version: 1},
		{name: "repeated append of the winner", record: publication("publish-1", 0, plan.Empty(), one), verdict: "plan.Ignored", version: 1},
		{name: "wrong digest", record: wrongDigest, verdict: "plan.Invalid", version: 1},
		{name: "domain missing", record: noDomain, verdict: "plan.Invalid", version: 1},
		{name: "removes a rule that is not there", record: unknownRule, verdict: "plan.Invalid", version: 1},
		{name: "recovery", record: &plan.Recovery{PublishID: "publish-x", Digest: plan.DigestOf(two), Plan: two}, verdict: "plan.Adopted", version: 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			stream, follower := newLog(), plan.New()
			stream.append(encode(t, publication("publish-1", 0, plan.Empty(), one)))
			stream.append(encode(t, test.record))
			verdicts := stream.readInto(follower, 10)
			assert.Equal(t, fmt.Sprintf("%T", verdicts[1]), test.verdict)
			version, _, _ := follower.Current()
			assert.Equal(t, version, test.version)
		})
	}
}

// Guards against a conflict that doesn't name the winner.
func TestConcurrentPublicationsAdoptOneAndReportConflict(t *testing.T) {
	stream, follower := newLog(), plan.New()
	first, second := planOf(rule("a", 1)), planOf(rule("a", 2))
	stream.append(encode(t, publication("publish-1", 0, plan.Empty(), first)))
	late := publication("publish-2", 0, plan.Empty(), second)
	late.Author = "deniz"
	stream.append(encode(t, late))
	verdicts := stream.readInto(follower, 10)
	assert.DeepEqual(t, verdicts[1], plan.Conflict{
		Offset:        2,
		PublishID:     "publish-2",
		Author:        "deniz",
		Current:       1,
		CurrentPublishID:     "publish-1",
		CurrentAuthor: "ayla",
	})
}

// Guards against a plan that is given up when the log lost records, was
// trimmed beyond the reader or was emptied and started again.
func TestFollowerKeepsPlanWhenLogLosesRecords(t *testing.T) {
	content := planOf(rule("a", 1))
	follower := plan.New()
	follower.AdoptPeerSnapshot(epoch, &plan.Snapshot{
		Version:   7,
		ReadUpTo:  9,
		PublishID: "publish-7",
		Digest:    plan.DigestOf(content),
		Plan:      content,
	})
	assert.Equal(t, follower.Next(), int64(9))
	follower.ApplyRead(epoch, platform.ReadResponse{
		FirstOffset: 1,
		NextOffset:  2,
		Records: []platform.Record{
			{Offset: 1, Data: encode(t, publication("publish-1", 0, plan.Empty(), planOf(rule("b", 1))))},
		},
	})
	follower.Trimmed(20)
	version, digest, _ := follower.Current()
	assert.Equal(t, version, int64(7))
	assert.Equal(t, digest, plan.DigestOf(content))
	assert.Assert(t, !follower.Synced())
	assert.Equal(t, follower.PullAboveVersion(), int64(6), "a peer's snapshot of the same version closes the gap")
}

// Guards against a snapshot that hides a publication accepted between the
// offset its writer had read and the snapshot itself.
func TestPublicationBeforeOlderSnapshotIsApplied(t *testing.T) {
	stream, writer := newLog(), plan.New()
	one, two := planOf(rule("a", 1)), planOf(rule("a", 2))
	stream.append(encode(t, publication("publish-1", 0, plan.Empty(), one)))
	stream.readInto(writer, 10)
	snapshot, _ := writer.Snapshot("10.0.0.1:7400")
	stream.append(encode(t, publication("publish-2", 1, one, two)))
	stream.append(encode(t, snapshot))
	stream.firstOffset = 2
	reader := plan.New()
	for range 3 {
		stream.readInto(reader, 10)
	}
	version, _, _ := reader.Current()
	assert.Equal(t, version, int64(2))
	assert.Assert(t, reader.Synced())
}

// Guards against rules that come into force before their time, and against a
// change of rules that nobody is told of.
func TestRulesInForceAt(t *testing.T) {
	later, latest := rule("a", 2), rule("a", 3)
	later.InForceFromMs, latest.InForceFromMs = 2000, 3000
	content := planOf(rule("a", 1), later, latest, rule("b", 9))
	cases := []struct {
		atMs, nextMs int64
		limit        int
	}{
		{atMs: 1999, nextMs: 2000, limit: 1},
		{atMs: 2000, nextMs: 3000, limit: 2},
		{atMs: 3000, limit: 3},
	}
	for _, test := range cases {
		effective, next := content.RulesInForceAt(time.UnixMilli(test.atMs))
		assert.Equal(t, len(effective.Rules), 2)
		assert.Equal(t, effective.Rules[0].Cap, test.limit)
		assert.Equal(t, !next.IsZero(), test.nextMs != 0)
		if test.nextMs != 0 {
			assert.Equal(t, next.UnixMilli(), test.nextMs)
		}
	}
}

// Guards against a team that has no rule between the publication of a sheet
// and the time from which its row holds.
func TestCarryOverKeepsRuleUntilNextComesIntoForce(t *testing.T) {
	later, unknown := rule("a", 2), rule("b", 2)
	later.InForceFromMs, unknown.InForceFromMs = 3000, 3000
	dropped := rule("c", 1)
	carried, kept := plan.CarryOver(planOf(rule("a", 1), dropped), planOf(later, unknown), time.UnixMilli(2000))
	assert.DeepEqual(t, kept, []plan.Rule{rule("a", 1)})
	assert.DeepEqual(t, carried, planOf(rule("a", 1), later, unknown))
	unchanged, kept := plan.CarryOver(planOf(rule("a", 1)), planOf(later), time.UnixMilli(3000))
	assert.Equal(t, len(kept), 0)
	assert.DeepEqual(t, unchanged, planOf(later))
}

// Guards against a log without a snapshot when half the retention has passed,
// while most of the VMs that should write it are gone, and against all VMs
// writing at once.
func TestSnapshotIsDueBeforeHalfTheRetention(t *testing.T) {
	stream, follower := newLog(), plan.New()
	stream.append(encode(t, publication("publish-1", 0, plan.Empty(), planOf(rule("a", 1)))))
	stream.readInto(follower, 10)
	var live []string
	for i := range 240 {
		live = append(live, fmt.Sprintf("10.0.0.%d:7400", i))
	}
	written := epoch.Add(time.Millisecond)
	due := make(map[time.Time]int)
	early := 0
	for _, address := range live {
		at := follower.SnapshotDueAt(address, live)
		due[at]++
		assert.Assert(t, !at.Before(written.Add(retention/3)))
		if at.Before(written.Add(retention / 2)) {
			early++
		}
	}
	assert.Equal(t, early, 12)
	assert.Equal(t, len(due), len(live), "two VMs write at the same time")
	assert.Assert(t, plan.New().SnapshotDueAt(live[0], live).IsZero(), "nothing to write without a plan")
}

// Guards against a log that a new VM can't start from: at any time in four
// retentions, with changes of the plan, an outage of the log for a sixth of
// the retention, and VMs that are gone but still counted on, the retained
// records must give a new reader the current version. Also guards against VMs
// that write far more snapshots than needed.
func TestLogAlwaysHoldsSnapshotForNewReader(t *testing.T) {
	for _, vms := range []struct{ count, lost int }{{1, 0}, {3, 1}, {3, 2}, {9, 0}, {9, 8}} {
		for outage := 50 * time.Second; outage < 130*time.Second; outage += 27 * time.Second {
			t.Run(fmt.Sprintf("vms=%d/lost=%d/outage=%s", vms.count, vms.lost, outage), func(t *testing.T) {
				run := newDeployment(t, vms.count, vms.lost)
				for at := time.Duration(0); at < 4*retention; at += time.Second {
					run.trim(at)
					if at < outage || at >= outage+retention/6 {
						run.advance(t, at)
					}
				}
				assert.Assert(t, run.snapshotsWritten >= 8 && run.snapshotsWritten <= 16, "%d snapshots in 4 retentions", run.snapshotsWritten)
			})
		}
	}
}

const retention = time.Minute

// deployment is a number of VMs that follow one log; the first of them are
// gone.
type deployment struct {
	stream  *streamLog
	readers []*plan.Follower
	writers []*plan.SnapshotWriter
	liveVMs    []string
	lostVMs    int
	snapshotsWritten int
	lastCap   int
}

func newDeployment(t *testing.T, count, lost int) *deployment {
	run := &deployment{
		stream: newLog(),
		lostVMs:   lost,
	}
	run.append(t, 0, publication("publish-0", 0, plan.Empty(), planOf(rule("a", 0))))
	for i := range count {
		run.liveVMs = append(run.liveVMs, fmt.Sprintf("10.0.0.%d:7400", i))
		run.readers = append(run.readers, plan.New())
		run.writers = append(run.writers, plan.NewSnapshotWriter(run.liveVMs[i]))
	}
	return run
}

func (run *deployment) append(t *testing.T, at time.Duration, record plan.Record) {
	offset := run.stream.append(encode(t, record))
	run.stream.records[offset-1].AtMs = epoch.Add(at).UnixMilli()
}

func (run *deployment) trim(at time.Duration) {
	oldest := epoch.Add(at - retention).UnixMilli()
	for run.stream.firstOffset < run.stream.nextOffset() && run.stream.records[run.stream.firstOffset-1].AtMs < oldest {
		run.stream.firstOffset++
	}
}

// advance lets every VM read and write, publishes now and then, and starts a new
// reader.
func (run *deployment) advance(t *testing.T, at time.Duration) {
	now := epoch.Add(at)
	for i := run.lostVMs; i < len(run.readers); i++ {
		run.stream.readInto(run.readers[i], 100)
		snapshot, due := run.writers[i].StartIfDue(now, run.readers[i], run.liveVMs)
		if due {
			run.append(t, at, snapshot)
			run.writers[i].AppendEnded(now, run.readers[i])
			run.snapshotsWritten++
		}
	}
	last := run.readers[len(run.readers)-1]
	version, _, content := last.Current()
	if at%(7*time.Second) == 0 {
		run.lastCap++
		run.append(t, at, publication(fmt.Sprintf("publish-%d", run.lastCap), version, content, planOf(rule("a", run.lastCap))))
		run.stream.readInto(last, 100)
		version, _, _ = last.Current()
	}
	started := plan.New()
	for range 4 {
		run.stream.readInto(started, 100)
	}
	got, _, _ := started.Current()
	assert.Assert(t, started.Synced() && got == version, "at %s a new reader has version %d, current is %d", at, got, version)
}

// Guards against a rule order that binary search and merge don't expect, and
// values that the daemon can't work with.
func TestValidate(t *testing.T) {
	cases := map[string]func(content *plan.Plan){
		"rule b/quote/ege-izmir is out of order": func(content *plan.Plan) {
			content.Rules[0], content.Rules[1] = content.Rules[1], content.Rules[0]
			content.Rules[0].Team, content.Rules[1].Team = "c", "b"
		},
		"rule a/quote/ege-izmir: share -1": func(content *plan.Plan) { content.Rules[0].Share = -1 },
		"deadline-ms 0, allowed are 1":     func(content *plan.Plan) { content.Rules[0].DeadlineMs = 0 },
		"not in the plan's list":           func(content *plan.Plan) { content.Domains = nil },
		"is no valid name":                 func(content *plan.Plan) { content.Rules[0].Team = "Team A" },
		"format 2, allowed is 1":           func(content *plan.Plan) { content.Format = 2 },
	}
	for expected, spoil := range cases {
		t.Run(expected, func(t *testing.T) {
			content := planOf(rule("a", 1), rule("b", 1))
			assert.NilError(t, plan.Validate(content))
			spoil(content)
			err := plan.Validate(content)
			assert.ErrorIs(t, err, plan.ErrInvalidPlan)
			assert.ErrorContains(t, err, expected)
		})
	}
}

// Guards against a VM that appends a snapshot again and again while its own
// one is on its way, or while the log refuses it.
func TestSnapshotWriterDelaysRetries(t *testing.T) {
	stream, follower := newLog(), plan.New()
	stream.append(encode(t, publication("publish-1", 0, plan.Empty(), planOf(rule("a", 1)))))
	stream.readInto(follower, 10)
	const self = "10.0.0.1:7400"
	writer := plan.NewSnapshotWriter(self)
	now := follower.SnapshotDueAt(self, nil)
	due := func(after time.Duration) bool {
		_, due := writer.StartIfDue(now.Add(after), follower, nil)
		return due
	}
	assert.Assert(t, !due(-time.Millisecond), "not due yet")
	assert.Assert(t, due(0))
	assert.Assert(t, !due(time.Second), "an append is under way")
	writer.AppendEnded(now.Add(time.Second), follower)
	assert.Assert(t, !due(time.Second), "the snapshot has not been read back")
	assert.Assert(t, due(2*time.Second), "the append failed, since no snapshot was read")
}
