package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/test/ports"
	"zinniapond.example/zinniapond/internal/test/proxy"
	"zinniapond.example/zinniapond/internal/wire/auth"
	"zinniapond.example/zinniapond/internal/wire/serve"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The heartbeat interval and the silence timeout are shorter than the defaults
// to keep the tests fast. The timeout is longer than the scheduling delays of a
// busy machine.
const (
	heartbeatInterval = 50 * time.Millisecond
	silenceTimeout    = time.Second
)

// echo is the receiver whose methods the tests call.
type echo struct {
	entered chan struct{} // receives a value when Wait is called
	release chan struct{} // closed to let Wait return
}

func (*echo) Say(request *zinniapond.FetchRequest, reply *zinniapond.FetchReply) error {
	reply.Leader = request.Sender
	return nil
}

func (*echo) Data(request []byte, reply *[]byte) error {
	*reply = request
	return nil
}

func (*echo) Grow(size int, reply *[]byte) error {
	*reply = make([]byte, size)
	return nil
}

func (*echo) Fail(_ string, _ *string) error {
	return fmt.Errorf("append: %w", zinniapond.ErrFenced)
}

func (e *echo) Wait(_ string, reply *string) error {
	e.entered <- struct{}{}
	<-e.release
	*reply = "late"
	return nil
}

func newAuthenticator(host zinniapond.HostName) *auth.Authenticator {
	return auth.New(&zinniapond.Settings{
		Cluster: "test", Host: host, Security: zinniapond.SecuritySettings{Secret: []byte("secret of the tests")},
	})
}

type fixture struct {
	echo   *echo
	server *serve.Server
	stop   func() error
}

func startServer(t testing.TB, configure func(*serve.Server)) *fixture {
	t.Helper()
	f := &fixture{
		echo: &echo{entered: make(chan struct{}, 8), release: make(chan struct{})},
	}
	s := serve.New(newAuthenticator("server"), netip.MustParseAddrPort("127.0.0.1:0"), hclog.NewNullLogger())
	s.HeartbeatInterval, s.SilenceTimeout = heartbeatInterval, silenceTimeout
	if configure != nil {
		configure(s)
	}
	assert.NoError(t, s.Mount("Echo", f.echo))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	<-s.Ready()
	f.server = s
	f.stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	t.Cleanup(func() { assert.NoError(t, f.stop()) })
	return f
}

func startPool(t testing.TB, configure func(*Pool)) *Pool {
	t.Helper()
	p := New(newAuthenticator("client"))
	p.HeartbeatInterval, p.SilenceTimeout = heartbeatInterval, silenceTimeout
	if configure != nil {
		configure(p)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return p
}

// mustCall calls Echo.Say and fails the test on an error or another reply.
func mustCall(t testing.TB, p *Pool, peer netip.AddrPort) {
	t.Helper()
	var reply zinniapond.FetchReply
	assert.NoError(t, p.Call(context.Background(), peer, "Echo.Say", &zinniapond.FetchRequest{Sender: "nord"}, &reply))
	assert.Equal(t, reply.Leader, "nord")
}

// startBlockedCall calls Echo.Wait, which does not return until echo.release is
// closed. It returns once the method runs; the channel receives the call's error.
func startBlockedCall(f *fixture, p *Pool, peer netip.AddrPort) chan error {
	done := make(chan error, 1)
	go func() {
		var reply string
		done <- p.Call(context.Background(), peer, "Echo.Wait", "", &reply)
	}()
	<-f.echo.entered
	return done
}

func TestCall(t *testing.T) {
	f := startServer(t, nil)
	p := startPool(t, nil)
	peer := f.server.Address()
	unusedAddress := ports.Reserve(t, 1).Address(0)
	t.Run("guards against a lost or changed message", func(t *testing.T) { mustCall(t, p, peer) })
	t.Run("guards against losing the type of a method's error", func(t *testing.T) {
		var reply string
		err := p.Call(context.Background(), peer, "Echo.Fail", "", &reply)
		assert.ErrorIs(t, err, zinniapond.ErrFenced)
		assert.Contains(t, err.Error(), peer.String())
	})
	t.Run("guards against an unknown method ending the connection", func(t *testing.T) {
		var reply string
		err := p.Call(context.Background(), peer, "Echo.None", "", &reply)
		assert.Contains(t, err.Error(), "can't find service")
		mustCall(t, p, peer)
	})
	t.Run("guards against a request of another type reaching the method", func(t *testing.T) {
		var reply zinniapond.FetchReply
		err := p.Call(context.Background(), peer, "Echo.Say", "text", &reply)
		assert.ErrorIs(t, err, zinniapond.ErrMalformed)
	})
	t.Run("guards against a refused connection being taken for a lost answer", func(t *testing.T) {
		assert.ErrorIs(t, p.Call(context.Background(), unusedAddress, "Echo.Say", "", new(string)), zinniapond.ErrNotSent)
	})
	t.Run("guards against dialling an unreachable host without back-off", func(t *testing.T) {
		p := startPool(t, nil)
		p.Stats = new(stats.Set[string])
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		for ctx.Err() == nil {
			_ = p.Call(ctx, unusedAddress, "Echo.Say", "", new(string))
		}
		dials := p.Stats.Value("peers.dials")
		assert.True(t, dials > 1 && dials < 20, "%d dials in 500 ms", dials)
	})
	t.Run("guards against a late answer changing the caller's reply", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		reply := "untouched"
		go func() { done <- p.Call(ctx, peer, "Echo.Wait", "", &reply) }()
		<-f.echo.entered
		cancel()
		err := <-done
		assert.ErrorIs(t, err, context.Canceled)
		assert.True(t, !errors.Is(err, zinniapond.ErrNotSent), "the request was sent")
		close(f.echo.release)
		mustCall(t, p, peer)
		assert.Equal(t, reply, "untouched")
	})
	t.Run("guards against a call without deadline waiting for ever", func(t *testing.T) {
		f := startServer(t, nil)
		defer close(f.echo.release)
		p := startPool(t, func(p *Pool) { p.CallTimeout = 50 * time.Millisecond })
		assert.ErrorIs(t, <-startBlockedCall(f, p, f.server.Address()), context.DeadlineExceeded)
	})
}

