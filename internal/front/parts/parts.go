// Package parts records the shared parts of the prompts that a host has seen lately, to
// tell whether the servers of a pool can keep all of them in their caches.
package parts

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// memoryDivisor divides the cache of a server; the quotient is what the shared parts
	// may take. Conversations and running requests take the rest.
	memoryDivisor = 3
	// seenTime is the time for which a part counts without another request that has it.
	seenTime = 30 * time.Second
	// sweepInterval is the interval at which old parts are forgotten.
	sweepInterval = time.Second
	// maxParts bounds the parts. More than that fit in no cache.
	maxParts = 1024
)

// Book has the shared parts of the prompts of one pool. Its zero value is ready for use.
type Book struct {
	mu      sync.Mutex
	parts   map[string]part
	total   zinniapond.Tokens
	sweptAt time.Time
}

type part struct {
	tokens zinniapond.Tokens
	seenAt time.Time
}

// Fits records a shared part, and reports whether a server with the given capacity can
// keep all shared parts of the pool.
func (b *Book) Fits(now time.Time, shared zinniapond.PromptPart, capacity zinniapond.Tokens) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.sweptAt) >= sweepInterval {
		b.sweep(now)
	}
	if b.parts == nil {
		b.parts = make(map[string]part)
	}
	known, ok := b.parts[shared.ID]
	if !ok && len(b.parts) >= maxParts {
		return false
	}
	b.total += shared.Tokens - known.tokens
	b.parts[shared.ID] = part{shared.Tokens, now}
	return b.total <= capacity/memoryDivisor
}

// sweep forgets the parts that were not seen for seenTime. The caller holds mu.
func (b *Book) sweep(now time.Time) {
	b.sweptAt = now
	for id, p := range b.parts {
		if now.Sub(p.seenAt) >= seenTime {
			b.total -= p.tokens
			delete(b.parts, id)
		}
	}
}
