package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// fault is one fault of a site.
type fault struct {
	kind   faultKind
	at     time.Duration // since the load has begun
	span   time.Duration
	victim int // number of the host
}

type faultKind string

const (
	frontKilled   faultKind = "front killed and restarted"
	frontFrozen   faultKind = "front frozen"
	frontCut      faultKind = "front cut off"
	counterKilled faultKind = "control host killed and restarted"
	counterFrozen faultKind = "control host frozen"
	counterCut    faultKind = "control host cut off"
	allDark       faultKind = "control hosts without power"
	allHostsDark  faultKind = "all hosts without power"
)

var faultKinds = []faultKind{frontKilled, frontFrozen, frontCut, counterKilled, counterFrozen, counterCut, allDark, allHostsDark}

func drawFault(t *rapid.T) fault {
	return fault{
		kind:   rapid.SampledFrom(faultKinds).Draw(t, "fault"),
		at:     time.Duration(rapid.IntRange(0, 9000).Draw(t, "at")) * time.Millisecond,
		span:   time.Duration(rapid.SampledFrom([]int{50, 250, 400, 1000, 2000, 3000, 6000}).Draw(t, "span")) * time.Millisecond,
		victim: rapid.IntRange(0, 6).Draw(t, "victim"),
	}
}

// cutOff cuts a host off all others for some time.
func (s *site) cutOff(host string, span time.Duration) {
	s.setCut(func(from, to string) bool { return from == host || to == host })
	time.Sleep(span)
	s.setCut(nil)
}

// run lets a fault take place, and returns when it is over.
func (f fault) run(s *site) {
	time.Sleep(f.at)
	victim, counter := s.fronts[f.victim%len(s.fronts)], s.order[f.victim%len(s.order)]
	if f.victim >= len(s.order) {
		counter = s.counting()
	}
	freeze := func(frozen *time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		*frozen = later(*frozen, time.Now().Add(f.span))
	}
	switch f.kind {
	case frontKilled:
		s.killFront(victim, f.span)
		time.Sleep(f.span)
		s.startFront(victim, len(s.fronts))
	case frontFrozen:
		freeze(&victim.frozen)
	case frontCut:
		s.cutOff(victim.name, f.span)
	case counterKilled:
		s.killCounter(counter)
		time.Sleep(f.span)
		s.startCounter(counter)
	case counterFrozen:
		freeze(s.frozenAt(counter.String()))
	case counterCut:
		s.cutOff(counter.String(), f.span)
	case allDark, allHostsDark:
		s.dark(f.span, f.kind == allHostsDark)
	}
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// drawLoad draws a plan and its load, of half to eight times its limit. The requests of a
// sudden load belong to programs that were begun, so that they may use the whole bucket.
func drawLoad(t *rapid.T, name zinniapond.PlanName) (zinniapond.Plan, load) {
	plan := zinniapond.Plan{
		Name:         name,
		RequestRate:  zinniapond.RequestRate(rapid.IntRange(2, 40).Draw(t, "rate")),
		RequestBurst: rapid.SampledFrom([]int{1, 12, 40, 120}).Draw(t, "burst"),
	}
	share := rapid.SampledFrom([]float64{0.5, 4, 8}).Draw(t, "share")
	l := load{plan: name, programs: float64(plan.RequestRate) * share / 4, turns: 4, pause: time.Second, span: 12 * time.Second, patience: 6 * time.Second}
	if rapid.Bool().Draw(t, "sudden") {
		l.programs, l.turns, l.continuing = l.programs*4, 1, true
	}
	l.skew = rapid.IntRange(0, 3).Draw(t, "skew")
	return plan, l
}

// TestFaults lets fronts and control hosts fail at random times, and counts each window. It
// guards against more requests than the limits allow, whoever fails.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var plans []zinniapond.Plan
		var loads []load
		for _, name := range []zinniapond.PlanName{"a", "b", "c"} {
			plan, l := drawLoad(rt, name)
			plans, loads = append(plans, plan), append(loads, l)
		}
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 4).Draw(rt, "faults")
		s := runSite(t, rapid.Uint64().Draw(rt, "seed"), 7, func(s *site) {
			s.setPlans(plans...)
			for _, f := range faults {
				s.group.Go(func() { f.run(s) })
			}
			s.drive(loads...)
			time.Sleep(4 * time.Second) // the last fault ends
		})
		for _, plan := range plans {
			count, over := s.worst(plan, time.Time{})
			assert.True(rt, over == 0, "%s: %d requests in a window, %.0f above the bound", plan.Name, count, over)
		}
	})
}
