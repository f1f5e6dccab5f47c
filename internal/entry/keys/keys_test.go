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
	var r Ring
	first := catalog(rinse, office)
	t.Run("guards against taking one customer for another", func(t *testing.T) {
		for key, want := range map[string]zinniapond.CustomerName{"k1": "rinse", "k2": "office"} {
			p, c, err := r.Find(now, first, key)
			assert.NoError(t, err)
			assert.Equal(t, c.Name, want)
			assert.Equal(t, p.Name, "yard")
		}
	})
	t.Run("guards against accepting a key that is not in force", func(t *testing.T) {
		for _, key := range []string{"", "k3", "k", string(rinse.KeyHash[:])} {
			_, _, err := r.Find(now, first, key)
			assert.ErrorIs(t, err, zinniapond.ErrKey)
		}
	})
	t.Run("guards against a hash that begins like another", func(t *testing.T) {
		near := office
		near.KeyHash[31]++
		_, _, err := new(Ring).Find(now, catalog(near), "k2")
		assert.ErrorIs(t, err, zinniapond.ErrKey)
	})
	t.Run("guards against a key that outlives its expiry", func(t *testing.T) {
		_, _, err := r.Find(now.Add(time.Second-1), first, "k1")
		assert.NoError(t, err)
		_, _, err = r.Find(now.Add(time.Second), first, "k1")
		assert.ErrorIs(t, err, zinniapond.ErrKey)
		var e *zinniapond.Error
		assert.True(t, errors.As(err, &e), "%v", err)
		assert.Contains(t, e.Hint, "expired at")
	})
	t.Run("guards against a withdrawn key that works on", func(t *testing.T) {
		second := catalog(rinse)
		_, _, err := r.Find(now, second, "k2")
		assert.ErrorIs(t, err, zinniapond.ErrKey)
	})
}

func TestMatches(t *testing.T) {
	t.Run("guards against an operator without credential", func(t *testing.T) {
		assert.True(t, Matches(sha256.Sum256([]byte("a")), "a"), "refused")
		assert.True(t, !Matches(sha256.Sum256([]byte("a")), "b"), "accepted")
		assert.True(t, !Matches([32]byte{}, ""), "accepted without a hash")
	})
	t.Run("guards against reading another scheme as a key", func(t *testing.T) {
		for text, want := range map[string]string{"Bearer k": "k", "bearer  k ": "k", "Basic k": "", "Bearer": "", "Bearer ": "", "k": ""} {
			key, ok := Bearer(http.Header{"Authorization": {text}})
			assert.Equal(t, ok, want != "")
			if ok {
				assert.Equal(t, key, want)
			}
		}
	})
}
