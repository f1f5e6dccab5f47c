package runner

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/backend/links"
	"zinniapond.example/zinniapond/internal/core/quota"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	slowCount = 200
	// unreadTime is the time after which the stand-in for a replica aborts an answer
	// that remains unread.
	unreadTime = 700 * time.Millisecond
	// socketBytes is the size of the send buffers of servers and the receive buffers of
	// clients.
	socketBytes = 8 << 10
)

// httpResponder answers over HTTP. Its writes can be bounded.
type httpResponder struct {
	w       http.ResponseWriter
	aborted bool
}

func (a *httpResponder) Begin(status int, _ []zinniapond.HeaderField, _ int64) error {
	a.w.WriteHeader(status)
	return http.NewResponseController(a.w).Flush()
}

func (a *httpResponder) Write(part []byte) error {
	if _, err := a.w.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *httpResponder) End() error { return nil }
func (a *httpResponder) Abort()     { a.aborted = true }

func (a *httpResponder) Refuse(zinniapond.Refusal) error {
	a.w.WriteHeader(http.StatusServiceUnavailable)
	return nil
}

func (a *httpResponder) BoundWrites(until time.Time) error {
	return http.NewResponseController(a.w).SetWriteDeadline(until)
}

// connRunner is a runner whose clients and replica have connections.
type connRunner struct {
	*testRunner
	links   links.Pool
	clients *httptest.Server
	running atomic.Int64 // runs at the replica
	unread  atomic.Int64 // answers that the replica has aborted as they remained unread
	most    atomic.Int64 // the most memory in use
}

func (w *connRunner) Send(ctx context.Context, _ time.Time, s zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	a, err := w.links.Do(ctx, time.Now, s.Replica.Address, http.MethodGet, "", false, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	if err != nil {
		return nil, err
	}
	return &zinniapond.ReplicaAnswer{Status: a.StatusCode, Length: a.ContentLength, Verified: true, IsStream: true, Body: a.Body}, nil
}

func startServer(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(handler)
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetWriteBuffer(socketBytes)
		return ctx
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// newConnRunner returns a runner whose replica sends the given parts of a stream.
func newConnRunner(t *testing.T, memory int64, timeout time.Duration, parts []string) *connRunner {
	t.Helper()
	w := &connRunner{testRunner: newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 1})}
	w.Client, w.Memory = w, &quota.Quota{Bytes: memory}
	w.view.Routing.Routes[0].Timeout = timeout
	replica := startServer(t, func(to http.ResponseWriter, _ *http.Request) {
		w.running.Add(1)
		defer w.running.Add(-1)
		controller := http.NewResponseController(to)
		for _, part := range parts {
			_ = controller.SetWriteDeadline(time.Now().Add(unreadTime))
			_, err := io.WriteString(to, part)
			if err == nil {
				err = controller.Flush()
			}
			if err != nil {
				w.unread.Add(1)
				panic(http.ErrAbortHandler)
			}
		}
	})
	w.list = w.list[:1]
	w.list[0].Address = netip.MustParseAddrPort(replica.Listener.Addr().String())
	assert.NoError(t, w.update())
	w.clients = startServer(t, func(to http.ResponseWriter, q *http.Request) {
		a := &httpResponder{w: to}
		request := zinniapond.Request{ID: zinniapond.AttemptID(q.URL.RawQuery), Host: "h", Path: "/r/x", ReceivedAt: time.Now(), ClientTimeout: timeout}
		w.Forward(q.Context(), time.Now(), request, a)
		if a.aborted {
			panic(http.ErrAbortHandler)
		}
	})
	t.Cleanup(func() { w.links.CloseExpired(time.Now(), func(netip.AddrPort) bool { return false }) })
	return w
}

// call sends a request and reads a byte now and then for the given time.
func (w *connRunner) call(t *testing.T, n int, slow time.Duration) (c net.Conn, read *bytes.Buffer) {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
		})
	}}
	c, err := dialer.Dial("tcp", w.clients.Listener.Addr().String())
	assert.NoError(t, err)
	_, err = fmt.Fprintf(c, "GET /?%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", n)
	assert.NoError(t, err)
	read = new(bytes.Buffer)
	for begin := time.Now(); time.Since(begin) < slow; time.Sleep(20 * time.Millisecond) {
		if _, err := io.CopyN(read, c, 1); err != nil {
			break
		}
		if used := w.Memory.Used(); used > w.most.Load() {
			w.most.Store(used)
		}
	}
	return c, read
}

