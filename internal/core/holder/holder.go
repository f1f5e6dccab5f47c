// Package holder indexes the customers of plans by the hashes of their keys.
package holder

import (
	"crypto/subtle"
	"encoding/binary"

	"zinniapond.example/zinniapond"
)

// Index finds the holder of a key in constant time. It is immutable.
type Index struct {
	entries map[uint64][]entry // by the first eight bytes of the hash
}

type entry struct {
	plan     *zinniapond.Plan
	customer *zinniapond.Customer
}

// New returns the index of the keys of the plans. The plans must not change afterwards.
func New(plans []zinniapond.Plan) *Index {
	index := &Index{entries: make(map[uint64][]entry)}
	for i := range plans {
		for j := range plans[i].Customers {
			c := &plans[i].Customers[j]
			prefix := binary.BigEndian.Uint64(c.KeyHash[:])
			index.entries[prefix] = append(index.entries[prefix], entry{&plans[i], c})
		}
	}
	return index
}

// Find returns the plan and the customer with the key of the given SHA-256 hash. The
// zero hash stands for no key and is never found.
func (x *Index) Find(hash [32]byte) (plan *zinniapond.Plan, customer *zinniapond.Customer, ok bool) {
	if hash == [32]byte{} {
		return nil, nil, false
	}
	// Hashes are evenly distributed, so the timing of the map lookup reveals nothing of
	// a key whose hash is not known already. The whole hash is then compared in
	// constant time.
	candidates := x.entries[binary.BigEndian.Uint64(hash[:])]
	for i := range candidates {
		if subtle.ConstantTimeCompare(candidates[i].customer.KeyHash[:], hash[:]) == 1 {
			plan, customer, ok = candidates[i].plan, candidates[i].customer, true
		}
	}
	return plan, customer, ok
}
