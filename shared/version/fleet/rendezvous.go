package fleet

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Owner is an entry VM that can own upstreams. Weight is its declared size.
type Owner struct {
	Address string
	Weight  float64
}

// defaultWeight is used for a VM that declares no size.
const defaultWeight = 1

// Score returns the weight of the pairing of an owner and an upstream in the
// weighted rendezvous hashing. The owner with the largest score owns the
// upstream. A change of one owner moves only upstreams from or to that owner,
// because the scores of the other pairings do not depend on it.
func Score(owner Owner, upstream string) float64 {
	weight := effectiveWeight(owner)
	// The half keeps the logarithm finite and below zero.
	uniform := (float64(hashStrings(owner.Address, upstream)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// headroom is by how much the slots of an owner may exceed its share. Pure
// rendezvous hashing gave three owners of 17 upstreams between 1 and 13 each,
// and a job waits for the slots of its own VM first.
const headroom = 1.05

// UpstreamSlots is an upstream with its number of slots.
type UpstreamSlots struct {
	Upstream string
	Slots    int
}

// AssignOwners returns the owner of each upstream: the one with the largest score
// that has room left within its share of the slots, by weight, and the
// headroom. The result depends on the sets of owners and upstreams only. A
// change of one owner moves, besides the upstreams from or to that owner, some
// that no longer have room or have room again.
func AssignOwners(owners []Owner, upstreams []UpstreamSlots) map[string]string {
	divided := make(map[string]string, len(upstreams))
	if len(owners) == 0 {
		return divided
	}
	room := ownerCapacities(owners, upstreams)
	for _, sized := range sortByHash(upstreams) {
		owner := chooseOwner(owners, room, sized)
		room[owner] -= float64(sized.Slots)
		divided[sized.Upstream] = owner
	}
	return divided
}

// ownerCapacities returns the slots that each owner may own.
func ownerCapacities(owners []Owner, upstreams []UpstreamSlots) map[string]float64 {
	slots, largest, weights := 0, 0, 0.0
	for _, sized := range upstreams {
		slots += sized.Slots
		largest = max(largest, sized.Slots)
	}
	for _, owner := range owners {
		weights += effectiveWeight(owner)
	}
	room := make(map[string]float64, len(owners))
	for _, owner := range owners {
		share := float64(slots) * effectiveWeight(owner) / weights
		// Without room for one upstream a small owner would never get any.
		room[owner.Address] = max(share*headroom, float64(largest))
	}
	return room
}

func effectiveWeight(owner Owner) float64 {
	if owner.Weight <= 0 {
		return defaultWeight
	}
	return owner.Weight
}

// sortByHash returns the upstreams in an order that depends on their names
// only.
func sortByHash(upstreams []UpstreamSlots) []UpstreamSlots {
	ordered := append([]UpstreamSlots(nil), upstreams...)
	sort.Slice(ordered, func(i, j int) bool {
		a, b := xxhash.Sum64String(ordered[i].Upstream), xxhash.Sum64String(ordered[j].Upstream)
		if a != b {
			return a < b
		}
		return ordered[i].Upstream < ordered[j].Upstream
	})
	return ordered
}

// chooseOwner returns the owner with the largest score among those with room
// for the upstream, or else the one with the most room.
func chooseOwner(owners []Owner, room map[string]float64, sized UpstreamSlots) string {
	best, bestScore := "", math.Inf(-1)
	widest, widestRoom := "", math.Inf(-1)
	for _, owner := range owners {
		left := room[owner.Address]
		if left > widestRoom || (left == widestRoom && owner.Address < widest) {
			widest, widestRoom = owner.Address, left
		}
		score := Score(owner, sized.Upstream)
		if left >= float64(sized.Slots) && (score > bestScore || (score == bestScore && owner.Address < best)) {
			best, bestScore = owner.Address, score
		}
	}
	if best == "" {
		return widest
	}
	return best
}

// hashStrings returns a hash of two strings. The separator keeps pairs apart
// whose concatenations are equal.
func hashStrings(a, b string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(a)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(b)
	return digest.Sum64()
}

// rankByHash sorts addresses by their hash with a salt, highest first.
func rankByHash(salt string, addresses []string) []string {
	ranked := append([]string(nil), addresses...)
	hashes := make(map[string]uint64, len(ranked))
	for _, address := range ranked {
		hashes[address] = hashStrings(salt, address)
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := hashes[ranked[i]], hashes[ranked[j]]
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}
