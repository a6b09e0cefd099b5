package fleet

import (
	"sort"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/placement"
)

const (
	// loanLease is the duration of a loan. The borrower starts tasks only in the
	// first half, so that all but the longest tasks end within the lease.
	loanLease = 10 * time.Second
	// loanMargin allows for clock rate differences and for delays of a process:
	// the borrower ends a loan earlier by this time, the lender later.
	loanMargin = 500 * time.Millisecond
	// maxLoanSlots is the maximum number of slots of one loan.
	maxLoanSlots = 64
	// reserveFraction is the fraction of its idle slots that a lender keeps, so
	// that the next jobs of its own callers do not need to borrow. Nothing is kept
	// from a borrower without upstreams, whose jobs have no other slots to wait for.
	reserveFraction = 0.25
)

// IdleSlots is the number of slots of one owned upstream that run none of the
// lender's own tasks, including those already lent.
type IdleSlots struct {
	Upstream placement.Upstream
	Slots    int
}

// Offer holds the idle slots and the unused shares of a lender.
type Offer struct {
	Idle []IdleSlots
	// Quotas maps quota IDs to the unused part of the lender's own share,
	// including what is already lent.
	Quotas map[uint32]int
}

// RecallRequest is a recall of a loan that the caller must send to the borrower.
type RecallRequest struct {
	Borrower string
	Request  peer.RecallSlotsRequest
}

// Lender lends slots of this VM's upstreams and shares of team caps to peers. A
// slot is lent to one peer at a time: it counts as lent until it is returned, or
// until 500 ms after the lease of 10 s expired. Lender is not safe for concurrent
// use.
type Lender struct {
	address  string
	lastLoan uint64
	loans    map[uint64]*lentLoan
	// requests maps requests to their loans, for a request that is retried
	// because its response was lost.
	requests   map[requestKey]uint64
	lentSlots  map[string]int
	lentQuotas map[uint32]int
}

// requestKey identifies a request: each incarnation of a borrower numbers its
// requests.
type requestKey struct {
	borrower    string
	incarnation uint64
	request     uint64
}

// lentLoan holds what was granted to a borrower in grants and quotas, and what
// of it is not returned yet in slots and shares.
type lentLoan struct {
	key        requestKey
	grants     []peer.SlotGrant
	quotas     []peer.QuotaCount
	slots      map[string]int
	shares     map[uint32]int
	expiresAt  time.Time
	lastReturn uint64
	recalled   bool
}

// NewLender returns a Lender without loans. Loan numbers start at the
// incarnation, so that a return meant for an earlier incarnation matches no loan.
func NewLender(self Self) *Lender {
	return &Lender{
		address:    self.Address,
		lastLoan:   self.Incarnation,
		loans:      make(map[uint64]*lentLoan),
		requests:   make(map[requestKey]uint64),
		lentSlots:  make(map[string]int),
		lentQuotas: make(map[uint32]int),
	}
}

// Lend grants a request from the idle slots and unused shares in offer. The
// response may grant less than requested, or nothing. A retried request gets its
// earlier loan.
func (lender *Lender) Lend(now time.Time, request *peer.BorrowSlotsRequest, offer Offer) *peer.BorrowSlotsResponse {
	lender.Expire(now)
	key := requestKey{
		borrower:    request.Borrower,
		incarnation: request.Incarnation,
		request:     request.RequestNumber,
	}
	if number, repeated := lender.requests[key]; repeated {
		return lender.loanResponse(now, number)
	}
	loan := &lentLoan{
		key:       key,
		slots:     make(map[string]int),
		shares:    make(map[uint32]int),
		expiresAt: now.Add(loanLease),
	}
	lender.grantSlots(loan, request, offer.Idle)
	lender.grantQuotas(loan, request.Quotas, offer.Quotas)
	if len(loan.slots) == 0 && len(loan.shares) == 0 {
		return &peer.BorrowSlotsResponse{}
	}
	lender.lastLoan++
	lender.loans[lender.lastLoan] = loan
	lender.requests[key] = lender.lastLoan
	return lender.loanResponse(now, lender.lastLoan)
}

func (lender *Lender) loanResponse(now time.Time, number uint64) *peer.BorrowSlotsResponse {
	loan := lender.loans[number]
	response := &peer.BorrowSlotsResponse{
		Loan:    number,
		LeaseMs: loan.expiresAt.Sub(now).Milliseconds(),
	}
	// The response to a retried request omits what was already returned.
	for _, grant := range loan.grants {
		if slots := loan.slots[grant.Upstream.ID]; slots > 0 {
			grant.Slots = slots
			response.Grants = append(response.Grants, grant)
		}
	}
	for _, quota := range loan.quotas {
		if slots := loan.shares[quota.Quota]; slots > 0 {
			quota.Slots = slots
			response.Quotas = append(response.Quotas, quota)
		}
	}
	return response
}

