// Package stats provides named event counters that expvar can export.
package stats

import (
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"sync/atomic"

	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

// Each kernel has its own set of counters, not each process, so that a test can
// run several hosts in one process.
func init() {
	kernel.Register("default", func(*kernel.Kernel) (*Set[string], error) { return new(Set[string]), nil })
}

// cellCount is the number of cells of a counter. Goroutines that count the same
// event at the same time mostly update different cells.
const cellCount = 16

// cell fills a cache line, which avoids false sharing between cells.
type cell struct {
	value atomic.Int64
	_     [56]byte
}

type counter [cellCount]cell

// Set is a set of counters by name. The zero value is ready for use.
type Set[N ~string] struct {
	counters shard.Map[N, *counter]
}

// Add adds amount to the counter of the given name. It does nothing on a nil Set.
func (s *Set[N]) Add(name N, amount int64) {
	if s == nil {
		return
	}
	c := s.counters.GetOrCreate(name, func() *counter { return new(counter) })
	c[rand.N(cellCount)].value.Add(amount)
}

// Value returns the value of a counter, 0 if there is none of that name.
func (s *Set[N]) Value(name N) int64 {
	c, ok := s.counters.Get(name)
	if !ok {
		return 0
	}
	return c.sum()
}

func (c *counter) sum() int64 {
	var n int64
	for i := range c {
		n += c[i].value.Load()
	}
	return n
}

// Values returns the values of all counters by name.
func (s *Set[N]) Values() map[N]int64 {
	values := make(map[N]int64)
	s.counters.Each(func(name N, c *counter) bool {
		values[name] = c.sum()
		return true
	})
	return values
}

// String returns the counters as JSON and makes Set an expvar.Var.
func (s *Set[N]) String() string {
	text, err := json.Marshal(s.Values())
	if err != nil {
		return "{}"
	}
	return string(text)
}

// Publish exports the set at /debug/vars under the given name. It does nothing if
// the name is taken: expvar has one name space for each process and panics if a
// name is published twice.
func (s *Set[N]) Publish(name string) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, s)
	}
}
