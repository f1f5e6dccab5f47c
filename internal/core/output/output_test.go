package output

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// blockedWriter is a destination that blocks each write until it is released.
type blockedWriter struct {
	bytes.Buffer
	writing, release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	select {
	case s.writing <- struct{}{}:
	default:
	}
	<-s.release
	return s.Buffer.Write(p)
}

func TestWriter(t *testing.T) {
	t.Run("guards against losing or reordering queued lines at Close", func(t *testing.T) {
		var b bytes.Buffer
		w := &Writer{Destination: &b}
		for i := range 100 {
			_, err := fmt.Fprintf(w, "%d\n", i)
			assert.NoError(t, err)
		}
		assert.NoError(t, w.Close())
		assert.True(t, strings.HasPrefix(b.String(), "0\n1\n2\n") && strings.HasSuffix(b.String(), "99\n"), "lines are missing")
	})
	t.Run("guards against blocking on a slow destination and against dropping lines without a count", func(t *testing.T) {
		s := &blockedWriter{writing: make(chan struct{}, 1), release: make(chan struct{})}
		w := &Writer{Destination: s, QueueLines: 2}
		_, err := w.Write([]byte("first\n"))
		assert.NoError(t, err)
		<-s.writing
		for range 5 {
			_, err := w.Write([]byte("more\n"))
			assert.NoError(t, err)
		}
		close(s.release)
		assert.NoError(t, w.Close())
		assert.Contains(t, s.String(), "log lines dropped: count=3")
	})
}
