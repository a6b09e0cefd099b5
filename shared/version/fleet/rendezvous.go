package fleet

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Owner is an entry VM that can own upstreams. Weight is its declared size; zero
// or less counts as 1.
type Owner struct {
	Address string
	Weight  float64
}

// defaultWeight is used for a VM that declares no size.
const defaultWeight = 1

// Score returns the score of an owner for an upstream in weighted rendezvous
// hashing: the owner with the largest score owns the upstream, as far as its
// capacity allows (see AssignOwners). The scores of the other pairs do not depend
// on an owner. Apart from the limits of capacity, a change of one owner therefore
// moves only upstreams from or to that owner.
func Score(owner Owner, upstream string) float64 {
	weight := effectiveWeight(owner)
	// Adding 0.5 keeps the logarithm finite and negative.
	uniform := (float64(hashStrings(owner.Address, upstream)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// headroom is the factor by which the slots of an owner may exceed its share.
// Without a limit, rendezvous hashing gave three owners of 17 upstreams between 1
// and 13 each, and a job waits for the slots of its own entry VM first.
const headroom = 1.05

// UpstreamSlots is the number of slots of an upstream, named by its address.
type UpstreamSlots struct {
	Upstream string
	Slots    int
}

// AssignOwners maps each upstream to the address of its owner: the owner with the
// largest Score among those with capacity left. The capacity of an owner is its
// share of the slots, in proportion to its weight, plus 5%, and at least the
// slots of the largest upstream. If no owner has capacity left for an upstream,
// the one with the most capacity left gets it. The result depends only on the
// sets of owners and upstreams, not on their order. A change of one owner moves
// upstreams from or to that owner, and some others whose owner runs out of
// capacity or has capacity again. The result is empty without owners.
func AssignOwners(owners []Owner, upstreams []UpstreamSlots) map[string]string {
	ownerOf := make(map[string]string, len(upstreams))
	if len(owners) == 0 {
		return ownerOf
	}
	capacity := ownerCapacities(owners, upstreams)
	for _, upstream := range sortByHash(upstreams) {
		owner := chooseOwner(owners, capacity, upstream)
		capacity[owner] -= float64(upstream.Slots)
		ownerOf[upstream.Upstream] = owner
	}
	return ownerOf
}

// ownerCapacities returns the number of slots that each owner may own.
func ownerCapacities(owners []Owner, upstreams []UpstreamSlots) map[string]float64 {
	slots, largest, weights := 0, 0, 0.0
	for _, upstream := range upstreams {
		slots += upstream.Slots
		largest = max(largest, upstream.Slots)
	}
	for _, owner := range owners {
		weights += effectiveWeight(owner)
	}
	capacity := make(map[string]float64, len(owners))
	for _, owner := range owners {
		share := float64(slots) * effectiveWeight(owner) / weights
		// Without capacity for one upstream a small owner would never get any.
		capacity[owner.Address] = max(share*headroom, float64(largest))
	}
	return capacity
}

func effectiveWeight(owner Owner) float64 {
	if owner.Weight <= 0 {
		return defaultWeight
	}
	return owner.Weight
}

// sortByHash returns the upstreams in an order that depends only on their names.
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

// chooseOwner returns the owner with the largest score among those with capacity
// for the upstream, or else the owner with the most capacity left.
func chooseOwner(owners []Owner, capacity map[string]float64, upstream UpstreamSlots) string {
	best, bestScore := "", math.Inf(-1)
	mostCapacityOwner, mostCapacity := "", math.Inf(-1)
	for _, owner := range owners {
		remaining := capacity[owner.Address]
		if remaining > mostCapacity || (remaining == mostCapacity && owner.Address < mostCapacityOwner) {
			mostCapacityOwner, mostCapacity = owner.Address, remaining
		}
		score := Score(owner, upstream.Upstream)
		if remaining >= float64(upstream.Slots) && (score > bestScore || (score == bestScore && owner.Address < best)) {
			best, bestScore = owner.Address, score
		}
	}
	if best == "" {
		return mostCapacityOwner
	}
	return best
}

// hashStrings returns a hash of two strings. The separator gives pairs with equal
// concatenations different hashes.
func hashStrings(a, b string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(a)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(b)
	return digest.Sum64()
}

// rankByHash returns the addresses sorted by their salted hash, highest first.
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
