package keys

import (
	"crypto/sha256"
	"errors"
	"net/http"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func catalog(customers ...zinniapond.Customer) *zinniapond.Catalog {
	return &zinniapond.Catalog{Plans: map[zinniapond.PlanName]zinniapond.Plan{"yard": {Name: "yard", Customers: customers}}}
}

func TestFind(t *testing.T) {
	now := time.Unix(1000, 0)
	rinse := zinniapond.Customer{Name: "rinse", KeyHash: sha256.Sum256([]byte("k1")), Expires: now.Add(time.Second)}
	office := zinniapond.Customer{Name: "office", KeyHash: sha256.Sum256([]byte("k2"))}
	var r Authenticator
	current := catalog(rinse, office)
	t.Run("guards against returning another customer", func(t *testing.T) {
		for key, want := range map[string]zinniapond.CustomerName{"k1": "rinse", "k2": "office"} {
			p, c, err := r.Authenticate(now, current, key)
			assert.NoError(t, err)
			assert.Equal(t, c.Name, want)
			assert.Equal(t, p.Name, "yard")
		}
	})
	t.Run("guards against accepting an unknown key", func(t *testing.T) {
		for _, key := range []string{"", "k3", "k", string(rinse.KeyHash[:])} {
			_, _, err := r.Authenticate(now, current, key)
			assert.ErrorIs(t, err, zinniapond.ErrInvalidKey)
		}
	})
	t.Run("guards against accepting a hash with the same first bytes", func(t *testing.T) {
		similar := office
		similar.KeyHash[31]++
		_, _, err := new(Authenticator).Authenticate(now, catalog(similar), "k2")
		assert.ErrorIs(t, err, zinniapond.ErrInvalidKey)
	})
	t.Run("guards against accepting an expired key", func(t *testing.T) {
		_, _, err := r.Authenticate(now.Add(time.Second-1), current, "k1")
		assert.NoError(t, err)
		_, _, err = r.Authenticate(now.Add(time.Second), current, "k1")
		assert.ErrorIs(t, err, zinniapond.ErrInvalidKey)
		var e *zinniapond.Error
		assert.True(t, errors.As(err, &e), "%v", err)
		assert.Contains(t, e.Hint, "expired at")
	})
	t.Run("guards against accepting a key that was removed from the lists", func(t *testing.T) {
		later := catalog(rinse)
		_, _, err := r.Authenticate(now, later, "k2")
		assert.ErrorIs(t, err, zinniapond.ErrInvalidKey)
	})
}

func TestMatches(t *testing.T) {
	t.Run("guards against accepting operators without a key", func(t *testing.T) {
		assert.True(t, Matches(sha256.Sum256([]byte("a")), "a"), "refused")
		assert.True(t, !Matches(sha256.Sum256([]byte("a")), "b"), "accepted")
		assert.True(t, !Matches([32]byte{}, ""), "accepted without a hash")
	})
	t.Run("guards against accepting another authorization scheme", func(t *testing.T) {
		for text, want := range map[string]string{"Bearer k": "k", "bearer  k ": "k", "Basic k": "", "Bearer": "", "Bearer ": "", "k": ""} {
			key, ok := BearerKey(http.Header{"Authorization": {text}})
			assert.Equal(t, ok, want != "")
			if ok {
				assert.Equal(t, key, want)
			}
		}
	})
}
