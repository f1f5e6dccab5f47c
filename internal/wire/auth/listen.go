package auth

import (
	"net"
	"net/netip"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"zinniapond.example/zinniapond"
)

// maxHandshakes bounds the number of connections in the handshake, so that
// unauthenticated peers cannot exhaust memory or file descriptors.
const maxHandshakes = 256

// listener is a net.Listener whose Accept returns authenticated connections only.
type listener struct {
	net.Listener
	authenticator  *Authenticator
	logger         hclog.Logger
	purpose        string
	handshakeSlots chan struct{}
	authenticated  chan net.Conn
	acceptErrors   chan error
	done           chan struct{}
	closeOnce      sync.Once
	group          sync.WaitGroup
	// logLimiter limits the rate of the log lines about refused connections, because
	// a port scan causes many.
	logLimiter *rate.Limiter

	mu          sync.Mutex
	handshaking map[net.Conn]struct{} // connections in the handshake; nil once closed
}

// Listen returns a listener at address that accepts authenticated connections for
// the given purpose. It closes and logs other connections.
func (g *Authenticator) Listen(address netip.AddrPort, purpose string, logger hclog.Logger) (net.Listener, error) {
	base, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, zinniapond.Wrap("listen for "+purpose, address, err)
	}
	l := &listener{
		Listener: base, authenticator: g, logger: logger, purpose: purpose,
		handshakeSlots: make(chan struct{}, maxHandshakes), authenticated: make(chan net.Conn),
		acceptErrors: make(chan error, 1), done: make(chan struct{}),
		logLimiter: rate.NewLimiter(1, 10), handshaking: make(map[net.Conn]struct{}),
	}
	l.group.Add(1)
	go l.acceptLoop()
	return l, nil
}

func (l *listener) acceptLoop() {
	defer l.group.Done()
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			l.acceptErrors <- err
			return
		}
		select {
		case l.handshakeSlots <- struct{}{}:
			l.group.Add(1)
			go l.authenticate(raw)
		default:
			l.refuse(raw, "too many open handshakes")
		}
	}
}

func (l *listener) authenticate(raw net.Conn) {
	defer l.group.Done()
	if !l.addHandshake(raw) {
		raw.Close()
		return
	}
	c, err := l.authenticator.handshakeServer(raw, l.purpose)
	l.removeHandshake(raw)
	<-l.handshakeSlots
	if err != nil {
		l.refuse(raw, err.Error())
		return
	}
	select {
	case l.authenticated <- c:
	case <-l.done:
		c.Close()
	}
}

func (l *listener) refuse(raw net.Conn, reason string) {
	raw.Close()
	if l.logLimiter.Allow() {
		l.logger.Warn("refused connection", "purpose", l.purpose, "peer", raw.RemoteAddr().String(), "reason", reason)
	}
}

// addHandshake registers a connection for Close. It returns false if the listener
// is closed.
func (l *listener) addHandshake(raw net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handshaking == nil {
		return false
	}
	l.handshaking[raw] = struct{}{}
	return true
}

func (l *listener) removeHandshake(raw net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.handshaking, raw)
}

// Accept returns the next authenticated connection, or net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.authenticated:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	case err := <-l.acceptErrors:
		l.acceptErrors <- err
		return nil, err
	}
}

// Close stops listening, aborts the handshakes in progress and waits until their
// goroutines have ended.
func (l *listener) Close() error {
	var err error
	l.closeOnce.Do(func() {
		close(l.done)
		err = l.Listener.Close()
		l.mu.Lock()
		for c := range l.handshaking {
			c.Close()
		}
		l.handshaking = nil
		l.mu.Unlock()
		l.group.Wait()
	})
	return err
}
