package guard

import (
	"net"
	"net/netip"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"zinniapond.example/zinniapond"
)

// handshakes bounds how many connections may be unauthenticated at once, so
// that strangers cannot exhaust memory or descriptors.
const handshakes = 256

// listener accepts authenticated connections only.
type listener struct {
	net.Listener
	guard   *Guard
	logger  hclog.Logger
	purpose string
	slots   chan struct{}
	ready   chan net.Conn
	failed  chan error
	done    chan struct{}
	once    sync.Once
	group   sync.WaitGroup
	// logs bounds the log lines about strangers, as a port scan makes many.
	logs *rate.Limiter

	mu   sync.Mutex
	open map[net.Conn]struct{} // in the handshake
}

// Listen listens at address. Its connections are authenticated; others are
// closed and logged.
func (g *Guard) Listen(address netip.AddrPort, purpose string, logger hclog.Logger) (net.Listener, error) {
	base, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, zinniapond.Wrap("listen for "+purpose, address, err)
	}
	l := &listener{
		Listener: base, guard: g, logger: logger, purpose: purpose,
		slots: make(chan struct{}, handshakes), ready: make(chan net.Conn),
		failed: make(chan error, 1), done: make(chan struct{}),
		logs: rate.NewLimiter(1, 10), open: make(map[net.Conn]struct{}),
	}
	l.group.Add(1)
	go l.loop()
	return l, nil
}

func (l *listener) loop() {
	defer l.group.Done()
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			l.failed <- err
			return
		}
		select {
		case l.slots <- struct{}{}:
			l.group.Add(1)
			go l.greet(raw)
		default:
			l.refuse(raw, "too many open handshakes")
		}
	}
}

func (l *listener) greet(raw net.Conn) {
	defer l.group.Done()
	if !l.track(raw) {
		raw.Close()
		return
	}
	c, err := l.guard.accept(raw, l.purpose)
	l.untrack(raw)
	<-l.slots
	if err != nil {
		l.refuse(raw, err.Error())
		return
	}
	select {
	case l.ready <- c:
	case <-l.done:
		c.Close()
	}
}

func (l *listener) refuse(raw net.Conn, reason string) {
	raw.Close()
	if l.logs.Allow() {
		l.logger.Warn("refused connection", "purpose", l.purpose, "peer", raw.RemoteAddr().String(), "reason", reason)
	}
}

func (l *listener) track(raw net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		return false
	}
	l.open[raw] = struct{}{}
	return true
}

func (l *listener) untrack(raw net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, raw)
}

// Accept returns the next authenticated connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	case err := <-l.failed:
		l.failed <- err
		return nil, err
	}
}

// Close stops listening, ends the open handshakes and waits for them.
func (l *listener) Close() error {
	var err error
	l.once.Do(func() {
		close(l.done)
		err = l.Listener.Close()
		l.mu.Lock()
		for c := range l.open {
			c.Close()
		}
		l.open = nil
		l.mu.Unlock()
		l.group.Wait()
	})
	return err
}
