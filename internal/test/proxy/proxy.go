// Package proxy provides a TCP proxy for tests. It can drop the bytes of
// connections in one or both directions, delay them, limit their rate, and close,
// half-close or reset the connections.
package proxy

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/fault"
)

// Proxy forwards connections to a target.
type Proxy struct {
	// BlockDelay is the delay before each block of at most 32 KiB is forwarded.
	// It has to be set before use.
	BlockDelay time.Duration

	target   netip.AddrPort
	listener net.Listener
	address  netip.AddrPort

	mu       sync.Mutex
	faultFor func(source netip.Addr) fault.Fault // nil for no faults
	pairs    map[*connectionPair]struct{}
	closed   bool
	group    sync.WaitGroup
	opened   atomic.Int64
	bytes    atomic.Int64
}

// connectionPair is a client's connection and the connection to the target to
// which its bytes are forwarded.
type connectionPair struct {
	client, server *net.TCPConn
	request        direction // from client to server
	answer         direction // from server to client
}

// direction holds the faults of one direction of a connection.
type direction struct {
	dropsBytes atomic.Bool
	delay      atomic.Int64 // nanoseconds
}

// blockBytes is the largest number of bytes that are forwarded at once.
const blockBytes = 32 << 10

// New returns a proxy to target at a free loopback port. It is closed at the end of
// the test.
func New(t testing.TB, target netip.AddrPort) *Proxy {
	t.Helper()
	return NewAt(t, netip.MustParseAddrPort("127.0.0.1:0"), target)
}

// NewAt returns a proxy to target that listens at the given address. It is closed
// at the end of the test.
func NewAt(t testing.TB, listen, target netip.AddrPort) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	proxy := &Proxy{
		target: target, listener: l, address: l.Addr().(*net.TCPAddr).AddrPort(), pairs: make(map[*connectionPair]struct{}),
	}
	proxy.group.Go(proxy.accept)
	t.Cleanup(proxy.Close)
	return proxy
}

// Address returns the address at which the proxy listens.
func (t *Proxy) Address() netip.AddrPort { return t.address }

// ConnectionCount returns the number of connections accepted so far.
func (t *Proxy) ConnectionCount() int64 { return t.opened.Load() }

// ForwardedBytes returns the number of bytes forwarded so far, in both
// directions.
func (t *Proxy) ForwardedBytes() int64 { return t.bytes.Load() }

// DropBytes drops all further bytes of the connections that are open now. These
// connections stay open, and new connections are not affected.
func (t *Proxy) DropBytes() {
	t.forEachPair(func(p *connectionPair) {
		p.request.dropsBytes.Store(true)
		p.answer.dropsBytes.Store(true)
	})
}

// Partition simulates a network partition: it drops all bytes from and to the
// sources for which isCut returns true, on open and on new connections.
// Partition(nil) ends the partition for new connections; the bytes of those
// that were cut stay dropped.
func (t *Proxy) Partition(isCut func(source netip.Addr) bool) {
	if isCut == nil {
		t.SetFaults(nil)
		return
	}
	t.SetFaults(func(source netip.Addr) fault.Fault {
		drops := isCut(source)
		return fault.Fault{DropRequests: drops, DropAnswers: drops}
	})
}

// SetFaults sets the faults of open and new connections by their source
// address; nil means no faults. Open connections whose bytes were dropped do
// not recover.
func (t *Proxy) SetFaults(faultFor func(source netip.Addr) fault.Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultFor = faultFor
	for p := range t.pairs {
		t.applyFault(p)
	}
}

// applyFault sets the current faults of a pair and reports whether the connection
// is refused. The caller holds t.mu.
func (t *Proxy) applyFault(p *connectionPair) (refused bool) {
	var f fault.Fault
	if t.faultFor != nil {
		f = t.faultFor(p.client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap())
	}
	if f.DropRequests {
		p.request.dropsBytes.Store(true)
	}
	if f.DropAnswers {
		p.answer.dropsBytes.Store(true)
	}
	p.request.delay.Store(int64(f.Delay))
	p.answer.delay.Store(int64(f.Delay))
	return f.RefuseConnections
}

// Reset closes the connections that are open now with a TCP reset.
func (t *Proxy) Reset() {
	t.forEachPair(func(p *connectionPair) {
		_, _ = p.client.SetLinger(0), p.server.SetLinger(0)
		p.close()
	})
}

// CloseConnections closes the connections that are open now.
func (t *Proxy) CloseConnections() { t.forEachPair((*connectionPair).close) }

// HalfClose closes the direction from the target to the client of the connections
// that are open now.
func (t *Proxy) HalfClose() { t.forEachPair(func(p *connectionPair) { _ = p.client.CloseWrite() }) }

// Close stops listening, closes all connections and waits for their goroutines.
func (t *Proxy) Close() {
	_ = t.listener.Close()
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.CloseConnections()
	t.group.Wait()
}

func (t *Proxy) forEachPair(visit func(*connectionPair)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p := range t.pairs {
		visit(p)
	}
}

func (t *Proxy) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.opened.Add(1)
		s, err := net.Dial("tcp", t.target.String())
		if err != nil {
			_ = c.Close()
			continue
		}
		p := &connectionPair{client: c.(*net.TCPConn), server: s.(*net.TCPConn)}
		t.mu.Lock()
		closed := t.closed
		t.pairs[p] = struct{}{}
		refused := t.applyFault(p)
		t.mu.Unlock()
		if closed || refused {
			p.close()
		}
		t.group.Go(func() { t.serve(p) })
	}
}

func (t *Proxy) serve(p *connectionPair) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.forward(p, &p.request, p.client, p.server)
	}()
	t.forward(p, &p.answer, p.server, p.client)
	<-done
	p.close()
	t.mu.Lock()
	delete(t.pairs, p)
	t.mu.Unlock()
}

// forward copies the bytes of one direction. Dropped bytes are still read, so that
// the sender sees no back-pressure, as in a network that loses packets.
func (t *Proxy) forward(p *connectionPair, w *direction, from, to *net.TCPConn) {
	buf := make([]byte, blockBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !w.dropsBytes.Load() {
			time.Sleep(t.BlockDelay + time.Duration(w.delay.Load()))
			if _, werr := to.Write(buf[:n]); werr != nil {
				p.close()
				return
			}
			t.bytes.Add(int64(n))
		}
		if err != nil {
			if !w.dropsBytes.Load() { // the close of a connection whose bytes are dropped is lost too
				_ = to.CloseWrite()
			}
			return
		}
	}
}

func (p *connectionPair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}
