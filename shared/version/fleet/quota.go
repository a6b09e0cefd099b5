package fleet

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// QuotaID returns the number that names a team's cap for a kind in a failure
// domain in messages.
func QuotaID(team, kind, domain string) uint32 {
	return uint32(xxhash.Sum64String(team + "\x00" + kind + "\x00" + domain))
}

// OwnerSlots is the number of slots that an entry VM owns.
type OwnerSlots struct {
	Address string
	Slots   int
}

// BaseShare returns the part of a cap that falls to an entry VM: in proportion
// to the owned slots, rounded so that the parts of all VMs add up to the cap.
// The remainders go to VMs in an order that differs from quota to quota, so
// that small caps do not all fall to the same VM.
func BaseShare(quota uint32, limit int, shares []OwnerSlots, address string) int {
	if limit <= 0 || len(shares) == 0 {
		return 0
	}
	total := 0
	for _, share := range shares {
		total += share.Slots
	}
	type part struct {
		address   string
		whole     int
		remainder int
		order     uint64
	}
	salt := strconv.FormatUint(uint64(quota), 16)
	parts := make([]part, 0, len(shares))
	left := limit
	for _, share := range shares {
		weight, sum := share.Slots, total
		if total == 0 {
			weight, sum = 1, len(shares)
		}
		entry := part{
			address:   share.Address,
			whole:     limit * weight / sum,
			remainder: limit * weight % sum,
			order:     hashStrings(salt, share.Address),
		}
		left -= entry.whole
		parts = append(parts, entry)
	}
	sort.Slice(parts, func(i, j int) bool {
		if parts[i].remainder != parts[j].remainder {
			return parts[i].remainder > parts[j].remainder
		}
		if parts[i].order != parts[j].order {
			return parts[i].order < parts[j].order
		}
		return parts[i].address < parts[j].address
	})
	for i, entry := range parts {
		if entry.address != address {
			continue
		}
		if i < left {
			return entry.whole + 1
		}
		return entry.whole
	}
	return 0
}

// Quota is one team cap of the domain.
type Quota struct {
	ID  uint32
	Cap int
}

// QuotaShares holds this VM's own part of each team cap.
//
// A part goes down at once and up only when every other VM of the domain has
// had the chance to go down: when all of them tell the same ownership and plan
// and no VM was lost within the settling time, or after twice the settling
// time. While the VMs of the domain hear each other, the parts therefore never
// add up to more than the cap, and the tasks that run exceed it by at most
// those that ran on parts that went down: less than once the cap, until these
// tasks end. A domain cut into n sides that regard each other as dead runs at
// most n times the cap. It is not safe for concurrent use.
type QuotaShares struct {
	address string
	failureTimeout  time.Duration
	shares   map[uint32]*quotaShare
}

type quotaShare struct {
	current int
	target  int
	// targetChangedAt is the time of the last change of target.
	targetChangedAt time.Time
}

// NewQuotaShares returns Shares without quotas. settle is the time after which a
// VM that is not heard counts as dead.
func NewQuotaShares(self Self, settle time.Duration) *QuotaShares {
	return &QuotaShares{
		address: self.Address,
		failureTimeout:  settle,
		shares:   make(map[uint32]*quotaShare),
	}
}

// Agreement is what a VM knows of its peers' view.
type Agreement struct {
	// Agreed is true if all live VMs of the domain tell the same ownership
	// and plan version as this VM.
	Agreed bool
	// MemberLostAt is when a VM of the domain was last lost.
	MemberLostAt time.Time
}

// Update takes the caps of the plan and the ownership of slots.
func (shares *QuotaShares) Update(now time.Time, quotas []Quota, slots []OwnerSlots, agreement Agreement) {
	known := make(map[uint32]bool, len(quotas))
	for _, quota := range quotas {
		known[quota.ID] = true
		part, held := shares.shares[quota.ID]
		if !held {
			part = &quotaShare{
				targetChangedAt: now,
			}
			shares.shares[quota.ID] = part
		}
		target := BaseShare(quota.ID, quota.Cap, slots, shares.address)
		if target != part.target {
			part.target = target
			part.targetChangedAt = now
		}
		part.current = min(part.current, part.target)
		agreed := agreement.Agreed && now.Sub(agreement.MemberLostAt) >= shares.failureTimeout
		if agreed || now.Sub(part.targetChangedAt) >= 2*shares.failureTimeout {
			part.current = part.target
		}
	}
	for id := range shares.shares {
		if !known[id] {
			delete(shares.shares, id)
		}
	}
}

// OwnShare returns this VM's part of a cap, without what is lent or borrowed.
func (shares *QuotaShares) OwnShare(quota uint32) int {
	if part, known := shares.shares[quota]; known {
		return part.current
	}
	return 0
}

// Allowance returns how many tasks of a team this VM may run under a cap.
func Allowance(now time.Time, quota uint32, shares *QuotaShares, lender *Lender, borrower *Borrower) int {
	return max(shares.OwnShare(quota)-lender.LentShare(quota), 0) + borrower.BorrowedShare(now, quota)
}
