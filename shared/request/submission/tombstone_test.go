package submission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/job"
)

// Guards against a refused job that is reported as started, and against a job
// that may have run that is reported as not started. Eviction of the answers,
// also followed by a hand-over, could cause it.
func TestTombstonesKeepStartedState(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	ledger := NewLedger(Identity{Domain: "brest", Address: "127.0.0.1:1", Incarnation: 7}, 100)
	ids := ledger.Issue(now, "team", 4)
	answers := []job.Answer{
		job.Refusal(job.ReasonOverload, ""),
		job.Failure(job.StartedUnknown, job.ReasonUpstreamLost, ""),
		job.Failure(job.StartedYes, job.ReasonTaskFailed, ""),
		{Outcome: job.Complete},
	}
	for i, id := range ids {
		ledger.Claim(now, id)
		ledger.Finish(id.Key, answers[i], 101)
	}
	successor := NewLedger(Identity{Domain: "brest", Address: "127.0.0.1:2", Incarnation: 8}, 100)
	ledger.Freeze()
	successor.Import(ledger.Export(now, DefaultPieceEntries))
	want := []job.Started{job.StartedNo, job.StartedUnknown, job.StartedYes, job.StartedYes}
	for _, current := range []*Ledger{ledger, successor} {
		for i, id := range ids {
			assert.DeepEqual(t, current.Claim(now, id), ClaimEvicted{Started: want[i]})
		}
	}
}
