package plan_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/plan"
)

// Guards against adopting a publication whose base is not the current version,
// or whose result differs from the plan that its author published.
func TestPublicationOutcomes(t *testing.T) {
	first, second := planOf(rule("a", 1)), planOf(rule("a", 2), rule("b", 1))
	wrongDigest := publication("publish-x", 1, first, second)
	wrongDigest.Digest++
	noDomain := publication("publish-x", 1, first, second)
	noDomain.Change.Domains = &plan.Domains{}
	unknownRule := publication("publish-x", 1, first, second)
	unknownRule.Change.Remove = []plan.Key{rule("z", 1).Key()}
	cases := []struct {
		name    string
		record  plan.Record
		outcome string
		version int64
	}{
		{name: "base is the current version", record: publication("publish-x", 1, first, second), outcome: "plan.Adopted", version: 2},
		{name: "base is an old version", record: publication("publish-x", 0, first, second), outcome: "plan.Conflict", version: 1},
		{name: "base is a future version", record: publication("publish-x", 2, first, second), outcome: "plan.Conflict", version: 1},
		{name: "repeated append of the current version", record: publication("publish-1", 0, plan.Empty(), first), outcome: "plan.Ignored", version: 1},
		{name: "wrong digest", record: wrongDigest, outcome: "plan.Invalid", version: 1},
		{name: "failure domain of a rule is missing", record: noDomain, outcome: "plan.Invalid", version: 1},
		{name: "removes a rule that does not exist", record: unknownRule, outcome: "plan.Invalid", version: 1},
		{name: "recovery", record: &plan.Recovery{PublishID: "publish-x", Digest: plan.DigestOf(second), Plan: second}, outcome: "plan.Adopted", version: 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			stream, follower := newLog(), plan.New()
			stream.append(encode(t, publication("publish-1", 0, plan.Empty(), first)))
			stream.append(encode(t, test.record))
			outcomes := stream.readInto(follower, 10)
			assert.Equal(t, fmt.Sprintf("%T", outcomes[1]), test.outcome)
			version, _, _ := follower.Current()
			assert.Equal(t, version, test.version)
		})
	}
}

// Guards against adopting two publications on the same base, and against a
// conflict that doesn't name the publication that was adopted.
func TestConcurrentPublicationsAdoptOneAndReportConflict(t *testing.T) {
	stream, follower := newLog(), plan.New()
	first, second := planOf(rule("a", 1)), planOf(rule("a", 2))
	stream.append(encode(t, publication("publish-1", 0, plan.Empty(), first)))
	late := publication("publish-2", 0, plan.Empty(), second)
	late.Author = "deniz"
	stream.append(encode(t, late))
	outcomes := stream.readInto(follower, 10)
	assert.DeepEqual(t, outcomes[1], plan.Conflict{
		Offset:           2,
		PublishID:        "publish-2",
		Author:           "deniz",
		Current:          1,
		CurrentPublishID: "publish-1",
		CurrentAuthor:    "ayla",
	})
}

// Guards against a Follower that drops its plan when the log has lost records,
// was trimmed beyond the reader, or was emptied and started again.
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

// Guards against missing a publication that was appended after the writer of a
// snapshot had read the log, but before the snapshot itself.
func TestPublicationBeforeOlderSnapshotIsApplied(t *testing.T) {
	stream, writer := newLog(), plan.New()
	first, second := planOf(rule("a", 1)), planOf(rule("a", 2))
	stream.append(encode(t, publication("publish-1", 0, plan.Empty(), first)))
	stream.readInto(writer, 10)
	snapshot, _ := writer.Snapshot("10.0.0.1:7400")
	stream.append(encode(t, publication("publish-2", 1, first, second)))
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
// change of rules that goes unnoticed because its time is not returned.
func TestInForceAt(t *testing.T) {
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
		effective, next := content.InForceAt(time.UnixMilli(test.atMs))
		assert.Equal(t, len(effective.Rules), 2)
		assert.Equal(t, effective.Rules[0].Cap, test.limit)
		assert.Equal(t, !next.IsZero(), test.nextMs != 0)
		if test.nextMs != 0 {
			assert.Equal(t, next.UnixMilli(), test.nextMs)
		}
	}
}

