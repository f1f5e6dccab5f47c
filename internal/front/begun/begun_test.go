package begun

import (
	"fmt"
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestBook(t *testing.T) {
	t.Run("guards against running programs that count as beginning", func(t *testing.T) {
		var b Book
		assert.True(t, !b.Has("p"), "a program has begun without a request")
		b.Add("p")
		assert.True(t, b.Has("p"), "the program is forgotten")
	})
	t.Run("guards against programs that are kept without bound", func(t *testing.T) {
		var b Book
		for i := range 2 * capacity {
			b.Add(zinniapond.ProgramID(fmt.Sprint(i)))
		}
		assert.Equal(t, b.programs.Len(), capacity)
	})
}
