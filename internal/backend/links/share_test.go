package links

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// openCount returns the number of connections that are open or being opened.
func (o *opens) openCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

func TestLimit(t *testing.T) {
	answer := func(c net.Conn, _ int64) { _, _ = io.WriteString(c, okAnswer) }
	now := time.Now()
	// send sends a request with an id and returns its answer unread.
	send := func(p *Pool, s *server, nonRepeatable bool, at time.Time) (*http.Response, error) {
		return p.Do(t.Context(), func() time.Time { return at }, s.address, http.MethodGet, "id", nonRepeatable, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	}
	mustSend := func(t *testing.T, p *Pool, s *server, nonRepeatable bool, at time.Time) *http.Response {
		t.Helper()
		a, err := send(p, s, nonRepeatable, at)
		assert.NoError(t, err)
		return a
	}
	limited := func(open, idle int) zinniapond.ConnectionShare {
		return zinniapond.ConnectionShare{IsLimited: true, Open: open, Idle: idle}
	}
	t.Run("guards against a connection beyond the share, and against a request that is taken for sent without one", func(t *testing.T) {
		s, p := serve(t, answer), new(Pool)
		p.Limit(s.address, limited(1, 1))
		assert.True(t, p.CanConnect(s.address), "the first connection is refused")
		a := mustSend(t, p, s, false, now)
		assert.True(t, !p.CanConnect(s.address), "a second connection is allowed")
		_, err := send(p, s, false, now)
		assert.ErrorIs(t, err, zinniapond.ErrConnectionLimit)
		assert.ErrorIs(t, err, zinniapond.ErrNotSent)
		finish(t, a)
		assert.True(t, p.CanConnect(s.address), "the idle connection is not offered")
		finish(t, mustSend(t, p, s, false, now))
		assert.Equal(t, s.connections.Load(), int64(1))
	})
	t.Run("guards against idle connections beyond the share", func(t *testing.T) {
		s := serve(t, answer)
		p, reasons := newCountingPool()
		var answers []*http.Response
		for range 4 {
			answers = append(answers, mustSend(t, p, s, false, now))
		}
		for _, a := range answers {
			finish(t, a)
		}
		p.Limit(s.address, limited(3, 2))
		r, _ := p.replicas.Get(s.address)
		assert.Equal(t, len(r.idle), 2)
		assert.Equal(t, r.opens.openCount(), 2)
		one, two, three := mustSend(t, p, s, false, now), mustSend(t, p, s, false, now), mustSend(t, p, s, false, now)
		p.Limit(s.address, limited(2, 0))
		for _, a := range []*http.Response{one, two, three} {
			finish(t, a)
		}
		assert.Equal(t, r.opens.openCount(), 0)
		p.Limit(s.address, zinniapond.ConnectionShare{})
		finish(t, mustSend(t, p, s, false, now))
		assert.Equal(t, (*reasons)[4:], []zinniapond.OpenReason{zinniapond.OpenOverShare, zinniapond.OpenOverShare})
	})
	t.Run("guards against a request that finds only a connection that does not suit it", func(t *testing.T) {
		s, p := serve(t, answer), &Pool{MaxIdleNonRepeatable: time.Second}
		p.Limit(s.address, limited(1, 1))
		finish(t, mustSend(t, p, s, true, now))
		finish(t, mustSend(t, p, s, true, now.Add(2*time.Second)))
		assert.Equal(t, s.connections.Load(), int64(2))
		r, _ := p.replicas.Get(s.address)
		assert.Equal(t, r.opens.openCount(), 1)
	})
	t.Run("guards against a stream that is not continued as its report finds no connection", func(t *testing.T) {
		s, p := serve(t, answer), new(Pool)
		p.Limit(s.address, limited(1, 1))
		a := mustSend(t, p, s, false, now)
		finish(t, open(t, p, now, s.address, false))
		finish(t, a)
	})
	t.Run("guards against connections beyond the share by requests at the same time", func(t *testing.T) {
		s, p := serve(t, func(c net.Conn, n int64) {
			time.Sleep(5 * time.Millisecond)
			answer(c, n)
		}), new(Pool)
		p.Limit(s.address, limited(3, 3))
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				for range 10 {
					a, err := send(p, s, false, now)
					if errors.Is(err, zinniapond.ErrConnectionLimit) {
						continue
					}
					if err != nil {
						t.Error(err)
						return
					}
					_, _ = io.ReadAll(a.Body)
					_ = a.Body.Close() // also closes a connection whose write is not recorded yet
					if r, _ := p.replicas.Get(s.address); r.opens.openCount() > 3 {
						t.Errorf("%d connections", r.opens.openCount())
					}
				}
			})
		}
		group.Wait()
	})
}
