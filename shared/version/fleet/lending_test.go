package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/version/fleet"
)

const testQuota = 7

func newOffer(upstreams, slots, share int) fleet.Offer {
	offer := fleet.Offer{Quotas: map[uint32]int{testQuota: share}}
	for i := range upstreams {
		offer.Idle = append(offer.Idle, fleet.IdleSlots{
			Upstream: placement.Upstream{ID: workerAddress(i), Slots: slots},
			Slots:    slots,
		})
	}
	return offer
}

// Guards against a slot, or a unit of a team cap, that two borrowers may use at
// the same time. Messages are lost, repeated and delayed, loans are recalled and
// leases expire.
func TestNoSlotIsLentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const upstreams, slots, share = 3, 8, 10
		now := startTime
		lender := fleet.NewLender(fleet.Self{Address: "lender", Incarnation: 1})
		peers := []fleet.LendingPeer{{
			Address:     "lender",
			Load:        peer.Load{Slots: 24},
			SpareQuotas: []peer.QuotaCount{{Quota: testQuota, Slots: share}},
		}}
		borrowers := make([]*fleet.Borrower, 3)
		for i := range borrowers {
			borrowers[i] = fleet.NewBorrower(fleet.Self{Address: string(rune('a' + i)), Incarnation: uint64(i)})
		}
		var delayedReturns []peer.ReturnSlotsRequest
		deliverReturn := func(request peer.ReturnSlotsRequest) {
			switch rapid.IntRange(0, 3).Draw(t, "return") {
			case 0:
			case 1:
				delayedReturns = append(delayedReturns, request)
			default:
				lender.Return(now, &request)
				delayedReturns = append(delayedReturns, request)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			borrower := borrowers[rapid.IntRange(0, 2).Draw(t, "borrower")]
			shortage := fleet.Shortage{
				Slots:  rapid.IntRange(0, 20).Draw(t, "slots"),
				Quotas: []peer.QuotaCount{{Quota: testQuota, Slots: rapid.IntRange(1, 12).Draw(t, "share")}},
			}
			if borrowRequest, due := borrower.NextRequest(now, shortage, peers); due {
				if rapid.Bool().Draw(t, "request arrives") {
					now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "delay")) * time.Millisecond)
					response := lender.Lend(now, &borrowRequest.Request, newOffer(upstreams, slots, share))
					if rapid.Bool().Draw(t, "response arrives") {
						borrower.HandleResponse(now, response)
					} else {
						borrower.RequestFailed(true)
					}
				} else {
					borrower.RequestFailed(true)
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "recall") == 0 {
				for _, recall := range lender.Recall("") {
					borrowers[recall.Borrower[0]-'a'].HandleRecall(now, &recall.Request)
				}
			}
			if len(delayedReturns) > 0 && rapid.Bool().Draw(t, "late return") {
				lender.Return(now, &delayedReturns[rapid.IntRange(0, len(delayedReturns)-1).Draw(t, "which")])
			}
			for _, holder := range borrowers {
				usage := fleet.Usage{Waiting: rapid.Bool().Draw(t, "waiting")}
				if rapid.Bool().Draw(t, "in use") {
					usage.Upstreams = map[string]int{workerAddress(0): 2}
					usage.Quotas = map[uint32]int{testQuota: 1}
				}
				for _, returnRequest := range holder.ReturnUnused(now, usage) {
					deliverReturn(returnRequest.Request)
				}
			}
			usableSlots := make(map[string]int)
			usableShare := 0
			for _, holder := range borrowers {
				for _, upstream := range holder.Upstreams(now) {
					usableSlots[upstream.ID] += upstream.Slots
				}
				usableShare += holder.BorrowedShare(now, testQuota)
			}
			lender.Expire(now)
			for id, count := range usableSlots {
				if count > lender.Lent(id) || count > slots {
					t.Fatalf("%s: borrowers may use %d slots, the lender lent %d of %d", id, count, lender.Lent(id), slots)
				}
			}
			if usableShare > lender.LentShare(testQuota) || usableShare > share {
				t.Fatalf("borrowers may use a share of %d, the lender lent %d of %d", usableShare, lender.LentShare(testQuota), share)
			}
		}
	})
}

