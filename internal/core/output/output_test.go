package output

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// stuck is a reader of the log that stops reading until it is released.
type stuck struct {
	bytes.Buffer
	began, release chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	select {
	case s.began <- struct{}{}:
	default:
	}
	<-s.release
	return s.Buffer.Write(p)
}

func TestWriter(t *testing.T) {
	t.Run("guards against lines lost or out of order when the process ends", func(t *testing.T) {
		var b bytes.Buffer
		w := &Writer{To: &b}
		for i := range 100 {
			_, err := fmt.Fprintf(w, "%d\n", i)
			assert.NoError(t, err)
		}
		assert.NoError(t, w.Close())
		assert.True(t, strings.HasPrefix(b.String(), "0\n1\n2\n") && strings.HasSuffix(b.String(), "99\n"), "lines are missing")
	})
	t.Run("guards against a reader that holds up the author, and drops without a trace", func(t *testing.T) {
		s := &stuck{began: make(chan struct{}, 1), release: make(chan struct{})}
		w := &Writer{To: s, Lines: 2}
		_, err := w.Write([]byte("first\n"))
		assert.NoError(t, err)
		<-s.began
		for range 5 {
			_, err := w.Write([]byte("more\n"))
			assert.NoError(t, err)
		}
		close(s.release)
		assert.NoError(t, w.Close())
		assert.Contains(t, s.String(), "log lines dropped: count=3")
	})
}
