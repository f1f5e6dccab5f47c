package quota

import (
	"testing"

	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestSpare(t *testing.T) {
	t.Run("guards against requests refused because spare memory took the whole quota", func(t *testing.T) {
		q := &Quota{Bytes: 10}
		assert.True(t, q.TakeSpare(5), "the first half is not taken")
		assert.True(t, !q.TakeSpare(1), "more than half is taken")
		assert.NoError(t, q.Take(5))
		q.Give(10)
		assert.Equal(t, q.Used(), int64(0))
	})
	t.Run("guards against spare memory taken beside requests that fill half of the quota", func(t *testing.T) {
		q := &Quota{Bytes: 10}
		assert.NoError(t, q.Take(7))
		assert.True(t, !q.TakeSpare(1), "spare memory is taken")
		assert.Equal(t, q.Used(), int64(7))
	})
	t.Run("guards against a bound where there is no quota", func(t *testing.T) {
		var q *Quota
		assert.True(t, q.TakeSpare(1<<40), "there is a bound")
	})
}
