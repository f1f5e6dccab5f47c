package engine

import (
	"math"
	"time"

	"zinniapond.example/zinniapond"
)

// job is one request in the engine.
type job struct {
	attempt zinniapond.AttemptID
	need    zinniapond.Need
	number  uint64 // order of arrival
	usage   zinniapond.Usage
	// fresh is the part of the prompt that is still to be prefilled, made the
	// part of the answer that has been generated, both in tokens.
	fresh, made float64
	decoding    bool
	done        bool
	ended       time.Time
	cancelled   bool
}

// before tells whether a is served before b.
func (j *job) before(o *job) bool {
	if j.need.Class != o.need.Class {
		return j.need.Class < o.need.Class
	}
	return j.number < o.number
}

// batch is the continuous batch: one prompt is prefilled at a time, and all
// others of the batch generate at the same speed, which falls with their
// number.
type batch struct {
	clock   time.Time
	running []*job
	waiting []*job
}

// prefilling returns the job whose prompt is prefilled, or nil.
func (b *batch) prefilling() *job {
	var first *job
	for _, j := range b.running {
		if !j.decoding && (first == nil || j.before(first)) {
			first = j
		}
	}
	return first
}

// next returns the job that leaves the wait first.
func (b *batch) next() int {
	at := -1
	for i, j := range b.waiting {
		if at < 0 || j.before(b.waiting[at]) {
			at = i
		}
	}
	return at
}

// speeds returns the present speeds of prefill and of generation, for each
// request, in tokens per second.
func (s *Server) speeds() (prefill, decode float64) {
	if s.hang {
		return 0, 0
	}
	decoding := 0
	for _, j := range s.batch.running {
		if j.decoding {
			decoding++
		}
	}
	return s.Prefill / s.slow, s.Decode / s.slow / (1 + float64(decoding)/s.Knee)
}

// admit fills free slots from the waiting jobs.
func (s *Server) admit() {
	b := &s.batch
	for len(b.running) < s.Slots && len(b.waiting) > 0 {
		at := b.next()
		j := b.waiting[at]
		b.waiting = append(b.waiting[:at], b.waiting[at+1:]...)
		j.usage.Cached = min(s.cache.cached(j.need.Prefix), j.need.Prompt)
		j.fresh = float64(max(j.need.Prompt-j.usage.Cached, 1))
		b.running = append(b.running, j)
	}
}

// pending returns the next job to change and the time until then, or nil.
func (s *Server) pending() (*job, time.Duration) {
	prefill, decode := s.speeds()
	if prefill == 0 {
		return nil, 0
	}
	var first *job
	least := math.Inf(1)
	if j := s.batch.prefilling(); j != nil {
		first, least = j, j.fresh/prefill
	}
	for _, j := range s.batch.running {
		if !j.decoding {
			continue
		}
		if left := (float64(j.usage.Generated) - j.made) / decode; left < least {
			first, least = j, left
		}
	}
	if first == nil {
		return nil, 0
	}
	return first, time.Duration(math.Ceil(max(least, 0) * float64(time.Second)))
}

// progress moves all running jobs on by the given time.
func (s *Server) progress(span time.Duration) {
	prefill, decode := s.speeds()
	first := s.batch.prefilling()
	for _, j := range s.batch.running {
		switch {
		case j.decoding:
			j.made = min(j.made+decode*span.Seconds(), float64(j.usage.Generated))
		case j == first:
			j.fresh -= prefill * span.Seconds()
		}
	}
	s.batch.clock = s.batch.clock.Add(span)
}

// advance brings the engine to now and tells of each first token and each end.
func (s *Server) advance(now time.Time, tell func(at time.Time, j *job)) {
	b := &s.batch
	if b.clock.IsZero() {
		b.clock = now
	}
	for b.clock.Before(now) || s.due() {
		s.admit()
		j, span := s.pending()
		if j == nil || b.clock.Add(span).After(now) {
			break
		}
		s.progress(span)
		if !j.decoding {
			j.decoding = true
			s.cache.use(b.clock, j.need.Program, j.need.Prefix)
		} else {
			s.leave(j)
		}
		tell(b.clock, j)
		s.snap()
	}
	if b.clock.Before(now) {
		s.progress(now.Sub(b.clock))
	}
	s.admit()
	s.snap()
}

// due tells whether a job changes at once.
func (s *Server) due() bool {
	s.admit()
	j, span := s.pending()
	return j != nil && span == 0
}

func (s *Server) leave(j *job) {
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

// snap records what a load report will say, at most twice a second.
func (s *Server) snap() {
	at := s.batch.clock
	if n := len(s.snaps); n > 0 && at.Sub(s.snaps[n-1].Taken) < 500*time.Millisecond {
		return
	}
	report := zinniapond.LoadReport{
		Backend: s.Address, Taken: at,
		Running: len(s.batch.running), Waiting: len(s.batch.waiting),
		Programs: sortedKeys(s.cache.programs),
	}
	s.snaps = append(s.snaps, report)
	for len(s.snaps) > 2 && !s.snaps[1].Taken.After(at.Add(-s.Lag)) {
		s.snaps = s.snaps[1:]
	}
}
