package publication_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/plan"
	"tanagerfall/tanagerctl/publication"
)

// fakeLog is a log in memory. onAppend, if set, is called with the number of each
// append; it decides whether the record is stored and which error is returned.
type fakeLog struct {
	records     []platform.Record
	firstOffset int64
	appends     int
	onAppend    func(attempt int) (stored bool, err error)
	readErr     error
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		firstOffset: 1,
	}
}

func (log *fakeLog) add(data []byte) int64 {
	offset := int64(len(log.records)) + 1
	log.records = append(log.records, platform.Record{
		Offset: offset,
		AtMs:   1_700_000_000_000 + offset,
		Data:   data,
	})
	return offset
}

func (log *fakeLog) Append(ctx context.Context, _ string, data []byte) (int64, error) {
	if ctx.Err() != nil {
		return 0, eris.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
	log.appends++
	if log.onAppend == nil {
		return log.add(data), nil
	}
	stored, err := log.onAppend(log.appends)
	if stored {
		log.add(data)
	}
	return int64(len(log.records)), err
}

func (log *fakeLog) Read(_ context.Context, stream string, from int64, limit int, _ time.Duration) (platform.ReadResponse, error) {
	if log.readErr != nil {
		return platform.ReadResponse{}, log.readErr
	}
	if from < log.firstOffset {
		return platform.ReadResponse{}, &platform.TrimmedError{
			Stream:      stream,
			From:        from,
			FirstOffset: log.firstOffset,
		}
	}
	to := min(int(from)-1+limit, len(log.records))
	return platform.ReadResponse{
		FirstOffset: log.firstOffset,
		NextOffset:  int64(len(log.records)) + 1,
		Records:     log.records[min(int(from)-1, to):to],
	}, nil
}

// newSheet returns a plan with one rule.
func newSheet(slotCap int) *plan.Plan {
	return &plan.Plan{
		Format:  plan.Format,
		Domains: plan.Domains{"ege-izmir"},
		Rules: []plan.Rule{
			{Team: "showroom", Kind: "quote", Domain: "ege-izmir", Share: 1, Cap: slotCap, DeadlineMs: 1000},
		},
	}
}

func publish(t *testing.T, log *fakeLog, request publication.Request) (publication.Result, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return publication.NewPublisher(log, "plan").Publish(ctx, request)
}

func newRequest(author string, slotCap int) publication.Request {
	return publication.Request{
		Sheet:  newSheet(slotCap),
		Author: author,
	}
}

func mustPublish(t *testing.T, log *fakeLog, request publication.Request) publication.Result {
	result, err := publish(t, log, request)
	assert.NilError(t, err)
	return result
}

// adoptedVersions returns the versions that a reader of the whole log adopts.
func adoptedVersions(t *testing.T, log *fakeLog) []int64 {
	history := publication.NewHistory(log, "plan")
	assert.NilError(t, history.ReadToEnd(t.Context()))
	var offsets []int64
	for _, entry := range history.Entries() {
		if entry.Outcome == publication.Adopted {
			offsets = append(offsets, entry.Offset)
		}
	}
	return offsets
}

// loseFirstReply makes the first append end without a reply, with or without
// storing the record.
func loseFirstReply(stored bool) func(int) (bool, error) {
	return func(attempt int) (bool, error) {
		if attempt > 1 {
			return true, nil
		}
		return stored, eris.Wrap(platform.ErrAppendUnknown, "reply lost")
	}
}

// Guards against two versions, no version or a wrong result after the reply to an
// append was lost.
func TestLostReplyIsResolvedByThePublishID(t *testing.T) {
	for name, stored := range map[string]bool{"record stored": true, "record not stored": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog()
				log.onAppend = loseFirstReply(stored)
				result := mustPublish(t, log, newRequest("ayla", 1))
				assert.Equal(t, result.Outcome, publication.Accepted)
				if stored {
					assert.Equal(t, log.appends, 1, "the record was stored and must not be appended again")
				}
				assert.DeepEqual(t, adoptedVersions(t, log), []int64{result.Version})
			})
		})
	}
}