// Guards against a team without a rule between the publication of a sheet and
// the time from which the team's row is in force.
func TestCarryOverKeepsRuleUntilNextComesIntoForce(t *testing.T) {
	later, newTeam := rule("a", 2), rule("b", 2)
	later.InForceFromMs, newTeam.InForceFromMs = 3000, 3000
	removed := rule("c", 1)
	carried, kept := plan.CarryOver(planOf(rule("a", 1), removed), planOf(later, newTeam), time.UnixMilli(2000))
	assert.DeepEqual(t, kept, []plan.Rule{rule("a", 1)})
	assert.DeepEqual(t, carried, planOf(rule("a", 1), later, newTeam))
	unchanged, kept := plan.CarryOver(planOf(rule("a", 1)), planOf(later), time.UnixMilli(3000))
	assert.Equal(t, len(kept), 0)
	assert.DeepEqual(t, unchanged, planOf(later))
}

// Guards against a log that has no new snapshot after half of the retention
// because the first VMs in the order have failed, and against VMs that append at
// the same time.
func TestSnapshotIsDueBeforeHalfTheRetention(t *testing.T) {
	stream, follower := newLog(), plan.New()
	stream.append(encode(t, publication("publish-1", 0, plan.Empty(), planOf(rule("a", 1)))))
	stream.readInto(follower, 10)
	var live []string
	for i := range 240 {
		live = append(live, fmt.Sprintf("10.0.0.%d:7400", i))
	}
	appendedAt := epoch.Add(time.Millisecond)
	due := make(map[time.Time]int)
	beforeHalf := 0
	for _, address := range live {
		dueAt := follower.SnapshotDueAt(address, live)
		due[dueAt]++
		assert.Assert(t, !dueAt.Before(appendedAt.Add(retention/3)))
		if dueAt.Before(appendedAt.Add(retention / 2)) {
			beforeHalf++
		}
	}
	assert.Equal(t, beforeHalf, 12)
	assert.Equal(t, len(due), len(live), "two VMs are due at the same time")
	assert.Assert(t, plan.New().SnapshotDueAt(live[0], live).IsZero(), "due although there is no plan")
}

// Guards against a log from which a new VM can't obtain the current version. A
// new reader starts every second for four times the retention, while the plan
// changes, the log fails for a sixth of the retention, and VMs that are still
// listed as live have failed. Also guards against VMs that append far more
// snapshots than needed.
func TestLogAlwaysHoldsSnapshotForNewReader(t *testing.T) {
	for _, vms := range []struct{ count, lost int }{{1, 0}, {3, 1}, {3, 2}, {9, 0}, {9, 8}} {
		for outage := 50 * time.Second; outage < 130*time.Second; outage += 27 * time.Second {
			t.Run(fmt.Sprintf("vms=%d/lost=%d/outage=%s", vms.count, vms.lost, outage), func(t *testing.T) {
				deployment := newDeployment(t, vms.count, vms.lost)
				for elapsed := time.Duration(0); elapsed < 4*retention; elapsed += time.Second {
					deployment.trim(elapsed)
					if elapsed < outage || elapsed >= outage+retention/6 {
						deployment.advance(t, elapsed)
					}
				}
				assert.Assert(t, deployment.snapshotsWritten >= 8 && deployment.snapshotsWritten <= 16, "%d snapshots in 4 retentions", deployment.snapshotsWritten)
			})
		}
	}
}

// retention is the time for which the log keeps records.
const retention = time.Minute

// deployment simulates VMs that follow one log. The first lostVMs of them have
// failed but are still listed in liveVMs.
type deployment struct {
	stream           *streamLog
	readers          []*plan.Follower
	writers          []*plan.SnapshotWriter
	liveVMs          []string
	lostVMs          int
	snapshotsWritten int
	lastCap          int
}

