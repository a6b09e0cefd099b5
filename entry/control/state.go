package control

import (
	"time"

	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/submission"
)

// Dump is the state dump of the control goroutine.
type Dump struct {
	AtMs        int64            `json:"at-ms"`
	Domain      string           `json:"failure-domain"`
	Peer        string           `json:"peer-address"`
	Incarnation uint64           `json:"incarnation"`
	Plan        PlanDump         `json:"plan"`
	Ledger      submission.Stats `json:"ledger"`
	Dispatch    dispatch.Dump    `json:"dispatch"`
	Fleet       FleetDump        `json:"fleet"`
	Waiters     int              `json:"waiting-requests"`
}

func (loop *Loop) dumpState(now time.Time) Dump {
	fleet := loop.config.Fleet
	return Dump{
		AtMs:        now.UnixMilli(),
		Domain:      fleet.self.Domain,
		Peer:        fleet.self.Address,
		Incarnation: fleet.self.Incarnation,
		Plan:        loop.config.Plans.Dump(),
		Ledger:      loop.config.Ledger.Stats(),
		Dispatch:    loop.config.Core.Dump(),
		Fleet:       fleet.Dump(),
		Waiters:     len(loop.waiters),
	}
}