func TestSize(t *testing.T) {
	f := startServer(t, func(s *serve.Server) { s.MaxMessageBytes = 1 << 20 })
	p := startPool(t, func(p *Pool) { p.MaxMessageBytes = 1 << 20 })
	peer := f.server.Address()
	t.Run("guards against sending a request that the peer would refuse", func(t *testing.T) {
		var reply []byte
		err := p.Call(context.Background(), peer, "Echo.Data", make([]byte, 1<<20), &reply)
		assert.ErrorIs(t, err, zinniapond.ErrTooLarge)
		mustCall(t, p, peer)
	})
	t.Run("guards against a reply above the limit ending the connection", func(t *testing.T) {
		var reply []byte
		err := p.Call(context.Background(), peer, "Echo.Grow", 1<<20, &reply)
		assert.ErrorIs(t, err, zinniapond.ErrTooLarge)
		mustCall(t, p, peer)
	})
	t.Run("guards against accepting a message above the limit from a faulty peer", func(t *testing.T) {
		permissivePool := startPool(t, func(p *Pool) { p.MaxMessageBytes = 8 << 20 })
		err := permissivePool.Call(context.Background(), peer, "Echo.Fail", strings.Repeat("x", 4<<20), new(string))
		assert.True(t, !errors.Is(err, zinniapond.ErrFenced), "4 MiB reached a method behind a limit of 1 MiB")
	})
}

