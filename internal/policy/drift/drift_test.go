package drift

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// feedDetector feeds a detector with calls whose latency varies with the time
// of day and by chance, times the given factor.
func feedDetector(d *Detector, days int, perMinute int, factor func(at time.Duration) float64, inspect func(at time.Duration, found []zinniapond.Degradation) bool) {
	r := rand.New(rand.NewPCG(7, 7))
	for at := time.Duration(0); at < time.Duration(days)*24*time.Hour; at += time.Minute {
		daily := 1 + 0.15*math.Sin(2*math.Pi*at.Hours()/24)
		for i := range perMinute {
			took := 800 * daily * factor(at) * math.Exp(r.NormFloat64()*0.5)
			now := startTime.Add(at + time.Duration(i)*time.Second)
			d.Observe(now, "pool m", time.Duration(took*float64(time.Millisecond)), 400*time.Millisecond, true)
		}
		if at%(10*time.Minute) == 0 && !inspect(at, d.Degradations(startTime.Add(at+59*time.Second))) {
			return
		}
	}
}

// firstDegradation returns when a degradation was first shown, or zero.
func firstDegradation(days int, factor func(at time.Duration) float64) (time.Duration, zinniapond.Degradation) {
	var first time.Duration
	var degradation zinniapond.Degradation
	feedDetector(&Detector{}, days, 6, factor, func(at time.Duration, found []zinniapond.Degradation) bool {
		if len(found) > 0 {
			first, degradation = at, found[0]
		}
		return len(found) == 0
	})
	return first, degradation
}

func TestDetector(t *testing.T) {
	const day = 24 * time.Hour
	t.Run("guards against a drift of 1% a day that nobody notices", func(t *testing.T) {
		at, shown := firstDegradation(20, func(at time.Duration) float64 { return math.Pow(1.01, at.Hours()/24) })
		assert.True(t, at > day && at < 14*day, "raised after %s", at)
		assert.Equal(t, shown.Subject, "pool m")
		assert.True(t, !shown.Since.IsZero() && shown.Since.Before(startTime.Add(at)), "since %s", shown.Since)
		t.Logf("raised after %.1f days: %s", at.Hours()/24, shown.Reason)
	})
	t.Run("guards against alarms without cause", func(t *testing.T) {
		at, shown := firstDegradation(20, func(time.Duration) float64 { return 1 })
		assert.Equal(t, at, 0)
		assert.Equal(t, shown.Reason, "")
	})
	t.Run("guards against an alarm by a neighbour's short slow-down", func(t *testing.T) {
		at, _ := firstDegradation(10, func(at time.Duration) float64 {
			if at > day && at%(6*time.Hour) < 5*time.Minute {
				return 3
			}
			return 1
		})
		assert.Equal(t, at, 0)
	})
	t.Run("guards against a lasting sudden drop that is not shown", func(t *testing.T) {
		at, _ := firstDegradation(3, func(at time.Duration) float64 {
			if at > 30*time.Hour {
				return 2
			}
			return 1
		})
		assert.True(t, at > 30*time.Hour && at < 31*time.Hour, "raised at %s", at)
	})
	t.Run("guards against a degradation that stays after the recovery", func(t *testing.T) {
		var last time.Duration
		feedDetector(&Detector{}, 5, 6, func(at time.Duration) float64 {
			if at > 30*time.Hour && at < 32*time.Hour {
				return 2
			}
			return 1
		}, func(at time.Duration, found []zinniapond.Degradation) bool {
			if len(found) > 0 {
				last = at
			}
			return true
		})
		assert.True(t, last > 31*time.Hour && last < 50*time.Hour, "shown until %s", last)
	})
	t.Run("guards against failures that are not shown", func(t *testing.T) {
		d := &Detector{}
		for m := range 300 {
			for i := range 20 {
				d.Observe(startTime.Add(time.Duration(m)*time.Minute), "plan yard", time.Second, 0, m < 200 || i > 1)
			}
		}
		found := d.Degradations(startTime.Add(300 * time.Minute))
		assert.True(t, len(found) == 1, "found %v", found)
		assert.Contains(t, found[0].Reason, "failed")
	})
}
