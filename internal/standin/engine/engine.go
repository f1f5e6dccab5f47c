// Package engine simulates a model engine: continuous batching, a prefix cache
// of limited size, priorities, delayed load reports, cache events of which some
// are lost, and orders to load or unload a model. Equal seeds and equal
// requests give equal results. The engine runs in real time behind HTTP, or is
// advanced step by step in the simulated time of an experiment.
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

// resumable is how long the answer to a finished request can still be fetched
// by the request's id.
const resumable = 30 * time.Second

// Server is a simulated engine. Its exported fields are set before the first
// use; sizes, speeds and the lag get the values of a small engine if they are
// zero.
type Server struct {
	Address     netip.AddrPort
	Model       zinniapond.PoolName // loaded at first; orders change it
	Slots       int                 // requests in the batch at once
	PrefillRate float64             // prompt tokens per second
	DecodeRate  float64             // generated tokens per second of one request alone
	// HalfSpeedRequests is the number of generating requests at which each of
	// them generates half as fast as one request alone.
	HalfSpeedRequests float64
	CacheTokens       zinniapond.Tokens // size of the prefix cache
	// Lag is the delay after which load reports and cache events become
	// visible.
	Lag time.Duration
	// EventLossRate is the share of cache events that are lost, from 0 to 1.
	EventLossRate float64
	// ChecksFence makes the server refuse orders whose fencing number is lower
	// than the highest one that it has seen.
	ChecksFence bool
	Seed        uint64
	// Clock gives the time of HTTP requests; nil means the system clock.
	Clock func() time.Time

	mu           sync.Mutex
	initialised  bool
	routes       http.Handler
	batch        batch
	cache        cache
	jobs         map[zinniapond.AttemptID]*job
	lastNumber   uint64
	reports      []zinniapond.LoadReport
	highestFence zinniapond.Index
	slowdown     float64
	leaving      bool
	hanging      bool
	changed      chan struct{} // closed and replaced when a request is cancelled or speeds change
}

