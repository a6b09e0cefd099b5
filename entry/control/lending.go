package control

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/version/fleet"
	"tanagerfall/shared/version/plan"
)

// capDivisionInterval is the time between two divisions of the team caps among the
// VMs of the failure domain. The time that a division takes is proportional to the
// number of caps.
const capDivisionInterval = time.Second

// lending is the state of the loans between this VM and its peers, and of this
// VM's shares of the team caps.
type lending struct {
	lender      *fleet.Lender
	borrower    *fleet.Borrower
	quotaShares *fleet.QuotaShares
	// owned, leaving and domainUpstreams are those of the last
	// fleet.UpstreamsChanged.
	owned           []placement.Upstream
	leaving         []string
	domainUpstreams []placement.Upstream
	// borrowed holds the borrowed upstreams last passed to the dispatch core.
	borrowed []placement.Upstream
	quotas   []quota
	// allowances holds the allowances last passed to the dispatch core.
	allowances []dispatch.Allowance
	// capsDividedAt is the time of the last division of the team caps.
	capsDividedAt time.Time
	// wantedQuotas and spareQuotas hold the missing and the unused shares of the
	// team caps. They are sent in heartbeats.
	wantedQuotas []peer.QuotaCount
	spareQuotas  []peer.QuotaCount
}

// quota is a team cap of the plan in the failure domain of this VM: the maximum
// number of slots that a team may use for a kind.
type quota struct {
	id   uint32
	team string
	kind string
	cap  int
}

func newLending(self fleet.Self, failureTimeout time.Duration) *lending {
	return &lending{
		lender:      fleet.NewLender(self),
		borrower:    fleet.NewBorrower(self),
		quotaShares: fleet.NewQuotaShares(self, failureTimeout),
	}
}

// setPlan replaces the quotas by the team caps of a plan. The next tick divides
// them.
func (lending *lending) setPlan(rules *plan.Plan, domain string) {
	lending.quotas = nil
	lending.capsDividedAt = time.Time{}
	for _, rule := range rules.Rules {
		if rule.Domain != domain || rule.Cap == 0 {
			continue
		}
		lending.quotas = append(lending.quotas, quota{
			id:   fleet.QuotaID(rule.Team, rule.Kind, rule.Domain),
			team: rule.Team,
			kind: rule.Kind,
			cap:  rule.Cap,
		})
	}
}

// updateDispatchUpstreams passes the upstreams that this VM may use at present to
// the dispatch core.
func (loop *Loop) updateDispatchUpstreams(now time.Time) {
	lending := loop.lending
	lending.borrowed = lending.borrower.Upstreams(now)
	available := make([]placement.Upstream, 0, len(lending.owned))
	for _, upstream := range lending.owned {
		upstream.Slots -= lending.lender.Lent(upstream.ID)
		available = append(available, upstream)
	}
	loop.dispatch(now, dispatch.FleetChanged{
		Upstreams:       available,
		Borrowed:        lending.borrowed,
		Leaving:         lending.leaving,
		DomainUpstreams: lending.domainUpstreams,
	})
}

// lend handles a peer's request for slots and shares of team caps.
func (loop *Loop) lend(now time.Time, request *peer.BorrowSlotsRequest) peer.BorrowSlotsResponse {
	response := loop.lending.lender.Lend(now, request, loop.lendingOffer())
	if len(response.Grants) > 0 {
		loop.updateDispatchUpstreams(now)
	}
	if len(response.Quotas) > 0 {
		loop.divideCaps(now)
	}
	return *response
}

// lendingOffer returns the idle slots of this VM's upstreams and its unused shares
// of team caps. The slots include those that are lent already.
func (loop *Loop) lendingOffer() fleet.Offer {
	lender := loop.lending.lender
	offer := fleet.Offer{
		Quotas: make(map[uint32]int),
	}
	for _, idle := range loop.config.Core.IdleSlots() {
		offer.Idle = append(offer.Idle, fleet.IdleSlots{
			Upstream: idle.Upstream,
			Slots:    idle.Slots + lender.Lent(idle.Upstream.ID),
		})
	}
	for _, quota := range loop.lending.quotas {
		usage := loop.config.Core.Usage(quota.team, quota.kind)
		offer.Quotas[quota.id] = max(loop.lending.quotaShares.OwnShare(quota.id)-usage.Running-usage.Waiting, 0)
	}
	return offer
}

// handleReturn takes back slots and shares that a peer returns.
func (loop *Loop) handleReturn(now time.Time, request *peer.ReturnSlotsRequest) {
	loop.lending.lender.Return(now, request)
	loop.updateDispatchUpstreams(now)
	loop.divideCaps(now)
}

// handleRecall ends loans that the lending peer recalls.
func (loop *Loop) handleRecall(now time.Time, request *peer.RecallSlotsRequest) {
	loop.lending.borrower.HandleRecall(now, request)
	loop.returnUnusedSlots(now)
}

// tickLending ends expired loans, returns unused slots, divides the team caps when
// that is due, and requests missing slots.
func (loop *Loop) tickLending(now time.Time) {
	if loop.lending.lender.Expire(now) {
		loop.updateDispatchUpstreams(now)
	}
	loop.returnUnusedSlots(now)
	if now.Sub(loop.lending.capsDividedAt) >= capDivisionInterval {
		loop.divideCaps(now)
	}
	loop.requestSlots(now)
}

