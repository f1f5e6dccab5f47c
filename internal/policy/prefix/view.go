package prefix

import (
	"net/netip"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"zinniapond.example/zinniapond"
)

const (
	shards = 16
	// kept bounds the blocks remembered in each shard; 16 shards of 4,096
	// blocks take about 10 MB.
	kept = 4096
	// copies bounds the servers remembered for one block.
	copies = 3
)

// holder is a server that had a block in its cache when round was current.
type holder struct {
	server netip.AddrPort
	round  uint64
}

type part struct {
	mu     sync.Mutex
	blocks *lru.LRU[uint64, []holder]
}

// view says which servers have which prompt blocks in their caches, as far as
// own requests and cache events show. Of each prompt it remembers the last
// block and those at powers of two: the next prompt of the program contains
// the first, and a prompt with a common beginning some of the others.
type view struct {
	parts [shards]part
}

func newView() *view {
	v := &view{}
	for i := range v.parts {
		// The size is a positive constant, so there is no error.
		v.parts[i].blocks, _ = lru.NewLRU[uint64, []holder](kept, nil)
	}
	return v
}

func (v *view) part(block uint64) *part { return &v.parts[block%shards] }

// add records that the server has the blocks of the prompt.
func (v *view) add(prefix []uint64, h holder) {
	for at := 1; at < len(prefix); at *= 2 {
		v.set(prefix[at-1], h)
	}
	if len(prefix) > 0 {
		v.set(prefix[len(prefix)-1], h)
	}
}

func (v *view) set(block uint64, h holder) {
	p := v.part(block)
	p.mu.Lock()
	defer p.mu.Unlock()
	old, _ := p.blocks.Get(block)
	// A new slice: find hands the old one out.
	next := append(make([]holder, 0, copies), h)
	for _, o := range old {
		if o.server != h.server && len(next) < copies {
			next = append(next, o)
		}
	}
	p.blocks.Add(block, next)
}

// drop records that the server no longer has a block.
func (v *view) drop(block uint64, server netip.AddrPort) {
	p := v.part(block)
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.blocks.Peek(block)
	if !ok {
		return
	}
	next := make([]holder, 0, len(old))
	for _, o := range old {
		if o.server != server {
			next = append(next, o)
		}
	}
	if len(next) == 0 {
		p.blocks.Remove(block)
		return
	}
	p.blocks.Add(block, next)
}

// found is a holder with the part of a prompt that it has.
type found struct {
	holder
	cached zinniapond.Tokens
}

// find returns the servers that have a beginning of the prompt, longest first.
func (v *view) find(need zinniapond.Need, into []found) []found {
	count := len(need.Prefix)
	for i := count - 1; i >= 0 && len(into) < cap(into); i-- {
		p := v.part(need.Prefix[i])
		p.mu.Lock()
		hs, _ := p.blocks.Get(need.Prefix[i])
		p.mu.Unlock()
		for _, h := range hs {
			if len(into) < cap(into) && !has(into, h.server) {
				into = append(into, found{h, need.Prompt * zinniapond.Tokens(i+1) / zinniapond.Tokens(count)})
			}
		}
	}
	return into
}

func has(list []found, server netip.AddrPort) bool {
	for _, f := range list {
		if f.server == server {
			return true
		}
	}
	return false
}
