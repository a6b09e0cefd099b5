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

// Guards against a slot, or a unit of a team cap, that two borrowers may use
// at the same time: under lost, repeated and late messages, recalls and ends
// of leases.
func TestNoSlotIsLentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const upstreams, slots, share = 3, 8, 10
		now := startTime
		lender := fleet.NewLender(fleet.Self{Address: "lender", Incarnation: 1})
		lending := []fleet.LendingPeer{{
			Address: "lender",
			Load:    peer.Load{Slots: 24},
			Spares:  []peer.QuotaCount{{Quota: testQuota, Slots: share}},
		}}
		borrowers := make([]*fleet.Borrower, 3)
		for i := range borrowers {
			borrowers[i] = fleet.NewBorrower(fleet.Self{Address: string(rune('a' + i)), Incarnation: uint64(i)})
		}
		var late []peer.ReturnSlotsRequest
		deliver := func(request peer.ReturnSlotsRequest) {
			switch rapid.IntRange(0, 3).Draw(t, "return") {
			case 0:
			case 1:
				late = append(late, request)
			default:
				lender.Return(now, &request)
				late = append(late, request)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			borrower := borrowers[rapid.IntRange(0, 2).Draw(t, "borrower")]
			shortage := fleet.Shortage{
				Slots:  rapid.IntRange(0, 20).Draw(t, "slots"),
				Quotas: []peer.QuotaCount{{Quota: testQuota, Slots: rapid.IntRange(1, 12).Draw(t, "share")}},
			}
			if ask, due := borrower.NextRequest(now, shortage, lending); due {
				if rapid.Bool().Draw(t, "request arrives") {
					now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "delay")) * time.Millisecond)
					response := lender.Lend(now, &ask.Request, newOffer(upstreams, slots, share))
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
			if len(late) > 0 && rapid.Bool().Draw(t, "late return") {
				lender.Return(now, &late[rapid.IntRange(0, len(late)-1).Draw(t, "which")])
			}
			for _, other := range borrowers {
				usage := fleet.Usage{Waiting: rapid.Bool().Draw(t, "waiting")}
				if rapid.Bool().Draw(t, "in use") {
					usage.Upstreams = map[string]int{workerAddress(0): 2}
					usage.Quotas = map[uint32]int{testQuota: 1}
				}
				for _, giveBack := range other.ReturnUnused(now, usage) {
					deliver(giveBack.Request)
				}
			}
			usable := make(map[string]int)
			usableShare := 0
			for _, other := range borrowers {
				for _, row := range other.Upstreams(now) {
					usable[row.ID] += row.Slots
				}
				usableShare += other.BorrowedShare(now, testQuota)
			}
			lender.Expire(now)
			for id, count := range usable {
				if count > lender.Lent(id) || count > slots {
					t.Fatalf("%s: %d slots usable by borrowers, %d lent of %d", id, count, lender.Lent(id), slots)
				}
			}
			if usableShare > lender.LentShare(testQuota) || usableShare > share {
				t.Fatalf("share: %d usable, %d lent of %d", usableShare, lender.LentShare(testQuota), share)
			}
		}
	})
}

// Guards against a lender that gives away the slots its own callers need, and
// against slots that can't run the tasks.
func TestLendKeepsReserveAndFits(t *testing.T) {
	lender := fleet.NewLender(fleet.Self{Address: "lender"})
	available := newOffer(2, 8, 0)
	available.Idle[0].Upstream.Accelerators = 1
	response := lender.Lend(startTime, &peer.BorrowSlotsRequest{Borrower: "a", Request: 1, Slots: 64}, available)
	total := 0
	for _, grant := range response.Grants {
		total += grant.Slots
	}
	assert.Equal(t, total, 12, "a quarter of 16 idle slots stays")
	lender = fleet.NewLender(fleet.Self{Address: "lender"})
	response = lender.Lend(startTime, &peer.BorrowSlotsRequest{Borrower: "a", Request: 2, Slots: 64, Accelerators: 1}, available)
	assert.Equal(t, len(response.Grants), 1)
	assert.Equal(t, response.Grants[0].Upstream.ID, workerAddress(0))
}

// Guards against requests without bound while this VM is short, against
// several open requests, and against a busy peer being asked first.
func TestBorrowingIsBounded(t *testing.T) {
	borrower := fleet.NewBorrower(fleet.Self{Address: "a"})
	lending := []fleet.LendingPeer{
		{Address: "busy", Load: peer.Load{Slots: 80, Used: 70, Waiting: 9}},
		{Address: "idle", Load: peer.Load{Slots: 80, Used: 10}},
		{Address: "full", Load: peer.Load{Slots: 80, Used: 80}},
	}
	var asked []string
	now := startTime
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if request, due := borrower.NextRequest(now, fleet.Shortage{Slots: 3}, lending); due {
			asked = append(asked, request.Address)
			_, again := borrower.NextRequest(now.Add(time.Second), fleet.Shortage{Slots: 3}, lending)
			assert.Assert(t, !again, "two open requests")
			borrower.HandleResponse(now, &peer.BorrowSlotsResponse{})
		}
	}
	assert.Equal(t, asked[0], "idle")
	assert.Equal(t, asked[1], "busy")
	assert.Assert(t, len(asked) <= 2*10_000/700+2, "%d requests in 10 s", len(asked))
	for _, address := range asked {
		assert.Assert(t, address != "full")
	}
}

// Guards against a repeated request that takes a second loan, whose slots
// nobody would use until the lease ends.
func TestRepeatedRequestGetsTheSameLoan(t *testing.T) {
	lender := fleet.NewLender(fleet.Self{Address: "lender"})
	request := &peer.BorrowSlotsRequest{Borrower: "a", Request: 1, Slots: 4}
	first := lender.Lend(startTime, request, newOffer(2, 8, 0))
	second := lender.Lend(startTime.Add(time.Second), request, newOffer(2, 8, 0))
	assert.Equal(t, second.Loan, first.Loan)
	assert.Equal(t, second.LeaseMs, first.LeaseMs-1000)
	assert.Equal(t, lender.TotalLent(), 4)
}

func newShareRequest(slots int) peer.BorrowSlotsRequest {
	return peer.BorrowSlotsRequest{
		Borrower: "b",
		Request:  1,
		Quotas:   []peer.QuotaCount{{Quota: testQuota, Slots: slots}},
	}
}
