// Package stats counts events for expvar.
package stats

import (
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"sync/atomic"

	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

// There is one set of named counters for each kernel and not one for each
// process, so that a test can run several hosts.
func init() {
	kernel.Register("default", func(*kernel.Kernel) (*Set[string], error) { return new(Set[string]), nil })
}

// cells is the number of cells of a counter. Goroutines that count the same
// event at once mostly meet in different ones.
const cells = 16

// cell fills a cache line, so that two cells do not slow each other.
type cell struct {
	value atomic.Int64
	_     [56]byte
}

type counter [cells]cell

// Set is a set of counters by name. Its zero value is ready.
type Set[N ~string] struct {
	counters shard.Map[N, *counter]
}

// Add adds to the counter of the given name. A nil set counts nothing.
func (s *Set[N]) Add(name N, amount int64) {
	if s == nil {
		return
	}
	c := s.counters.GetOrCreate(name, func() *counter { return new(counter) })
	c[rand.N(cells)].value.Add(amount)
}

// Value returns the value of a counter.
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

// Values returns all counters.
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

// Publish shows the set under /debug/vars, if the name is free: expvar has one
// name space for each process and panics at a second use of a name.
func (s *Set[N]) Publish(name string) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, s)
	}
}
