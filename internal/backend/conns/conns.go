// Package conns sends single HTTP requests to backend servers. Unlike
// net/http's client it never sends a request twice by itself, and it knows
// whether any byte of a request was written.
package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/shard"
)

const (
	// dialLimit bounds a dial: hosts are about 1 ms apart, and three lost SYN
	// packets take 3 s.
	dialLimit = 3 * time.Second
	// idleLimit is short so that few requests meet a connection that the
	// server is about to close.
	idleLimit = 15 * time.Second
	// AnswerMost bounds the bytes of one answer.
	AnswerMost = 32 << 20
	// finishLimit and finishMost bound the wait for the end of an answer: a new
	// connection costs less.
	finishLimit = 50 * time.Millisecond
	finishMost  = 4 << 10
	// headerMost bounds the header of an answer.
	headerMost = 64 << 10
)

// keepAlive finds a peer that was cut off within 6 s, also while a request
// waits for its answer and nothing is to be sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// ErrSilent is the cause of an attempt that ended for lack of progress.
var ErrSilent = errors.New("no progress")

// Pool has the connections to backend servers. Its zero value is ready.
type Pool struct {
	// Progress is the longest silence within an answer.
	Progress time.Duration
	// Attempt bounds a request as a whole; none if zero.
	Attempt time.Duration
	// Single uses each connection for one request only, so that net/http has
	// no reason to send a request again on another connection.
	Single bool

	servers shard.Map[netip.AddrPort, *http.Transport]
}

// Exchange is one request with its answer.
type Exchange struct {
	Answer *http.Response

	pool     *Pool
	server   netip.AddrPort
	used     *http.Transport
	cancel   context.CancelCauseFunc
	ctx      context.Context
	timer    *time.Timer
	stop     context.CancelFunc
	deadline int
	read     int64

	mu    sync.Mutex
	tries []try
}

// try is one connection that the request was given to. There can be several:
// net/http sends a repeatable request again when a reused connection breaks.
type try struct {
	conn   *counter
	before int64 // bytes written on it before the request
}

// counter counts the bytes written on a connection.
type counter struct {
	net.Conn
	written atomic.Int64
}

func (c *counter) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func (p *Pool) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialLimit, KeepAliveConfig: keepAlive}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &counter{Conn: c}, nil
		},
		DisableKeepAlives:      p.Single,
		DisableCompression:     true, // bytes pass through as they are
		IdleConnTimeout:        idleLimit,
		MaxIdleConnsPerHost:    64,
		MaxResponseHeaderBytes: headerMost,
	}
}

// When the progress deadline holds before the answer's header has arrived. It
// is not for answers whose header comes only at their end.
const (
	Never = iota
	// Reused is for healthy servers that may be slow: a fresh connection waits,
	// a reused one may be silent for good.
	Reused
	Always
)

// Do sends the request and returns once the answer's header has arrived. The
// error wraps ErrNotSent if no byte of the request was written. The caller
// closes the exchange.
func (p *Pool) Do(ctx context.Context, server netip.AddrPort, request *http.Request, deadline int) (*Exchange, error) {
	x := &Exchange{pool: p, server: server, deadline: deadline, stop: func() {}}
	if p.Attempt > 0 {
		ctx, x.stop = context.WithTimeout(ctx, p.Attempt)
	}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.used = p.servers.GetOrCreate(server, p.transport)
	x.timer = time.AfterFunc(time.Hour, func() { x.cancel(ErrSilent) })
	x.timer.Stop()
	trace := &httptrace.ClientTrace{GotConn: x.got}
	request = request.WithContext(httptrace.WithClientTrace(x.ctx, trace))
	answer, err := x.used.RoundTrip(request)
	if err != nil {
		err = x.cause(err)
		sent := x.sent()
		x.Close()
		if !sent {
			err = fmt.Errorf("%w: %w", zinniapond.ErrNotSent, err)
		}
		return nil, zinniapond.Wrap("send request", server, err)
	}
	x.Answer = answer
	x.arm()
	return x, nil
}

// got is told of the connection for the request.
func (x *Exchange) got(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*counter); ok {
		x.mu.Lock()
		x.tries = append(x.tries, try{conn: c, before: c.written.Load()})
		x.mu.Unlock()
	}
	if x.deadline == Always || x.deadline == Reused && info.Reused {
		x.arm()
	}
}

// sent tells whether any byte of the request was written. RoundTrip returns an
// error only after it has closed the connection, so that none follows.
func (x *Exchange) sent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, t := range x.tries {
		if t.conn.written.Load() > t.before {
			return true
		}
	}
	return false
}

// arm restarts the progress deadline.
func (x *Exchange) arm() {
	if x.pool.Progress > 0 {
		x.timer.Reset(x.pool.Progress)
	}
}

// cause returns why the exchange was ended instead of the bare cancellation.
func (x *Exchange) cause(err error) error {
	c := context.Cause(x.ctx)
	if c == nil {
		return err
	}
	if errors.Is(c, ErrSilent) {
		x.pool.renew(x.server, x.used)
		return fmt.Errorf("%w for %s", ErrSilent, x.pool.Progress)
	}
	return c
}

// Read reads the answer's body under the progress deadline and the bound on
// its size.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.Answer.Body.Read(b)
	x.arm()
	x.read += int64(n)
	if x.read > AnswerMost {
		return 0, fmt.Errorf("answer has more than %d bytes", AnswerMost)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = x.cause(err)
	}
	return n, err
}

// Finish reads the end of an answer whose content is complete. A connection is
// used again only after that.
func (x *Exchange) Finish() {
	x.timer.Reset(finishLimit)
	_, _ = io.Copy(io.Discard, io.LimitReader(x.Answer.Body, finishMost))
}

// Close ends the exchange. An unread rest closes the connection.
func (x *Exchange) Close() {
	x.timer.Stop()
	if x.Answer != nil {
		x.Answer.Body.Close()
	}
	x.cancel(context.Canceled)
	x.stop()
}

// renew drops the connections to a server after one of them went silent, as
// the others may be in the same state. The next request dials afresh.
func (p *Pool) renew(server netip.AddrPort, used *http.Transport) {
	p.servers.Do(server, func(values map[netip.AddrPort]*http.Transport) {
		if values[server] == used {
			delete(values, server)
		}
	})
	used.CloseIdleConnections()
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.servers.Each(func(_ netip.AddrPort, t *http.Transport) bool {
		t.CloseIdleConnections()
		return true
	})
}
