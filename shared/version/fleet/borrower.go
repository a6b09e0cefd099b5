package fleet

import (
	"sort"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/placement"
)

const (
	// minBorrowInterval is the minimum time between two requests of this VM. With
	// one return per loan, it bounds borrowing to 20 messages/s.
	minBorrowInterval = 200 * time.Millisecond
	// minPeerBorrowInterval is the minimum time between two requests to the same
	// peer, which reports its load once per heartbeat period.
	minPeerBorrowInterval = minHeartbeatPeriod
	// maxBorrowRetries is the number of retries of a request without a response.
	maxBorrowRetries = 1
	// minBorrowSlots is the smallest batch to request, so that a VM with a lasting
	// shortage does not request single slots.
	minBorrowSlots = 4
)

// Shortage is the demand of this VM that exceeds its own slots and shares.
type Shortage struct {
	// Slots is the number of missing slots.
	Slots int
	// Need is the minimum of resources that an upstream must have.
	Need placement.Need
	// Quotas holds the missing shares of team caps.
	Quotas []peer.QuotaCount
	// OwnsUpstreams is set if this VM has slots of its own. A leaving VM has none.
	OwnsUpstreams bool
}

// LendingPeer is an entry VM of the failure domain that may lend slots, with the
// load that its last heartbeat reported.
type LendingPeer struct {
	Address string
	Load    peer.Load
	// SpareQuotas holds the unused shares of team caps that the peer could lend.
	SpareQuotas []peer.QuotaCount
}

// BorrowRequest is a request for slots and shares that the caller must send to
// the peer at Address.
type BorrowRequest struct {
	Address string
	Request peer.BorrowSlotsRequest
}

// ReturnRequest is a return of slots and shares that the caller must send to the
// lender at Address. A lost return is not retried: the loan ends when its lease
// expires.
type ReturnRequest struct {
	Address string
	Request peer.ReturnSlotsRequest
}

// Borrower requests slots and shares of team caps from peers and keeps the
// resulting loans. It is not safe for concurrent use.
type Borrower struct {
	self          Self
	lastRequest   uint64
	loans         map[loanKey]*borrowedLoan
	pending       *pendingRequest
	nextRequestAt time.Time
	requestedAt   map[string]time.Time
}

// loanKey identifies a loan: the lender numbers its loans.
type loanKey struct {
	lender string
	number uint64
}

// pendingRequest is a request that has no response yet. inFlight is false while
// it waits for its retry.
type pendingRequest struct {
	request  BorrowRequest
	sentAt   time.Time
	retries  int
	inFlight bool
}

// borrowedLoan holds the slots and shares of a loan that are not returned yet.
// Tasks start on it before usableUntil, and it ends at expiresAt. Returns are
// numbered, so that the lender can detect a repeated one.
type borrowedLoan struct {
	grants      map[string]peer.SlotGrant
	quotas      map[uint32]int
	usableUntil time.Time
	expiresAt   time.Time
	lastReturn  uint64
}

// NewBorrower returns a Borrower without loans.
func NewBorrower(self Self) *Borrower {
	return &Borrower{
		self:        self,
		loans:       make(map[loanKey]*borrowedLoan),
		requestedAt: make(map[string]time.Time),
	}
}

// NextRequest returns the next request to send. It returns false if none is due.
// At most one request is in flight: HandleResponse or RequestFailed must follow
// before the next one.
func (borrower *Borrower) NextRequest(now time.Time, shortage Shortage, peers []LendingPeer) (BorrowRequest, bool) {
	if borrower.pending != nil && borrower.pending.inFlight || now.Before(borrower.nextRequestAt) {
		return BorrowRequest{}, false
	}
	borrower.nextRequestAt = now.Add(minBorrowInterval)
	if borrower.pending != nil {
		// The lender may have granted the request whose response was lost. A
		// retry under the same number gets the same loan.
		borrower.pending.inFlight = true
		borrower.pending.sentAt = now
		return borrower.pending.request, true
	}
	if shortage.Slots <= 0 && len(shortage.Quotas) == 0 {
		return BorrowRequest{}, false
	}
	address, chosen := borrower.choosePeer(now, shortage, peers)
	if !chosen {
		return BorrowRequest{}, false
	}
	borrower.lastRequest++
	borrower.requestedAt[address] = now
	slots := 0
	if shortage.Slots > 0 {
		slots = min(max(shortage.Slots, minBorrowSlots), maxLoanSlots)
	}
	borrower.pending = &pendingRequest{
		request: BorrowRequest{
			Address: address,
			Request: peer.BorrowSlotsRequest{
				Borrower:      borrower.self.Address,
				Incarnation:   borrower.self.Incarnation,
				RequestNumber: borrower.lastRequest,
				Slots:         slots,
				Cores:         shortage.Need.Cores,
				MemoryMb:      shortage.Need.MemoryMb,
				Accelerators:  shortage.Need.Accelerators,
				Quotas:        shortage.Quotas,
				NoUpstreams:   !shortage.OwnsUpstreams,
			},
		},
		sentAt:   now,
		inFlight: true,
	}
	return borrower.pending.request, true
}