func TestBrokenConnections(t *testing.T) {
	f := startServer(t, nil)
	defer close(f.echo.release)
	t.Run("guards against calls hanging on a silent connection", func(t *testing.T) {
		tcpProxy := proxy.New(t, f.server.Address())
		p := startPool(t, func(p *Pool) { p.CallTimeout = time.Minute })
		first, second := startBlockedCall(f, p, tcpProxy.Address()), startBlockedCall(f, p, tcpProxy.Address())
		start := time.Now()
		tcpProxy.DropBytes()
		for _, done := range []chan error{first, second} {
			err := <-done
			assert.Contains(t, err.Error(), "silent")
			assert.True(t, !errors.Is(err, zinniapond.ErrNotSent), "the request was sent")
		}
		assert.True(t, time.Since(start) < 3*silenceTimeout, "detected after %s", time.Since(start))
		mustCall(t, p, tcpProxy.Address()) // opens a new connection
		assert.Equal(t, tcpProxy.ConnectionCount(), 2)
	})
	t.Run("guards against calls that wait for the end of a silent connection to a host that is back", func(t *testing.T) {
		const longSilence = 20 * silenceTimeout
		f := startServer(t, func(s *serve.Server) { s.SilenceTimeout = longSilence })
		defer close(f.echo.release)
		tcpProxy := proxy.New(t, f.server.Address())
		p := startPool(t, func(p *Pool) { p.CallTimeout, p.SilenceTimeout = time.Minute, longSilence })
		p.Stats = new(stats.Set[string])
		pending := startBlockedCall(f, p, tcpProxy.Address())
		start := time.Now()
		tcpProxy.DropBytes()
		time.Sleep(2 * heartbeatInterval)
		mustCall(t, p, tcpProxy.Address())
		assert.True(t, <-pending != nil, "the call on the silent connection has an answer")
		assert.True(t, time.Since(start) < longSilence/2, "took %s", time.Since(start))
		assert.Equal(t, p.Stats.Value("peers.silent"), 1)
	})
	t.Run("guards against a half-closed connection being used again", func(t *testing.T) {
		tcpProxy := proxy.New(t, f.server.Address())
		p := startPool(t, func(p *Pool) { p.CallTimeout = time.Minute })
		done := startBlockedCall(f, p, tcpProxy.Address())
		tcpProxy.HalfClose()
		assert.ErrorIs(t, <-done, io.ErrUnexpectedEOF)
		mustCall(t, p, tcpProxy.Address())
	})
	t.Run("guards against a call failing because the connection was cut while idle", func(t *testing.T) {
		tcpProxy := proxy.New(t, f.server.Address())
		p := startPool(t, nil)
		for range 20 {
			mustCall(t, p, tcpProxy.Address())
			v, _ := p.byAddress.Get(tcpProxy.Address())
			v.mu.Lock()
			cutConnection := v.connections[0]
			v.mu.Unlock()
			tcpProxy.CloseConnections()
			<-cutConnection.codec.Done()
		}
	})
	t.Run("guards against cutting a large message to a slow peer", func(t *testing.T) {
		tcpProxy := proxy.New(t, f.server.Address())
		// 24 MiB in blocks of 32 KiB take longer than the silence timeout, even
		// without the bytes that the socket buffers hold.
		tcpProxy.BlockDelay = 3 * time.Millisecond
		p := startPool(t, func(p *Pool) { p.CallTimeout = time.Minute })
		start := time.Now()
		var reply []byte
		assert.NoError(t, p.Call(context.Background(), tcpProxy.Address(), "Echo.Grow", 24<<20, &reply))
		assert.Equal(t, len(reply), 24<<20)
		assert.True(t, time.Since(start) > 2*silenceTimeout, "took %s, too short for a write deadline to expire", time.Since(start))
	})
	t.Run("guards against heartbeats to every host that was ever called", func(t *testing.T) {
		tcpProxy := proxy.New(t, f.server.Address())
		p := startPool(t, func(p *Pool) { p.IdleTimeout = 50 * time.Millisecond })
		mustCall(t, p, tcpProxy.Address())
		v, _ := p.byAddress.Get(tcpProxy.Address())
		v.mu.Lock()
		idleConnection := v.connections[0]
		v.mu.Unlock()
		<-idleConnection.codec.Done()
		done := startBlockedCall(f, p, tcpProxy.Address())
		select {
		case err := <-done:
			t.Fatalf("connection with a call closed as idle: %v", err)
		case <-time.After(200 * time.Millisecond):
		}
	})
	t.Run("guards against one busy connection carrying every call", func(t *testing.T) {
		tcpProxy := proxy.New(t, f.server.Address())
		p := startPool(t, func(p *Pool) { p.CallsPerConnection, p.MaxConnections = 2, 3 })
		assert.Eventually(t, 5*time.Second, "3 connections", func() bool {
			startBlockedCall(f, p, tcpProxy.Address())
			return tcpProxy.ConnectionCount() == 3
		})
	})
}

func TestStop(t *testing.T) {
	t.Run("guards against a graceful stop cutting calls in progress", func(t *testing.T) {
		f := startServer(t, func(s *serve.Server) { s.DrainTimeout = time.Minute })
		p := startPool(t, nil)
		done := startBlockedCall(f, p, f.server.Address())
		stopped := make(chan error, 1)
		go func() { stopped <- f.stop() }()
		assert.Eventually(t, 5*time.Second, "listener closed", func() bool {
			c, err := net.Dial("tcp", f.server.Address().String())
			if err == nil {
				c.Close()
			}
			return err != nil
		})
		close(f.echo.release)
		assert.NoError(t, <-done)
		assert.NoError(t, <-stopped)
	})
	t.Run("guards against a stop that waits for ever for a call", func(t *testing.T) {
		f := startServer(t, func(s *serve.Server) { s.DrainTimeout = 10 * time.Millisecond })
		p := startPool(t, nil)
		done := startBlockedCall(f, p, f.server.Address())
		assert.NoError(t, f.stop())
		assert.True(t, <-done != nil, "call succeeded without answer")
		close(f.echo.release)
	})
	t.Run("guards against calls after the stop of the pool", func(t *testing.T) {
		f := startServer(t, nil)
		p := New(newAuthenticator("client"))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		assert.NoError(t, p.Run(ctx))
		assert.ErrorIs(t, p.Call(context.Background(), f.server.Address(), "Echo.Say", "", new(string)), zinniapond.ErrNotSent)
	})
}
