package prefix

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// newSlowRouter returns a router of 12 servers, of which the given one takes twice the
// time of the others and has the prefix of the returned need in its cache.
func newSlowRouter(t *testing.T, slow int) (*Router, zinniapond.PickInfo) {
	t.Helper()
	r := newRouter(12)
	speed := func(a netip.AddrPort) float64 {
		if a == address(slow) {
			return 2
		}
		return 1
	}
	for i := range 600 {
		runCall(t, r, startTime, newNeed(i), speed)
	}
	need := newNeed(1000)
	need.PrefixBackend, need.PrefixTokens = address(slow), need.PromptTokens
	// The prompt outweighs the slowness, so that the cached prefix decides.
	need.PromptTokens, need.PrefixTokens = 4000, 4000
	return r, need
}

func TestDeadline(t *testing.T) {
	t.Run("guards against a turn at a replica with its prefix at which it cannot end in time", func(t *testing.T) {
		r, need := newSlowRouter(t, 3)
		without, ok := r.Pick(startTime, need, allFree)
		assert.True(t, ok && without.Backend == address(3), "the load does not show the failure: chose %s", without.Backend)
		elsewhere := need
		elsewhere.Exclude = []netip.AddrPort{address(3)}
		other, _ := r.Pick(startTime, elsewhere, allFree)
		t.Logf("expected time %s with the prefix, %s without", without.ExpectedTime, other.ExpectedTime)
		need.RemainingTime = without.ExpectedTime + time.Millisecond
		inTime, _ := r.Pick(startTime, need, allFree)
		assert.Equal(t, inTime.Backend, address(3))
		need.RemainingTime = (without.ExpectedTime + other.ExpectedTime) / 2
		late, _ := r.Pick(startTime, need, allFree)
		assert.True(t, late.Backend != address(3) && late.ExpectedTime <= need.RemainingTime, "chose %s, expecting %s of %s", late.Backend, late.ExpectedTime, need.RemainingTime)
	})
	t.Run("guards against refusing a request that ends in time at no replica", func(t *testing.T) {
		r, need := newSlowRouter(t, 3)
		need.RemainingTime = time.Microsecond
		_, ok := r.Pick(startTime, need, allFree)
		assert.True(t, ok, "no replica chosen")
	})
	t.Run("guards against probing a slow replica with a request that cannot end there", func(t *testing.T) {
		r := newRouter(12)
		for i := range 200 {
			runCall(t, r, startTime, newNeed(i), func(a netip.AddrPort) float64 {
				if a == address(3) {
					return 20
				}
				return 1
			})
		}
		s, _ := r.servers.Get(address(3))
		now := s.nextProbe.Add(time.Second)
		need := newNeed(1000)
		need.RemainingTime = 4 * time.Second
		choice, _ := r.Pick(now, need, allFree)
		assert.True(t, choice.Backend != address(3), "chose the slow server: %s", choice.Reason)
		need.RemainingTime = time.Hour
		choice, _ = r.Pick(now, need, allFree)
		assert.Equal(t, choice.Reason, "probe of a slow server")
	})
}
