// Package keys checks the bearer keys of customers and operators.
package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"zinniapond.example/zinniapond"
)

// keyHolder is a customer with the plan that lists it.
type keyHolder struct {
	plan     zinniapond.Plan
	customer zinniapond.Customer
}

// hashIndex indexes the customers of one catalog by the first eight bytes of
// their key hash.
type hashIndex struct {
	catalog      *zinniapond.Catalog
	byHashPrefix map[uint64][]keyHolder
}

// Authenticator finds the customer of a key. The zero value can be used, by
// several goroutines.
type Authenticator struct {
	index atomic.Pointer[hashIndex]
}

func newHashIndex(catalog *zinniapond.Catalog) *hashIndex {
	index := &hashIndex{catalog: catalog, byHashPrefix: make(map[uint64][]keyHolder)}
	for _, p := range catalog.Plans {
		for _, c := range p.Customers {
			prefix := binary.BigEndian.Uint64(c.KeyHash[:])
			index.byHashPrefix[prefix] = append(index.byHashPrefix[prefix], keyHolder{plan: p, customer: c})
		}
	}
	return index
}

// Authenticate returns the plan and the customer of the key in the catalog. It
// indexes the keys again for another catalog than at the last call. The error
// wraps ErrInvalidKey if no customer has the key or if the key has expired.
func (r *Authenticator) Authenticate(now time.Time, catalog *zinniapond.Catalog, key string) (zinniapond.Plan, zinniapond.Customer, error) {
	index := r.index.Load()
	if index == nil || index.catalog != catalog {
		index = newHashIndex(catalog)
		r.index.Store(index)
	}
	sum := sha256.Sum256([]byte(key))
	// Hashes are evenly distributed, so the timing of the map lookup reveals
	// nothing of a key whose hash is not known already. The whole hash is then
	// compared in constant time.
	var found *keyHolder
	candidates := index.byHashPrefix[binary.BigEndian.Uint64(sum[:])]
	for i := range candidates {
		if subtle.ConstantTimeCompare(candidates[i].customer.KeyHash[:], sum[:]) == 1 {
			found = &candidates[i]
		}
	}
	if found == nil || key == "" {
		return zinniapond.Plan{}, zinniapond.Customer{}, fmt.Errorf("check key: %w", zinniapond.ErrInvalidKey)
	}
	if expires := found.customer.Expires; !expires.IsZero() && !now.Before(expires) {
		return zinniapond.Plan{}, zinniapond.Customer{}, &zinniapond.Error{
			Step: "check key", Err: zinniapond.ErrInvalidKey,
			Hint: fmt.Sprintf("the key expired at %s; ask the operator for a new one", expires.Format(time.RFC3339)),
		}
	}
	return found.plan, found.customer, nil
}

// Matches reports, in constant time, whether hash is the SHA-256 hash of the
// key. A zero hash means that no key is set and matches nothing.
func Matches(hash [32]byte, key string) bool {
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(hash[:], sum[:]) == 1 && hash != [32]byte{}
}

// BearerKey returns the key of an Authorization header of the scheme Bearer. It
// returns false if there is none.
func BearerKey(header http.Header) (string, bool) {
	scheme, key, ok := strings.Cut(header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}
