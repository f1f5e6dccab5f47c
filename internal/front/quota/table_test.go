package quota_test

import (
	"fmt"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// sitePlans returns a number of plans that share the load, with few large ones, and the
// load of each: half of its limit, or above times its usual load for the first plan.
func sitePlans(count int, requests, above float64, skew int) (plans []zinniapond.Plan, loads []load) {
	sum := 0.0
	for i := range count {
		sum += 1 / float64(i+1)
	}
	for i := range count {
		rate := requests / float64(i+1) / sum
		plans = append(plans, zinniapond.Plan{Name: zinniapond.PlanName(fmt.Sprintf("plan-%d", i)), RequestRate: zinniapond.RequestRate(2 * rate), RequestBurst: int(4*rate) + 8})
		l := load{plan: plans[i].Name, programs: rate / 4, turns: 4, pause: time.Second, skew: skew, span: 10 * time.Second}
		if i == 0 {
			l.programs *= above
		}
		loads = append(loads, l)
	}
	return plans, loads
}

// TestTable prints over- and under-admission and the traffic by the number of fronts and
// by the number of fronts that the clients of a plan use. It guards against traffic and
// refusals that grow with the site.
func TestTable(t *testing.T) {
	for _, count := range tableFronts {
		for _, skew := range []int{0, 3} {
			for _, above := range []float64{1, 8} {
				t.Run(fmt.Sprintf("%d fronts, skew %d, load %.0f", count, skew, above), func(t *testing.T) {
					plans, loads := sitePlans(81, 8*float64(min(count, 171)), above, skew)
					var begin time.Time
					s := runSite(t, 7, count, func(s *site) {
						s.setPlans(plans...)
						time.Sleep(8 * time.Second)
						begin = time.Now()
						s.drive(loads...)
					})
					report(t, s, plans, begin, above == 1)
				})
			}
		}
	}
}

func report(t *testing.T, s *site, plans []zinniapond.Plan, begin time.Time, below bool) {
	t.Helper()
	over, span := 0.0, 0.0
	for _, p := range plans {
		_, o := s.worst(p, time.Time{})
		over = max(over, o)
		for _, at := range s.runs[p.Name] {
			span = max(span, at.Sub(begin).Seconds())
		}
	}
	frontBytes, controlBytes, messages, busiest := 0, 0, 0, 0
	for _, f := range s.fronts {
		frontBytes, messages, busiest = frontBytes+f.bytes, messages+f.messages, max(busiest, f.messages)
	}
	for _, c := range s.counters {
		controlBytes = max(controlBytes, c.bytes)
	}
	n := float64(len(s.fronts))
	if !below {
		// The least window is below the rate while the bucket refills for programs that were
		// begun; the whole time is not.
		least := s.least(plans[0], begin.Add(time.Second), begin.Add(10*time.Second), access.QuotaWindow)
		whole := s.least(plans[0], begin, begin.Add(10*time.Second), 10*time.Second)
		t.Logf("the plan above its limit ran %.2f of its rate in 10 s, %.2f in the least window", whole, least)
		assert.True(t, whole >= 1, "only %.2f of the rate ran", whole)
	}
	t.Logf("requests/s %.0f, refused %d times (needlessly %d), for good %d of %d, above the bound %.0f, per front: messages/s %.1f (busiest %.1f), B/s %.0f; busiest control host: B/s %.0f; mean wait %s",
		float64(s.asked)/span, s.refused, s.needless(plans...), s.lost, s.asked, over, float64(messages)/span/n, float64(busiest)/span, float64(frontBytes)/span/n, float64(controlBytes)/span, s.waited/time.Duration(max(s.asked, 1)))
	assert.True(t, over == 0, "%.0f requests above the bound", over)
	if below {
		assert.True(t, s.needless(plans...)*100 <= s.asked, "%d of %d requests refused needlessly", s.needless(plans...), s.asked)
	}
}
