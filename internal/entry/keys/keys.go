// Package keys checks the bearer keys of customers and operators.
package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/holder"
)

// catalogIndex is the index of the keys of one catalog.
type catalogIndex struct {
	catalog *zinniapond.Catalog
	holders *holder.Index
}

// Authenticator finds the customer of a key. The zero value can be used, by
// several goroutines.
type Authenticator struct {
	index atomic.Pointer[catalogIndex]
}

// Authenticate returns the plan and the customer of the key in the catalog. It
// indexes the keys again for another catalog than at the last call. The error
// wraps ErrInvalidKey if no customer has the key or if the key has expired.
func (r *Authenticator) Authenticate(now time.Time, catalog *zinniapond.Catalog, key string) (zinniapond.Plan, zinniapond.Customer, error) {
	index := r.index.Load()
	if index == nil || index.catalog != catalog {
		index = &catalogIndex{catalog, holder.New(slices.Collect(maps.Values(catalog.Plans)))}
		r.index.Store(index)
	}
	plan, customer, found := index.holders.Find(sha256.Sum256([]byte(key)))
	if !found || key == "" {
		return zinniapond.Plan{}, zinniapond.Customer{}, fmt.Errorf("check key: %w", zinniapond.ErrInvalidKey)
	}
	if expires := customer.Expires; !expires.IsZero() && !now.Before(expires) {
		return zinniapond.Plan{}, zinniapond.Customer{}, &zinniapond.Error{
			Step: "check key", Err: zinniapond.ErrInvalidKey,
			Hint: fmt.Sprintf("the key expired at %s; ask the operator for a new one", expires.Format(time.RFC3339)),
		}
	}
	return *plan, *customer, nil
}

// Matches reports, in constant time, whether hash is the SHA-256 hash of the
// key. A zero hash means that no key is set and matches nothing.
func Matches(hash [32]byte, key string) bool {
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(hash[:], sum[:]) == 1 && hash != [32]byte{}
}

// maxKeyBytes bounds a key. Longer ones are refused unread.
const maxKeyBytes = 512

// BearerKey returns the key of an Authorization header of the scheme Bearer. It
// returns false if there is none, or more than one.
func BearerKey(header http.Header) (string, bool) {
	values := header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != "" && len(key) <= maxKeyBytes
}
