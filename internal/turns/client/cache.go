package client

import (
	"hash/maphash"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"zinniapond.example/zinniapond"
)

const (
	cacheShards = 16
	// maxShardTurns bounds the turns in one shard; their bytes are bounded as well.
	maxShardTurns = 4096
	// defaultCacheBytes is the default size limit of all shards together, in bytes.
	defaultCacheBytes = 16 << 20
)

// cache is a sharded LRU cache of turns that were written or read. Turns are
// immutable, so entries never become stale. Each shard has its own lock.
type cache struct {
	once   sync.Once
	seed   maphash.Seed
	shards [cacheShards]cacheShard
}

type cacheShard struct {
	mu    sync.Mutex
	turns *lru.LRU[zinniapond.TurnID, zinniapond.Turn]
	bytes int64
}

func (c *cache) shard(id zinniapond.TurnID) *cacheShard {
	c.once.Do(func() {
		c.seed = maphash.MakeSeed()
		for i := range c.shards {
			p := &c.shards[i]
			// The size is a positive constant, so there is no error.
			p.turns, _ = lru.NewLRU(maxShardTurns, func(_ zinniapond.TurnID, t zinniapond.Turn) { p.bytes -= turnSize(t) })
		}
	})
	return &c.shards[maphash.Comparable(c.seed, id)%cacheShards]
}

func turnSize(t zinniapond.Turn) int64 {
	return int64(len(t.Input) + len(t.Output) + len(t.Chain)*24 + 128)
}

func (c *cache) get(id zinniapond.TurnID) (zinniapond.Turn, bool) {
	p := c.shard(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.turns.Get(id)
}

func (c *cache) add(t zinniapond.Turn, maxBytes int64) {
	if maxBytes <= 0 {
		maxBytes = defaultCacheBytes
	}
	p := c.shard(t.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.turns.Contains(t.ID) {
		return
	}
	p.turns.Add(t.ID, t)
	p.bytes += turnSize(t)
	for p.bytes > maxBytes/cacheShards && p.turns.Len() > 0 {
		p.turns.RemoveOldest()
	}
}