// Guards against an append that reaches the log late, after the command was
// repeated and another version was published, and becomes a second version.
func TestRepeatedAppendAfterAnotherVersionIsNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		first := mustPublish(t, log, newRequest("ayla", 1))
		lateCopy := log.records[first.Version-1].Data
		second := mustPublish(t, log, newRequest("deniz", 2))
		log.add(lateCopy)
		assert.DeepEqual(t, adoptedVersions(t, log), []int64{first.Version, second.Version})
	})
}

// Guards against a command that hangs during an outage of the log, or whose error
// doesn't say whether something may have been published.
func TestRepeatedCommandSucceedsAfterOutage(t *testing.T) {
	unavailable := eris.Wrap(platform.ErrUnavailable, "503")
	cases := []struct {
		name        string
		injectFault func(log *fakeLog)
		err         error
	}{
		{name: "reads fail", injectFault: func(log *fakeLog) { log.readErr = unavailable }, err: publication.ErrLogUnavailable},
		{name: "appends fail", injectFault: func(log *fakeLog) {
			log.onAppend = func(int) (bool, error) { return false, unavailable }
		}, err: publication.ErrLogUnavailable},
		{name: "reply lost, then reads fail", injectFault: func(log *fakeLog) {
			log.onAppend = func(int) (bool, error) {
				log.readErr = unavailable
				return true, eris.Wrap(platform.ErrAppendUnknown, "reply lost")
			}
		}, err: publication.ErrOutcomeUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog()
				test.injectFault(log)
				_, err := publish(t, log, newRequest("ayla", 1))
				assert.ErrorIs(t, err, test.err)

				// The log is available again, and the operator repeats the command.
				log.readErr, log.onAppend = nil, nil
				result := mustPublish(t, log, newRequest("ayla", 1))
				assert.DeepEqual(t, adoptedVersions(t, log), []int64{result.Version})
			})
		})
	}
}

// Guards against two operators who publish at the same time and both get the
// result Accepted, and against a conflict that doesn't name the current version.
func TestConcurrentPublicationEndsInConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		otherLog := newFakeLog()
		mustPublish(t, otherLog, newRequest("deniz", 2))
		log.onAppend = func(attempt int) (bool, error) {
			if attempt == 1 {
				log.add(otherLog.records[0].Data)
			}
			return true, nil
		}
		_, err := publish(t, log, newRequest("ayla", 1))
		var conflict *publication.ConflictError
		assert.Assert(t, eris.As(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Current.Version, int64(1))
		assert.Equal(t, conflict.Current.Author, "deniz")
		assert.DeepEqual(t, conflict.Change.Set, newSheet(1).Rules)
		assert.DeepEqual(t, adoptedVersions(t, log), []int64{1})
	})
}

// Guards against a base that is named in the request and ignored, and against a
// conflict with the current version that is only detected after an append.
func TestStaleBaseIsRefusedBeforeTheAppend(t *testing.T) {
	log := newFakeLog()
	mustPublish(t, log, newRequest("ayla", 1))
	stale := newRequest("deniz", 2)
	base := int64(0)
	stale.Base = &base
	_, err := publish(t, log, stale)
	var conflict *publication.ConflictError
	assert.Assert(t, eris.As(err, &conflict), "%v", err)
	assert.Equal(t, log.appends, 1)
}

