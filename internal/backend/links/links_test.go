package links

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/test/ports"
)

// server accepts connections and counts them and their requests.
type server struct {
	address     netip.AddrPort
	connections atomic.Int64
	requests    atomic.Int64
}

func serve(t *testing.T, answer func(c net.Conn, n int64)) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	s := &server{address: l.Addr().(*net.TCPAddr).AddrPort()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serveConn(c, answer)
		}
	}()
	return s
}

func (s *server) serveConn(c net.Conn, answer func(net.Conn, int64)) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		answer(c, s.requests.Add(1))
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// get sends a non-repeatable request and returns the answer's body.
func get(t *testing.T, p *Pool, s *server) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := p.Do(ctx, time.Now, s.address, http.MethodGet, "", true, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a.Body)
	closeWritten(t, a)
	return string(body), err
}

// closeWritten closes the body of an answer once the writing goroutine has recorded that
// the request is written. A connection is not reused if its body is closed earlier.
func closeWritten(t *testing.T, a *http.Response) {
	t.Helper()
	<-a.Body.(*body).writeDone
	assert.NoError(t, a.Body.Close())
}

func TestDo(t *testing.T) {
	respond := func(text string) func(net.Conn, int64) {
		return func(c net.Conn, _ int64) { _, _ = io.WriteString(c, text) }
	}
	t.Run("guards against a new connection for each request", func(t *testing.T) {
		s, p := serve(t, respond(okAnswer)), new(Pool)
		for range 5 {
			body, err := get(t, p, s)
			assert.NoError(t, err)
			assert.Equal(t, body, "ok")
		}
		assert.Equal(t, s.connections.Load(), int64(1))
	})
	t.Run("guards against taking bytes after an answer for the next answer", func(t *testing.T) {
		s, p := serve(t, respond(okAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")), new(Pool)
		for range 3 {
			body, err := get(t, p, s)
			assert.NoError(t, err)
			assert.Equal(t, body, "ok")
		}
		assert.Equal(t, s.connections.Load(), int64(3))
	})
	t.Run("guards against reusing an idle connection on which a second answer has arrived", func(t *testing.T) {
		repeated := make(chan struct{})
		s, p := serve(t, func(c net.Conn, _ int64) {
			_, _ = io.WriteString(c, okAnswer)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
			repeated <- struct{}{}
		}), new(Pool)
		for range 3 {
			body, err := get(t, p, s)
			assert.NoError(t, err)
			assert.Equal(t, body, "ok")
			<-repeated // on loopback, written bytes have arrived
		}
	})
	t.Run("guards against taking a truncated answer for a complete one", func(t *testing.T) {
		s := serve(t, func(c net.Conn, _ int64) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
			_ = c.Close()
		})
		_, err := get(t, new(Pool), s)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
	t.Run("guards against sending a request twice", func(t *testing.T) {
		s := serve(t, func(c net.Conn, _ int64) { _ = c.Close() })
		_, err := get(t, new(Pool), s)
		assert.True(t, err != nil && !errors.Is(err, zinniapond.ErrNotSent), "a request that may have run is reported as not sent")
		assert.Equal(t, s.requests.Load(), int64(1))
	})
	t.Run("guards against reporting a request as sent after a refused dial", func(t *testing.T) {
		s := &server{address: ports.Reserve(t, 1).Address(0)}
		_, err := get(t, new(Pool), s)
		assert.ErrorIs(t, err, zinniapond.ErrNotSent)
	})
	t.Run("guards against reusing a connection that the replica has closed", func(t *testing.T) {
		s := serve(t, func(c net.Conn, _ int64) {
			_, _ = io.WriteString(c, okAnswer)
			time.AfterFunc(10*time.Millisecond, func() { _ = c.Close() })
		})
		p := new(Pool)
		for range 3 {
			_, err := get(t, p, s)
			assert.NoError(t, err)
			time.Sleep(30 * time.Millisecond)
		}
	})
	t.Run("guards against sending a non-repeatable request on a connection that was idle for longer than MaxIdleNonRepeatable", func(t *testing.T) {
		s, p := serve(t, respond(okAnswer)), &Pool{MaxIdleNonRepeatable: 10 * time.Millisecond}
		for range 2 {
			_, err := get(t, p, s)
			assert.NoError(t, err)
			time.Sleep(30 * time.Millisecond)
		}
		assert.Equal(t, s.connections.Load(), int64(2))
	})
	t.Run("guards against keeping a connection past the replica's idle timeout when the caller deletes header fields", func(t *testing.T) {
		s, p := serve(t, respond("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok")), new(Pool)
		a, err := p.Do(context.Background(), time.Now, s.address, http.MethodGet, "", false, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		assert.NoError(t, err)
		a.Header.Del("Keep-Alive")
		_, err = io.ReadAll(a.Body)
		assert.NoError(t, err)
		closeWritten(t, a)
		assert.True(t, p.HasIdleConnection(time.Now(), s.address, false), "the connection is not kept")
		assert.True(t, !p.HasIdleConnection(time.Now().Add(2*time.Second), s.address, false), "an expired connection is reported as usable")
	})
	t.Run("guards against reporting an idle connection that the request would not use", func(t *testing.T) {
		s, p := serve(t, respond(okAnswer)), &Pool{MaxIdleNonRepeatable: time.Second}
		assert.True(t, !p.HasIdleConnection(time.Now(), s.address, false), "a connection is reported before the first request")
		_, err := get(t, p, s)
		assert.NoError(t, err)
		assert.True(t, p.HasIdleConnection(time.Now(), s.address, true), "the idle connection is not reported")
		later := time.Now().Add(2 * time.Second)
		assert.True(t, !p.HasIdleConnection(later, s.address, true), "a connection idle for longer than MaxIdleNonRepeatable is reported for a non-repeatable request")
		assert.True(t, p.HasIdleConnection(later, s.address, false), "the connection is not reported for a repeatable request")
	})
	t.Run("guards against waiting for an unresponsive replica beyond the deadline", func(t *testing.T) {
		s := serve(t, func(net.Conn, int64) { time.Sleep(3 * time.Second) })
		start := time.Now()
		_, err := get(t, new(Pool), s)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.True(t, time.Since(start) < 2*time.Second, "the deadline has no effect")
	})
}

func TestErrorText(t *testing.T) {
	t.Run("guards against an error that repeats a line without end in the log", func(t *testing.T) {
		for _, line := range []string{strings.Repeat("x", 40<<10) + "\r\n", "HTTP/1.1 200 OK\r\n" + strings.Repeat("y", 40<<10) + "\r\n\r\n"} {
			s := serve(t, func(c net.Conn, _ int64) {
				_, _ = io.WriteString(c, line)
				_ = c.Close()
			})
			_, err := get(t, new(Pool), s)
			assert.True(t, err != nil, "no error")
			assert.True(t, len(err.Error()) < 500, "an error of %d bytes", len(err.Error()))
			assert.Contains(t, err.Error(), "malformed")
		}
	})
}

func TestIdleTime(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": defaultIdleTimeout, "timeout=5": 4 * time.Second, "max=3, timeout=1": 500 * time.Millisecond, "timeout=x": defaultIdleTimeout,
	} {
		t.Run(fmt.Sprintf("guards against keeping idle connections past the timeout of %q", value), func(t *testing.T) {
			assert.Equal(t, parseIdleTimeout(value), want)
		})
	}
}

// repeat sends a text on a connection until the connection is closed, and sends the
// number of bytes that were accepted.
func repeat(c net.Conn, text string, sent chan<- int) {
	total := 0
	for {
		n, err := io.WriteString(c, text)
		total += n
		if err != nil {
			sent <- total
			return
		}
	}
}

func TestEndlessHead(t *testing.T) {
	// The socket buffers of a connection take bytes that are never read.
	const socketBuffers = 8 << 20
	for _, c := range []struct{ name, start, repeated string }{
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		{"a header line", "HTTP/1.1 200 OK\r\nX-Field: ", "value "},
		{"a status line", "HTTP/1.1 200 ", "OK "},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"bytes that are no answer", "", "\x00\xff no answer "},
	} {
		t.Run("guards against memory and time spent on "+c.name+" without end", func(t *testing.T) {
			sent := make(chan int, 1)
			s := serve(t, func(conn net.Conn, _ int64) {
				_, _ = io.WriteString(conn, c.start)
				repeat(conn, strings.Repeat(c.repeated, 1000), sent)
			})
			start := time.Now()
			_, err := get(t, new(Pool), s)
			assert.True(t, err != nil, "the bytes were taken for an answer")
			assert.True(t, time.Since(start) < 2*time.Second, "ended only after %s", time.Since(start))
			total := <-sent
			assert.True(t, total < socketBuffers, "%d bytes were taken before the connection was closed", total)
		})
	}
}
