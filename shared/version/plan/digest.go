package plan

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Digest identifies the content of a plan. It is the sum of the xxhash of
// every rule, of the failure domains, of the guards and of the evacuated domains, so that updating it
// after a change only hashes what the change touches. It detects accidental
// differences; it does not protect against an attacker.
type Digest uint64

// String returns 16 hexadecimal digits.
func (digest Digest) String() string {
	return fmt.Sprintf("%016x", uint64(digest))
}

// MarshalText returns the text form, the same as String.
func (digest Digest) MarshalText() ([]byte, error) {
	return []byte(digest.String()), nil
}

// UnmarshalText parses the form that MarshalText returns. The error wraps
// ErrInvalidPlan.
func (digest *Digest) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return eris.Wrapf(ErrInvalidPlan, "digest %.32q is not a hexadecimal number of 64 bits", text)
	}
	*digest = Digest(value)
	return nil
}

// DigestOf returns the digest of a plan. It hashes every rule; Change.Apply
// derives the digest of the changed plan at less cost.
func DigestOf(plan *Plan) Digest {
	digest := hashOf(plan.Domains) + hashOf(plan.Guards) + hashOfEvacuated(plan.Evacuated)
	for _, rule := range plan.Rules {
		digest += hashOf(rule)
	}
	return digest
}

// hashOfEvacuated returns the hash of the evacuated failure domains. It is 0 for none, as
// in plans of earlier versions, and differs from that of the same list as Domains.
func hashOfEvacuated(evacuated Domains) Digest {
	if len(evacuated) == 0 {
		return 0
	}
	return hashOf(map[string]Domains{
		"evacuated": evacuated,
	})
}

// hashOf returns the xxhash of the deterministic CBOR encoding of value. It
// panics if value can't be encoded, which can't happen for the types it is
// used with.
func hashOf[Value any](value Value) Digest {
	data, err := encodeMode.Marshal(value)
	if err != nil {
		panic(err)
	}
	return Digest(xxhash.Sum64(data))
}
