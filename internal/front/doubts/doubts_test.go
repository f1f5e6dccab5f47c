package doubts

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestBook(t *testing.T) {
	now := time.Unix(1000, 0)
	replica := zinniapond.Backend{ID: "i-1", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	t.Run("guards against a doubt that never ends", func(t *testing.T) {
		var b Book
		b.Add(now, replica, time.Second)
		assert.True(t, b.Has(now.Add(time.Second-1), replica), "the doubt is over")
		assert.True(t, !b.Has(now.Add(time.Second), replica), "the doubt goes on")
	})
	t.Run("guards against a doubt about the next replica at the same address", func(t *testing.T) {
		var b Book
		b.Add(now, replica, time.Second)
		next := replica
		next.ID = "i-2"
		assert.True(t, !b.Has(now, next), "the next replica is doubtful")
		b.Add(now, next, time.Millisecond)
		assert.True(t, b.Has(now, next), "no doubt about the next replica")
	})
	t.Run("guards against a later and shorter doubt that ends the first one", func(t *testing.T) {
		var b Book
		b.Add(now, replica, time.Second)
		b.Add(now, replica, time.Millisecond)
		assert.True(t, b.Has(now.Add(time.Second-1), replica), "the doubt is over")
	})
	t.Run("guards against a doubt that an answer of the replica does not end", func(t *testing.T) {
		var b Book
		b.Add(now, replica, time.Second)
		b.Clear(replica)
		assert.True(t, !b.Has(now, replica), "the doubt goes on")
	})
	t.Run("guards against doubts that are kept for replicas that are gone", func(t *testing.T) {
		var b Book
		b.Add(now, replica, time.Second)
		b.Prune(now.Add(time.Second))
		assert.Equal(t, b.doubts.Len(), 0)
	})
}
