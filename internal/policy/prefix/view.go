package prefix

import (
	"net/netip"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"zinniapond.example/zinniapond"
)

const (
	shardCount = 16
	// blocksPerShard bounds the blocks remembered in each shard; 16 shards of
	// 4,096 blocks take about 10 MB.
	blocksPerShard = 4096
	// holdersPerBlock bounds the servers remembered for one block.
	holdersPerBlock = 3
)

// holder is a server that had a block in its cache at the given cache
// generation of the server.
type holder struct {
	server          netip.AddrPort
	cacheGeneration uint64
}

type indexShard struct {
	mu     sync.Mutex
	blocks *lru.LRU[uint64, []holder]
}

// cacheIndex records which servers have which prompt blocks in their caches, as
// far as own requests and cache events show. Of each prompt it stores the last
// block and those at powers of two: the next prompt of the program contains the
// last block, and a prompt with a common prefix contains some of the others.
type cacheIndex struct {
	shards [shardCount]indexShard
}

func newCacheIndex() *cacheIndex {
	v := &cacheIndex{}
	for i := range v.shards {
		// The size is a positive constant, so there is no error.
		v.shards[i].blocks, _ = lru.NewLRU[uint64, []holder](blocksPerShard, nil)
	}
	return v
}

func (v *cacheIndex) shard(block uint64) *indexShard { return &v.shards[block%shardCount] }

// add records that the server has the blocks of the prompt in its cache.
func (v *cacheIndex) add(prefix []uint64, h holder) {
	for length := 1; length < len(prefix); length *= 2 {
		v.addHolder(prefix[length-1], h)
	}
	if len(prefix) > 0 {
		v.addHolder(prefix[len(prefix)-1], h)
	}
}

func (v *cacheIndex) addHolder(block uint64, h holder) {
	p := v.shard(block)
	p.mu.Lock()
	defer p.mu.Unlock()
	old, _ := p.blocks.Get(block)
	// The slice is copied, as find reads the old one without the lock.
	merged := append(make([]holder, 0, holdersPerBlock), h)
	for _, o := range old {
		if o.server != h.server && len(merged) < holdersPerBlock {
			merged = append(merged, o)
		}
	}
	p.blocks.Add(block, merged)
}

// drop records that the server no longer has the block in its cache.
func (v *cacheIndex) drop(block uint64, server netip.AddrPort) {
	p := v.shard(block)
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.blocks.Peek(block)
	if !ok {
		return
	}
	remaining := make([]holder, 0, len(old))
	for _, o := range old {
		if o.server != server {
			remaining = append(remaining, o)
		}
	}
	if len(remaining) == 0 {
		p.blocks.Remove(block)
		return
	}
	p.blocks.Add(block, remaining)
}

// cacheHit is a holder with the size of the prefix of a prompt that it has
// cached.
type cacheHit struct {
	holder
	cached zinniapond.Tokens
}

// find returns the servers that have a prefix of the prompt cached, longest
// prefix first. It fills hits up to its capacity.
func (v *cacheIndex) find(need zinniapond.PickInfo, hits []cacheHit) []cacheHit {
	count := len(need.PrefixHashes)
	for i := count - 1; i >= 0 && len(hits) < cap(hits); i-- {
		p := v.shard(need.PrefixHashes[i])
		p.mu.Lock()
		hs, _ := p.blocks.Get(need.PrefixHashes[i])
		p.mu.Unlock()
		for _, h := range hs {
			if len(hits) < cap(hits) && !containsServer(hits, h.server) {
				hits = append(hits, cacheHit{h, need.PromptTokens * zinniapond.Tokens(i+1) / zinniapond.Tokens(count)})
			}
		}
	}
	return hits
}

func containsServer(hits []cacheHit, server netip.AddrPort) bool {
	for _, f := range hits {
		if f.server == server {
			return true
		}
	}
	return false
}
