package engine

import (
	"container/list"
	"math/rand/v2"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// blockTokens is the size of a cache block.
	blockTokens = 64
	// eventsKept bounds the events that can still be fetched.
	eventsKept = 4096
)

// block is one prompt block in the cache.
type block struct {
	hash uint64
	// program used the block alone; empty once a second program has used it.
	program zinniapond.ProgramID
}

// sentEvent is a cache event with the instant from which it can be fetched.
type sentEvent struct {
	zinniapond.CacheEvent
	visible time.Time
}

// cache keeps prompt blocks in limited memory, least recently used out first.
type cache struct {
	size     int // blocks
	order    list.List
	blocks   map[uint64]*list.Element
	programs map[zinniapond.ProgramID]int // blocks used by one program alone
	events   []sentEvent
	sequence uint64
	random   *rand.Rand
	gap      float64 // share of lost events
	lag      time.Duration
	address  netip.AddrPort
}

// cached returns the number of tokens of the prompt's beginning in the cache.
func (c *cache) cached(prefix []uint64) zinniapond.Tokens {
	count := 0
	for _, h := range prefix {
		if _, ok := c.blocks[h]; !ok {
			break
		}
		count++
	}
	return zinniapond.Tokens(count * blockTokens)
}

// use puts the prompt's blocks into the cache. Later blocks are useless without
// the earlier ones, so these are touched last.
func (c *cache) use(now time.Time, program zinniapond.ProgramID, prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		h := prefix[i]
		if e, ok := c.blocks[h]; ok {
			c.order.MoveToFront(e)
			if b := e.Value.(*block); b.program != program && b.program != "" {
				c.count(b.program, -1)
				b.program = ""
			}
			continue
		}
		c.blocks[h] = c.order.PushFront(&block{hash: h, program: program})
		c.count(program, 1)
		c.tell(now, h, false)
	}
	for c.order.Len() > c.size {
		c.drop(now, c.order.Back())
	}
}

func (c *cache) count(program zinniapond.ProgramID, change int) {
	if program == "" {
		return
	}
	c.programs[program] += change
	if c.programs[program] <= 0 {
		delete(c.programs, program)
	}
}

func (c *cache) drop(now time.Time, e *list.Element) {
	b := e.Value.(*block)
	c.order.Remove(e)
	delete(c.blocks, b.hash)
	c.count(b.program, -1)
	c.tell(now, b.hash, true)
}

// release drops the blocks that only the program has used.
func (c *cache) release(now time.Time, program zinniapond.ProgramID) {
	if program == "" || c.programs[program] == 0 {
		return
	}
	for e := c.order.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*block).program == program {
			c.drop(now, e)
		}
		e = next
	}
}

// export returns the blocks of a program.
func (c *cache) export(program zinniapond.ProgramID) []uint64 {
	var hashes []uint64
	for e := c.order.Front(); e != nil; e = e.Next() {
		if b := e.Value.(*block); b.program == program {
			hashes = append(hashes, b.hash)
		}
	}
	return hashes
}

// tell publishes an event. A lost event still takes its sequence number.
func (c *cache) tell(now time.Time, hash uint64, dropped bool) {
	c.sequence++
	if c.gap > 0 && c.random.Float64() < c.gap {
		return
	}
	c.events = append(c.events, sentEvent{
		CacheEvent: zinniapond.CacheEvent{Backend: c.address, Sequence: c.sequence, Block: hash, Dropped: dropped},
		visible:    now.Add(c.lag),
	})
	if len(c.events) > 2*eventsKept {
		c.events = append([]sentEvent(nil), c.events[len(c.events)-eventsKept:]...)
	}
}

// since returns the visible events from a sequence number on.
func (c *cache) since(now time.Time, from uint64) []zinniapond.CacheEvent {
	events := []zinniapond.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence >= from && !e.visible.After(now) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}
