package fleet

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// QuotaID returns the ID under which messages refer to a team's cap for a kind in
// a failure domain.
func QuotaID(team, kind, domain string) uint32 {
	return uint32(xxhash.Sum64String(team + "\x00" + kind + "\x00" + domain))
}

// OwnerSlots is the number of slots that an entry VM owns.
type OwnerSlots struct {
	Address string
	Slots   int
}

// BaseShare returns an entry VM's share of a cap, in tasks. It is proportional to
// the owned slots and rounded so that the shares of all VMs add up to the cap.
// Ties between equal remainders are broken differently for each quota, so that
// small caps do not all go to the same VM. The share of a VM that is not among
// owners is 0.
func BaseShare(quota uint32, limit int, owners []OwnerSlots, address string) int {
	if limit <= 0 || len(owners) == 0 {
		return 0
	}
	total := 0
	for _, owner := range owners {
		total += owner.Slots
	}
	type ownerShare struct {
		address   string
		quotient  int
		remainder int
		tieBreak  uint64
	}
	salt := strconv.FormatUint(uint64(quota), 16)
	ownerShares := make([]ownerShare, 0, len(owners))
	remaining := limit
	for _, owner := range owners {
		weight, sum := owner.Slots, total
		if total == 0 {
			weight, sum = 1, len(owners)
		}
		share := ownerShare{
			address:   owner.Address,
			quotient:  limit * weight / sum,
			remainder: limit * weight % sum,
			tieBreak:  hashStrings(salt, owner.Address),
		}
		remaining -= share.quotient
		ownerShares = append(ownerShares, share)
	}
	sort.Slice(ownerShares, func(i, j int) bool {
		if ownerShares[i].remainder != ownerShares[j].remainder {
			return ownerShares[i].remainder > ownerShares[j].remainder
		}
		if ownerShares[i].tieBreak != ownerShares[j].tieBreak {
			return ownerShares[i].tieBreak < ownerShares[j].tieBreak
		}
		return ownerShares[i].address < ownerShares[j].address
	})
	for i, share := range ownerShares {
		if share.address != address {
			continue
		}
		if i < remaining {
			return share.quotient + 1
		}
		return share.quotient
	}
	return 0
}

// Quota is one team cap in the failure domain: the number of tasks of a team and
// kind that may run there at a time.
type Quota struct {
	ID  uint32
	Cap int
}

// QuotaShares holds this VM's own share of each team cap.
//
// A share decreases at once. It increases only after every other VM of the domain
// had the chance to decrease its share: when all of them report the same
// ownership and plan and no VM was lost within the failure timeout, or after
// twice the failure timeout. While the VMs of the domain receive each other's
// heartbeats, the shares therefore never add up to more than the cap. The running
// tasks exceed the cap by at most those that started under a share that then
// decreased: less than once the cap, until these tasks end. A domain partitioned
// into n sides that count each other as dead runs at most n times the cap.
//
// QuotaShares is not safe for concurrent use.
type QuotaShares struct {
	address        string
	failureTimeout time.Duration
	byQuota        map[uint32]*quotaShare
}

type quotaShare struct {
	current int
	target  int
	// targetChangedAt is the time at which target last changed.
	targetChangedAt time.Time
}

// NewQuotaShares returns QuotaShares without quotas. failureTimeout is the time
// without a heartbeat after which a VM counts as dead, see View.FailureTimeout.
func NewQuotaShares(self Self, failureTimeout time.Duration) *QuotaShares {
	return &QuotaShares{
		address:        self.Address,
		failureTimeout: failureTimeout,
		byQuota:        make(map[uint32]*quotaShare),
	}
}

// Agreement states whether the entry VMs of a failure domain share one view.
type Agreement struct {
	// Agreed is true if all live VMs of the domain report the same ownership and
	// plan version as this VM.
	Agreed bool
	// MemberLostAt is the time of the last MemberLost, or zero.
	MemberLostAt time.Time
}

// Update recomputes the shares from the caps of the plan and the owned slots of
// all VMs of the domain. Quotas that are not listed are removed.
func (shares *QuotaShares) Update(now time.Time, quotas []Quota, owners []OwnerSlots, agreement Agreement) {
	inPlan := make(map[uint32]bool, len(quotas))
	for _, quota := range quotas {
		inPlan[quota.ID] = true
		share, exists := shares.byQuota[quota.ID]
		if !exists {
			share = &quotaShare{
				targetChangedAt: now,
			}
			shares.byQuota[quota.ID] = share
		}
		target := BaseShare(quota.ID, quota.Cap, owners, shares.address)
		if target != share.target {
			share.target = target
			share.targetChangedAt = now
		}
		share.current = min(share.current, share.target)
		agreed := agreement.Agreed && now.Sub(agreement.MemberLostAt) >= shares.failureTimeout
		if agreed || now.Sub(share.targetChangedAt) >= 2*shares.failureTimeout {
			share.current = share.target
		}
	}
	for id := range shares.byQuota {
		if !inPlan[id] {
			delete(shares.byQuota, id)
		}
	}
}

// OwnShare returns this VM's own share of a cap: lent shares are included,
// borrowed ones are not. It is 0 for an unknown quota.
func (shares *QuotaShares) OwnShare(quota uint32) int {
	if share, exists := shares.byQuota[quota]; exists {
		return share.current
	}
	return 0
}

// Allowance returns the number of tasks that this VM may run at a time under a
// cap: its own share without the lent part, and what it borrowed.
func Allowance(now time.Time, quota uint32, shares *QuotaShares, lender *Lender, borrower *Borrower) int {
	return max(shares.OwnShare(quota)-lender.LentShare(quota), 0) + borrower.BorrowedShare(now, quota)
}