// grantSlots adds slots to a loan, from the upstreams with the most free slots
// first, so that a loan covers few upstreams.
func (lender *Lender) grantSlots(loan *lentLoan, request *peer.BorrowSlotsRequest, idle []IdleSlots) {
	total := 0
	free := make([]IdleSlots, 0, len(idle))
	for _, candidate := range idle {
		candidate.Slots -= lender.lentSlots[candidate.Upstream.ID]
		if candidate.Slots <= 0 {
			continue
		}
		total += candidate.Slots
		if meetsRequirements(candidate.Upstream, request) {
			free = append(free, candidate)
		}
	}
	sort.Slice(free, func(i, j int) bool {
		if free[i].Slots != free[j].Slots {
			return free[i].Slots > free[j].Slots
		}
		return free[i].Upstream.ID < free[j].Upstream.ID
	})
	reserve := int(float64(total)*reserveFraction + 0.999)
	if request.NoUpstreams {
		reserve = 0
	}
	remaining := min(request.Slots, maxLoanSlots, total-reserve)
	for _, candidate := range free {
		if remaining <= 0 {
			return
		}
		slots := min(remaining, candidate.Slots)
		remaining -= slots
		loan.slots[candidate.Upstream.ID] = slots
		loan.grants = append(loan.grants, peer.SlotGrant{
			Upstream: candidate.Upstream,
			Slots:    slots,
		})
		lender.lentSlots[candidate.Upstream.ID] += slots
	}
}

func meetsRequirements(upstream placement.Upstream, request *peer.BorrowSlotsRequest) bool {
	return upstream.Cores >= request.Cores &&
		upstream.MemoryMb >= request.MemoryMb &&
		upstream.Accelerators >= request.Accelerators
}

func (lender *Lender) grantQuotas(loan *lentLoan, requested []peer.QuotaCount, unused map[uint32]int) {
	for _, quota := range requested {
		slots := min(quota.Slots, unused[quota.Quota]-lender.lentQuotas[quota.Quota])
		if slots <= 0 || loan.shares[quota.Quota] > 0 {
			continue
		}
		loan.shares[quota.Quota] = slots
		loan.quotas = append(loan.quotas, peer.QuotaCount{
			Quota: quota.Quota,
			Slots: slots,
		})
		lender.lentQuotas[quota.Quota] += slots
	}
}

// Return takes back slots and shares of a loan. A repeated return, or one of an
// unknown loan, has no effect.
func (lender *Lender) Return(now time.Time, request *peer.ReturnSlotsRequest) {
	lender.Expire(now)
	loan, exists := lender.loans[request.Loan]
	if !exists || loan.key.borrower != request.Borrower || loan.key.incarnation != request.Incarnation ||
		request.RequestNumber <= loan.lastReturn {
		return
	}
	loan.lastReturn = request.RequestNumber
	for _, returned := range request.Slots {
		lender.reclaimSlots(loan, returned.Upstream, returned.Slots)
	}
	for _, returned := range request.Quotas {
		lender.reclaimShare(loan, returned.Quota, returned.Slots)
	}
	if len(loan.slots) == 0 && len(loan.shares) == 0 {
		lender.endLoan(request.Loan)
	}
}

func (lender *Lender) reclaimSlots(loan *lentLoan, upstream string, slots int) {
	slots = min(max(slots, 0), loan.slots[upstream])
	lender.lentSlots[upstream] -= slots
	if lender.lentSlots[upstream] <= 0 {
		delete(lender.lentSlots, upstream)
	}
	loan.slots[upstream] -= slots
	if loan.slots[upstream] <= 0 {
		delete(loan.slots, upstream)
	}
}

func (lender *Lender) reclaimShare(loan *lentLoan, quota uint32, slots int) {
	slots = min(max(slots, 0), loan.shares[quota])
	lender.lentQuotas[quota] -= slots
	if lender.lentQuotas[quota] <= 0 {
		delete(lender.lentQuotas, quota)
	}
	loan.shares[quota] -= slots
	if loan.shares[quota] <= 0 {
		delete(loan.shares, quota)
	}
}

func (lender *Lender) endLoan(number uint64) {
	loan := lender.loans[number]
	for upstream, slots := range loan.slots {
		lender.reclaimSlots(loan, upstream, slots)
	}
	for quota, slots := range loan.shares {
		lender.reclaimShare(loan, quota, slots)
	}
	delete(lender.requests, loan.key)
	delete(lender.loans, number)
}

// Expire ends the loans whose lease and margin have passed. It reports whether
// there were any.
func (lender *Lender) Expire(now time.Time) bool {
	expired := false
	for number, loan := range lender.loans {
		if !now.Before(loan.expiresAt.Add(loanMargin)) {
			lender.endLoan(number)
			expired = true
		}
	}
	return expired
}

// Recall returns the requests that recall the loans of an upstream, or all loans
// if upstream is "". Each loan is recalled once.
func (lender *Lender) Recall(upstream string) []RecallRequest {
	var recalls []RecallRequest
	for number, loan := range lender.loans {
		if loan.recalled || (upstream != "" && loan.slots[upstream] == 0) {
			continue
		}
		loan.recalled = true
		recalls = append(recalls, RecallRequest{
			Borrower: loan.key.borrower,
			Request: peer.RecallSlotsRequest{
				Lender: lender.address,
				Loan:   number,
			},
		})
	}
	sort.Slice(recalls, func(i, j int) bool { return recalls[i].Request.Loan < recalls[j].Request.Loan })
	return recalls
}

// Lent returns the number of lent slots of an upstream.
func (lender *Lender) Lent(upstream string) int { return lender.lentSlots[upstream] }

// LentShare returns the lent share of a team cap.
func (lender *Lender) LentShare(quota uint32) int { return lender.lentQuotas[quota] }

// TotalLent returns the number of lent slots of all upstreams.
func (lender *Lender) TotalLent() int {
	total := 0
	for _, slots := range lender.lentSlots {
		total += slots
	}
	return total
}