// Guards against a repeated command that reverts what another operator has
// published since the first run was accepted.
func TestRepeatedCommandNeverRevertsALaterPlan(t *testing.T) {
	log := newFakeLog()
	first := mustPublish(t, log, newRequest("ayla", 1))
	again := mustPublish(t, log, newRequest("ayla", 1))
	assert.Equal(t, again.Outcome, publication.AlreadyAccepted)
	assert.Equal(t, again.Version, first.Version)
	later := mustPublish(t, log, newRequest("deniz", 2))

	_, err := publish(t, log, newRequest("ayla", 1))
	var replaced *publication.ReplacedError
	assert.Assert(t, eris.As(err, &replaced), "%v", err)
	assert.Equal(t, replaced.Current.Version, later.Version)

	oldBase := int64(0)
	withOldBase := newRequest("ayla", 1)
	withOldBase.Base = &oldBase
	repeated := mustPublish(t, log, withOldBase)
	assert.Equal(t, repeated.Version, first.Version)
	assert.Equal(t, repeated.CurrentVersion, later.Version)

	withCurrentBase := newRequest("ayla", 1)
	withCurrentBase.Base = &later.Version
	assert.Equal(t, mustPublish(t, log, withCurrentBase).Outcome, publication.Accepted)
}

// Guards against a publication on a guessed base after the log has trimmed the
// records that show the current version, and against a deployment that can't
// publish any more in this state.
func TestTrimmedLogWithoutSnapshotNeedsRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		mustPublish(t, log, newRequest("ayla", 1))
		mustPublish(t, log, newRequest("ayla", 2))
		log.firstOffset = 2
		_, err := publish(t, log, newRequest("ayla", 3))
		assert.ErrorIs(t, err, publication.ErrBaseUnknown)
		recovery := newRequest("ayla", 3)
		recovery.Recover = true
		assert.Equal(t, mustPublish(t, log, recovery).Version, int64(3))
		assert.Equal(t, mustPublish(t, log, newRequest("ayla", 4)).Base, int64(3))
	})
}

// Guards against ignoring the snapshot of a trimmed log, whose version is the base
// of the next publication.
func TestSnapshotOfTrimmedLogIsTheBase(t *testing.T) {
	log := newFakeLog()
	first := mustPublish(t, log, newRequest("ayla", 1))
	follower := plan.New()
	follower.Apply(time.Now(), log.records[0])
	snapshot, _ := follower.Snapshot("10.0.0.1:7400")
	data, err := plan.Encode(snapshot)
	assert.NilError(t, err)
	log.add(data)
	log.firstOffset = 2
	result := mustPublish(t, log, newRequest("ayla", 2))
	assert.Equal(t, result.Base, first.Version)
	assert.DeepEqual(t, adoptedVersions(t, log), []int64{first.Version, result.Version})
}

// Guards against a publication that re-enables guards which its request doesn't
// name.
func TestGuardsKeepTheirStateUnlessNamed(t *testing.T) {
	log := newFakeLog()
	disable := newRequest("ayla", 1)
	disable.DisableGuards = []string{"ejection"}
	mustPublish(t, log, disable)
	mustPublish(t, log, newRequest("ayla", 2))
	history := publication.NewHistory(log, "plan")
	assert.NilError(t, history.ReadToEnd(t.Context()))
	_, _, currentPlan, _ := history.Current()
	assert.DeepEqual(t, currentPlan.Guards, plan.Guards{NoEjection: true})
	unknown := newRequest("ayla", 3)
	unknown.EnableGuards = []string{"ejections"}
	_, err := publish(t, log, unknown)
	assert.ErrorIs(t, err, publication.ErrUnknownGuard)
}

// Guards against a plan that grows by small changes until its snapshot exceeds the
// size of a record: it would be lost when the log trims the changes.
func TestPlanWhoseSnapshotDoesNotFitIsRefused(t *testing.T) {
	log := newFakeLog()
	large := newRequest("ayla", 1)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 60_000 {
		rule := large.Sheet.Rules[0]
		rule.Team = fmt.Sprintf("team-%05d-%x", i, random.Uint64())
		rule.Cap = random.IntN(plan.MaxCap)
		large.Sheet.Rules = append(large.Sheet.Rules, rule)
	}
	large.Sheet = plan.Canonical(large.Sheet)
	_, err := publish(t, log, large)
	assert.ErrorIs(t, err, publication.ErrTooLarge)
	assert.Equal(t, log.appends, 0)
}
