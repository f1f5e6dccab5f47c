package links

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestDoUntil(t *testing.T) {
	s, p := serve(t, func(c net.Conn, _ int64) { _, _ = io.WriteString(c, okAnswer) }), new(Pool)
	clock := time.Now()
	p.OnDial = func(zinniapond.OpenReason) { clock = clock.Add(time.Second) } // as a process that is suspended
	send := func(until time.Time) error {
		a, err := p.DoUntil(t.Context(), func() time.Time { return clock }, until, s.address, http.MethodGet, "", false, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		if err != nil {
			return err
		}
		_, err = io.ReadAll(a.Body)
		assert.NoError(t, err)
		return a.Body.Close()
	}
	t.Run("guards against a request that is sent after its permit has expired while it was connecting", func(t *testing.T) {
		err := send(clock.Add(100 * time.Millisecond))
		assert.ErrorIs(t, err, zinniapond.ErrPermitExpired)
		assert.ErrorIs(t, err, zinniapond.ErrNotSent)
		assert.Equal(t, s.requests.Load(), int64(0))
	})
	t.Run("guards against another connection for the request that is sent with a new permit", func(t *testing.T) {
		assert.NoError(t, send(clock.Add(100*time.Millisecond)))
		assert.Equal(t, s.requests.Load(), int64(1))
		assert.Equal(t, s.connections.Load(), int64(1))
	})
}
