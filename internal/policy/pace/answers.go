package pace

import (
	"math"
	"time"

	"zinniapond.example/zinniapond"
)

// setSum applies a sum and returns the answers to other hosts since the last one.
func (s *server) setSum(now time.Time, sum zinniapond.Load) (good, bad int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.inFlightAtLoad = sum.Count, now, s.inFlight
	switch {
	case float64(s.load) > s.bound/2:
		s.gain = max(s.gain/2, 1)
	case now.Sub(s.badAt) >= cautiousTime: // a replica that fails at once is idle too
		s.gain = min(s.gain*gainGrowth, maxGain)
	}
	// The sum has the answers that this host has reported, which are known already.
	next := tally{max(sum.Good-s.reported.good, 0), max(sum.Bad-s.reported.bad, 0)}
	good, bad = max(next.good-s.others.good, 0), max(next.bad-s.others.bad, 0)
	s.others = next
	return good, bad
}

// report returns the answers that this host has to report.
func (s *server) report(now time.Time) tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.ownAt) >= reportTime && !s.isBounded.Load() {
		s.own = tally{}
	}
	s.reported = s.own
	return s.own
}

// recordAnswer counts an answer and returns whether it is good or bad for this host.
func (s *server) recordAnswer(now time.Time, answer zinniapond.PaceAnswer) (good, bad int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isBounded := s.isBounded.Load()
	switch {
	case answer.Failed, answer.Refused && isBounded:
		bad = 1
	case answer.Refused:
		return 0, 0
	default:
		isGood, isSlow := s.pool.usual.judge(answer)
		if !isBounded && !answer.Unfinished {
			s.pool.usual.observe(answer)
		}
		// Other hosts may still need the answer after this one has seen enough.
		if isGood && (isBounded || now.Sub(s.endedAt) < reportTime) && !answer.Unfinished {
			good = 1
		}
		// A slow answer of a replica with many requests shows its load.
		isBusy := !isBounded && s.knownLoad() > s.slots/2
		if isSlow && !isBusy && now.Sub(s.listedAt) >= coldTime {
			bad = 1
		}
	}
	if bad > 0 && s.ownTrouble.add(now, 0) < maxOwnTrouble {
		s.ownTrouble.add(now, 1)
		s.own.bad, s.ownAt = s.own.bad+1, now
	}
	if good > 0 {
		s.own.good, s.ownAt = s.own.good+1, now
	}
	return good, bad
}

// learn adapts the bound to answers. It reports whether the replica is to be bounded,
// and a ramp-up that is over.
func (s *server) learn(now time.Time, good, bad int) (troubled bool, e ended, isOver bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bad > 0 {
		s.badAt, s.gain = now, 1
	}
	recent := s.trouble.add(now, float64(bad))
	if !s.isBounded.Load() {
		return bad > 0 && recent >= troubleAnswers, e, false
	}
	s.answers.good += good
	s.answers.bad += bad
	s.bound = max(s.bound*math.Pow(shrinkFactor, float64(bad)), 1)
	step := goodStep
	if now.Sub(s.badAt) < cautiousTime {
		step = cautiousStep
	}
	s.bound += min(step*float64(good), s.bound)
	age := now.Sub(s.begunAt)
	switch {
	case s.bound >= s.slots:
		e.reason = "good answers"
	case age >= longestRamp && now.Sub(s.badAt) >= quietTime:
		e.reason = "no bad answers"
	default:
		return false, e, false
	}
	s.stop()
	s.endedAt = now
	e.address, e.id, e.took, e.tally = s.address, s.id, age, s.answers
	return false, e, true
}