// readRest reads the rest of an answer. It returns an error if the answer is not complete.
func readRest(c net.Conn, read *bytes.Buffer) (string, error) {
	_, _ = io.Copy(read, c) // a reset also ends the answer
	a, err := http.ReadResponse(bufio.NewReader(read), nil)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(a.Body)
	return string(text), err
}

// callAll calls from slowCount clients, and returns the number of answers that were
// whole. The others must not look complete, and must begin as the whole one does.
func (w *connRunner) callAll(t *testing.T, slow time.Duration, whole string) (count int64) {
	t.Helper()
	var group sync.WaitGroup
	var wholes atomic.Int64
	for n := range slowCount {
		group.Go(func() {
			c, read := w.call(t, n, slow)
			defer c.Close()
			text, err := readRest(c, read)
			if err == nil && text == whole {
				wholes.Add(1)
			} else if err == nil || !strings.HasPrefix(whole, text) {
				t.Errorf("an answer of %d bytes of %d ends with %v", len(text), len(whole), err)
			}
		})
	}
	group.Wait()
	return wholes.Load()
}

func assertAllEnded(t *testing.T, w *connRunner) {
	t.Helper()
	assert.Eventually(t, 2*time.Second, "all runs have ended and their memory is given back", func() bool {
		return w.running.Load() == 0 && w.Memory.Used() == 0 && len(w.localLoads()) == 0
	})
}

// TestSlowConnections has clients that read a byte each 20 ms. The sockets between the
// replica and a client take a part of an answer, and the buffer for one answer the rest.
func TestSlowConnections(t *testing.T) {
	const timeout = 2 * time.Second
	var parts []string
	for n := range 25 {
		parts = append(parts, fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", 10_000)))
	}
	whole := strings.Join(parts, "")
	t.Run("guards against answers to slow clients that replicas abort, or that their deadline breaks off although they are read", func(t *testing.T) {
		w := newConnRunner(t, 160<<20, timeout, parts)
		begin := time.Now()
		count := w.callAll(t, timeout+500*time.Millisecond, whole)
		assert.True(t, count == slowCount && w.unread.Load() == 0, "%d of %d answers were whole, %d were aborted by the replica", count, slowCount, w.unread.Load())
		assert.True(t, time.Since(begin) < timeout+maxLateTime, "the answers ended after %s", time.Since(begin))
		assertAllEnded(t, w)
	})
	t.Run("guards against slow clients that take the memory of the host, and against broken streams that look complete", func(t *testing.T) {
		const memory = 4 << 20
		w := newConnRunner(t, memory, timeout, parts)
		begin := time.Now()
		count := w.callAll(t, timeout+500*time.Millisecond, whole)
		t.Logf("%d answers were whole, at most %d bytes were held", count, w.most.Load())
		assert.True(t, w.most.Load() > 0 && w.most.Load() <= memory, "%d bytes were held", w.most.Load())
		assert.True(t, time.Since(begin) < timeout+maxLateTime, "the answers ended after %s", time.Since(begin))
		assertAllEnded(t, w)
	})
	t.Run("guards against runs and memory that outlive clients that have gone", func(t *testing.T) {
		w := newConnRunner(t, 160<<20, time.Minute, parts)
		var group sync.WaitGroup
		for n := range slowCount {
			group.Go(func() {
				c, _ := w.call(t, n, 500*time.Millisecond)
				_ = c.Close()
			})
		}
		group.Wait()
		assert.True(t, w.most.Load() > 0, "no memory was used")
		assertAllEnded(t, w)
	})
	t.Run("guards against a client that never reads and holds its memory for ever", func(t *testing.T) {
		w := newConnRunner(t, 160<<20, 100*time.Millisecond, parts)
		c, _ := w.call(t, 1, 0)
		defer c.Close()
		assert.Eventually(t, time.Second, "memory is used", func() bool { return w.Memory.Used() > 0 })
		assert.Eventually(t, maxLateTime+2*time.Second, "it is given back", func() bool { return w.Memory.Used() == 0 })
		assertAllEnded(t, w)
	})
}
