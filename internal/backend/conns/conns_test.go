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
)

// listen takes connections for as long as serve returns true.
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

func get(ctx context.Context, p *Pool, server netip.AddrPort, deadline int) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.String(), nil)
	if err != nil {
		return err
	}
	x, err := p.Do(ctx, server, r, deadline)
	if err != nil {
		return err
	}
	defer x.Close()
	_, err = io.ReadAll(x)
	return err
}

const small = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

func TestNotSent(t *testing.T) {
	t.Run("guards against calling a request not sent whose repetition was refused", func(t *testing.T) {
		var l net.Listener
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NoError(t, err)
		server := netip.MustParseAddrPort(l.Addr().String())
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			from := bufio.NewReader(c)
			_, _ = http.ReadRequest(from)
			_, _ = io.WriteString(c, small)
			// The second request is read, no other connection is taken, and
			// the first one is closed: net/http dials for the same request.
			_, _ = http.ReadRequest(from)
			l.Close()
		}()
		p := &Pool{}
		assert.NoError(t, get(t.Context(), p, server, Never))
		err = get(t.Context(), p, server, Never)
		assert.True(t, err != nil && !errors.Is(err, zinniapond.ErrNotSent), "%v", err)
	})
	t.Run("guards against calling a request sent that found no connection", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		server := listen(t, func(int, net.Conn) bool { return true })
		assert.ErrorIs(t, get(ctx, &Pool{}, server, Never), zinniapond.ErrNotSent)
	})
	t.Run("guards against a header without bound", func(t *testing.T) {
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
		err := get(t.Context(), &Pool{Attempt: 5 * time.Second}, server, Never)
		assert.True(t, err != nil && !errors.Is(err, context.DeadlineExceeded), "%v", err)
	})
}

func TestSilent(t *testing.T) {
	t.Run("guards against trying one silent connection after the other", func(t *testing.T) {
		both := make(chan struct{}, 2)
		server := listen(t, func(n int, c net.Conn) bool {
			go func() {
				defer c.Close()
				from := bufio.NewReader(c)
				for i := 0; ; i++ {
					if _, err := http.ReadRequest(from); err != nil {
						return
					}
					// The first two connections answer once, both at the same
					// time, and are silent from then on.
					if n < 2 && i > 0 {
						continue
					}
					if n < 2 {
						both <- struct{}{}
						for len(both) < 2 {
							time.Sleep(time.Millisecond)
						}
					}
					_, _ = io.WriteString(c, small)
				}
			}()
			return true
		})
		p := &Pool{Progress: 50 * time.Millisecond}
		other := make(chan error, 1)
		go func() { other <- get(t.Context(), p, server, Reused) }()
		assert.NoError(t, get(t.Context(), p, server, Reused))
		assert.NoError(t, <-other)
		assert.ErrorIs(t, get(t.Context(), p, server, Reused), ErrSilent)
		assert.NoError(t, get(t.Context(), p, server, Reused))
	})
}