func newDeployment(t *testing.T, count, lost int) *deployment {
	deployment := &deployment{
		stream:  newLog(),
		lostVMs: lost,
	}
	deployment.append(t, 0, publication("publish-0", 0, plan.Empty(), planOf(rule("a", 0))))
	for i := range count {
		deployment.liveVMs = append(deployment.liveVMs, fmt.Sprintf("10.0.0.%d:7400", i))
		deployment.readers = append(deployment.readers, plan.New())
		deployment.writers = append(deployment.writers, plan.NewSnapshotWriter(deployment.liveVMs[i]))
	}
	return deployment
}

func (deployment *deployment) append(t *testing.T, elapsed time.Duration, record plan.Record) {
	offset := deployment.stream.append(encode(t, record))
	deployment.stream.records[offset-1].AtMs = epoch.Add(elapsed).UnixMilli()
}

func (deployment *deployment) trim(elapsed time.Duration) {
	oldest := epoch.Add(elapsed - retention).UnixMilli()
	for deployment.stream.firstOffset < deployment.stream.nextOffset() && deployment.stream.records[deployment.stream.firstOffset-1].AtMs < oldest {
		deployment.stream.firstOffset++
	}
}

// advance lets every running VM read and append snapshots, publishes a plan every
// seven seconds, and checks that a new reader obtains the current version.
func (deployment *deployment) advance(t *testing.T, elapsed time.Duration) {
	now := epoch.Add(elapsed)
	for i := deployment.lostVMs; i < len(deployment.readers); i++ {
		deployment.stream.readInto(deployment.readers[i], 100)
		snapshot, due := deployment.writers[i].StartIfDue(now, deployment.readers[i], deployment.liveVMs)
		if due {
			deployment.append(t, elapsed, snapshot)
			deployment.writers[i].AppendEnded(now, deployment.readers[i])
			deployment.snapshotsWritten++
		}
	}
	last := deployment.readers[len(deployment.readers)-1]
	version, _, content := last.Current()
	if elapsed%(7*time.Second) == 0 {
		deployment.lastCap++
		deployment.append(t, elapsed, publication(fmt.Sprintf("publish-%d", deployment.lastCap), version, content, planOf(rule("a", deployment.lastCap))))
		deployment.stream.readInto(last, 100)
		version, _, _ = last.Current()
	}
	newReader := plan.New()
	for range 4 {
		deployment.stream.readInto(newReader, 100)
	}
	newVersion, _, _ := newReader.Current()
	assert.Assert(t, newReader.Synced() && newVersion == version, "after %s a new reader has version %d, current is %d", elapsed, newVersion, version)
}

// Guards against plans that break the order on which binary search and merging
// rely, and against values that entry VMs can't use.
func TestValidate(t *testing.T) {
	cases := map[string]func(content *plan.Plan){
		"rule b/quote/ege-izmir is out of order": func(content *plan.Plan) {
			content.Rules[0], content.Rules[1] = content.Rules[1], content.Rules[0]
			content.Rules[0].Team, content.Rules[1].Team = "c", "b"
		},
		"rule a/quote/ege-izmir: share is -1": func(content *plan.Plan) { content.Rules[0].Share = -1 },
		"deadline-ms is 0, must be 1":         func(content *plan.Plan) { content.Rules[0].DeadlineMs = 0 },
		"not in the plan's list":              func(content *plan.Plan) { content.Domains = nil },
		"is not a valid name":                 func(content *plan.Plan) { content.Rules[0].Team = "Team A" },
		"format is 2, must be 1":              func(content *plan.Plan) { content.Format = 2 },
	}
	for expected, corrupt := range cases {
		t.Run(expected, func(t *testing.T) {
			content := planOf(rule("a", 1), rule("b", 1))
			assert.NilError(t, plan.Validate(content))
			corrupt(content)
			err := plan.Validate(content)
			assert.ErrorIs(t, err, plan.ErrInvalidPlan)
			assert.ErrorContains(t, err, expected)
		})
	}
}

// Guards against a VM that keeps appending snapshots while its own has not been
// read back yet, or while the log rejects it.
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
	assert.Assert(t, !due(time.Second), "an append is in progress")
	writer.AppendEnded(now.Add(time.Second), follower)
	assert.Assert(t, !due(time.Second), "the snapshot has not been read back")
	assert.Assert(t, due(2*time.Second), "the append failed, since no snapshot was read")
}
