package blame

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"zinniapond.example/zinniapond"
)

const (
	// finishShards is the number of parts of the finishes, each under its own lock.
	finishShards = 16
	// maxFinishes bounds the finishes of one part.
	maxFinishes = 512
)

// finishes has the last finish of each request of this host, before any replica ends with
// it. Its zero value is ready for use.
type finishes struct {
	shards [finishShards]finishShard
}

type finishShard struct {
	mu   sync.Mutex
	last *simplelru.LRU[zinniapond.Digest, time.Time]
}

func (f *finishes) shard(request zinniapond.Digest) *finishShard {
	return &f.shards[request%finishShards]
}

func (f *finishes) record(now time.Time, request zinniapond.Digest) {
	s := f.shard(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last, _ = simplelru.NewLRU[zinniapond.Digest, time.Time](maxFinishes, nil) // fails only for a size of 0
	}
	s.last.Add(request, now)
}

// last returns when a request has finished last; false if not within memory.
func (f *finishes) last(now time.Time, request zinniapond.Digest) (time.Time, bool) {
	s := f.shard(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		return time.Time{}, false
	}
	at, ok := s.last.Peek(request)
	return at, ok && now.Sub(at) < memory
}
