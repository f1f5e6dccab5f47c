// Package begun remembers the programs that have begun at this host, so that their
// further requests are told from those that begin a program.
package begun

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"zinniapond.example/zinniapond"
)

// capacity is the number of programs that are remembered: with 50 programs a second at
// one host, those of the last five minutes.
const capacity = 1 << 14

// Book has the programs of the last requests. The zero value is ready for use.
type Book struct {
	once     sync.Once
	programs *lru.Cache[zinniapond.ProgramID, struct{}]
}

func (b *Book) initialise() {
	b.once.Do(func() {
		b.programs, _ = lru.New[zinniapond.ProgramID, struct{}](capacity) // fails only for a capacity of 0
	})
}

// Add records that a request of the program was allowed.
func (b *Book) Add(program zinniapond.ProgramID) {
	b.initialise()
	b.programs.Add(program, struct{}{})
}

// Has reports whether a request of the program was allowed, unless many other programs
// have begun since.
func (b *Book) Has(program zinniapond.ProgramID) bool {
	b.initialise()
	_, ok := b.programs.Get(program)
	return ok
}
