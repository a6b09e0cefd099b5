package fleet

import (
	"sort"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/placement"
)

const (
	// loanLease is the lease of a loan. The borrower starts tasks in the first
	// half only, so that all but the longest tasks end within the lease.
	loanLease = 10 * time.Second
	// loanMargin covers the difference between the clocks' rates and the time
	// that a process may lag: the borrower ends a loan by it earlier and the
	// lender later.
	loanMargin = 500 * time.Millisecond
	// maxLoanSlots bounds one loan.
	maxLoanSlots = 64
	// reserveFraction is the part of its idle slots that a lender keeps, so that
	// the next jobs of its own callers do not have to borrow.
	reserveFraction = 0.25
)

// IdleSlots is the number of slots of one owned upstream that run none of the
// lender's own tasks. Lent slots are among them.
type IdleSlots struct {
	Upstream placement.Upstream
	Slots    int
}

// Offer is what a lender could lend.
type Offer struct {
	Idle []IdleSlots
	// Quotas holds the unused own shares of team caps, lent ones included.
	Quotas map[uint32]int
}

// RecallRequest asks a borrower to give a loan back.
type RecallRequest struct {
	Borrower string
	Request  peer.RecallSlotsRequest
}

// Lender lends slots of this VM's upstreams and shares of team caps to peers.
// A slot is lent to one peer at a time: it counts as lent until it is returned
// or the lease and the margin have passed. It is not safe for concurrent use.
type Lender struct {
	address string
	lastLoan    uint64
	loans   map[uint64]*lentLoan
	// requests finds the loan of a request that is repeated because its
	// response was lost.
	requests   map[requestKey]uint64
	lentSlots       map[string]int
	lentQuotas map[uint32]int
}

type requestKey struct {
	borrower    string
	incarnation uint64
	request     uint64
}

type lentLoan struct {
	key     requestKey
	grants  []peer.SlotGrant
	quotas  []peer.QuotaCount
	slots   map[string]int
	shares  map[uint32]int
	expiresAt    time.Time
	lastReturn uint64
	recalled  bool
}

// NewLender returns a Lender without loans. Loan numbers start from the
// incarnation, so that a return meant for an earlier incarnation finds none.
func NewLender(self Self) *Lender {
	return &Lender{
		address:    self.Address,
		lastLoan:       self.Incarnation,
		loans:      make(map[uint64]*lentLoan),
		requests:   make(map[requestKey]uint64),
		lentSlots:       make(map[string]int),
		lentQuotas: make(map[uint32]int),
	}
}

// Lend answers a request from what is idle. The response may hold fewer slots
// than asked for, or none.
func (lender *Lender) Lend(now time.Time, request *peer.BorrowSlotsRequest, offer Offer) *peer.BorrowSlotsResponse {
	lender.Expire(now)
	key := requestKey{
		borrower:    request.Borrower,
		incarnation: request.Incarnation,
		request:     request.Request,
	}
	if number, repeated := lender.requests[key]; repeated {
		return lender.loanResponse(now, number)
	}
	granted := &lentLoan{
		key:    key,
		slots:  make(map[string]int),
		shares: make(map[uint32]int),
		expiresAt:   now.Add(loanLease),
	}
	lender.grantSlots(granted, request, offer.Idle)
	lender.grantQuotas(granted, request.Quotas, offer.Quotas)
	if len(granted.slots) == 0 && len(granted.shares) == 0 {
		return &peer.BorrowSlotsResponse{}
	}
	lender.lastLoan++
	lender.loans[lender.lastLoan] = granted
	lender.requests[key] = lender.lastLoan
	return lender.loanResponse(now, lender.lastLoan)
}

func (lender *Lender) loanResponse(now time.Time, number uint64) *peer.BorrowSlotsResponse {
	held := lender.loans[number]
	response := &peer.BorrowSlotsResponse{
		Loan:    number,
		LeaseMs: held.expiresAt.Sub(now).Milliseconds(),
	}
	// A repeated request gets what is not back yet.
	for _, grant := range held.grants {
		if slots := held.slots[grant.Upstream.ID]; slots > 0 {
			grant.Slots = slots
			response.Grants = append(response.Grants, grant)
		}
	}
	for _, quota := range held.quotas {
		if slots := held.shares[quota.Quota]; slots > 0 {
			quota.Slots = slots
			response.Quotas = append(response.Quotas, quota)
		}
	}
	return response
}

// grantSlots takes slots of the upstreams with the most free ones, so that a
// loan names few upstreams.
func (lender *Lender) grantSlots(granted *lentLoan, request *peer.BorrowSlotsRequest, idle []IdleSlots) {
	total := 0
	free := make([]IdleSlots, 0, len(idle))
	for _, item := range idle {
		item.Slots -= lender.lentSlots[item.Upstream.ID]
		if item.Slots <= 0 {
			continue
		}
		total += item.Slots
		if meetsRequirements(item.Upstream, request) {
			free = append(free, item)
		}
	}
	sort.Slice(free, func(i, j int) bool {
		if free[i].Slots != free[j].Slots {
			return free[i].Slots > free[j].Slots
		}
		return free[i].Upstream.ID < free[j].Upstream.ID
	})
	left := min(request.Slots, maxLoanSlots, total-int(float64(total)*reserveFraction+0.999))
	for _, item := range free {
		if left <= 0 {
			return
		}
		slots := min(left, item.Slots)
		left -= slots
		granted.slots[item.Upstream.ID] = slots
		granted.grants = append(granted.grants, peer.SlotGrant{
			Upstream: item.Upstream,
			Slots:    slots,
		})
		lender.lentSlots[item.Upstream.ID] += slots
	}
}

