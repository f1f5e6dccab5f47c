package limits

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var (
	start   = time.Unix(1000, 0)
	replica = zinniapond.Backend{Address: netip.MustParseAddrPort("10.0.0.1:80"), ID: "i-1"}
)

func newBook() *Book { return &Book{Logger: hclog.NewNullLogger()} }

func assertRate(t *testing.T, b *Book, now time.Time, want zinniapond.RequestRate) {
	t.Helper()
	rate, ok := b.Rate(now, replica.Address, replica.ID)
	assert.Equal(t, ok, want != 0)
	assert.Equal(t, rate, want)
}

func TestObserve(t *testing.T) {
	t.Run("guards against forgetting a limit that is named", func(t *testing.T) {
		b := newBook()
		b.ObserveAnswer(start, replica, start, 4)
		assertRate(t, b, start.Add(expiry-1), 4)
	})
	t.Run("guards against lifting a limit by the answer to an earlier request", func(t *testing.T) {
		b := newBook()
		b.ObserveAnswer(start, replica, start, 4)
		b.ObserveAnswer(start.Add(time.Second), replica, start, 0)
		assertRate(t, b, start.Add(time.Second+rampTime), 4)
	})
	t.Run("guards against all hosts sending at once to a replica whose limit is lifted", func(t *testing.T) {
		b := newBook()
		b.ObserveAnswer(start, replica, start, 4)
		lifted := start.Add(time.Second)
		b.ObserveAnswer(lifted, replica, start.Add(1), 0)
		assertRate(t, b, lifted, 4)
		assertRate(t, b, lifted.Add(2*rampDoubling), 16)
		assertRate(t, b, lifted.Add(rampTime), 0)
	})
	t.Run("guards against the limit of a replica that is gone for its successor at the address", func(t *testing.T) {
		b := newBook()
		b.ObserveAnswer(start, replica, start, 4)
		_, ok := b.Rate(start, replica.Address, "i-2")
		assert.True(t, !ok, "the successor is limited")
	})
	t.Run("guards against a limit that leaves no request to learn its end from", func(t *testing.T) {
		b := newBook()
		b.ObserveAnswer(start, replica, start, 1e-9)
		assertRate(t, b, start, minRate)
	})
}

func TestMerge(t *testing.T) {
	t.Run("guards against a host that does not know the limits that others have learned", func(t *testing.T) {
		a, b := newBook(), newBook()
		a.ObserveAnswer(start, replica, start, 4)
		b.Merge(start, a.All(start), true)
		assertRate(t, b, start, 4)
	})
	t.Run("guards against an old report that brings a lifted limit back", func(t *testing.T) {
		a, b := newBook(), newBook()
		a.ObserveAnswer(start, replica, start, 4)
		old := a.All(start.Add(time.Second))
		b.ObserveAnswer(start, replica, start, 4)
		b.ObserveAnswer(start.Add(time.Second), replica, start.Add(1), 0)
		b.Merge(start.Add(time.Second), old, true)
		assertRate(t, b, start.Add(time.Second+rampTime), 0)
		a.Merge(start.Add(time.Second), b.All(start.Add(time.Second)), true)
		assertRate(t, a, start.Add(time.Second+rampTime), 0)
	})
	t.Run("guards against reports that go round between hosts and never expire", func(t *testing.T) {
		a, b := newBook(), newBook()
		a.ObserveAnswer(start, replica, start, 4)
		b.Merge(start, a.News(start, time.Time{}), false)
		assert.Equal(t, len(b.News(start, time.Time{})), 0)
		assert.Equal(t, len(a.News(start, start)), 0)
		assert.Equal(t, len(b.All(start.Add(expiry+tombstoneTime))), 0)
	})
}
