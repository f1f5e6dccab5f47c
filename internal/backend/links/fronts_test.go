package links

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/policy/share"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// countOpen counts the connections that a server has open at the same time, and sets most
// to the highest number.
func countOpen(t *testing.T, answer func(net.Conn, int64)) (s *server, most *atomic.Int64) {
	t.Helper()
	most = new(atomic.Int64)
	var open atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s = &server{address: l.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			most.Store(max(most.Load(), open.Add(1))) // only this goroutine stores
			go func() {
				s.serveConn(c, answer)
				open.Add(-1)
			}()
		}
	}()
	return s, most
}

// TestFronts has several pools, as of different fronts, that send to one replica.
func TestFronts(t *testing.T) {
	const workers, requests = 6, 10
	for _, c := range []struct{ fronts, limit int }{{7, 30}, {54, 100}} {
		t.Run(fmt.Sprintf("guards against more than %d connections of %d fronts", c.limit, c.fronts), func(t *testing.T) {
			s, most := countOpen(t, func(c net.Conn, _ int64) {
				time.Sleep(2 * time.Millisecond)
				_, _ = io.WriteString(c, okAnswer)
			})
			var group sync.WaitGroup
			var served, refused atomic.Int64
			for i := range c.fronts {
				p := new(Pool)
				t.Cleanup(func() { p.Restarted(s.address) })
				b := &share.Book{Host: zinniapond.HostName(fmt.Sprint("front-", i))}
				b.SetHostCount(time.Now(), c.fronts)
				p.Limit(s.address, b.Share(time.Now(), s.address, zinniapond.ConnectionUse{Limit: c.limit}))
				for range workers {
					group.Go(func() {
						for range requests {
							a, err := p.Do(t.Context(), time.Now, s.address, http.MethodGet, "id", false, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
							if errors.Is(err, zinniapond.ErrConnectionLimit) {
								refused.Add(1)
								continue
							}
							if err != nil {
								t.Error(err)
								return
							}
							_, _ = io.ReadAll(a.Body)
							<-a.Body.(*body).writeDone
							_ = a.Body.Close() // fails only if the connection is broken
							served.Add(1)
						}
					})
				}
			}
			group.Wait()
			t.Logf("most connections %d, opened %d, requests served %d, refused %d", most.Load(), s.connections.Load(), served.Load(), refused.Load())
			assert.True(t, most.Load() <= int64(c.limit), "%d connections at the same time", most.Load())
			assert.True(t, served.Load() >= int64(c.fronts), "only %d requests were served", served.Load())
		})
	}
}