// choosePeer returns the peer with the most spare slots and shares of those that
// are missing.
func (borrower *Borrower) choosePeer(now time.Time, shortage Shortage, peers []LendingPeer) (string, bool) {
	best, bestSpare := "", 0
	for _, candidate := range peers {
		if requested, wasRequested := borrower.requestedAt[candidate.Address]; wasRequested && now.Sub(requested) < minPeerBorrowInterval {
			continue
		}
		spare := 0
		if shortage.Slots > 0 {
			load := candidate.Load
			spare = max(load.Slots-load.Used-load.Lent-load.Waiting, 0)
		}
		for _, missing := range shortage.Quotas {
			for _, spareQuota := range candidate.SpareQuotas {
				if spareQuota.Quota == missing.Quota {
					spare += min(spareQuota.Slots, missing.Slots)
				}
			}
		}
		if spare > bestSpare || (spare == bestSpare && spare > 0 && candidate.Address < best) {
			best, bestSpare = candidate.Address, spare
		}
	}
	return best, bestSpare > 0
}

// HandleResponse adds the loan in the response to the request in flight. It
// reports whether this VM got slots or shares.
func (borrower *Borrower) HandleResponse(now time.Time, response *peer.BorrowSlotsResponse) bool {
	pending := borrower.pending
	if pending == nil || !pending.inFlight {
		return false
	}
	borrower.pending = nil
	lease := time.Duration(response.LeaseMs)*time.Millisecond - loanMargin
	leaseEnd := pending.sentAt.Add(lease)
	if len(response.Grants) == 0 && len(response.Quotas) == 0 || !now.Before(leaseEnd) {
		return false
	}
	loan := &borrowedLoan{
		grants:      make(map[string]peer.SlotGrant, len(response.Grants)),
		quotas:      make(map[uint32]int, len(response.Quotas)),
		usableUntil: pending.sentAt.Add(lease / 2),
		expiresAt:   leaseEnd,
	}
	for _, grant := range response.Grants {
		loan.grants[grant.Upstream.ID] = grant
	}
	for _, quota := range response.Quotas {
		loan.quotas[quota.Quota] = quota.Slots
	}
	key := loanKey{
		lender: pending.request.Address,
		number: response.Loan,
	}
	borrower.loans[key] = loan
	return true
}

// RequestFailed records that the request in flight got no response. delivered is
// false if the request certainly did not reach the peer: it is then not retried.
func (borrower *Borrower) RequestFailed(delivered bool) {
	pending := borrower.pending
	if pending == nil {
		return
	}
	pending.inFlight = false
	pending.retries++
	if !delivered || pending.retries > maxBorrowRetries {
		borrower.pending = nil
	}
}

// HandleRecall stops new tasks on a loan that its lender recalls. ReturnUnused
// returns the slots as their tasks end.
func (borrower *Borrower) HandleRecall(now time.Time, request *peer.RecallSlotsRequest) {
	key := loanKey{
		lender: request.Lender,
		number: request.Loan,
	}
	if loan, exists := borrower.loans[key]; exists && loan.usableUntil.After(now) {
		loan.usableUntil = now
	}
}

// Usage is the number of borrowed slots, by upstream address, and of borrowed
// shares, by quota ID, that running tasks use.
type Usage struct {
	Upstreams map[string]int
	Quotas    map[uint32]int
	// Waiting is true while a task waits for a slot. Otherwise all unused slots
	// and shares are returned.
	Waiting bool
}

