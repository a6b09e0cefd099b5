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
	weight := owner.Weight
	if weight <= 0 {
		weight = defaultWeight
	}
	// The half keeps the logarithm finite and below zero.
	uniform := (float64(pairHash(owner.Address, upstream)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// OwnerOf returns the address of the owner of an upstream, or "" if there are
// no owners.
func OwnerOf(owners []Owner, upstream string) string {
	best, bestScore := "", math.Inf(-1)
	for _, owner := range owners {
		score := Score(owner, upstream)
		if score > bestScore || (score == bestScore && owner.Address < best) {
			best, bestScore = owner.Address, score
		}
	}
	return best
}

// pairHash returns a hash of two strings. The separator keeps pairs apart
// whose concatenations are equal.
func pairHash(a, b string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(a)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(b)
	return digest.Sum64()
}

// rank sorts addresses by their hash with a salt, highest first.
func rank(salt string, addresses []string) []string {
	ranked := append([]string(nil), addresses...)
	hashes := make(map[string]uint64, len(ranked))
	for _, address := range ranked {
		hashes[address] = pairHash(salt, address)
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
