package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagerfall/shared/version/fleet"
)

// Guards against shares of a cap that do not add up to the cap.
func TestBaseSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 500).Draw(t, "cap")
		quota := rapid.Uint32().Draw(t, "quota")
		var slots []fleet.OwnerSlots
		for i := range rapid.IntRange(1, 20).Draw(t, "vms") {
			slots = append(slots, fleet.OwnerSlots{
				Address: entryAddress(0, i),
				Slots:   rapid.IntRange(0, 400).Draw(t, "slots"),
			})
		}
		sum := 0
		for _, share := range slots {
			sum += fleet.BaseShare(quota, limit, slots, share.Address)
		}
		if sum != limit {
			t.Fatalf("the shares add up to %d, the cap is %d", sum, limit)
		}
	})
}

// Guards against shares above the documented bound during a change. While the VMs
// of a domain receive each other's heartbeats, the shares never add up to more
// than the cap, even if the VMs learn of a joining, released or lost VM at
// different times.
func TestSharesStayWithinCapDuringChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries, limit = 4, 41
		quotas := []fleet.Quota{{ID: 5, Cap: limit}}
		mesh := newMesh(1, entries, 20)
		shares := make(map[string]*fleet.QuotaShares)
		updateShares := func() int {
			total := 0
			for _, address := range mesh.addresses {
				if mesh.down[address] {
					continue
				}
				view := mesh.views[address]
				shares[address].Update(mesh.now, quotas, view.SlotsByOwner(), view.Agreement(mesh.now))
				total += shares[address].OwnShare(5)
			}
			return total
		}
		resetShares := func(address string) {
			shares[address] = fleet.NewQuotaShares(fleet.Self{Address: address}, 2100*time.Millisecond)
		}
		for _, address := range mesh.addresses {
			resetShares(address)
		}
		for step := range rapid.IntRange(1, 3).Draw(t, "steps") {
			for range 60 {
				mesh.advance(100 * time.Millisecond)
				if total := updateShares(); total > limit {
					t.Fatalf("the shares add up to %d, the cap is %d", total, limit)
				}
			}
			if total := updateShares(); total != limit {
				t.Fatalf("the shares add up to %d 6 s after the last change, the cap is %d", total, limit)
			}
			i := rapid.IntRange(1, entries-1).Draw(t, "vm")
			address := entryAddress(0, i)
			if rapid.Bool().Draw(t, "restart") {
				mesh.startVM(0, i, uint64(7000+step))
				resetShares(address)
				mesh.handle(address, fleet.ListReceived{List: vmList(1, 1, entries, 20)})
			} else {
				mesh.down[address] = true
			}
		}
	})
}

// Guards against a lent share that counts twice: the lender's allowance must not
// include it.
func TestAllowanceWithLoans(t *testing.T) {
	shares := fleet.NewQuotaShares(fleet.Self{Address: "a"}, time.Second)
	shares.Update(startTime, []fleet.Quota{{ID: testQuota, Cap: 9}},
		[]fleet.OwnerSlots{{Address: "a", Slots: 8}}, fleet.Agreement{Agreed: true})
	lender := fleet.NewLender(fleet.Self{Address: "a"})
	borrower := fleet.NewBorrower(fleet.Self{Address: "a"})
	assert.Equal(t, fleet.Allowance(startTime, testQuota, shares, lender, borrower), 9)
	request := newShareRequest(4)
	lender.Lend(startTime, &request, newOffer(0, 0, 9))
	assert.Equal(t, fleet.Allowance(startTime, testQuota, shares, lender, borrower), 5)
}

// Guards against a share that increases while a lost VM may still start tasks
// under its own share: a paused VM detects the pause only when it runs again.
func TestShareOfLostVMIsTakenAfterTimeout(t *testing.T) {
	const failureTimeout = time.Second
	shares := fleet.NewQuotaShares(fleet.Self{Address: "a"}, failureTimeout)
	quotas := []fleet.Quota{{ID: testQuota, Cap: 9}}
	owners := []fleet.OwnerSlots{{Address: "a", Slots: 8}}
	agreement := fleet.Agreement{Agreed: true, MemberLostAt: startTime}
	shares.Update(startTime.Add(failureTimeout-1), quotas, owners, agreement)
	assert.Equal(t, shares.OwnShare(testQuota), 0)
	shares.Update(startTime.Add(failureTimeout), quotas, owners, agreement)
	assert.Equal(t, shares.OwnShare(testQuota), 9)
}
