package links

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// serveSlowly accepts connections, sends the given text on each and then reads a byte
// now and then, for the given time. It then reads what is left. running has the number of
// connections that have not ended, and received that of the bytes of all connections.
func serveSlowly(t *testing.T, duration time.Duration, text string) (address netip.AddrPort, running, received *atomic.Int64) {
	t.Helper()
	// Connections take the size of the receive buffer over from the listener.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		return errors.Join(controlErr, err)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	running, received = new(atomic.Int64), new(atomic.Int64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				running.Add(1)
				defer running.Add(-1)
				defer c.Close()
				_, _ = io.WriteString(c, text)
				one := make([]byte, 1)
				for begin := time.Now(); time.Since(begin) < duration; time.Sleep(20 * time.Millisecond) {
					if _, err := c.Read(one); err != nil {
						return
					}
				}
				n, _ := io.Copy(io.Discard, c)
				received.Add(n)
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort(), running, received
}

// request returns an encoded request with a body of the given size.
func request(size int) []byte {
	return fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
}

// heapBytes returns the size of the live objects in bytes.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func TestSlowReplicas(t *testing.T) {
	const count, size = 50, 8 << 20
	const deadline = 500 * time.Millisecond
	encoded := request(size)
	// assertBounded sends requests at once to replicas that read slowly, and compares
	// the duration and the memory beside the requests themselves with the bounds.
	assertBounded := func(t *testing.T, answer string, do func(ctx context.Context, p *Pool, to netip.AddrPort) error) {
		t.Helper()
		to, running, received := serveSlowly(t, 2*deadline, answer)
		p := new(Pool)
		goroutines, heap := runtime.NumGoroutine(), heapBytes()
		begin := time.Now()
		var group sync.WaitGroup
		for range count {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), deadline)
				defer cancel()
				assert.NoError(t, do(ctx, p, to))
			})
		}
		time.Sleep(deadline / 2)
		held := heapBytes() - heap
		group.Wait()
		took := time.Since(begin)
		assert.True(t, took < 2*deadline, "the requests ended after %s, the deadline is %s", took, deadline)
		assert.True(t, held < count*64<<10, "%d requests hold %d bytes beside their text", count, held)
		assert.Eventually(t, 2*time.Second, "the connections end", func() bool { return running.Load() == 0 })
		// The receive buffers of the replicas are small. More than they hold was sent
		// after the end of the requests.
		assert.True(t, received.Load() < count*64<<10, "%d bytes were sent to %d replicas", received.Load(), count)
		assert.Eventually(t, time.Second, "all goroutines end", func() bool { return runtime.NumGoroutine() <= goroutines })
	}
	t.Run("guards against requests to replicas that read slowly and hold memory and goroutines beyond the deadline", func(t *testing.T) {
		assertBounded(t, "", func(ctx context.Context, p *Pool, to netip.AddrPort) error {
			_, err := p.Do(ctx, time.Now, to, http.MethodPost, "", false, encoded)
			if err == nil || ctx.Err() == nil {
				return fmt.Errorf("error %w before the deadline", err)
			}
			return nil
		})
	})
	t.Run("guards against a request that is still being written after its answer was read", func(t *testing.T) {
		assertBounded(t, okAnswer, func(ctx context.Context, p *Pool, to netip.AddrPort) error {
			a, err := p.Do(ctx, time.Now, to, http.MethodPost, "", false, encoded)
			if err != nil {
				return err
			}
			if _, err := io.ReadAll(a.Body); err != nil {
				return err
			}
			b := a.Body.(*body)
			if err := a.Body.Close(); err != nil {
				return err
			}
			select {
			case <-b.writeDone:
			default:
				return errors.New("the request is still being written")
			}
			if ctx.Err() != nil || p.HasIdleConnection(time.Now(), to, false) {
				return fmt.Errorf("the connection is kept, or the answer was late: %w", ctx.Err())
			}
			return nil
		})
	})
}
