package fleet

import (
	"sort"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/placement"
)

const (
	// minBorrowInterval is the shortest time between two requests of this VM. With
	// one return a loan it bounds borrowing at 20 messages/s.
	minBorrowInterval = 200 * time.Millisecond
	// minPeerBorrowInterval is the shortest time between two requests to the same
	// peer: its load is told once a period.
	minPeerBorrowInterval = minHeartbeatPeriod
	// maxBorrowRetries is the number of times a request without a response is
	// sent again.
	maxBorrowRetries = 1
	// minBorrowSlots is the smallest batch asked for, so that a VM that is short
	// for long does not ask for single slots.
	minBorrowSlots = 4
)

// Shortage is what this VM lacks.
type Shortage struct {
	Slots int
	Need  placement.Need
	// Quotas holds the shares of team caps that are lacking.
	Quotas []peer.QuotaCount
}

// LendingPeer is a peer of the domain with the load that its heartbeat told.
type LendingPeer struct {
	Address string
	Load    peer.Load
	Spares  []peer.QuotaCount
}

// BorrowRequest is a request to be sent to a peer.
type BorrowRequest struct {
	Address string
	Request peer.BorrowSlotsRequest
}

// ReturnRequest is a return to be sent to a lender. A lost return is not
// repeated: the lease ends the loan.
type ReturnRequest struct {
	Address string
	Request peer.ReturnSlotsRequest
}

// Borrower keeps the slots that peers lent to this VM. It is not safe for
// concurrent use.
type Borrower struct {
	self    Self
	lastRequest    uint64
	loans   map[loanKey]*borrowedLoan
	pending   *pendingRequest
	nextRequestAt   time.Time
	requestedAt map[string]time.Time
}

type loanKey struct {
	lender string
	number uint64
}

type pendingRequest struct {
	request BorrowRequest
	sentAt  time.Time
	retries int
	inFlight    bool
}

type borrowedLoan struct {
	grants  map[string]peer.SlotGrant
	quotas  map[uint32]int
	usableUntil  time.Time
	expiresAt    time.Time
	lastReturn uint64
}

// NewBorrower returns a Borrower without loans.
func NewBorrower(self Self) *Borrower {
	return &Borrower{
		self:    self,
		loans:   make(map[loanKey]*borrowedLoan),
		requestedAt: make(map[string]time.Time),
	}
}

// NextRequest returns the next request to send, if one is due. At most one request is
// open at a time; Granted or AskFailed must follow.
func (borrower *Borrower) NextRequest(now time.Time, shortage Shortage, peers []LendingPeer) (BorrowRequest, bool) {
	if borrower.pending != nil && borrower.pending.inFlight || now.Before(borrower.nextRequestAt) {
		return BorrowRequest{}, false
	}
	borrower.nextRequestAt = now.Add(minBorrowInterval)
	if borrower.pending != nil {
		// The earlier request may have been granted: the same number gets the
		// same loan.
		borrower.pending.inFlight = true
		borrower.pending.sentAt = now
		return borrower.pending.request, true
	}
	if shortage.Slots <= 0 && len(shortage.Quotas) == 0 {
		return BorrowRequest{}, false
	}
	address, found := borrower.choosePeer(now, shortage, peers)
	if !found {
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
				Borrower:     borrower.self.Address,
				Incarnation:  borrower.self.Incarnation,
				Request:      borrower.lastRequest,
				Slots:        slots,
				Cores:        shortage.Need.Cores,
				MemoryMb:     shortage.Need.MemoryMb,
				Accelerators: shortage.Need.Accelerators,
				Quotas:       shortage.Quotas,
			},
		},
		sentAt: now,
		inFlight:   true,
	}
	return borrower.pending.request, true
}

// choosePeer returns the peer that spares the most of what is lacking.
func (borrower *Borrower) choosePeer(now time.Time, shortage Shortage, peers []LendingPeer) (string, bool) {
	best, bestSpare := "", 0
	for _, lending := range peers {
		if asked, known := borrower.requestedAt[lending.Address]; known && now.Sub(asked) < minPeerBorrowInterval {
			continue
		}
		spare := 0
		if shortage.Slots > 0 {
			load := lending.Load
			spare = max(load.Slots-load.Used-load.Lent-load.Waiting, 0)
		}
		for _, lacking := range shortage.Quotas {
			for _, spared := range lending.Spares {
				if spared.Quota == lacking.Quota {
					spare += min(spared.Slots, lacking.Slots)
				}
			}
		}
		if spare > bestSpare || (spare == bestSpare && spare > 0 && lending.Address < best) {
			best, bestSpare = lending.Address, spare
		}
	}
	return best, bestSpare > 0
}

