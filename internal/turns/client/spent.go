package client

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"zinniapond.example/zinniapond"
)

const (
	// maxSettledPrograms bounds the number of programs in the cache.
	maxSettledPrograms = 4096
	// settledTTL is how long a sum is cached. It is shorter than the retention of
	// spends on the disks.
	settledTTL = zinniapond.SpendRetention / 2
)

// settledCache has the sums of settled tokens of programs that were refused a
// reservation. A program's sum never decreases, so further requests over the
// budget are refused without asking the disks. Programs in a loop send many such
// requests.
type settledCache struct {
	mu   sync.Mutex
	sums *lru.LRU[zinniapond.ProgramID, settledSum]
}

// settledSum is the number of tokens that a program had settled at an instant.
type settledSum struct {
	sum zinniapond.Tokens
	at  time.Time
}

// get returns a lower bound of the tokens that a program has spent.
func (s *settledCache) get(now time.Time, program zinniapond.ProgramID) zinniapond.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sums == nil {
		return 0
	}
	if entry, ok := s.sums.Get(program); ok && now.Sub(entry.at) < settledTTL {
		return entry.sum
	}
	return 0
}

func (s *settledCache) set(now time.Time, program zinniapond.ProgramID, sum zinniapond.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sums == nil {
		// The size is a positive constant, so there is no error.
		s.sums, _ = lru.NewLRU[zinniapond.ProgramID, settledSum](maxSettledPrograms, nil)
	}
	s.sums.Add(program, settledSum{sum, now})
}
