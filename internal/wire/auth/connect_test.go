package auth

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// host is a host that drops opening packets until it has power. Connections are
// established after a latency.
type host struct {
	poweredAt time.Time
	latency   time.Duration
	err       error // of each connection, if it has power
	opened    atomic.Int64
	closed    atomic.Int64
}

func (h *host) connect(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	if time.Now().Before(h.poweredAt) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(h.latency)
	if h.err != nil {
		return nil, h.err
	}
	h.opened.Add(1)
	return &hostConn{host: h}, nil
}

type hostConn struct {
	net.Conn
	host *host
}

func (c *hostConn) Close() error {
	c.host.closed.Add(1)
	return nil
}

func inBubble(t *testing.T, name string, test func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

func TestConnect(t *testing.T) {
	peer := netip.MustParseAddrPort("10.0.0.1:7000")
	connect := func(t *testing.T, h *host) (net.Conn, error) {
		g := newAuthenticator("c", "s")
		g.connect = h.connect
		return g.connectAny(t.Context(), peer)
	}
	inBubble(t, "guards against waiting for an opening packet that a host without power has dropped", func(t *testing.T) {
		h := &host{poweredAt: time.Now().Add(100 * time.Millisecond), latency: time.Millisecond}
		begin := time.Now()
		_, err := connect(t, h)
		assert.NoError(t, err)
		late := time.Since(begin) - 100*time.Millisecond
		assert.True(t, late <= connectInterval, "connected %s after the return of the power", late)
	})
	inBubble(t, "guards against connections that nobody uses or closes", func(t *testing.T) {
		h := &host{latency: 150 * time.Millisecond}
		_, err := connect(t, h)
		assert.NoError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, h.opened.Load()-h.closed.Load(), 1)
	})
	inBubble(t, "guards against waiting for a host that refuses the connection", func(t *testing.T) {
		begin := time.Now()
		_, err := connect(t, &host{latency: time.Millisecond, err: errors.New("refused")})
		assert.True(t, err != nil && time.Since(begin) < connectInterval, "error %v after %s", err, time.Since(begin))
	})
	inBubble(t, "guards against a dial to a host without power that does not end", func(t *testing.T) {
		begin := time.Now()
		_, err := connect(t, &host{poweredAt: begin.Add(time.Hour)})
		assert.True(t, err != nil && time.Since(begin) == connectTimeout, "error %v after %s", err, time.Since(begin))
	})
}