// HandleResponse takes the response to the open request. It reports whether slots or
// shares came in.
func (borrower *Borrower) HandleResponse(now time.Time, response *peer.BorrowSlotsResponse) bool {
	asked := borrower.pending
	if asked == nil || !asked.inFlight {
		return false
	}
	borrower.pending = nil
	lease := time.Duration(response.LeaseMs)*time.Millisecond - loanMargin
	ends := asked.sentAt.Add(lease)
	if len(response.Grants) == 0 && len(response.Quotas) == 0 || !now.Before(ends) {
		return false
	}
	taken := &borrowedLoan{
		grants: make(map[string]peer.SlotGrant, len(response.Grants)),
		quotas: make(map[uint32]int, len(response.Quotas)),
		usableUntil: asked.sentAt.Add(lease / 2),
		expiresAt:   ends,
	}
	for _, grant := range response.Grants {
		taken.grants[grant.Upstream.ID] = grant
	}
	for _, quota := range response.Quotas {
		taken.quotas[quota.Quota] = quota.Slots
	}
	key := loanKey{
		lender: asked.request.Address,
		number: response.Loan,
	}
	borrower.loans[key] = taken
	return true
}

// RequestFailed tells that the open request got no response. delivered is false
// if it certainly never reached the peer.
func (borrower *Borrower) RequestFailed(delivered bool) {
	asked := borrower.pending
	if asked == nil {
		return
	}
	asked.inFlight = false
	asked.retries++
	if !delivered || asked.retries > maxBorrowRetries {
		borrower.pending = nil
	}
}

// HandleRecall ends the use of a loan; its slots go back as their tasks end.
func (borrower *Borrower) HandleRecall(now time.Time, request *peer.RecallSlotsRequest) {
	key := loanKey{
		lender: request.Lender,
		number: request.Loan,
	}
	if held, known := borrower.loans[key]; known && held.usableUntil.After(now) {
		held.usableUntil = now
	}
}

// Usage tells how many borrowed slots and shares run tasks.
type Usage struct {
	Upstreams map[string]int
	Quotas    map[uint32]int
	// Waiting is false if no task waits for a slot: unused slots go back.
	Waiting bool
}

// ReturnUnused ends loans whose lease passed and returns what is unused of the
// loans that can't be used any more, or of all loans if no task waits.
func (borrower *Borrower) ReturnUnused(now time.Time, usage Usage) []ReturnRequest {
	inUse := copyCounts(usage.Upstreams)
	shareInUse := copyCounts(usage.Quotas)
	var returns []ReturnRequest
	for _, key := range borrower.loansByExpiry() {
		held := borrower.loans[key]
		if !now.Before(held.expiresAt) {
			delete(borrower.loans, key)
			continue
		}
		keep := usage.Waiting && now.Before(held.usableUntil)
		request := peer.ReturnSlotsRequest{
			Borrower:    borrower.self.Address,
			Incarnation: borrower.self.Incarnation,
			Loan:        key.number,
			Request:     held.lastReturn + 1,
		}
		for upstream, grant := range held.grants {
			used := deductCount(inUse, upstream, grant.Slots)
			if unused := grant.Slots - used; unused > 0 && !keep {
				request.Slots = append(request.Slots, peer.ReturnedSlots{
					Upstream: upstream,
					Slots:    unused,
				})
				grant.Slots = used
				held.grants[upstream] = grant
			}
		}
		for quota, slots := range held.quotas {
			used := deductCount(shareInUse, quota, slots)
			if unused := slots - used; unused > 0 && !keep {
				request.Quotas = append(request.Quotas, peer.QuotaCount{
					Quota: quota,
					Slots: unused,
				})
				held.quotas[quota] = used
			}
		}
		if len(request.Slots) == 0 && len(request.Quotas) == 0 {
			continue
		}
		held.lastReturn++
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
	held := borrower.loans[key]
	left := 0
	for _, grant := range held.grants {
		left += grant.Slots
	}
	for _, slots := range held.quotas {
		left += slots
	}
	if left == 0 {
		delete(borrower.loans, key)
	}
}

// loansByExpiry sorts the loans by their end, so that tasks count for the loans that
// end first.
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

// Upstreams returns the borrowed upstreams that may get tasks now, with the
// number of borrowed slots.
func (borrower *Borrower) Upstreams(now time.Time) []placement.Upstream {
	rows := make(map[string]placement.Upstream)
	for _, held := range borrower.loans {
		if !now.Before(held.usableUntil) {
			continue
		}
		for id, grant := range held.grants {
			if grant.Slots == 0 {
				continue
			}
			row, known := rows[id]
			if !known {
				row = grant.Upstream
				row.Slots = 0
			}
			row.Slots += grant.Slots
			rows[id] = row
		}
	}
	upstreams := make([]placement.Upstream, 0, len(rows))
	for _, row := range rows {
		upstreams = append(upstreams, row)
	}
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].ID < upstreams[j].ID })
	return upstreams
}

// BorrowedShare returns the borrowed part of a team cap that may be used now.
func (borrower *Borrower) BorrowedShare(now time.Time, quota uint32) int {
	share := 0
	for _, held := range borrower.loans {
		if now.Before(held.usableUntil) {
			share += held.quotas[quota]
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

// deductCount takes up to limit from a count and returns how much it took.
func deductCount[Key comparable](counts map[Key]int, key Key, limit int) int {
	taken := min(counts[key], limit)
	counts[key] -= taken
	return taken
}