// returnUnusedSlots returns borrowed slots and shares that this VM does not use.
func (loop *Loop) returnUnusedSlots(now time.Time) {
	borrower := loop.lending.borrower
	usage := fleet.Usage{
		Upstreams: make(map[string]int),
		Quotas:    make(map[uint32]int),
		Waiting:   loop.config.Scheduler.Waiting() > 0,
	}
	for _, upstream := range loop.lending.borrowed {
		usage.Upstreams[upstream.ID] = loop.config.Core.UsedSlots(upstream.ID)
	}
	for _, quota := range loop.lending.quotas {
		running := loop.config.Core.Usage(quota.team, quota.kind).Running
		usage.Quotas[quota.id] = max(running-loop.lending.quotaShares.OwnShare(quota.id), 0)
	}
	for _, request := range borrower.ReturnUnused(now, usage) {
		loop.peerSender.Return(request)
	}
	if !slices.Equal(borrower.Upstreams(now), loop.lending.borrowed) {
		loop.updateDispatchUpstreams(now)
	}
}

// requestSlots sends a request to a peer if this VM lacks slots or shares of team
// caps.
func (loop *Loop) requestSlots(now time.Time) {
	coreShortage := loop.config.Core.Shortage()
	shortage := fleet.Shortage{
		Slots:         coreShortage.Slots,
		Need:          coreShortage.Need,
		Quotas:        loop.lending.wantedQuotas,
		OwnsUpstreams: len(loop.lending.owned) > 0,
	}
	if shortage.Slots == 0 && len(shortage.Quotas) == 0 {
		return
	}
	request, due := loop.lending.borrower.NextRequest(now, shortage, loop.config.View.LendingPeers())
	if due {
		loop.peerSender.Borrow(request)
	}
}

// handleBorrowEnded processes the response to a request for slots. The response is
// nil if there was none; delivered then reports whether the peer may have received
// the request.
func (loop *Loop) handleBorrowEnded(now time.Time, response *peer.BorrowSlotsResponse, delivered bool) {
	if response == nil {
		loop.lending.borrower.RequestFailed(delivered)
		return
	}
	if loop.lending.borrower.HandleResponse(now, response) {
		loop.updateDispatchUpstreams(now)
		loop.divideCaps(now)
	}
}

// divideCaps updates this VM's shares of the team caps and the resulting
// allowances, and recomputes which shares are missing or unused.
func (loop *Loop) divideCaps(now time.Time) {
	lending := loop.lending
	lending.capsDividedAt = now
	var caps []fleet.Quota
	for _, quota := range lending.quotas {
		caps = append(caps, fleet.Quota{
			ID:  quota.id,
			Cap: quota.cap,
		})
	}
	lending.quotaShares.Update(now, caps, loop.config.View.SlotsByOwner(), loop.config.View.Agreement(now))
	wanted := loop.config.View.WantedQuotas()
	lending.wantedQuotas, lending.spareQuotas = nil, nil
	allowances := make([]dispatch.Allowance, 0, len(lending.quotas))
	for _, quota := range lending.quotas {
		allowance := fleet.Allowance(now, quota.id, lending.quotaShares, lending.lender, lending.borrower)
		allowances = append(allowances, dispatch.Allowance{
			Team:  quota.team,
			Kind:  quota.kind,
			Slots: allowance,
		})
		loop.reportQuota(quota, allowance, wanted[quota.id])
	}
	if !slices.Equal(allowances, lending.allowances) {
		lending.allowances = allowances
		loop.dispatch(now, dispatch.AllowancesChanged{
			Allowances: allowances,
		})
	}
}

// reportQuota adds a quota to wantedQuotas if tasks wait because the allowance is
// used up, or to spareQuotas if a peer wants the quota and this VM does not use all
// of its allowance.
func (loop *Loop) reportQuota(quota quota, allowance int, wanted bool) {
	usage := loop.config.Core.Usage(quota.team, quota.kind)
	if missing := usage.Running + usage.Waiting - allowance; usage.Waiting > 0 && missing > 0 {
		loop.lending.wantedQuotas = append(loop.lending.wantedQuotas, peer.QuotaCount{
			Quota: quota.id,
			Slots: min(missing, quota.cap),
		})
	}
	if unused := allowance - usage.Running - usage.Waiting; wanted && unused > 0 {
		loop.lending.spareQuotas = append(loop.lending.spareQuotas, peer.QuotaCount{
			Quota: quota.id,
			Slots: unused,
		})
	}
}

// recallRemovedUpstreams recalls the lent slots of upstreams that this VM no longer
// owns. owned holds the upstreams that it owns now.
func (loop *Loop) recallRemovedUpstreams(owned []placement.Upstream) {
	ownedIDs := make(map[string]bool, len(owned))
	for _, upstream := range owned {
		ownedIDs[upstream.ID] = true
	}
	for _, upstream := range loop.lending.owned {
		if ownedIDs[upstream.ID] || loop.lending.lender.Lent(upstream.ID) == 0 {
			continue
		}
		for _, recall := range loop.lending.lender.Recall(upstream.ID) {
			loop.peerSender.Recall(recall)
		}
	}
}
