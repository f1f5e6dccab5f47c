package drift

import (
	"fmt"
	"math"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// fast and slow are the windows that must agree on a sudden drop.
	fast = time.Minute
	slow = 60 // fast windows in the slow one
	// sudden is the rise of the logarithm of the latency, about 1.3 times,
	// that both windows must show.
	sudden = 0.26
	// clip bounds what one minute adds to the slow window: a neighbour that
	// takes a server's time for a few minutes must not raise a decline.
	clip = 0.7
	// faulty is the share of failed calls above the reference that both
	// windows must show.
	faulty = 0.02
	// least is the number of calls that make a minute count.
	least = 5
	// learned is the number of hours of the frozen reference. A whole day is
	// needed, as load changes with the time of day.
	learned = 24
	// warm is the number of hours after which the mean reference is used,
	// before that of the same hour of the day exists.
	warm = 2
	// slack and threshold are the CUSUM's, in deviations of an hour. With
	// them 1% a day is raised after 4.4 days in the test, and noise alone is
	// expected to raise it less than once in some years.
	slack     = 0.5
	threshold = 10
	// steep bounds what one hour adds, in deviations, so that an outage of two
	// hours is not taken for a drift.
	steep = 3
	// recovered is the number of consecutive ordinary hours that end a drift.
	// The CUSUM alone would show it for most of a day more.
	recovered = 6
	// quiet is the smallest deviation assumed for an hour.
	quiet = 0.02
)

// minute collects the calls of the present fast window.
type minute struct {
	began  time.Time
	sum    float64 // of logarithms
	count  int
	failed int
}

// window is one finished fast window.
type window struct {
	value  float64 // mean logarithm of the latency
	failed float64 // share of failed calls
	valid  bool    // had enough calls
}

// subject is the service of one plan or pool.
type subject struct {
	present minute
	ring    [slow]window
	at      int
	filled  int

	hour    time.Time // of the collected values
	values  []float64 // of the present hour's minutes
	failing []float64

	// The reference is frozen after a day: one that follows the service would
	// follow a slow drift too.
	past     [24]float64 // by hour of the day
	known    [24]bool
	learned  int
	faults   float64
	spread   float64 // sum of squared differences between neighbouring minutes
	pairs    int
	cusum    float64
	begun    time.Time // when the CUSUM left zero
	ordinary int       // consecutive hours like the reference
	drifting bool
	abrupt   time.Time // since when the windows agree
	failingS time.Time
}

func (s *subject) observe(now time.Time, took, unloaded time.Duration, ok bool) {
	s.turn(now)
	m := &s.present
	if !ok {
		m.failed++
		return
	}
	value := math.Log(max(took.Seconds(), 1e-6))
	if unloaded > 0 {
		value -= math.Log(max(unloaded.Seconds(), 1e-6))
	}
	m.sum += value
	m.count++
}

// turn finishes the windows that have passed.
func (s *subject) turn(now time.Time) {
	if s.present.began.IsZero() {
		s.present.began = now.Truncate(fast)
		s.hour = now.Truncate(time.Hour)
		return
	}
	for now.Sub(s.present.began) >= fast {
		s.finish()
		next := s.present.began.Add(fast)
		if gap := now.Sub(next); gap > slow*fast {
			// Nothing was seen for more than the slow window.
			next = now.Truncate(fast)
			s.ring, s.filled = [slow]window{}, 0
		}
		if hour := next.Truncate(time.Hour); !hour.Equal(s.hour) {
			s.finishHour()
			s.hour = hour
		}
		s.present = minute{began: next}
	}
}

func (s *subject) finish() {
	m := s.present
	w := window{valid: m.count+m.failed >= least}
	if w.valid {
		w.failed = float64(m.failed) / float64(m.count+m.failed)
		if m.count > 0 {
			w.value = m.sum / float64(m.count)
			s.values = append(s.values, w.value)
		} else {
			w.value = math.NaN()
		}
		s.failing = append(s.failing, w.failed)
	}
	s.ring[s.at] = w
	s.at = (s.at + 1) % slow
	s.filled = min(s.filled+1, slow)
	s.agree(w)
}

