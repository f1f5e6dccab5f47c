package quota

import (
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestQuota(t *testing.T) {
	t.Run("guards against more bytes than the quota", func(t *testing.T) {
		q := &Quota{Bytes: 10}
		assert.NoError(t, q.Take(6))
		assert.ErrorIs(t, q.Take(5), zinniapond.ErrOverload)
		assert.NoError(t, q.Take(4))
		q.Give(6)
		assert.NoError(t, q.Take(6))
	})
	t.Run("guards against a number of bytes that overflows the count", func(t *testing.T) {
		q := &Quota{Bytes: 10}
		assert.NoError(t, q.Take(1))
		assert.ErrorIs(t, q.Take(math.MaxInt64), zinniapond.ErrOverload)
		assert.Equal(t, q.Used(), int64(1))
	})
	t.Run("guards against exceeding the quota from several threads", func(t *testing.T) {
		q := &Quota{Bytes: 100}
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 1000 {
					if q.Take(30) == nil {
						assert.True(t, q.Used() <= q.Bytes, "%d bytes in use", q.Used())
						q.Give(30)
					}
				}
			})
		}
		group.Wait()
		assert.Equal(t, q.Used(), int64(0))
	})
}

func TestReadAll(t *testing.T) {
	text := strings.Repeat("text", 5000)
	for _, size := range []int64{-1, 0, 10, int64(len(text)), 2 * int64(len(text))} {
		t.Run(fmt.Sprintf("guards against other bytes than were sent, expected size %d", size), func(t *testing.T) {
			q := &Quota{Bytes: 1 << 20}
			data, taken, err := q.ReadAll(iotest.OneByteReader(strings.NewReader(text)), size)
			assert.NoError(t, err)
			assert.True(t, string(data) == text, "%d bytes read", len(data))
			assert.Equal(t, q.Used(), taken)
			assert.True(t, taken >= int64(len(text)), "%d bytes taken", taken)
			q.Give(taken)
			assert.Equal(t, q.Used(), int64(0))
		})
	}
	t.Run("guards against reading bytes without end", func(t *testing.T) {
		q := &Quota{Bytes: 1 << 20}
		data, taken, err := q.ReadAll(iotest.DataErrReader(endless{}), -1)
		assert.ErrorIs(t, err, zinniapond.ErrOverload)
		assert.True(t, len(data) > 0 && int64(len(data)) <= taken && taken <= q.Bytes, "%d bytes read, %d taken", len(data), taken)
	})
	t.Run("guards against memory held for bytes that were announced and not sent", func(t *testing.T) {
		q := &Quota{Bytes: 1 << 20}
		_, taken, err := q.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 1<<20)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.True(t, taken <= firstBytes, "%d bytes taken", taken)
	})
}

// endless is a reader without end.
type endless struct{}

func (endless) Read(part []byte) (int, error) { return len(part), nil }
