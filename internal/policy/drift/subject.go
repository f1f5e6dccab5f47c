package drift

import (
	"fmt"
	"math"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// fastWindow and slowWindowMinutes are the windows that both have to show a
	// sudden rise.
	fastWindow        = time.Minute
	slowWindowMinutes = 60 // number of fast windows in the slow window
	// suddenRise is the rise of the logarithm of the latency, a factor of about
	// 1.3, that both windows must show.
	suddenRise = 0.26
	// maxMinuteRise bounds what one minute adds to the slow window: a noisy
	// neighbour that slows a server for a few minutes must not raise a degradation.
	maxMinuteRise = 0.7
	// failureShareRise is the rise of the share of failed calls above the
	// reference that both windows must show.
	failureShareRise = 0.02
	// minCalls is the number of calls from which a minute counts.
	minCalls = 5
	// referenceHours is the number of hours from which the fixed reference is
	// learned. A whole day is needed, as load changes with the time of day.
	referenceHours = 24
	// warmUpHours is the number of learned hours from which their mean is used
	// as the reference, before that of the same hour of the day exists.
	warmUpHours = 2
	// cusumSlack and cusumThreshold are the parameters of the CUSUM test, in
	// standard deviations of an hourly value. With them a drift of 1% a day is
	// detected after 4.4 days in the test, and noise alone is expected to raise
	// a drift less than once in some years.
	cusumSlack     = 0.5
	cusumThreshold = 10
	// maxHourRise bounds what one hour adds to the CUSUM, in standard
	// deviations, so that an outage of two hours is not taken for a drift.
	maxHourRise = 3
	// recoveryHours is the number of consecutive ordinary hours that end a
	// drift. The CUSUM alone would show it for most of a day more.
	recoveryHours = 6
	// minDeviation is the smallest standard deviation assumed for an hourly
	// value.
	minDeviation = 0.02
)

// minute collects the calls of the current fast window.
type minute struct {
	start  time.Time
	logSum float64 // sum of the logarithms of the latencies
	count  int
	failed int
}

// window is one finished fast window.
type window struct {
	logLatency   float64 // mean logarithm of the latency
	failureShare float64 // share of failed calls
	valid        bool    // had enough calls
}

// subject is the service of one plan or pool.
type subject struct {
	current       minute
	windows       [slowWindowMinutes]window
	nextWindow    int
	filledWindows int

	hour          time.Time // start of the hour that is collected
	logLatencies  []float64 // of the current hour's minutes
	failureShares []float64

	// The reference is fixed after a day: one that follows the service would
	// follow a slow drift too.
	hourReference      [24]float64 // by hour of the day
	hasReference       [24]bool
	learnedHours       int
	failureReference   float64 // share of failed calls
	squaredDifferences float64 // sum, between successive minutes
	differenceCount    int
	cusum              float64
	cusumStarted       time.Time // when the CUSUM left zero
	ordinaryHours      int       // consecutive hours that lowered the CUSUM
	drifting           bool
	latencyRisen       time.Time // since when both windows show a rise; zero if they do not
	failuresRisen      time.Time // the same for the share of failed calls
}

func (s *subject) observe(now time.Time, took, unloaded time.Duration, ok bool) {
	s.advance(now)
	m := &s.current
	if !ok {
		m.failed++
		return
	}
	value := math.Log(max(took.Seconds(), 1e-6))
	if unloaded > 0 {
		value -= math.Log(max(unloaded.Seconds(), 1e-6))
	}
	m.logSum += value
	m.count++
}

// advance finishes the windows that have ended by now.
func (s *subject) advance(now time.Time) {
	if s.current.start.IsZero() {
		s.current.start = now.Truncate(fastWindow)
		s.hour = now.Truncate(time.Hour)
		return
	}
	for now.Sub(s.current.start) >= fastWindow {
		s.finishWindow()
		next := s.current.start.Add(fastWindow)
		if gap := now.Sub(next); gap > slowWindowMinutes*fastWindow {
			// No call was observed for longer than the slow window.
			next = now.Truncate(fastWindow)
			s.windows, s.filledWindows = [slowWindowMinutes]window{}, 0
		}
		if hour := next.Truncate(time.Hour); !hour.Equal(s.hour) {
			s.finishHour()
			s.hour = hour
		}
		s.current = minute{start: next}
	}
}

func (s *subject) finishWindow() {
	m := s.current
	w := window{valid: m.count+m.failed >= minCalls}
	if w.valid {
		w.failureShare = float64(m.failed) / float64(m.count+m.failed)
		if m.count > 0 {
			w.logLatency = m.logSum / float64(m.count)
			s.logLatencies = append(s.logLatencies, w.logLatency)
		} else {
			w.logLatency = math.NaN()
		}
		s.failureShares = append(s.failureShares, w.failureShare)
	}
	s.windows[s.nextWindow] = w
	s.nextWindow = (s.nextWindow + 1) % slowWindowMinutes
	s.filledWindows = min(s.filledWindows+1, slowWindowMinutes)
	s.checkSuddenRise(w)
}

