// Package proxy is a TCP proxy for tests. It can drop the bytes of open
// connections in one or both directions, delay, cut or reset them, close one
// direction or slow them down.
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

// Proxy passes connections on to a target.
type Proxy struct {
	// Pace is the pause after each block of at most 32 KiB, set before use.
	Pace time.Duration

	target   netip.AddrPort
	listener net.Listener
	address  netip.AddrPort

	mu     sync.Mutex
	shape  func(source netip.Addr) fault.Fault // nil for none
	pairs  map[*pair]struct{}
	closed bool
	group  sync.WaitGroup
	opened atomic.Int64
	bytes  atomic.Int64
}

// pair is one connection with its continuation to the target.
type pair struct {
	client, server *net.TCPConn
	request        way // from client to server
	answer         way
}

// way is one direction of a connection.
type way struct {
	silent atomic.Bool
	delay  atomic.Int64 // nanoseconds
}

const block = 32 << 10

// New returns a proxy to target that ends with the test.
func New(t testing.TB, target netip.AddrPort) *Proxy {
	t.Helper()
	return NewAt(t, netip.MustParseAddrPort("127.0.0.1:0"), target)
}

// NewAt returns a proxy that listens at the given address.
func NewAt(t testing.TB, listen, target netip.AddrPort) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	tap := &Proxy{
		target: target, listener: l, address: l.Addr().(*net.TCPAddr).AddrPort(), pairs: make(map[*pair]struct{}),
	}
	tap.group.Go(tap.accept)
	t.Cleanup(tap.Close)
	return tap
}

// Address is where the proxy listens.
func (t *Proxy) Address() netip.AddrPort { return t.address }

// Opened is the number of connections so far.
func (t *Proxy) Opened() int64 { return t.opened.Load() }

// Bytes is the number of bytes passed on so far, in both directions.
func (t *Proxy) Bytes() int64 { return t.bytes.Load() }

// Silence drops all further bytes of the connections that are open now. They
// stay open, and new connections work.
func (t *Proxy) Silence() {
	t.each(func(p *pair) {
		p.request.silent.Store(true)
		p.answer.silent.Store(true)
	})
}

// Bar drops all bytes from and to the sources for which barred is true, on open
// and on new connections, as a partition does. Connections that were open stay
// silent after Bar(nil).
func (t *Proxy) Bar(barred func(source netip.Addr) bool) {
	if barred == nil {
		t.Shape(nil)
		return
	}
	t.Shape(func(source netip.Addr) fault.Fault {
		cut := barred(source)
		return fault.Fault{Request: cut, Answer: cut}
	})
}

// Shape sets what open and new connections suffer, by the address that they
// come from; nil for nothing.
func (t *Proxy) Shape(shape func(source netip.Addr) fault.Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shape = shape
	for p := range t.pairs {
		t.apply(p)
	}
}

// apply sets the present fault of a pair. The lock is held.
func (t *Proxy) apply(p *pair) (refused bool) {
	var f fault.Fault
	if t.shape != nil {
		f = t.shape(p.client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap())
	}
	if f.Request {
		p.request.silent.Store(true)
	}
	if f.Answer {
		p.answer.silent.Store(true)
	}
	p.request.delay.Store(int64(f.Delay))
	p.answer.delay.Store(int64(f.Delay))
	return f.Refuse
}

// Reset breaks the connections off that are open now.
func (t *Proxy) Reset() {
	t.each(func(p *pair) {
		_, _ = p.client.SetLinger(0), p.server.SetLinger(0)
		p.close()
	})
}

// Cut closes the connections that are open now.
func (t *Proxy) Cut() { t.each((*pair).close) }

// HalfClose ends the direction from the target to the client of the connections
// that are open now.
func (t *Proxy) HalfClose() { t.each(func(p *pair) { _ = p.client.CloseWrite() }) }

// Close ends the proxy. New connections are refused.
func (t *Proxy) Close() {
	_ = t.listener.Close()
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.Cut()
	t.group.Wait()
}

func (t *Proxy) each(visit func(*pair)) {
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
		p := &pair{client: c.(*net.TCPConn), server: s.(*net.TCPConn)}
		t.mu.Lock()
		closed := t.closed
		t.pairs[p] = struct{}{}
		refused := t.apply(p)
		t.mu.Unlock()
		if closed || refused {
			p.close()
		}
		t.group.Go(func() { t.serve(p) })
	}
}

func (t *Proxy) serve(p *pair) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.pass(p, &p.request, p.client, p.server)
	}()
	t.pass(p, &p.answer, p.server, p.client)
	<-done
	p.close()
	t.mu.Lock()
	delete(t.pairs, p)
	t.mu.Unlock()
}

// pass copies one direction. Bytes of a silent one are read and dropped, so that
// the sender sees no back-pressure, as with a network that loses packets.
func (t *Proxy) pass(p *pair, w *way, from, to *net.TCPConn) {
	buf := make([]byte, block)
	for {
		n, err := from.Read(buf)
		if n > 0 && !w.silent.Load() {
			time.Sleep(t.Pace + time.Duration(w.delay.Load()))
			if _, werr := to.Write(buf[:n]); werr != nil {
				p.close()
				return
			}
			t.bytes.Add(int64(n))
		}
		if err != nil {
			if !w.silent.Load() { // the end of a silent connection is lost too
				_ = to.CloseWrite()
			}
			return
		}
	}
}

func (p *pair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}
