package parts

import (
	"fmt"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestFits(t *testing.T) {
	now := time.Unix(1000, 0)
	const capacity = 300_000
	see := func(b *Book, now time.Time, count int) bool {
		fits := false
		for i := range count {
			fits = b.Fits(now, zinniapond.PromptPart{ID: fmt.Sprint(i), Tokens: 12_500}, capacity)
		}
		return fits
	}
	t.Run("guards against caches that are filled by shared parts alone", func(t *testing.T) {
		var b Book
		assert.True(t, see(&b, now, 8), "8 parts of 12,500 tokens do not fit in a third of 300,000")
		assert.True(t, !see(&b, now, 9), "9 parts fit")
	})
	t.Run("guards against counting a part once for each request", func(t *testing.T) {
		var b Book
		for range 100 {
			assert.True(t, see(&b, now, 8), "8 parts do not fit")
		}
	})
	t.Run("guards against parts that count for ever", func(t *testing.T) {
		var b Book
		see(&b, now, 16)
		assert.True(t, see(&b, now.Add(seenTime), 8), "parts that were not seen lately count")
	})
	t.Run("guards against parts without bound", func(t *testing.T) {
		var b Book
		see(&b, now, 2*maxParts)
		assert.Equal(t, len(b.parts), maxParts)
	})
}
