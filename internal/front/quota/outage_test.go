package quota_test

import (
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
	until := time.Now().Add(span)
	if fronts {
		for _, f := range s.fronts {
			s.mu.Lock()
			f.frozen = until
			f.stop()
			s.mu.Unlock()
		}
	}
	time.Sleep(span - time.Millisecond)
	for _, a := range s.order {
		s.startCounter(a)
	}
	for _, f := range s.fronts {
		if fronts {
			s.startFront(f, len(s.fronts))
		}
	}
	s.setCut(nil)
}

// TestPowerLoss replays losses of control hosts while all plans are at half of their limits.
// It guards against refusals that one bucket that sees all attempts would not make, and
// against programs that are lost by them.
func TestPowerLoss(t *testing.T) {
	type loss struct {
		name  string
		fault func(s *site, counting netip.AddrPort)
	}
	var losses []loss
	for _, fronts := range []bool{false, true} {
		for _, span := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
			losses = append(losses, loss{fmt.Sprintf("dark %s, fronts %t", span, fronts), func(s *site, _ netip.AddrPort) { s.dark(span, fronts) }})
		}
	}
	losses = append(losses,
		loss{"counting host killed", func(s *site, counting netip.AddrPort) { s.killCounter(counting) }},
		loss{"counting host frozen for 2 s", func(s *site, counting netip.AddrPort) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.counters[counting].frozen = time.Now().Add(2 * time.Second)
		}},
	)
	for _, patience := range []time.Duration{4 * time.Second, 10 * time.Second} {
		for _, l := range losses {
			t.Run(fmt.Sprintf("%s, patience %s", l.name, patience), func(t *testing.T) {
				plans, loads := sitePlans(lossPlans, 8*lossFronts, 1, 0)
				for i := range loads {
					loads[i].patience, loads[i].span = patience, 15*time.Second
				}
				s := runSite(t, 11, lossFronts, func(s *site) {
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
				needless := s.needless(plans...)
				t.Logf("%d requests, %d refused (%d needlessly), %d lost for good, %d begun programs lost, mean wait %s, longest %s, above the bound %.0f",
					s.asked, s.refused, needless, s.lost, s.begun-s.ended, s.waited/time.Duration(max(s.asked, 1)), s.longest, over)
				assert.True(t, over == 0, "%.0f requests above the bound", over)
			})
		}
	}
}
