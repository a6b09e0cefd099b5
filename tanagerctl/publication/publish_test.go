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

// fakeLog is a log in memory. before, if set, is called ahead of each append
// and says whether it takes effect and which error its caller gets.
type fakeLog struct {
	records []platform.Record
	first   int64
	appends int
	before  func(attempt int) (effect bool, err error)
	readErr error
}

func newLog() *fakeLog {
	return &fakeLog{
		first: 1,
	}
}

func (fake *fakeLog) add(data []byte) int64 {
	offset := int64(len(fake.records)) + 1
	fake.records = append(fake.records, platform.Record{
		Offset: offset,
		AtMs:   1_700_000_000_000 + offset,
		Data:   data,
	})
	return offset
}

func (fake *fakeLog) Append(ctx context.Context, _ string, data []byte) (int64, error) {
	if ctx.Err() != nil {
		return 0, eris.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
	fake.appends++
	if fake.before == nil {
		return fake.add(data), nil
	}
	effect, err := fake.before(fake.appends)
	if effect {
		fake.add(data)
	}
	return int64(len(fake.records)), err
}

func (fake *fakeLog) Read(_ context.Context, stream string, from int64, limit int, _ time.Duration) (platform.ReadResponse, error) {
	if fake.readErr != nil {
		return platform.ReadResponse{}, fake.readErr
	}
	if from < fake.first {
		return platform.ReadResponse{}, &platform.TrimmedError{
			Stream:      stream,
			From:        from,
			FirstOffset: fake.first,
		}
	}
	to := min(int(from)-1+limit, len(fake.records))
	return platform.ReadResponse{
		FirstOffset: fake.first,
		NextOffset:  int64(len(fake.records)) + 1,
		Records:     fake.records[min(int(from)-1, to):to],
	}, nil
}

func sheetOf(limit int) *plan.Plan {
	return &plan.Plan{
		Format:  plan.Format,
		Domains: plan.Domains{"ege-izmir"},
		Rules: []plan.Rule{
			{Team: "showroom", Kind: "quote", Domain: "ege-izmir", Share: 1, Cap: limit, DeadlineMs: 1000},
		},
	}
}

func publish(t *testing.T, fake *fakeLog, request publication.Request) (publication.Result, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return publication.NewPublisher(fake, "plan").Publish(ctx, request)
}

func request(author string, limit int) publication.Request {
	return publication.Request{
		Sheet:  sheetOf(limit),
		Author: author,
	}
}

func mustPublish(t *testing.T, fake *fakeLog, request publication.Request) publication.Result {
	result, err := publish(t, fake, request)
	assert.NilError(t, err)
	return result
}

// versions returns the versions that a reader of the whole log comes to.
func versions(t *testing.T, fake *fakeLog) []int64 {
	history := publication.NewHistory(fake, "plan")
	assert.NilError(t, history.ReadToEnd(t.Context()))
	var won []int64
	for _, entry := range history.Entries() {
		if entry.Verdict == publication.Adopted {
			won = append(won, entry.Offset)
		}
	}
	return won
}

func lost(effect bool) func(int) (bool, error) {
	return func(attempt int) (bool, error) {
		if attempt > 1 {
			return true, nil
		}
		return effect, eris.Wrap(platform.ErrAppendUnknown, "reply lost")
	}
}

// Guards against a lost reply that ends in two versions, in none, or in a
// wrong answer to the operator.
func TestLostReplyIsSettledByThePublishID(t *testing.T) {
	for name, effect := range map[string]bool{"after the effect": true, "before the effect": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newLog()
				fake.before = lost(effect)
				result := mustPublish(t, fake, request("ayla", 1))
				assert.Equal(t, result.Outcome, publication.Accepted)
				if effect {
					assert.Equal(t, fake.appends, 1, "the record was found, and needs no second append")
				}
				assert.DeepEqual(t, versions(t, fake), []int64{result.Version})
			})
		})
	}
}

// Guards against a late append, made after the operator's command had given
// it up and repeated it, that becomes a second version.
func TestAppendThatArrivesLateIsNoSecondVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newLog()
		first := mustPublish(t, fake, request("ayla", 1))
		copied := fake.records[first.Version-1].Data
		second := mustPublish(t, fake, request("deniz", 2))
		fake.add(copied)
		assert.DeepEqual(t, versions(t, fake), []int64{first.Version, second.Version})
	})
}

// Guards against an outage that hangs the command, or whose message leaves
// open whether something was published.
func TestOutage(t *testing.T) {
	unavailable := eris.Wrap(platform.ErrUnavailable, "503")
	cases := []struct {
		name  string
		spoil func(fake *fakeLog)
		err   error
	}{
		{name: "reads fail", spoil: func(fake *fakeLog) { fake.readErr = unavailable }, err: publication.ErrLogUnavailable},
		{name: "appends fail", spoil: func(fake *fakeLog) {
			fake.before = func(int) (bool, error) { return false, unavailable }
		}, err: publication.ErrLogUnavailable},
		{name: "reply lost, then reads fail", spoil: func(fake *fakeLog) {
			fake.before = func(int) (bool, error) {
				fake.readErr = unavailable
				return true, eris.Wrap(platform.ErrAppendUnknown, "reply lost")
			}
		}, err: publication.ErrUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newLog()
				test.spoil(fake)
				_, err := publish(t, fake, request("ayla", 1))
				assert.ErrorIs(t, err, test.err)

				// The log is back, and the operator repeats the command.
				fake.readErr, fake.before = nil, nil
				result := mustPublish(t, fake, request("ayla", 1))
				assert.DeepEqual(t, versions(t, fake), []int64{result.Version})
			})
		})
	}
}

