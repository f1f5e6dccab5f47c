package meter

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestStop(t *testing.T) {
	t.Run("guards against a stop that cuts open requests off", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NoError(t, err)
		begun := make(chan struct{})
		slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(begun)
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(w, "variables")
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- serve(ctx, l, slow) }()
		go func() {
			<-begun
			cancel()
		}()
		a, err := http.Get("http://" + l.Addr().String() + "/debug/vars")
		assert.NoError(t, err)
		defer a.Body.Close()
		text, err := io.ReadAll(a.Body)
		assert.NoError(t, err)
		assert.Equal(t, string(text), "variables")
		assert.NoError(t, <-done)
	})
}
