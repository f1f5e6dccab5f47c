package quota_test

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// dark takes the power of all control hosts, and of all fronts if set, for some time.
func (s *site) dark(span time.Duration, fronts bool) {
	s.setCut(func(string, string) bool { return true })
	for _, a := range s.order {
		s.killCounter(a)
	}
	if fronts {
		for _, f := range s.fronts {
			s.killFront(f, span)
		}
	}
	time.Sleep(span)
	for _, a := range s.order {
		s.startCounter(a)
	}
	s.setCut(nil)
	if fronts {
		for _, f := range s.fronts {
			s.startFront(f, len(s.fronts))
		}
	}
}

// loss is a loss of control hosts, and what it may cost clients at half of their limits.
type loss struct {
	name  string
	fault func(s *site, counting netip.AddrPort)
	// begun is the greatest number of begun programs that may be lost, and lost the greatest
	// number of requests in 1,000 that may be refused for good. A client that waits 4 s is
	// refused after 2 s, 3.1 s and 3.65 s while no control host answers, so that a loss of 3 s
	// is not bounded for it.
	begun, lost [2]int // with a patience of 4 s, of 10 s
}

var lossSeed = flag.Uint64("loss.seed", 11, "seed of the load in TestPowerLoss")

const (
	unbounded = 1 << 30
	// fewLost is added to the share of lost requests: a small site has a few large programs,
	// and its losses vary from run to run.
	fewLost = 5
)

// losses returns the losses of TestPowerLoss.
func losses() []loss {
	dark := func(span time.Duration, fronts bool) func(*site, netip.AddrPort) {
		return func(s *site, _ netip.AddrPort) { s.dark(span, fronts) }
	}
	list := []loss{
		{"counting host killed", func(s *site, counting netip.AddrPort) { s.killCounter(counting) }, [2]int{1, 1}, [2]int{2, 1}},
		{"counting host frozen for 2 s", func(s *site, counting netip.AddrPort) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.counters[counting].frozen = time.Now().Add(2 * time.Second)
		}, [2]int{1, 1}, [2]int{2, 1}},
	}
	for _, fronts := range []bool{false, true} {
		list = append(list,
			loss{fmt.Sprintf("dark 1s, fronts %t", fronts), dark(time.Second, fronts), [2]int{2, 1}, [2]int{5, 1}},
			loss{fmt.Sprintf("dark 2s, fronts %t", fronts), dark(2*time.Second, fronts), [2]int{8, 1}, [2]int{12, 2}},
			loss{fmt.Sprintf("dark 3s, fronts %t", fronts), dark(3*time.Second, fronts), [2]int{unbounded, 1}, [2]int{unbounded, 3}})
	}
	return list
}

// TestPowerLoss replays losses of control hosts while all plans are at half of their limits,
// or one at 4 times its limit. It guards against refusals that one bucket that sees all
// attempts would not make, and against programs that are lost by them.
func TestPowerLoss(t *testing.T) {
	for i, patience := range []time.Duration{4 * time.Second, 10 * time.Second} {
		for _, l := range losses() {
			t.Run(fmt.Sprintf("%s, patience %s", l.name, patience), func(t *testing.T) {
				s := replay(t, l, patience, 1)
				assert.True(t, s.begun-s.ended <= l.begun[i], "%d begun programs lost", s.begun-s.ended)
				assert.True(t, s.lost*1000 <= l.lost[i]*s.asked+fewLost*1000, "%d of %d requests lost", s.lost, s.asked)
			})
			t.Run(fmt.Sprintf("%s, patience %s, one plan above its limit", l.name, patience), func(t *testing.T) {
				s := replay(t, l, patience, 8)
				if patience > 4*time.Second {
					assert.True(t, s.begun-s.ended <= lossAbove, "%d begun programs lost", s.begun-s.ended)
				}
			})
		}
	}
}

// replay lets a loss take place 5 s after the load has begun.
func replay(t *testing.T, l loss, patience time.Duration, above float64) *site {
	t.Helper()
	plans, loads := sitePlans(lossPlans, 8*lossFronts, above, 0)
	for i := range loads {
		loads[i].patience, loads[i].span = patience, 15*time.Second
	}
	s := runSite(t, *lossSeed, lossFronts, func(s *site) {
		s.setPlans(plans...)
		time.Sleep(8 * time.Second)
		time.AfterFunc(5*time.Second, func() { l.fault(s, s.counting()) })
		s.drive(loads...)
	})
	over := 0.0
	for _, p := range plans {
		_, o := s.worst(p, time.Time{})
		over = max(over, o)
	}
	t.Logf("%d requests, %d refused (%d needlessly), %d lost for good, %d begun programs lost, mean wait %s, longest %s, above the bound %.0f",
		s.asked, s.refused, s.needless(plans...), s.lost, s.begun-s.ended, s.waited/time.Duration(max(s.asked, 1)), s.longest, over)
	assert.True(t, over == 0, "%.0f requests above the bound", over)
	return s
}
