package quota_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func errorsAs(err error, target **zinniapond.Error) bool { return errors.As(err, target) }

var (
	large = zinniapond.Plan{Name: "large", RequestRate: 60, RequestBurst: 120}
	small = zinniapond.Plan{Name: "small", RequestRate: 6, RequestBurst: 12}
)

// assertBound fails if more requests of a plan ran in some window than were agreed.
func assertBound(t *testing.T, s *site, plan zinniapond.Plan) {
	t.Helper()
	count, over := s.worst(plan, time.Time{})
	t.Logf("%s: %d runs, %d in the worst window, %.0f above the bound; of %d requests %d were refused and %d lost; %d of %d programs ended; mean wait %s",
		plan.Name, len(s.runs[plan.Name]), count, over, s.asked, s.refused, s.lost, s.ended, s.begun, s.waited/time.Duration(max(s.asked, 1)))
	assert.True(t, over == 0, "%.0f requests above the bound", over)
}

func TestBelowLimit(t *testing.T) {
	for _, skew := range []int{0, 3, 1} {
		t.Run("guards against refusals below the limit with uneven load", func(t *testing.T) {
			s := runSite(t, 1, 68, func(s *site) {
				s.setPlans(large, small)
				s.drive(load{plan: "large", programs: 11, turns: 4, pause: time.Second, skew: skew, span: 20 * time.Second},
					load{plan: "small", programs: 1, turns: 4, pause: time.Second, skew: skew, span: 20 * time.Second})
			})
			assertBound(t, s, large)
			assertBound(t, s, small)
			needless := s.needless(large, small)
			assert.True(t, needless*200 <= s.asked, "%d of %d requests refused needlessly", needless, s.asked)
		})
	}
}

func TestAboveLimit(t *testing.T) {
	t.Run("guards against programs that are not finished at 8 times the limit", func(t *testing.T) {
		s := runSite(t, 2, 68, func(s *site) {
			s.setPlans(large)
			s.drive(load{plan: "large", programs: 120, turns: 4, pause: time.Second, span: 10 * time.Second})
		})
		assertBound(t, s, large)
		assert.True(t, float64(s.ended) >= 0.98*float64(s.begun), "%d of %d programs ended", s.ended, s.begun)
		assert.True(t, len(s.runs["large"]) >= 60*10*9/10, "only %d requests ran", len(s.runs["large"]))
	})
	t.Run("guards against more than a limit that was cut far below the load", func(t *testing.T) {
		lowered := zinniapond.Plan{Name: "large", RequestRate: 4, RequestBurst: 4}
		var from time.Time
		s := runSite(t, 3, 68, func(s *site) {
			s.setPlans(large)
			time.AfterFunc(8*time.Second, func() {
				s.setPlans(lowered)
				from = time.Now().Add(2500 * time.Millisecond)
			})
			s.drive(load{plan: "large", programs: 14, turns: 4, pause: time.Second, span: 25 * time.Second})
		})
		assertBound(t, s, large)
		_, over := s.worst(lowered, from)
		assert.True(t, over == 0, "%.0f above the lower limit", over)
	})
}

func TestFailure(t *testing.T) {
	cases := []struct {
		name  string
		fault func(s *site, counting netip.AddrPort)
		lost  int // greatest number of requests that are refused for good
	}{
		{"guards against two bursts when the counting control host dies", func(s *site, counting netip.AddrPort) {
			s.killCounter(counting)
		}, 60},
		{"guards against two bursts when the counting control host freezes and wakes", func(s *site, counting netip.AddrPort) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.counters[counting].frozen = time.Now().Add(3 * time.Second)
		}, 60},
		{"guards against another burst of a restarted control host", func(s *site, counting netip.AddrPort) {
			s.killCounter(counting)
			s.startCounter(counting)
		}, 60},
		{"guards against two hosts that count while half of the fronts cannot reach one of them", func(s *site, counting netip.AddrPort) {
			s.setCut(func(from, to string) bool {
				return to == counting.String() && len(from) > 6 && from[:6] == "front-" && from[len(from)-1]%2 == 0
			})
		}, 60},
		{"guards against two hosts that count on both sides of a partition", func(s *site, counting netip.AddrPort) {
			s.setCut(func(from, to string) bool { return s.isMinority(from, counting) != s.isMinority(to, counting) })
		}, 1 << 30},
		{"guards against fronts that exceed the limit without control hosts", func(s *site, _ netip.AddrPort) {
			s.setCut(func(string, string) bool { return true })
		}, 1 << 30},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			normal := load{plan: "large", programs: 11, turns: 4, pause: time.Second, span: 15 * time.Second}
			above := normal
			above.programs, above.span = 60, 8*time.Second
			// All tokens of the full bucket are used at the time of the fault.
			sudden := load{plan: "large", programs: suddenPrograms, turns: 1, span: 4 * time.Second, continuing: true}
			for _, l := range []load{normal, above, sudden} {
				s := runSite(t, 4, 68, func(s *site) {
					s.setPlans(large)
					s.drive(load{plan: "large", programs: 4, turns: 1, span: 4 * time.Second})
					time.Sleep(3 * time.Second)
					time.AfterFunc(300*time.Millisecond, func() { c.fault(s, s.counting()) })
					s.drive(l)
				})
				assertBound(t, s, large)
				if l == normal {
					assert.True(t, s.lost <= c.lost, "%d of %d requests lost", s.lost, s.asked)
				}
			}
		})
	}
	t.Run("guards against a front that wakes with tokens", func(t *testing.T) {
		s := runSite(t, 5, 7, func(s *site) {
			s.setPlans(large)
			time.AfterFunc(5*time.Second, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				for _, f := range s.fronts[:3] {
					f.frozen = time.Now().Add(6 * time.Second)
				}
			})
			s.drive(load{plan: "large", programs: 60, turns: 4, pause: time.Second, span: 20 * time.Second})
		})
		assertBound(t, s, large)
	})
}

func (s *site) setCut(cut func(from, to string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// isMinority reports whether a host is on the side of the counting control host, which
// has one other control host and half of the fronts.
func (s *site) isMinority(name string, counting netip.AddrPort) bool {
	if name == counting.String() {
		return true
	}
	if len(name) > 6 && name[:6] == "front-" {
		return name[len(name)-1]%2 == 0
	}
	for _, a := range s.order {
		if a != counting {
			return a.String() == name
		}
	}
	return false
}
