// Package keys checks the keys of customers and operators.
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

// owner is a customer with its plan.
type owner struct {
	plan     zinniapond.Plan
	customer zinniapond.Customer
}

// table has the customers of one catalog by the first bytes of the key hash.
type table struct {
	of     *zinniapond.Catalog
	owners map[uint64][]owner
}

// Ring finds the customer of a key. Its zero value is ready.
type Ring struct {
	table atomic.Pointer[table]
}

func newTable(catalog *zinniapond.Catalog) *table {
	t := &table{of: catalog, owners: make(map[uint64][]owner)}
	for _, p := range catalog.Plans {
		for _, c := range p.Customers {
			n := binary.BigEndian.Uint64(c.KeyHash[:])
			t.owners[n] = append(t.owners[n], owner{plan: p, customer: c})
		}
	}
	return t
}

// Find returns the plan and the customer of the key in the catalog. The error
// wraps ErrKey if there is none or if the key has expired.
func (r *Ring) Find(now time.Time, catalog *zinniapond.Catalog, key string) (zinniapond.Plan, zinniapond.Customer, error) {
	t := r.table.Load()
	if t == nil || t.of != catalog {
		t = newTable(catalog)
		r.table.Store(t)
	}
	sum := sha256.Sum256([]byte(key))
	// Hashes spread evenly, so that the map gives away nothing of a key whose
	// hash is not known already; the rest is compared in constant time.
	var found *owner
	list := t.owners[binary.BigEndian.Uint64(sum[:])]
	for i := range list {
		if subtle.ConstantTimeCompare(list[i].customer.KeyHash[:], sum[:]) == 1 {
			found = &list[i]
		}
	}
	if found == nil || key == "" {
		return zinniapond.Plan{}, zinniapond.Customer{}, fmt.Errorf("check key: %w", zinniapond.ErrKey)
	}
	if e := found.customer.Expires; !e.IsZero() && !now.Before(e) {
		return zinniapond.Plan{}, zinniapond.Customer{}, &zinniapond.Error{
			Step: "check key", Err: zinniapond.ErrKey,
			Hint: fmt.Sprintf("the key expired at %s; ask the operator for a new one", e.Format(time.RFC3339)),
		}
	}
	return found.plan, found.customer, nil
}

// Matches tells in constant time whether the hash is that of the key. A zero
// hash, which stands for none, matches nothing.
func Matches(hash [32]byte, key string) bool {
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(hash[:], sum[:]) == 1 && hash != [32]byte{}
}

// Bearer returns the key of the Authorization header.
func Bearer(header http.Header) (string, bool) {
	scheme, key, ok := strings.Cut(header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}
