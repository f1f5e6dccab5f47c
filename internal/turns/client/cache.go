package client

import (
	"hash/maphash"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"zinniapond.example/zinniapond"
)

const (
	cacheParts = 16
	// cacheTurns bounds the turns in one part; their bytes are bounded as well.
	cacheTurns = 4096
	// cacheMost is the default bound of all parts in bytes.
	cacheMost = 16 << 20
)

// cache has the turns that were kept or read last. Turns never change, so that
// nothing in it is ever stale. Each part has a lock of its own.
type cache struct {
	once  sync.Once
	seed  maphash.Seed
	parts [cacheParts]cachePartition
}

type cachePartition struct {
	mu    sync.Mutex
	turns *lru.LRU[zinniapond.TurnID, zinniapond.Turn]
	bytes int64
}

func (c *cache) part(id zinniapond.TurnID) *cachePartition {
	c.once.Do(func() {
		c.seed = maphash.MakeSeed()
		for i := range c.parts {
			p := &c.parts[i]
			// The size is a positive constant, so there is no error.
			p.turns, _ = lru.NewLRU(cacheTurns, func(_ zinniapond.TurnID, t zinniapond.Turn) { p.bytes -= size(t) })
		}
	})
	return &c.parts[maphash.Comparable(c.seed, id)%cacheParts]
}

func size(t zinniapond.Turn) int64 {
	return int64(len(t.Input) + len(t.Output) + len(t.Chain)*24 + 128)
}

func (c *cache) get(id zinniapond.TurnID) (zinniapond.Turn, bool) {
	p := c.part(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.turns.Get(id)
}

func (c *cache) add(t zinniapond.Turn, most int64) {
	if most <= 0 {
		most = cacheMost
	}
	p := c.part(t.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.turns.Contains(t.ID) {
		return
	}
	p.turns.Add(t.ID, t)
	p.bytes += size(t)
	for p.bytes > most/cacheParts && p.turns.Len() > 0 {
		p.turns.RemoveOldest()
	}
}