// reference is the past value for the given hour, if any is known.
func (s *subject) reference(hour time.Time) (float64, bool) {
	at := hour.UTC().Hour()
	if s.known[at] {
		return s.past[at], true
	}
	if s.learned < warm {
		return 0, false
	}
	sum, count := 0.0, 0
	for i, ok := range s.known {
		if ok {
			sum += s.past[i]
			count++
		}
	}
	return sum / float64(count), true
}

// agree compares the last fast window and the slow one with the reference.
func (s *subject) agree(last window) {
	past, ok := s.reference(s.hour)
	if !ok || !last.valid {
		return
	}
	var rise, failed float64
	count := 0
	for i := range s.filled {
		w := s.ring[i]
		if !w.valid {
			continue
		}
		count++
		failed += w.failed
		if !math.IsNaN(w.value) {
			rise += min(max(w.value-past, -clip), clip)
		}
	}
	if count < slow/4 {
		return // too little for the slow window to say anything
	}
	n := float64(count)
	both := rise/n > sudden && (math.IsNaN(last.value) || last.value-past > sudden)
	keep(&s.abrupt, s.present.began, both, !math.IsNaN(last.value) && last.value-past < sudden/2 && rise/n < sudden)
	both = failed/n > s.faults+faulty && last.failed > s.faults+faulty
	keep(&s.failingS, s.present.began, both, failed/n < s.faults+faulty)
}

// keep sets at when the condition begins to hold and clears it when over.
func keep(at *time.Time, now time.Time, holds, over bool) {
	switch {
	case holds && at.IsZero():
		*at = now
	case over:
		*at = time.Time{}
	}
}

// finishHour adds the hour to the reference or to the CUSUM. The median of the
// minutes leaves a short slow-down out.
func (s *subject) finishHour() {
	defer func() { s.values, s.failing = s.values[:0], s.failing[:0] }()
	if len(s.values) < slow/4 {
		return
	}
	for i := 1; i < len(s.values); i++ {
		d := s.values[i] - s.values[i-1]
		if s.learned < learned {
			s.spread += d * d
			s.pairs++
		}
	}
	middle := median(s.values)
	at := s.hour.UTC().Hour()
	if s.learned < learned {
		s.learned++
		s.past[at], s.known[at] = middle, true
		s.faults += (median(s.failing) - s.faults) / float64(s.learned)
		return
	}
	past, ok := s.reference(s.hour)
	if !ok {
		return
	}
	// The deviation of a median of n minutes is about 1.25 times that of their
	// mean; the reference of one hour has the same deviation again.
	minuteDeviation := math.Sqrt(s.spread / float64(max(s.pairs, 1)) / 2)
	deviation := max(1.25*math.Sqrt2*minuteDeviation/math.Sqrt(float64(len(s.values))), quiet)
	if s.cusum == 0 {
		s.begun = s.hour
	}
	change := min((middle-past)/deviation-slack, steep)
	s.cusum = min(max(s.cusum+change, 0), 2*threshold)
	if change < 0 {
		s.ordinary++
	} else {
		s.ordinary = 0
	}
	switch {
	case s.drifting && s.ordinary >= recovered:
		s.drifting, s.cusum = false, 0
	case s.cusum > threshold:
		s.drifting = true
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func (s *subject) declines() []zinniapond.Decline {
	var all []zinniapond.Decline
	add := func(since time.Time, format string, args ...any) {
		all = append(all, zinniapond.Decline{Reason: fmt.Sprintf(format, args...), Since: since})
	}
	if !s.abrupt.IsZero() {
		add(s.abrupt, "latency above %.1f times its past in the last minute and the last hour", math.Exp(sudden))
	}
	if !s.failingS.IsZero() {
		add(s.failingS, "share of failed calls more than %.0f%% above its past in the last minute and the last hour", 100*faulty)
	}
	if s.drifting {
		add(s.begun, "latency has drifted up against the reference of its first day")
	}
	return all
}
