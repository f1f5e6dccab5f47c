package engine

import (
	"math"
	"time"

	"zinniapond.example/zinniapond"
)

// job is one request in the engine.
type job struct {
	attempt       zinniapond.AttemptID
	need          zinniapond.PickInfo
	arrivalNumber uint64 // order of arrival
	usage         zinniapond.Usage
	// unprefilled is the part of the prompt that is still to be prefilled,
	// generated the part of the answer that has been generated, both in tokens.
	unprefilled, generated float64
	decoding               bool
	done                   bool
	ended                  time.Time
	cancelled              bool
}

// precedes reports whether j is served before o: by class, then by arrival.
func (j *job) precedes(o *job) bool {
	if j.need.Class != o.need.Class {
		return j.need.Class < o.need.Class
	}
	return j.arrivalNumber < o.arrivalNumber
}

// batch is the state of continuous batching: one prompt is prefilled at a time,
// and all other requests of the batch generate at the same speed, which falls
// with their number.
type batch struct {
	clock   time.Time // instant up to which the engine is simulated
	running []*job
	waiting []*job
}

// prefillingJob returns the job whose prompt is being prefilled, or nil.
func (b *batch) prefillingJob() *job {
	var first *job
	for _, j := range b.running {
		if !j.decoding && (first == nil || j.precedes(first)) {
			first = j
		}
	}
	return first
}

// nextWaiting returns the index of the waiting job that is admitted next, or
// -1.
func (b *batch) nextWaiting() int {
	index := -1
	for i, j := range b.waiting {
		if index < 0 || j.precedes(b.waiting[index]) {
			index = i
		}
	}
	return index
}

// tokenRates returns the present speeds of prefill and of generation, the
// latter for each request, in tokens per second.
func (s *Server) tokenRates() (prefill, decode float64) {
	if s.hanging {
		return 0, 0
	}
	decoding := 0
	for _, j := range s.batch.running {
		if j.decoding {
			decoding++
		}
	}
	return s.PrefillRate / s.slowdown, s.DecodeRate / s.slowdown / (1 + float64(decoding)/s.HalfSpeedRequests)
}

// admit moves waiting jobs into free slots of the batch.
func (s *Server) admit() {
	b := &s.batch
	for len(b.running) < s.Slots && len(b.waiting) > 0 {
		index := b.nextWaiting()
		j := b.waiting[index]
		b.waiting = append(b.waiting[:index], b.waiting[index+1:]...)
		j.usage.Cached = min(s.cache.cachedTokens(j.need.PrefixHashes), j.need.PromptTokens)
		j.unprefilled = float64(max(j.need.PromptTokens-j.usage.Cached, 1))
		b.running = append(b.running, j)
	}
}

// nextChange returns the job that ends its prefill or its answer next, and the
// time until then. The job is nil if the engine hangs or runs nothing.
func (s *Server) nextChange() (*job, time.Duration) {
	prefill, decode := s.tokenRates()
	if prefill == 0 {
		return nil, 0
	}
	var first *job
	shortest := math.Inf(1)
	if j := s.batch.prefillingJob(); j != nil {
		first, shortest = j, j.unprefilled/prefill
	}
	for _, j := range s.batch.running {
		if !j.decoding {
			continue
		}
		if remaining := (float64(j.usage.Generated) - j.generated) / decode; remaining < shortest {
			first, shortest = j, remaining
		}
	}
	if first == nil {
		return nil, 0
	}
	return first, time.Duration(math.Ceil(max(shortest, 0) * float64(time.Second)))
}

// advanceJobs moves all running jobs forward by the given time.
func (s *Server) advanceJobs(span time.Duration) {
	prefill, decode := s.tokenRates()
	first := s.batch.prefillingJob()
	for _, j := range s.batch.running {
		switch {
		case j.decoding:
			j.generated = min(j.generated+decode*span.Seconds(), float64(j.usage.Generated))
		case j == first:
			j.unprefilled -= prefill * span.Seconds()
		}
	}
	s.batch.clock = s.batch.clock.Add(span)
}

// advance advances the engine to now and calls notify at the first token and at
// the end of each job.
func (s *Server) advance(now time.Time, notify func(at time.Time, j *job)) {
	b := &s.batch
	if b.clock.IsZero() {
		b.clock = now
	}
	for b.clock.Before(now) || s.hasImmediateChange() {
		s.admit()
		j, span := s.nextChange()
		if j == nil || b.clock.Add(span).After(now) {
			break
		}
		s.advanceJobs(span)
		if !j.decoding {
			j.decoding = true
			s.cache.insert(b.clock, j.need.Program, j.need.PrefixHashes)
		} else {
			s.removeJob(j)
		}
		notify(b.clock, j)
		s.recordReport()
	}
	if b.clock.Before(now) {
		s.advanceJobs(now.Sub(b.clock))
	}
	s.admit()
	s.recordReport()
}

// hasImmediateChange reports whether a job ends its prefill or its answer at
// the present instant.
func (s *Server) hasImmediateChange() bool {
	s.admit()
	j, span := s.nextChange()
	return j != nil && span == 0
}

// removeJob ends a job and takes it out of the batch or the queue.
func (s *Server) removeJob(j *job) {
	b := &s.batch
	j.done, j.ended = true, b.clock
	for i, o := range b.running {
		if o == j {
			b.running = append(b.running[:i], b.running[i+1:]...)
			break
		}
	}
	for i, o := range b.waiting {
		if o == j {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
}

// recordReport records a load report, at most twice a second, and deletes
// reports that newer visible ones replace.
func (s *Server) recordReport() {
	at := s.batch.clock
	if n := len(s.reports); n > 0 && at.Sub(s.reports[n-1].TakenAt) < 500*time.Millisecond {
		return
	}
	report := zinniapond.LoadReport{
		Backend: s.Address, TakenAt: at,
		RunningCalls: len(s.batch.running), WaitingCalls: len(s.batch.waiting),
		Programs: sortedKeys(s.cache.exclusiveBlocks),
	}
	s.reports = append(s.reports, report)
	for len(s.reports) > 2 && !s.reports[1].TakenAt.After(at.Add(-s.Lag)) {
		s.reports = s.reports[1:]
	}
}