// Guards against two racing operators who both believe that they won, and
// against a conflict that doesn't say what it ran into.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newLog()
		rival := newLog()
		mustPublish(t, rival, request("deniz", 2))
		fake.before = func(attempt int) (bool, error) {
			if attempt == 1 {
				fake.add(rival.records[0].Data)
			}
			return true, nil
		}
		_, err := publish(t, fake, request("ayla", 1))
		var conflict *publication.ConflictError
		assert.Assert(t, eris.As(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Winner.Version, int64(1))
		assert.Equal(t, conflict.Winner.Author, "deniz")
		assert.DeepEqual(t, conflict.Change.Set, sheetOf(1).Rules)
		assert.DeepEqual(t, versions(t, fake), []int64{1})
	})
}

// Guards against a named base that is overridden, and against a conflict that
// is only found after an append.
func TestStaleBaseIsRefusedBeforeTheAppend(t *testing.T) {
	fake := newLog()
	mustPublish(t, fake, request("ayla", 1))
	stale := request("deniz", 2)
	base := int64(0)
	stale.Base = &base
	_, err := publish(t, fake, stale)
	var conflict *publication.ConflictError
	assert.Assert(t, eris.As(err, &conflict), "%v", err)
	assert.Equal(t, fake.appends, 1)
}

// Guards against a repeated command that undoes what another operator
// published since its first run was accepted.
func TestRepeatedCommandNeverRevertsALaterPlan(t *testing.T) {
	fake := newLog()
	first := mustPublish(t, fake, request("ayla", 1))
	again := mustPublish(t, fake, request("ayla", 1))
	assert.Equal(t, again.Outcome, publication.AlreadyAccepted)
	assert.Equal(t, again.Version, first.Version)
	later := mustPublish(t, fake, request("deniz", 2))

	_, err := publish(t, fake, request("ayla", 1))
	var replaced *publication.ReplacedError
	assert.Assert(t, eris.As(err, &replaced), "%v", err)
	assert.Equal(t, replaced.Winner.Version, later.Version)

	base := int64(0)
	retry := request("ayla", 1)
	retry.Base = &base
	settled := mustPublish(t, fake, retry)
	assert.Equal(t, settled.Version, first.Version)
	assert.Equal(t, settled.Current, later.Version)

	wanted := request("ayla", 1)
	wanted.Base = &later.Version
	assert.Equal(t, mustPublish(t, fake, wanted).Outcome, publication.Accepted)
}

// Guards against a publication on a guessed base when the records that tell
// the base are gone, and against a deployment that can't be started again.
func TestTrimmedLogWithoutSnapshotNeedsRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newLog()
		mustPublish(t, fake, request("ayla", 1))
		mustPublish(t, fake, request("ayla", 2))
		fake.first = 2
		_, err := publish(t, fake, request("ayla", 3))
		assert.ErrorIs(t, err, publication.ErrNoBase)
		recovery := request("ayla", 3)
		recovery.Recover = true
		assert.Equal(t, mustPublish(t, fake, recovery).Version, int64(3))
		assert.Equal(t, mustPublish(t, fake, request("ayla", 4)).Base, int64(3))
	})
}

// Guards against a trimmed log whose snapshot is not used as the base.
func TestTrimmedLogWithSnapshot(t *testing.T) {
	fake := newLog()
	first := mustPublish(t, fake, request("ayla", 1))
	follower := plan.New()
	follower.Apply(time.Now(), fake.records[0])
	snapshot, _ := follower.Snapshot("10.0.0.1:7400")
	data, err := plan.Encode(snapshot)
	assert.NilError(t, err)
	fake.add(data)
	fake.first = 2
	result := mustPublish(t, fake, request("ayla", 2))
	assert.Equal(t, result.Base, first.Version)
	assert.DeepEqual(t, versions(t, fake), []int64{first.Version, result.Version})
}

// Guards against guards that a sheet switches back on by the way.
func TestGuardsStayAsTheyAreUnlessNamed(t *testing.T) {
	fake := newLog()
	disable := request("ayla", 1)
	disable.DisableGuards = []string{"ejection"}
	mustPublish(t, fake, disable)
	mustPublish(t, fake, request("ayla", 2))
	history := publication.NewHistory(fake, "plan")
	assert.NilError(t, history.ReadToEnd(t.Context()))
	_, _, content, _ := history.Current()
	assert.DeepEqual(t, content.Guards, plan.Guards{NoEjection: true})
	unknown := request("ayla", 3)
	unknown.EnableGuards = []string{"ejections"}
	_, err := publish(t, fake, unknown)
	assert.ErrorIs(t, err, publication.ErrGuard)
}

// Guards against a plan that grows by small changes until no VM can write its
// snapshot, so that it is lost with the trimmed changes.
func TestPlanWhoseSnapshotDoesNotFitIsRefused(t *testing.T) {
	fake := newLog()
	large := request("ayla", 1)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 60_000 {
		rule := large.Sheet.Rules[0]
		rule.Team = fmt.Sprintf("team-%05d-%x", i, random.Uint64())
		rule.Cap = random.IntN(plan.MaxCap)
		large.Sheet.Rules = append(large.Sheet.Rules, rule)
	}
	large.Sheet = plan.Canonical(large.Sheet)
	_, err := publish(t, fake, large)
	assert.ErrorIs(t, err, publication.ErrTooLarge)
	assert.Equal(t, fake.appends, 0)
}
