// Package shard keeps keyed state in shards, each under its own lock.
package shard

import (
	"hash/maphash"
	"sync"
)

// count is the number of shards of a Map: several for each core of the
// hosts in use, so that two goroutines seldom meet at one lock.
const count = 64

type part[K comparable, V any] struct {
	mu     sync.Mutex
	values map[K]V
}

// Map is a map whose keys are spread over shards with a lock each. Its zero
// value is ready for use. It must not be copied.
type Map[K comparable, V any] struct {
	once  sync.Once
	seed  maphash.Seed
	parts [count]part[K, V]
}

func (m *Map[K, V]) part(key K) *part[K, V] {
	m.once.Do(func() { m.seed = maphash.MakeSeed() })
	return &m.parts[maphash.Comparable(m.seed, key)%count]
}

// Get returns the value of key.
func (m *Map[K, V]) Get(key K) (V, bool) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	return v, ok
}

// Set stores the value of key.
func (m *Map[K, V]) Set(key K, value V) {
	m.Do(key, func(values map[K]V) { values[key] = value })
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	m.Do(key, func(values map[K]V) { delete(values, key) })
}

// Do calls work with the values of key's shard under the shard's lock. work
// must not call the Map.
func (m *Map[K, V]) Do(key K, work func(values map[K]V)) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values == nil {
		p.values = make(map[K]V)
	}
	work(p.values)
}

// GetOrCreate returns the value of key, made by create if there is none.
func (m *Map[K, V]) GetOrCreate(key K, create func() V) V {
	var v V
	m.Do(key, func(values map[K]V) {
		var ok bool
		if v, ok = values[key]; !ok {
			v = create()
			values[key] = v
		}
	})
	return v
}

// Each calls visit for each value, one shard locked at a time, until visit
// returns false. visit must not call the Map.
func (m *Map[K, V]) Each(visit func(key K, value V) bool) {
	for i := range m.parts {
		if !m.parts[i].each(visit) {
			return
		}
	}
}

func (p *part[K, V]) each(visit func(key K, value V) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, v := range p.values {
		if !visit(k, v) {
			return false
		}
	}
	return true
}

// Len returns the number of values.
func (m *Map[K, V]) Len() int {
	var n int
	for i := range m.parts {
		p := &m.parts[i]
		p.mu.Lock()
		n += len(p.values)
		p.mu.Unlock()
	}
	return n
}