// Guards against a lender that lends the slots its own callers need, and against
// loans of slots whose upstreams lack the resources that the tasks need.
func TestLenderKeepsReserveAndChecksResources(t *testing.T) {
	lender := fleet.NewLender(fleet.Self{Address: "lender"})
	idleSlots := newOffer(2, 8, 0)
	idleSlots.Idle[0].Upstream.Accelerators = 1
	response := lender.Lend(startTime, &peer.BorrowSlotsRequest{Borrower: "a", RequestNumber: 1, Slots: 64}, idleSlots)
	total := 0
	for _, grant := range response.Grants {
		total += grant.Slots
	}
	assert.Equal(t, total, 12, "a quarter of the 16 idle slots is reserved")
	lender = fleet.NewLender(fleet.Self{Address: "lender"})
	response = lender.Lend(startTime, &peer.BorrowSlotsRequest{Borrower: "a", RequestNumber: 2, Slots: 64, Accelerators: 1}, idleSlots)
	assert.Equal(t, len(response.Grants), 1)
	assert.Equal(t, response.Grants[0].Upstream.ID, workerAddress(0))
}

// Guards against an unbounded rate of requests during a shortage, against several
// requests in flight, and against a busy peer that is preferred to an idle one.
func TestBorrowingIsBounded(t *testing.T) {
	borrower := fleet.NewBorrower(fleet.Self{Address: "a"})
	peers := []fleet.LendingPeer{
		{Address: "busy", Load: peer.Load{Slots: 80, Used: 70, Waiting: 9}},
		{Address: "idle", Load: peer.Load{Slots: 80, Used: 10}},
		{Address: "full", Load: peer.Load{Slots: 80, Used: 80}},
	}
	var requested []string
	now := startTime
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if request, due := borrower.NextRequest(now, fleet.Shortage{Slots: 3}, peers); due {
			requested = append(requested, request.Address)
			_, second := borrower.NextRequest(now.Add(time.Second), fleet.Shortage{Slots: 3}, peers)
			assert.Assert(t, !second, "two requests in flight")
			borrower.HandleResponse(now, &peer.BorrowSlotsResponse{})
		}
	}
	assert.Equal(t, requested[0], "idle")
	assert.Equal(t, requested[1], "busy")
	assert.Assert(t, len(requested) <= 2*10_000/700+2, "%d requests in 10 s", len(requested))
	for _, address := range requested {
		assert.Assert(t, address != "full")
	}
}

// Guards against a retried request that gets a second loan, whose slots nobody
// would use until the lease expires.
func TestRepeatedRequestGetsTheSameLoan(t *testing.T) {
	lender := fleet.NewLender(fleet.Self{Address: "lender"})
	request := &peer.BorrowSlotsRequest{Borrower: "a", RequestNumber: 1, Slots: 4}
	first := lender.Lend(startTime, request, newOffer(2, 8, 0))
	second := lender.Lend(startTime.Add(time.Second), request, newOffer(2, 8, 0))
	assert.Equal(t, second.Loan, first.Loan)
	assert.Equal(t, second.LeaseMs, first.LeaseMs-1000)
	assert.Equal(t, lender.TotalLent(), 4)
}

func newShareRequest(slots int) peer.BorrowSlotsRequest {
	return peer.BorrowSlotsRequest{
		Borrower:      "b",
		RequestNumber: 1,
		Quotas:        []peer.QuotaCount{{Quota: testQuota, Slots: slots}},
	}
}

// Guards against jobs that wait for their deadline at a leaving VM, which owns no
// upstream any more, while a peer keeps its last idle slot in reserve
// (TestScripts/rolling-nine: jobs were refused after 10 s).
func TestLastIdleSlotIsLentToBorrowerWithoutUpstreams(t *testing.T) {
	borrowed := func(ownsUpstreams bool) int {
		lender := fleet.NewLender(fleet.Self{Address: "lender", Incarnation: 1})
		borrower := fleet.NewBorrower(fleet.Self{Address: "a", Incarnation: 1})
		shortage := fleet.Shortage{
			Slots:         7,
			OwnsUpstreams: ownsUpstreams,
		}
		peers := []fleet.LendingPeer{{
			Address: "lender",
			Load: peer.Load{
				Slots: 2,
				Used:  1,
			},
		}}
		request, due := borrower.NextRequest(startTime, shortage, peers)
		assert.Assert(t, due)
		response := lender.Lend(startTime, &request.Request, newOffer(1, 1, 0))
		borrower.HandleResponse(startTime, response)
		slots := 0
		for _, upstream := range borrower.Upstreams(startTime) {
			slots += upstream.Slots
		}
		return slots
	}
	assert.Equal(t, borrowed(false), 1)
	assert.Equal(t, borrowed(true), 0, "a borrower that owns upstreams can wait for them")
}
