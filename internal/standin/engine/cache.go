package engine

import (
	"container/list"
	"math/rand/v2"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// blockTokens is the size of a cache block in tokens.
	blockTokens = 64
	// retainedEvents is the number of latest cache events that can always be
	// fetched; memory holds up to twice as many.
	retainedEvents = 4096
)

// block is one prompt block in the cache.
type block struct {
	hash uint64
	// program is the only program that has used the block; it is empty once a
	// second program has used the block.
	program zinniapond.ProgramID
}

// publishedEvent is a cache event with the instant from which it can be
// fetched.
type publishedEvent struct {
	zinniapond.CacheEvent
	visibleAt time.Time
}

// cache is a prefix cache: prompt blocks in limited memory, of which the least
// recently used is evicted first.
type cache struct {
	capacity        int       // blocks
	recency         list.List // of *block, most recently used first
	blocks          map[uint64]*list.Element
	exclusiveBlocks map[zinniapond.ProgramID]int // blocks that only this program has used
	events          []publishedEvent
	sequence        uint64
	random          *rand.Rand
	lossRate        float64       // share of lost events
	lag             time.Duration // until an event can be fetched
	address         netip.AddrPort
}

// cachedTokens returns the size of the cached beginning of a prompt, given the
// cumulative hashes of the prompt's blocks.
func (c *cache) cachedTokens(prefix []uint64) zinniapond.Tokens {
	count := 0
	for _, h := range prefix {
		if _, ok := c.blocks[h]; !ok {
			break
		}
		count++
	}
	return zinniapond.Tokens(count * blockTokens)
}

// insert puts a prompt's blocks into the cache or marks them as used. A block
// is useless without the blocks before it, so insert touches the last block
// first: eviction then begins at the end of the prompt.
func (c *cache) insert(now time.Time, program zinniapond.ProgramID, prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		h := prefix[i]
		if e, ok := c.blocks[h]; ok {
			c.recency.MoveToFront(e)
			if b := e.Value.(*block); b.program != program && b.program != "" {
				c.addExclusive(b.program, -1)
				b.program = ""
			}
			continue
		}
		c.blocks[h] = c.recency.PushFront(&block{hash: h, program: program})
		c.addExclusive(program, 1)
		c.publishEvent(now, h, false)
	}
	for c.recency.Len() > c.capacity {
		c.remove(now, c.recency.Back())
	}
}

// addExclusive changes the number of blocks that only the program has used.
func (c *cache) addExclusive(program zinniapond.ProgramID, change int) {
	if program == "" {
		return
	}
	c.exclusiveBlocks[program] += change
	if c.exclusiveBlocks[program] <= 0 {
		delete(c.exclusiveBlocks, program)
	}
}

func (c *cache) remove(now time.Time, e *list.Element) {
	b := e.Value.(*block)
	c.recency.Remove(e)
	delete(c.blocks, b.hash)
	c.addExclusive(b.program, -1)
	c.publishEvent(now, b.hash, true)
}

// release removes the blocks that only the given program has used.
func (c *cache) release(now time.Time, program zinniapond.ProgramID) {
	if program == "" || c.exclusiveBlocks[program] == 0 {
		return
	}
	for e := c.recency.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*block).program == program {
			c.remove(now, e)
		}
		e = next
	}
}

// export returns the hashes of the blocks that only the given program has used.
func (c *cache) export(program zinniapond.ProgramID) []uint64 {
	var hashes []uint64
	for e := c.recency.Front(); e != nil; e = e.Next() {
		if b := e.Value.(*block); b.program == program {
			hashes = append(hashes, b.hash)
		}
	}
	return hashes
}

// publishEvent makes an event available from lag after now on. A lost event
// still takes its sequence number, so a gap in the numbers shows the loss.
func (c *cache) publishEvent(now time.Time, hash uint64, dropped bool) {
	c.sequence++
	if c.lossRate > 0 && c.random.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, publishedEvent{
		CacheEvent: zinniapond.CacheEvent{Backend: c.address, Sequence: c.sequence, Block: hash, Dropped: dropped},
		visibleAt:  now.Add(c.lag),
	})
	if len(c.events) > 2*retainedEvents {
		c.events = append([]publishedEvent(nil), c.events[len(c.events)-retainedEvents:]...)
	}
}

// eventsFrom returns the events that are visible at now and have the given
// sequence number or a later one.
func (c *cache) eventsFrom(now time.Time, from uint64) []zinniapond.CacheEvent {
	events := []zinniapond.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence >= from && !e.visibleAt.After(now) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}