// reference returns the reference for the given hour, if any is known.
func (s *subject) reference(hour time.Time) (float64, bool) {
	hourOfDay := hour.UTC().Hour()
	if s.hasReference[hourOfDay] {
		return s.hourReference[hourOfDay], true
	}
	if s.learnedHours < warmUpHours {
		return 0, false
	}
	sum, count := 0.0, 0
	for i, ok := range s.hasReference {
		if ok {
			sum += s.hourReference[i]
			count++
		}
	}
	return sum / float64(count), true
}

// checkSuddenRise compares the last fast window and the slow one with the
// reference.
func (s *subject) checkSuddenRise(last window) {
	past, ok := s.reference(s.hour)
	if !ok || !last.valid {
		return
	}
	var riseSum, failureSum float64
	count := 0
	for i := range s.filledWindows {
		w := s.windows[i]
		if !w.valid {
			continue
		}
		count++
		failureSum += w.failureShare
		if !math.IsNaN(w.logLatency) {
			riseSum += min(max(w.logLatency-past, -maxMinuteRise), maxMinuteRise)
		}
	}
	if count < slowWindowMinutes/4 {
		return // too few minutes to judge the slow window
	}
	windows := float64(count)
	risen := riseSum/windows > suddenRise && (math.IsNaN(last.logLatency) || last.logLatency-past > suddenRise)
	updateOnset(&s.latencyRisen, s.current.start, risen, !math.IsNaN(last.logLatency) && last.logLatency-past < suddenRise/2 && riseSum/windows < suddenRise)
	risen = failureSum/windows > s.failureReference+failureShareRise && last.failureShare > s.failureReference+failureShareRise
	updateOnset(&s.failuresRisen, s.current.start, risen, failureSum/windows < s.failureReference+failureShareRise)
}

// updateOnset sets onset to now when the condition begins to hold, and clears
// it when the condition is over.
func updateOnset(onset *time.Time, now time.Time, holds, over bool) {
	switch {
	case holds && onset.IsZero():
		*onset = now
	case over:
		*onset = time.Time{}
	}
}

// finishHour adds the hour to the reference or, once this is fixed, to the
// CUSUM. The median of the minutes leaves a short slow-down out.
func (s *subject) finishHour() {
	defer func() { s.logLatencies, s.failureShares = s.logLatencies[:0], s.failureShares[:0] }()
	if len(s.logLatencies) < slowWindowMinutes/4 {
		return
	}
	for i := 1; i < len(s.logLatencies); i++ {
		d := s.logLatencies[i] - s.logLatencies[i-1]
		if s.learnedHours < referenceHours {
			s.squaredDifferences += d * d
			s.differenceCount++
		}
	}
	medianLatency := median(s.logLatencies)
	hourOfDay := s.hour.UTC().Hour()
	if s.learnedHours < referenceHours {
		s.learnedHours++
		s.hourReference[hourOfDay], s.hasReference[hourOfDay] = medianLatency, true
		s.failureReference += (median(s.failureShares) - s.failureReference) / float64(s.learnedHours)
		return
	}
	past, ok := s.reference(s.hour)
	if !ok {
		return
	}
	// The standard deviation of a median of n minutes is about 1.25 times that
	// of their mean; the reference of one hour has the same deviation again.
	minuteDeviation := math.Sqrt(s.squaredDifferences / float64(max(s.differenceCount, 1)) / 2)
	deviation := max(1.25*math.Sqrt2*minuteDeviation/math.Sqrt(float64(len(s.logLatencies))), minDeviation)
	if s.cusum == 0 {
		s.cusumStarted = s.hour
	}
	rise := min((medianLatency-past)/deviation-cusumSlack, maxHourRise)
	s.cusum = min(max(s.cusum+rise, 0), 2*cusumThreshold)
	if rise < 0 {
		s.ordinaryHours++
	} else {
		s.ordinaryHours = 0
	}
	switch {
	case s.drifting && s.ordinaryHours >= recoveryHours:
		s.drifting, s.cusum = false, 0
	case s.cusum > cusumThreshold:
		s.drifting = true
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func (s *subject) degradations() []zinniapond.Degradation {
	var all []zinniapond.Degradation
	add := func(since time.Time, format string, args ...any) {
		all = append(all, zinniapond.Degradation{Reason: fmt.Sprintf(format, args...), Since: since})
	}
	if !s.latencyRisen.IsZero() {
		add(s.latencyRisen, "latency above %.1f times its past in the last minute and the last hour", math.Exp(suddenRise))
	}
	if !s.failuresRisen.IsZero() {
		add(s.failuresRisen, "share of failed calls more than %.0f%% above its past in the last minute and the last hour", 100*failureShareRise)
	}
	if s.drifting {
		add(s.cusumStarted, "latency has drifted up against the reference of its first day")
	}
	return all
}
