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

// quotaInterval is the time between two divisions of the team caps. Each costs
// time in proportion to the number of caps.
const quotaInterval = time.Second

// lending is what this VM lends, borrows and may use of the team caps.
type lending struct {
	lender   *fleet.Lender
	borrower *fleet.Borrower
	shares   *fleet.QuotaShares
	// owned, leaving and domain are the last of fleet.UpstreamsChanged.
	owned   []placement.Upstream
	leaving []string
	domain  []placement.Upstream
	// borrowed was last told to the dispatch core.
	borrowed []placement.Upstream
	quotas   []quota
	// allowances were last told to the dispatch core.
	allowances []dispatch.Allowance
	dividedAt  time.Time
	wants      []peer.QuotaCount
	spares     []peer.QuotaCount
}

// quota is one cap of the plan in this failure domain.
type quota struct {
	id   uint32
	team string
	kind string
	cap  int
}

func newLending(self fleet.Self, settle time.Duration) *lending {
	return &lending{
		lender:   fleet.NewLender(self),
		borrower: fleet.NewBorrower(self),
		shares:   fleet.NewQuotaShares(self, settle),
	}
}

// setPlan takes in the caps of the rules in force.
func (lending *lending) setPlan(rules *plan.Plan, domain string) {
	lending.quotas = nil
	lending.dividedAt = time.Time{}
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

// announceUpstreams tells the dispatch core what it may use now.
func (loop *Loop) announceUpstreams(now time.Time) {
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
		DomainUpstreams: lending.domain,
	})
}

// lend answers a peer that is short of slots.
func (loop *Loop) lend(now time.Time, request *peer.BorrowSlotsRequest) peer.BorrowSlotsResponse {
	response := loop.lending.lender.Lend(now, request, loop.offer())
	if len(response.Grants) > 0 {
		loop.announceUpstreams(now)
	}
	if len(response.Quotas) > 0 {
		loop.divideCaps(now)
	}
	return *response
}

func (loop *Loop) offer() fleet.Offer {
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
		offer.Quotas[quota.id] = max(loop.lending.shares.OwnShare(quota.id)-usage.Running-usage.Waiting, 0)
	}
	return offer
}

func (loop *Loop) takeBack(now time.Time, request *peer.ReturnSlotsRequest) {
	loop.lending.lender.Return(now, request)
	loop.announceUpstreams(now)
	loop.divideCaps(now)
}

func (loop *Loop) endLoan(now time.Time, request *peer.RecallSlotsRequest) {
	loop.lending.borrower.HandleRecall(now, request)
	loop.settleLoans(now)
}

// tickLending ends loans, gives back what is not needed and borrows what is
// short.
func (loop *Loop) tickLending(now time.Time) {
	if loop.lending.lender.Expire(now) {
		loop.announceUpstreams(now)
	}
	loop.settleLoans(now)
	if now.Sub(loop.lending.dividedAt) >= quotaInterval {
		loop.divideCaps(now)
	}
	loop.askSlots(now)
}

func (loop *Loop) settleLoans(now time.Time) {
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
		usage.Quotas[quota.id] = max(running-loop.lending.shares.OwnShare(quota.id), 0)
	}
	for _, request := range borrower.ReturnUnused(now, usage) {
		loop.courier.Return(request)
	}
	if !slices.Equal(borrower.Upstreams(now), loop.lending.borrowed) {
		loop.announceUpstreams(now)
	}
}

// askSlots sends a request to a peer where this VM is short of slots or caps.
func (loop *Loop) askSlots(now time.Time) {
	short := loop.config.Core.Shortage()
	shortage := fleet.Shortage{
		Slots:  short.Slots,
		Need:   short.Need,
		Quotas: loop.lending.wants,
	}
	if shortage.Slots == 0 && len(shortage.Quotas) == 0 {
		return
	}
	request, due := loop.lending.borrower.NextRequest(now, shortage, loop.config.View.LendingPeers())
	if due {
		loop.courier.Borrow(request)
	}
}

// endBorrowing takes in the answer to a request; nil means that there is none.
func (loop *Loop) endBorrowing(now time.Time, response *peer.BorrowSlotsResponse, delivered bool) {
	if response == nil {
		loop.lending.borrower.RequestFailed(delivered)
		return
	}
	if loop.lending.borrower.HandleResponse(now, response) {
		loop.announceUpstreams(now)
		loop.divideCaps(now)
	}
}

// divideCaps updates this VM's parts of the team caps, and what it wants and
// spares of them.
func (loop *Loop) divideCaps(now time.Time) {
	lending := loop.lending
	lending.dividedAt = now
	var caps []fleet.Quota
	for _, quota := range lending.quotas {
		caps = append(caps, fleet.Quota{
			ID:  quota.id,
			Cap: quota.cap,
		})
	}
	lending.shares.Update(now, caps, loop.config.View.SlotsByOwner(), loop.config.View.Agreement(now))
	wanted := loop.config.View.WantedQuotas()
	lending.wants, lending.spares = nil, nil
	allowances := make([]dispatch.Allowance, 0, len(lending.quotas))
	for _, quota := range lending.quotas {
		allowed := fleet.Allowance(now, quota.id, lending.shares, lending.lender, lending.borrower)
		allowances = append(allowances, dispatch.Allowance{
			Team:  quota.team,
			Kind:  quota.kind,
			Slots: allowed,
		})
		loop.tellQuota(quota, allowed, wanted[quota.id])
	}
	if !slices.Equal(allowances, lending.allowances) {
		lending.allowances = allowances
		loop.dispatch(now, dispatch.AllowancesChanged{
			Allowances: allowances,
		})
	}
}

func (loop *Loop) tellQuota(quota quota, allowed int, wanted bool) {
	usage := loop.config.Core.Usage(quota.team, quota.kind)
	if short := usage.Running + usage.Waiting - allowed; usage.Waiting > 0 && short > 0 {
		loop.lending.wants = append(loop.lending.wants, peer.QuotaCount{
			Quota: quota.id,
			Slots: min(short, quota.cap),
		})
	}
	if spare := allowed - usage.Running - usage.Waiting; wanted && spare > 0 {
		loop.lending.spares = append(loop.lending.spares, peer.QuotaCount{
			Quota: quota.id,
			Slots: spare,
		})
	}
}

// recallLost asks for loans of upstreams that this VM no longer owns.
func (loop *Loop) recallLost(owned []placement.Upstream) {
	held := make(map[string]bool, len(owned))
	for _, upstream := range owned {
		held[upstream.ID] = true
	}
	for _, upstream := range loop.lending.owned {
		if held[upstream.ID] || loop.lending.lender.Lent(upstream.ID) == 0 {
			continue
		}
		for _, recall := range loop.lending.lender.Recall(upstream.ID) {
			loop.courier.Recall(recall)
		}
	}
}
