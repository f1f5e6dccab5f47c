package links

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// newCountingPool returns a pool and the reasons for which it has opened connections.
func newCountingPool() (*Pool, *[]zinniapond.OpenReason) {
	reasons := new([]zinniapond.OpenReason)
	return &Pool{OnDial: func(r zinniapond.OpenReason) { *reasons = append(*reasons, r) }}, reasons
}

// open sends a request at the given time and returns its answer unread.
func open(t *testing.T, p *Pool, now time.Time, to netip.AddrPort, nonRepeatable bool) *http.Response {
	t.Helper()
	a, err := p.Do(t.Context(), func() time.Time { return now }, to, http.MethodGet, "", nonRepeatable, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NoError(t, err)
	return a
}

// finish reads an answer and returns its connection to the pool.
func finish(t *testing.T, a *http.Response) {
	t.Helper()
	_, err := io.ReadAll(a.Body)
	assert.NoError(t, err)
	closeWritten(t, a)
}

func TestOpenReasons(t *testing.T) {
	answer := func(text string) func(net.Conn, int64) {
		return func(c net.Conn, _ int64) { _, _ = io.WriteString(c, text) }
	}
	now := time.Now()
	assertReasons := func(t *testing.T, got *[]zinniapond.OpenReason, want ...zinniapond.OpenReason) {
		t.Helper()
		assert.Equal(t, *got, want)
	}
	t.Run("guards against taking requests at the same time for lost connections", func(t *testing.T) {
		s := serve(t, answer(okAnswer))
		p, reasons := newCountingPool()
		one := open(t, p, now, s.address, false)
		two := open(t, p, now, s.address, false)
		finish(t, one)
		finish(t, two)
		finish(t, open(t, p, now, s.address, false))
		assertReasons(t, reasons, zinniapond.OpenFirst, zinniapond.OpenAllInUse)
	})
	t.Run("guards against taking the close by the replica for another reason", func(t *testing.T) {
		s := serve(t, func(c net.Conn, _ int64) {
			_, _ = io.WriteString(c, okAnswer)
			_ = c.Close()
		})
		p, reasons := newCountingPool()
		finish(t, open(t, p, now, s.address, false))
		time.Sleep(20 * time.Millisecond)
		finish(t, open(t, p, now, s.address, false))
		assertReasons(t, reasons, zinniapond.OpenFirst, zinniapond.OpenClosedIdle)
	})
	t.Run("guards against taking the last answer on a connection for an error", func(t *testing.T) {
		s := serve(t, answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"))
		p, reasons := newCountingPool()
		finish(t, open(t, p, now, s.address, false))
		finish(t, open(t, p, now, s.address, false))
		assertReasons(t, reasons, zinniapond.OpenFirst, zinniapond.OpenFinalAnswer)
	})
	t.Run("guards against not counting an answer that was not read to its end", func(t *testing.T) {
		s := serve(t, answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"))
		p, reasons := newCountingPool()
		_ = open(t, p, now, s.address, false).Body.Close()
		_ = open(t, p, now, s.address, false).Body.Close()
		assertReasons(t, reasons, zinniapond.OpenFirst, zinniapond.OpenAfterError)
	})
	t.Run("guards against taking an expired connection for one that is in use", func(t *testing.T) {
		s := serve(t, answer(okAnswer))
		p, reasons := newCountingPool()
		finish(t, open(t, p, now, s.address, false))
		later := now.Add(2 * defaultIdleTimeout)
		finish(t, open(t, p, later, s.address, false))
		later = later.Add(2 * defaultIdleTimeout)
		p.CloseExpired(later, func(netip.AddrPort) bool { return true })
		finish(t, open(t, p, later, s.address, false))
		p.MaxIdleNonRepeatable = time.Second
		finish(t, open(t, p, later.Add(2*time.Second), s.address, true))
		assertReasons(t, reasons, zinniapond.OpenFirst, zinniapond.OpenStale, zinniapond.OpenStale, zinniapond.OpenStale)
	})
	t.Run("guards against keeping connections to a replica that was started again, and against counting them as closed", func(t *testing.T) {
		s := serve(t, answer(okAnswer))
		p, reasons := newCountingPool()
		finish(t, open(t, p, now, s.address, false))
		running := open(t, p, now, s.address, false)
		other := open(t, p, now, s.address, false)
		finish(t, other)
		p.Restarted(s.address)
		assert.True(t, !p.HasIdleConnection(now, s.address, false), "an idle connection is kept")
		_ = running.Body.Close()
		first := open(t, p, now, s.address, false)
		finish(t, open(t, p, now, s.address, false))
		finish(t, first)
		assertReasons(t, reasons, zinniapond.OpenFirst, zinniapond.OpenAllInUse, zinniapond.OpenRestarted, zinniapond.OpenRestarted)
	})
	t.Run("guards against losing the reason when the connection cannot be opened", func(t *testing.T) {
		s := serve(t, answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"))
		p, reasons := newCountingPool()
		fail := func() {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := p.Do(ctx, time.Now, s.address, http.MethodGet, "", false, nil)
			assert.ErrorIs(t, err, zinniapond.ErrNotSent)
		}
		fail()
		_ = open(t, p, now, s.address, false).Body.Close()
		fail()
		_ = open(t, p, now, s.address, false).Body.Close()
		assertReasons(t, reasons, zinniapond.OpenFirst, zinniapond.OpenFirst, zinniapond.OpenAfterError, zinniapond.OpenAfterError)
	})
	t.Run("guards against unbounded memory for connections that are not replaced", func(t *testing.T) {
		var o opens
		for range 1000 {
			o.begin(false, false)
		}
		for range 1000 {
			o.end(zinniapond.OpenStale, 0)
		}
		assert.True(t, len(o.losses) <= maxLosses, "%d reasons are remembered", len(o.losses))
		assert.Equal(t, o.count, 0)
	})
}
