package control

import (
	"time"

	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/submission"
)

// Dump is the state dump of the control goroutine.
type Dump struct {
	// AtMs is the time of the dump as a Unix time in ms.
	AtMs        int64            `json:"at-ms"`
	Domain      string           `json:"failure-domain"`
	PeerAddress string           `json:"peer-address"`
	Incarnation uint64           `json:"incarnation"`
	Plan        PlanDump         `json:"plan"`
	Ledger      submission.Stats `json:"ledger"`
	Dispatch    dispatch.Dump    `json:"dispatch"`
	Fleet       FleetDump        `json:"fleet"`
	// AwaitedJobs is the number of jobs that at least one request waits for.
	AwaitedJobs int `json:"waiting-requests"`
}

func (loop *Loop) dumpState(now time.Time) Dump {
	identity := loop.config.Identity
	return Dump{
		AtMs:        now.UnixMilli(),
		Domain:      identity.Domain,
		PeerAddress: identity.Address,
		Incarnation: identity.Incarnation,
		Plan:        loop.config.Plans.Dump(),
		Ledger:      loop.config.Ledger.Stats(),
		Dispatch:    loop.config.Core.Dump(),
		Fleet: FleetDump{
			Members:            loop.config.View.Members(now),
			PeersWithOlderPlan: loop.config.View.PeersWithOlderPlan(),
		},
		AwaitedJobs: len(loop.waiters),
	}
}
