package client

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"zinniapond.example/zinniapond"
)

const (
	// spentMost bounds the programs whose settled spends are remembered.
	spentMost = 4096
	// spentAge is how long they are: for less than the disks keep them.
	spentAge = zinniapond.SpendRetention / 2
)

// spent has what programs that have asked for more than their budget had settled
// by then. It never gets less, so that a program that goes on asking is refused
// without a request to the disks. Programs that loop ask many times.
type spent struct {
	mu   sync.Mutex
	sums *lru.LRU[zinniapond.ProgramID, settled]
}

// settled is what a program had settled at an instant.
type settled struct {
	sum zinniapond.Tokens
	at  time.Time
}

// get returns the least that a program has certainly spent.
func (s *spent) get(now time.Time, program zinniapond.ProgramID) zinniapond.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sums == nil {
		return 0
	}
	if have, ok := s.sums.Get(program); ok && now.Sub(have.at) < spentAge {
		return have.sum
	}
	return 0
}

func (s *spent) set(now time.Time, program zinniapond.ProgramID, sum zinniapond.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sums == nil {
		// The size is a positive constant, so there is no error.
		s.sums, _ = lru.NewLRU[zinniapond.ProgramID, settled](spentMost, nil)
	}
	s.sums.Add(program, settled{sum, now})
}
