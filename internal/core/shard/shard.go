// Package shard provides a concurrent map that is divided into shards, each under
// its own lock.
package shard

import (
	"hash/maphash"
	"sync"
)

// shardCount is the number of shards of a Map: several for each core of the
// hosts in use, so that two goroutines seldom contend for one lock.
const shardCount = 64

type shard[K comparable, V any] struct {
	mu     sync.Mutex
	values map[K]V
}

// Map is a map whose keys are distributed over shards by hash. The zero value is
// ready for use. A Map must not be copied.
type Map[K comparable, V any] struct {
	once   sync.Once
	seed   maphash.Seed
	shards [shardCount]shard[K, V]
}

func (m *Map[K, V]) shardOf(key K) *shard[K, V] {
	m.once.Do(func() { m.seed = maphash.MakeSeed() })
	return &m.shards[maphash.Comparable(m.seed, key)%shardCount]
}

// Get returns the value of key and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	p := m.shardOf(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	return v, ok
}

// Set stores the value of key.
func (m *Map[K, V]) Set(key K, value V) {
	m.Update(key, func(values map[K]V) { values[key] = value })
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	m.Update(key, func(values map[K]V) { delete(values, key) })
}

// Update calls update with all entries of key's shard under the shard's lock.
// update must not call methods of the Map.
func (m *Map[K, V]) Update(key K, update func(values map[K]V)) {
	p := m.shardOf(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values == nil {
		p.values = make(map[K]V)
	}
	update(p.values)
}

// GetOrCreate returns the value of key; if there is none, it stores and returns
// the result of create, which is called under the shard's lock.
func (m *Map[K, V]) GetOrCreate(key K, create func() V) V {
	var v V
	m.Update(key, func(values map[K]V) {
		var ok bool
		if v, ok = values[key]; !ok {
			v = create()
			values[key] = v
		}
	})
	return v
}

// Each calls visit for each entry until visit returns false. It locks one shard
// at a time. visit must not call methods of the Map.
func (m *Map[K, V]) Each(visit func(key K, value V) bool) {
	for i := range m.shards {
		if !m.shards[i].each(visit) {
			return
		}
	}
}

func (p *shard[K, V]) each(visit func(key K, value V) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, v := range p.values {
		if !visit(k, v) {
			return false
		}
	}
	return true
}

// Len returns the number of entries. It locks one shard at a time, so the result
// is not a snapshot while others change the Map.
func (m *Map[K, V]) Len() int {
	var n int
	for i := range m.shards {
		p := &m.shards[i]
		p.mu.Lock()
		n += len(p.values)
		p.mu.Unlock()
	}
	return n
}
