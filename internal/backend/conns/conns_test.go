package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/test/ports"
)

// listen accepts connections and passes each to serve with its number, until
// serve returns false.
func listen(t *testing.T, serve func(n int, c net.Conn) bool) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil || !serve(n, c) {
				return
			}
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func get(ctx context.Context, p *Pool, server netip.AddrPort, deadlineMode int) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.String(), nil)
	if err != nil {
		return err
	}
	answer, err := p.Do(ctx, server, r, deadlineMode)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	return err
}

const emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

func TestNotSent(t *testing.T) {
	t.Run("guards against reporting a request as not sent when only its repetition failed to connect", func(t *testing.T) {
		server := ports.Reserve(t, 1).Address(0)
		l, err := net.Listen("tcp", server.String())
		assert.NoError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(c, emptyAnswer)
			// The second request is read, then the listener and the connection
			// are closed: net/http dials again for the same request.
			_, _ = http.ReadRequest(reader)
			l.Close()
		}()
		p := &Pool{}
		assert.NoError(t, get(t.Context(), p, server, DeadlineNever))
		err = get(t.Context(), p, server, DeadlineNever)
		assert.True(t, err != nil && !errors.Is(err, zinniapond.ErrNotSent), "%v", err)
	})
	t.Run("guards against reporting a request as sent that never had a connection", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		server := listen(t, func(int, net.Conn) bool { return true })
		assert.ErrorIs(t, get(ctx, &Pool{}, server, DeadlineNever), zinniapond.ErrNotSent)
	})
	t.Run("guards against reading a header of unbounded size", func(t *testing.T) {
		server := listen(t, func(_ int, c net.Conn) bool {
			go func() {
				defer c.Close()
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX: ")
				for part := make([]byte, 4096); err == nil; {
					_, err = c.Write(part)
				}
			}()
			return true
		})
		err := get(t.Context(), &Pool{AttemptTimeout: 5 * time.Second}, server, DeadlineNever)
		assert.True(t, err != nil && !errors.Is(err, context.DeadlineExceeded), "%v", err)
	})
}

func TestNoProgress(t *testing.T) {
	t.Run("guards against using the other idle connections after one made no progress", func(t *testing.T) {
		answered := make(chan struct{}, 2)
		server := listen(t, func(n int, c net.Conn) bool {
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for i := 0; ; i++ {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					// The first two connections answer one request each, both
					// at the same time, and nothing afterwards.
					if n < 2 && i > 0 {
						continue
					}
					if n < 2 {
						answered <- struct{}{}
						for len(answered) < 2 {
							time.Sleep(time.Millisecond)
						}
					}
					_, _ = io.WriteString(c, emptyAnswer)
				}
			}()
			return true
		})
		p := &Pool{ProgressTimeout: 50 * time.Millisecond}
		concurrentErr := make(chan error, 1)
		go func() { concurrentErr <- get(t.Context(), p, server, DeadlineOnReused) }()
		assert.NoError(t, get(t.Context(), p, server, DeadlineOnReused))
		assert.NoError(t, <-concurrentErr)
		assert.ErrorIs(t, get(t.Context(), p, server, DeadlineOnReused), ErrNoProgress)
		assert.NoError(t, get(t.Context(), p, server, DeadlineOnReused))
	})
}

// TestCutHead sends the head of an answer up to each of its bytes and then closes.
func TestCutHead(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 20\r\n\r\n",
		"in chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run("guards against taking an answer "+name+" for whole that stops within its head", func(t *testing.T) {
			server := listen(t, func(n int, c net.Conn) bool {
				go func() {
					defer c.Close()
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, _ = io.WriteString(c, head[:n%len(head)])
				}()
				return true
			})
			for range len(head) {
				err := get(t.Context(), &Pool{}, server, DeadlineNever)
				assert.True(t, err != nil, "a part of the head was taken for an answer")
			}
		})
	}
}