func meetsRequirements(upstream placement.Upstream, request *peer.BorrowSlotsRequest) bool {
	return upstream.Cores >= request.Cores &&
		upstream.MemoryMb >= request.MemoryMb &&
		upstream.Accelerators >= request.Accelerators
}

func (lender *Lender) grantQuotas(granted *lentLoan, asked []peer.QuotaCount, unused map[uint32]int) {
	for _, quota := range asked {
		slots := min(quota.Slots, unused[quota.Quota]-lender.lentQuotas[quota.Quota])
		if slots <= 0 || granted.shares[quota.Quota] > 0 {
			continue
		}
		granted.shares[quota.Quota] = slots
		granted.quotas = append(granted.quotas, peer.QuotaCount{
			Quota: quota.Quota,
			Slots: slots,
		})
		lender.lentQuotas[quota.Quota] += slots
	}
}

// Return takes slots back. A return that was already taken, or that is of an
// unknown loan, changes nothing.
func (lender *Lender) Return(now time.Time, request *peer.ReturnSlotsRequest) {
	lender.Expire(now)
	held, known := lender.loans[request.Loan]
	if !known || held.key.borrower != request.Borrower || held.key.incarnation != request.Incarnation ||
		request.Request <= held.lastReturn {
		return
	}
	held.lastReturn = request.Request
	for _, returned := range request.Slots {
		lender.reclaimSlots(held, returned.Upstream, returned.Slots)
	}
	for _, returned := range request.Quotas {
		lender.reclaimShare(held, returned.Quota, returned.Slots)
	}
	if len(held.slots) == 0 && len(held.shares) == 0 {
		lender.endLoan(request.Loan)
	}
}

func (lender *Lender) reclaimSlots(held *lentLoan, upstream string, slots int) {
	slots = min(max(slots, 0), held.slots[upstream])
	lender.lentSlots[upstream] -= slots
	if lender.lentSlots[upstream] <= 0 {
		delete(lender.lentSlots, upstream)
	}
	held.slots[upstream] -= slots
	if held.slots[upstream] <= 0 {
		delete(held.slots, upstream)
	}
}

func (lender *Lender) reclaimShare(held *lentLoan, quota uint32, slots int) {
	slots = min(max(slots, 0), held.shares[quota])
	lender.lentQuotas[quota] -= slots
	if lender.lentQuotas[quota] <= 0 {
		delete(lender.lentQuotas, quota)
	}
	held.shares[quota] -= slots
	if held.shares[quota] <= 0 {
		delete(held.shares, quota)
	}
}

func (lender *Lender) endLoan(number uint64) {
	held := lender.loans[number]
	for upstream, slots := range held.slots {
		lender.reclaimSlots(held, upstream, slots)
	}
	for quota, slots := range held.shares {
		lender.reclaimShare(held, quota, slots)
	}
	delete(lender.requests, held.key)
	delete(lender.loans, number)
}

// Expire ends the loans whose lease and margin have passed. It reports whether
// there were any.
func (lender *Lender) Expire(now time.Time) bool {
	ended := false
	for number, held := range lender.loans {
		if !now.Before(held.expiresAt.Add(loanMargin)) {
			lender.endLoan(number)
			ended = true
		}
	}
	return ended
}

// Recall asks for the loans of an upstream back, or for all of them if the
// upstream is "". Each loan is recalled once.
func (lender *Lender) Recall(upstream string) []RecallRequest {
	var recalls []RecallRequest
	for number, held := range lender.loans {
		if held.recalled || (upstream != "" && held.slots[upstream] == 0) {
			continue
		}
		held.recalled = true
		recalls = append(recalls, RecallRequest{
			Borrower: held.key.borrower,
			Request: peer.RecallSlotsRequest{
				Lender: lender.address,
				Loan:   number,
			},
		})
	}
	sort.Slice(recalls, func(i, j int) bool { return recalls[i].Request.Loan < recalls[j].Request.Loan })
	return recalls
}

// Lent returns the slots of an upstream that are lent.
func (lender *Lender) Lent(upstream string) int { return lender.lentSlots[upstream] }

// LentShare returns the part of a team cap that is lent.
func (lender *Lender) LentShare(quota uint32) int { return lender.lentQuotas[quota] }

// TotalLent returns the number of lent slots.
func (lender *Lender) TotalLent() int {
	total := 0
	for _, slots := range lender.lentSlots {
		total += slots
	}
	return total
}