// ReturnUnused removes loans whose lease expired, and returns the requests that
// give back the unused slots and shares of loans past their usable time, or of
// all loans if no task waits.
func (borrower *Borrower) ReturnUnused(now time.Time, usage Usage) []ReturnRequest {
	slotsInUse := copyCounts(usage.Upstreams)
	sharesInUse := copyCounts(usage.Quotas)
	var returns []ReturnRequest
	for _, key := range borrower.loansByExpiry() {
		loan := borrower.loans[key]
		if !now.Before(loan.expiresAt) {
			delete(borrower.loans, key)
			continue
		}
		keep := usage.Waiting && now.Before(loan.usableUntil)
		request := peer.ReturnSlotsRequest{
			Borrower:      borrower.self.Address,
			Incarnation:   borrower.self.Incarnation,
			Loan:          key.number,
			RequestNumber: loan.lastReturn + 1,
		}
		for upstream, grant := range loan.grants {
			used := deductCount(slotsInUse, upstream, grant.Slots)
			if unused := grant.Slots - used; unused > 0 && !keep {
				request.Slots = append(request.Slots, peer.ReturnedSlots{
					Upstream: upstream,
					Slots:    unused,
				})
				grant.Slots = used
				loan.grants[upstream] = grant
			}
		}
		for quota, slots := range loan.quotas {
			used := deductCount(sharesInUse, quota, slots)
			if unused := slots - used; unused > 0 && !keep {
				request.Quotas = append(request.Quotas, peer.QuotaCount{
					Quota: quota,
					Slots: unused,
				})
				loan.quotas[quota] = used
			}
		}
		if len(request.Slots) == 0 && len(request.Quotas) == 0 {
			continue
		}
		loan.lastReturn++
		sort.Slice(request.Slots, func(i, j int) bool { return request.Slots[i].Upstream < request.Slots[j].Upstream })
		sort.Slice(request.Quotas, func(i, j int) bool { return request.Quotas[i].Quota < request.Quotas[j].Quota })
		returns = append(returns, ReturnRequest{
			Address: key.lender,
			Request: request,
		})
		borrower.removeIfEmpty(key)
	}
	return returns
}

func (borrower *Borrower) removeIfEmpty(key loanKey) {
	loan := borrower.loans[key]
	remaining := 0
	for _, grant := range loan.grants {
		remaining += grant.Slots
	}
	for _, slots := range loan.quotas {
		remaining += slots
	}
	if remaining == 0 {
		delete(borrower.loans, key)
	}
}

// loansByExpiry returns the loans sorted by their expiry, so that running tasks
// are counted against the loans that expire first.
func (borrower *Borrower) loansByExpiry() []loanKey {
	keys := make([]loanKey, 0, len(borrower.loans))
	for key := range borrower.loans {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := borrower.loans[keys[i]], borrower.loans[keys[j]]
		if !a.expiresAt.Equal(b.expiresAt) {
			return a.expiresAt.Before(b.expiresAt)
		}
		return keys[i].number < keys[j].number
	})
	return keys
}

// Upstreams returns the upstreams with borrowed slots that may get new tasks now.
// Slots is the number of borrowed slots.
func (borrower *Borrower) Upstreams(now time.Time) []placement.Upstream {
	byID := make(map[string]placement.Upstream)
	for _, loan := range borrower.loans {
		if !now.Before(loan.usableUntil) {
			continue
		}
		for id, grant := range loan.grants {
			if grant.Slots == 0 {
				continue
			}
			upstream, exists := byID[id]
			if !exists {
				upstream = grant.Upstream
				upstream.Slots = 0
			}
			upstream.Slots += grant.Slots
			byID[id] = upstream
		}
	}
	upstreams := make([]placement.Upstream, 0, len(byID))
	for _, upstream := range byID {
		upstreams = append(upstreams, upstream)
	}
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].ID < upstreams[j].ID })
	return upstreams
}

// BorrowedShare returns the borrowed share of a team cap that may be used now.
func (borrower *Borrower) BorrowedShare(now time.Time, quota uint32) int {
	share := 0
	for _, loan := range borrower.loans {
		if now.Before(loan.usableUntil) {
			share += loan.quotas[quota]
		}
	}
	return share
}

func copyCounts[Key comparable](counts map[Key]int) map[Key]int {
	result := make(map[Key]int, len(counts))
	for key, count := range counts {
		result[key] = count
	}
	return result
}

// deductCount reduces a count by up to limit and returns the reduction.
func deductCount[Key comparable](counts map[Key]int, key Key, limit int) int {
	deducted := min(counts[key], limit)
	counts[key] -= deducted
	return deducted
}