func (s *Server) initialise() {
	if s.initialised {
		return
	}
	s.initialised = true
	setDefault(&s.Slots, 16)
	setDefault(&s.PrefillRate, 8000)
	setDefault(&s.DecodeRate, 60)
	setDefault(&s.HalfSpeedRequests, 32)
	setDefault(&s.CacheTokens, 400_000)
	setDefault(&s.Lag, time.Second)
	s.slowdown = 1
	s.jobs = make(map[zinniapond.AttemptID]*job)
	s.changed = make(chan struct{})
	s.cache = cache{
		capacity:        int(s.CacheTokens / blockTokens),
		blocks:          make(map[uint64]*list.Element),
		exclusiveBlocks: make(map[zinniapond.ProgramID]int),
		random:          rand.New(rand.NewPCG(s.Seed, 2)),
		lossRate:        s.EventLossRate, lag: s.Lag, address: s.Address,
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Submit queues a request that will generate need.MaxGenerated tokens. It has
// no effect if the attempt is already known. It returns false if the attempt
// is new and the server is leaving.
func (s *Server) Submit(now time.Time, attempt zinniapond.AttemptID, need zinniapond.PickInfo) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialise()
	return s.submit(now, attempt, need) != nil
}

func (s *Server) submit(now time.Time, attempt zinniapond.AttemptID, need zinniapond.PickInfo) *job {
	if j, ok := s.jobs[attempt]; ok {
		return j
	}
	if s.leaving {
		return nil
	}
	s.advance(now, func(time.Time, *job) {})
	s.lastNumber++
	j := &job{
		attempt: attempt, need: need, arrivalNumber: s.lastNumber,
		usage: zinniapond.Usage{Prompt: need.PromptTokens, Generated: max(need.MaxGenerated, 1)},
	}
	s.jobs[attempt] = j
	s.batch.waiting = append(s.batch.waiting, j)
	s.admit()
	return j
}

// Cancel ends a request without an answer. It returns false if the attempt is
// unknown or has ended.
func (s *Server) Cancel(now time.Time, attempt zinniapond.AttemptID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialise()
	return s.cancel(now, attempt)
}

func (s *Server) cancel(now time.Time, attempt zinniapond.AttemptID) bool {
	j, ok := s.jobs[attempt]
	if !ok || j.done {
		return false
	}
	s.advance(now, func(time.Time, *job) {})
	j.cancelled = true
	s.removeJob(j)
	delete(s.jobs, attempt)
	s.admit()
	s.notifyHandlers()
	return true
}

// Advance advances the engine to now. It calls notify at the first token and at
// the end of each request, with the instant of either; the answer is empty at
// the first token.
func (s *Server) Advance(now time.Time, notify func(at time.Time, attempt zinniapond.AttemptID, usage zinniapond.Usage, answer string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialise()
	s.advance(now, func(at time.Time, j *job) {
		if !j.done {
			notify(at, j.attempt, j.usage, "")
			return
		}
		delete(s.jobs, j.attempt)
		notify(at, j.attempt, j.usage, s.Answer(j.need))
	})
}

// Answer returns the answer to a request that was submitted with Submit. The
// answer is a function of the prompt and of need.MaxGenerated.
func (s *Server) Answer(need zinniapond.PickInfo) string {
	var sum uint64
	if len(need.PrefixHashes) > 0 {
		sum = need.PrefixHashes[len(need.PrefixHashes)-1]
	}
	return answerText(sum+uint64(need.PromptTokens), 0, int(need.MaxGenerated))
}

// NextEvent returns the instant at which the next request gets its first
// token or ends, and false if no request makes progress.
func (s *Server) NextEvent() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialise()
	j, span := s.nextChange()
	return s.batch.clock.Add(span), j != nil
}

// SetFaults changes the state of the server: slow divides its speeds, leaving
// makes it refuse new requests, and hang stops the progress of all requests.
func (s *Server) SetFaults(now time.Time, slow float64, leaving, hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialise()
	s.setFaults(now, slow, leaving, hang)
}

func (s *Server) setFaults(now time.Time, slow float64, leaving, hang bool) {
	s.advance(now, func(time.Time, *job) {})
	s.slowdown = max(slow, 0.01)
	s.leaving, s.hanging = leaving, hang
	s.notifyHandlers()
}

// Release removes the cache blocks that only the program has used.
func (s *Server) Release(now time.Time, program zinniapond.ProgramID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialise()
	s.cache.release(now, program)
}

// ExclusiveTokens returns the size of the cache blocks that only the program
// has used.
func (s *Server) ExclusiveTokens(program zinniapond.ProgramID) zinniapond.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	return zinniapond.Tokens(s.cache.exclusiveBlocks[program] * blockTokens)
}

// Report returns the latest load report that is visible at now, or an empty one
// if there is none.
func (s *Server) Report(now time.Time) zinniapond.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialise()
	report := zinniapond.LoadReport{Backend: s.Address, TakenAt: now.Add(-s.Lag)}
	for _, r := range s.reports {
		if !r.TakenAt.After(now.Add(-s.Lag)) {
			report = r
		}
	}
	return report
}

// Events returns the cache events that are visible at now and have the given
// sequence number or a later one.
func (s *Server) Events(now time.Time, from uint64) []zinniapond.CacheEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialise()
	return s.cache.eventsFrom(now, from)
}

// notifyHandlers makes waiting handlers check their requests again.
func (s *Server) notifyHandlers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answerText returns the given range of tokens of the answer to a prompt. The
// text is a function of the prompt, so that tests detect an answer that was
// given to the wrong caller.
func answerText(prompt uint64, from, to int) string {
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

// hashPrompt returns the size of a prompt in tokens of four bytes, the
// cumulative hashes of its whole blocks, and the hash of the whole prompt.
func hashPrompt(prompt []byte) (zinniapond.Tokens, []uint64, uint64) {
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
