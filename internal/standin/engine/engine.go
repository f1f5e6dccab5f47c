// Package engine is a stand-in for a model engine: continuous batching, a
// limited prefix cache, priorities, late load reports, cache events with gaps,
// and orders. It is deterministic from its seed and its requests. It runs by
// the clock behind HTTP, or step by step in the time of an experiment.
package engine

import (
	"container/list"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

// resumable is how long a finished request can still be asked for by its id.
const resumable = 30 * time.Second

// Server is a stand-in engine. Its exported fields are set before the first
// use; those left zero get the values of a small engine.
type Server struct {
	Address netip.AddrPort
	Model   zinniapond.PoolName // the one it holds at first
	Slots   int                 // requests in the batch
	Prefill float64             // tokens per second
	Decode  float64             // tokens per second of one request alone
	// Knee is the number of requests at which each generates half as fast.
	Knee   float64
	Memory zinniapond.Tokens // of the prefix cache
	// Lag is the age of load reports and cache events.
	Lag time.Duration
	// Gap is the share of cache events that are lost.
	Gap float64
	// Fences makes it refuse orders with an old fencing number.
	Fences bool
	Seed   uint64
	// Clock gives the time of HTTP requests; the system's if nil.
	Clock func() time.Time

	mu      sync.Mutex
	ready   bool
	routes  http.Handler
	batch   batch
	cache   cache
	jobs    map[zinniapond.AttemptID]*job
	numbers uint64
	snaps   []zinniapond.LoadReport
	fence   zinniapond.Index
	slow    float64
	leaving bool
	hang    bool
	changed chan struct{} // closed when a request ends early or speeds change
}

func (s *Server) prepare() {
	if s.ready {
		return
	}
	s.ready = true
	setDefault(&s.Slots, 16)
	setDefault(&s.Prefill, 8000)
	setDefault(&s.Decode, 60)
	setDefault(&s.Knee, 32)
	setDefault(&s.Memory, 400_000)
	setDefault(&s.Lag, time.Second)
	s.slow = 1
	s.jobs = make(map[zinniapond.AttemptID]*job)
	s.changed = make(chan struct{})
	s.cache = cache{
		size:     int(s.Memory / blockTokens),
		blocks:   make(map[uint64]*list.Element),
		programs: make(map[zinniapond.ProgramID]int),
		random:   rand.New(rand.NewPCG(s.Seed, 2)),
		gap:      s.Gap, lag: s.Lag, address: s.Address,
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Begin takes a request that will generate need.Most tokens. An attempt that
// is already known is not begun again. It returns false if the server leaves.
func (s *Server) Begin(now time.Time, attempt zinniapond.AttemptID, need zinniapond.Need) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	return s.begin(now, attempt, need) != nil
}

func (s *Server) begin(now time.Time, attempt zinniapond.AttemptID, need zinniapond.Need) *job {
	if j, ok := s.jobs[attempt]; ok {
		return j
	}
	if s.leaving {
		return nil
	}
	s.advance(now, func(time.Time, *job) {})
	s.numbers++
	j := &job{
		attempt: attempt, need: need, number: s.numbers,
		usage: zinniapond.Usage{Prompt: need.Prompt, Generated: max(need.Most, 1)},
	}
	s.jobs[attempt] = j
	s.batch.waiting = append(s.batch.waiting, j)
	s.admit()
	return j
}

// Cancel ends a request without an answer.
func (s *Server) Cancel(now time.Time, attempt zinniapond.AttemptID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	return s.cancel(now, attempt)
}

func (s *Server) cancel(now time.Time, attempt zinniapond.AttemptID) bool {
	j, ok := s.jobs[attempt]
	if !ok || j.done {
		return false
	}
	s.advance(now, func(time.Time, *job) {})
	j.cancelled = true
	s.leave(j)
	delete(s.jobs, attempt)
	s.admit()
	s.wake()
	return true
}

// Advance brings the engine to now. It tells of the first token and of the end
// of each request, with the instant; the answer is empty before the end.
func (s *Server) Advance(now time.Time, tell func(at time.Time, attempt zinniapond.AttemptID, usage zinniapond.Usage, answer string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	s.advance(now, func(at time.Time, j *job) {
		if !j.done {
			tell(at, j.attempt, j.usage, "")
			return
		}
		delete(s.jobs, j.attempt)
		tell(at, j.attempt, j.usage, s.Answer(j.need))
	})
}

// Answer is the answer to a request begun by Begin: a function of its prompt.
func (s *Server) Answer(need zinniapond.Need) string {
	var sum uint64
	if len(need.Prefix) > 0 {
		sum = need.Prefix[len(need.Prefix)-1]
	}
	return text(sum+uint64(need.Prompt), 0, int(need.Most))
}

// Next returns the instant of the next first token or end of a request.
func (s *Server) Next() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	j, span := s.pending()
	return s.batch.clock.Add(span), j != nil
}

// Set changes the speed by the given factor, whether the server is leaving, and
// whether it hangs.
func (s *Server) Set(now time.Time, slow float64, leaving, hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	s.set(now, slow, leaving, hang)
}

func (s *Server) set(now time.Time, slow float64, leaving, hang bool) {
	s.advance(now, func(time.Time, *job) {})
	s.slow = max(slow, 0.01)
	s.leaving, s.hang = leaving, hang
	s.wake()
}

// Release drops the program's blocks.
func (s *Server) Release(now time.Time, program zinniapond.ProgramID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	s.cache.release(now, program)
}

// Held is the cache that only the program has used.
func (s *Server) Held(program zinniapond.ProgramID) zinniapond.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	return zinniapond.Tokens(s.cache.programs[program] * blockTokens)
}

// Report returns the load report that is visible at now.
func (s *Server) Report(now time.Time) zinniapond.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	report := zinniapond.LoadReport{Backend: s.Address, Taken: now.Add(-s.Lag)}
	for _, r := range s.snaps {
		if !r.Taken.After(now.Add(-s.Lag)) {
			report = r
		}
	}
	return report
}

// Events returns the cache events visible at now, from a sequence number on.
func (s *Server) Events(now time.Time, from uint64) []zinniapond.CacheEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	return s.cache.since(now, from)
}

// wake tells waiting handlers to look again.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// text returns the first tokens of the answer to a prompt. It is a function of
// the prompt, so that an answer given to the wrong caller shows.
func text(prompt uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		x := (prompt + uint64(i)) * 0x9e3779b97f4a7c15
		for range 4 {
			b.WriteByte('a' + byte(x>>59)%26)
			x <<= 5
		}
		b.WriteByte(' ')
	}
	return b.String()
}

// hashes returns the size of a prompt in tokens of four bytes, the cumulative
// hashes of its whole blocks, and the hash of all of it.
func hashes(prompt []byte) (zinniapond.Tokens, []uint64, uint64) {
	const size = 4 * blockTokens
	digest := xxhash.New()
	var prefix []uint64
	for at := 0; at < len(prompt); at += size {
		end := min(at+size, len(prompt))
		_, _ = digest.Write(prompt[at:end]) // never fails
		if end == at+size {
			prefix = append(prefix, digest.Sum64())
		}
	}
	return zinniapond.Tokens((len(prompt) + 3) / 4), prefix, digest.Sum64()
}

func sortedKeys(m map[zinniapond.ProgramID]int) []zinniapond.ProgramID {
	return slices.Sorted(maps.Keys(m))
}
