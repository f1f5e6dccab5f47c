// Package conns sends single HTTP requests to backend servers over pooled
// connections. Unlike net/http's Client, it does not repeat a request of its
// own accord, and it records whether any byte of a request was written.
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
	// dialTimeout bounds a dial. Hosts are about 1 ms apart, and three lost SYN
	// packets delay a dial by 3 s.
	dialTimeout = 3 * time.Second
	// idleTimeout is the time after which an idle connection is closed. It is
	// short so that few requests are sent on a connection that the server is
	// about to close.
	idleTimeout = 15 * time.Second
	// maxStatus is the highest HTTP status.
	maxStatus = 599
	// MaxAnswerBytes is the maximum size of an answer's body in bytes.
	MaxAnswerBytes = 32 << 20
	// drainTimeout and maxDrainBytes bound the reading of the bytes after an
	// answer's content, which makes the connection reusable: beyond these
	// limits a new connection costs less.
	drainTimeout  = 50 * time.Millisecond
	maxDrainBytes = 4 << 10
	// maxHeaderBytes is the maximum size of an answer's header.
	maxHeaderBytes = 64 << 10
	// RequestIDField is the header field with the id of a request, which a server
	// repeats in its answer.
	RequestIDField = "X-Request-Id"
)

// keepAlive detects an unreachable peer within 6 s, also while a request waits
// for its answer and there is nothing to send.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// ErrNoProgress is the error of an exchange that was cancelled because the
// server sent nothing for the duration Pool.ProgressTimeout.
var ErrNoProgress = errors.New("no progress")

// Pool holds one HTTP transport, with its connections, for each backend server.
// The zero value is ready for use.
type Pool struct {
	// ProgressTimeout is the longest time without a byte of the answer; zero for
	// no limit.
	ProgressTimeout time.Duration
	// AttemptTimeout bounds a request as a whole, until the exchange is closed;
	// zero for no limit.
	AttemptTimeout time.Duration
	// DisableReuse disables the reuse of connections: net/http repeats a request
	// by itself only when a reused connection breaks.
	DisableReuse bool
	// RequireID restricts the reuse of connections to servers whose answers have the
	// ids of their requests. A server may send a second copy of an answer late. On a
	// connection that is used again, only the id distinguishes it from the next one.
	RequireID bool

	transports shard.Map[netip.AddrPort, *http.Transport]
	// echoing has the servers whose last answer had the id of its request.
	echoing shard.Map[netip.AddrPort, struct{}]
}

// exchange is one request with its answer. It is the body of the answer that Do returns.
type exchange struct {
	answer *http.Response
	body   io.ReadCloser // of the answer, as net/http decodes it

	pool          *Pool
	server        netip.AddrPort
	transport     *http.Transport
	cancel        context.CancelCauseFunc
	ctx           context.Context
	progressTimer *time.Timer
	cancelTimeout context.CancelFunc
	deadlineMode  int
	bytesRead     int64
	// countsEvents is set if bytes are no progress.
	countsEvents bool

	reused atomic.Bool // the connection has carried an earlier request

	mu            sync.Mutex
	assignedConns []assignedConn
	writeDone     chan struct{} // closed when no more of the request is written
}

// assignedConn is a connection that net/http has chosen for the request. There
// can be several: net/http sends a repeatable request again when a reused
// connection breaks.
type assignedConn struct {
	conn          *countingConn
	writtenBefore int64 // bytes written on conn before the request
}

// countingConn counts the bytes written on a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// writeFailed is set after a write that failed for another reason than the close of the
	// connection on this side. net/http hides the reason.
	writeFailed atomic.Bool
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.writeFailed.Store(true)
	}
	return n, err
}

func (p *Pool) newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		DisableKeepAlives:      p.DisableReuse,
		DisableCompression:     true, // the body is forwarded as the server encoded it
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    64,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Deadline modes: whether the progress deadline also applies before the
// answer's header has arrived. Servers that send the header only when the
// answer is complete need DeadlineNever.
const (
	DeadlineNever = iota
	// DeadlineOnReused applies the deadline only on a reused connection, which
	// the server may never answer on. On a new connection it does not apply, as
	// a healthy server may be slow.
	DeadlineOnReused
	DeadlineAlways
)

// Do sends the request and returns once the answer's header has arrived;
// deadlineMode is DeadlineNever, DeadlineOnReused or DeadlineAlways. The error
// wraps ErrNotSent if no byte of the request was written. The caller closes the
// answer's body, which ends the exchange: the connection is closed unless the body
// was read to its end.
func (p *Pool) Do(ctx context.Context, server netip.AddrPort, request *http.Request, deadlineMode int) (*http.Response, error) {
	x := &exchange{pool: p, server: server, deadlineMode: deadlineMode, cancelTimeout: func() {}}
	if p.AttemptTimeout > 0 {
		ctx, x.cancelTimeout = context.WithTimeout(ctx, p.AttemptTimeout)
	}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.transport = p.transports.GetOrCreate(server, p.newTransport)
	x.progressTimer = time.AfterFunc(time.Hour, func() { x.cancel(ErrNoProgress) })
	x.progressTimer.Stop()
	clientTrace := &httptrace.ClientTrace{GotConn: x.recordConn, WroteRequest: x.recordWrite}
	request = request.WithContext(httptrace.WithClientTrace(x.ctx, clientTrace))
	id := request.Header.Get(RequestIDField)
	if _, echoes := p.echoing.Get(server); p.RequireID && !echoes {
		request.Close = true
	}
	answer, err := x.transport.RoundTrip(request)
	if err != nil {
		err = x.cancelCause(err)
		wroteAny := x.wroteAny()
		_ = x.Close() // there is no body
		if !wroteAny {
			err = fmt.Errorf("%w: %w", zinniapond.ErrNotSent, err)
		}
		return nil, zinniapond.Wrap("send request", server, err)
	}
	x.answer, x.body, answer.Body = answer, answer.Body, x
	// net/http accepts any three digits.
	if answer.StatusCode < http.StatusOK || answer.StatusCode > maxStatus {
		_ = x.Close() // the answer is not used
		return nil, zinniapond.Wrap("read answer", server, fmt.Errorf("answer with status %03d: %w", answer.StatusCode, zinniapond.ErrBackendFailed))
	}
	if err := x.checkID(id); err != nil {
		_ = x.Close() // the answer is not used
		return nil, zinniapond.Wrap("read answer", server, err)
	}
	x.resetProgressTimer()
	return answer, nil
}

// checkID checks that the answer has the id of the request. It may have none unless
// the connection was reused in a pool with RequireID.
func (x *exchange) checkID(id string) error {
	switch answered := x.answer.Header.Get(RequestIDField); {
	case answered == id:
		x.pool.echoing.Set(x.server, struct{}{})
		return nil
	case answered == "" && (!x.pool.RequireID || !x.reused.Load()):
		x.pool.echoing.Delete(x.server)
		return nil
	default:
		x.pool.echoing.Delete(x.server)
		return fmt.Errorf("%w: answer is for request %q", zinniapond.ErrBackendFailed, answered)
	}
}

// recordConn records a connection that net/http has chosen for the request, and
// starts the progress deadline if the deadline mode asks for it.
func (x *exchange) recordConn(info httptrace.GotConnInfo) {
	x.reused.Store(info.Reused)
	if c, ok := info.Conn.(*countingConn); ok {
		x.mu.Lock()
		x.assignedConns = append(x.assignedConns, assignedConn{conn: c, writtenBefore: c.written.Load()})
		x.writeDone = make(chan struct{})
		x.mu.Unlock()
	}
	if x.deadlineMode == DeadlineAlways || x.deadlineMode == DeadlineOnReused && info.Reused {
		x.resetProgressTimer()
	}
}

// recordWrite records that the request is written, or that this has failed.
func (x *exchange) recordWrite(httptrace.WroteRequestInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.writeDone)
}

// awaitOrderlyEnd returns io.EOF if the connection of an answer without length was closed
// in order. The operating system reports a reset only once: if the goroutine that writes
// the request gets it, reads end as after an orderly close.
func (x *exchange) awaitOrderlyEnd() error {
	x.mu.Lock()
	done, assigned := x.writeDone, x.assignedConns
	x.mu.Unlock()
	if len(assigned) == 0 {
		return io.EOF // not a connection of this pool
	}
	// net/http closes the connection after such an answer, which ends the write.
	select {
	case <-done:
	case <-x.ctx.Done():
		return x.ctx.Err()
	}
	if assigned[len(assigned)-1].conn.writeFailed.Load() {
		return fmt.Errorf("connection was reset while the request was written: %w", io.ErrUnexpectedEOF)
	}
	return io.EOF
}

// wroteAny reports whether any byte of the request was written. It is called
// after RoundTrip has failed: RoundTrip closes the connection before it returns
// an error, so no byte is written later.
func (x *exchange) wroteAny() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, t := range x.assignedConns {
		if t.conn.written.Load() > t.writtenBefore {
			return true
		}
	}
	return false
}

// resetProgressTimer restarts the progress deadline.
func (x *exchange) resetProgressTimer() {
	if x.pool.ProgressTimeout > 0 {
		x.progressTimer.Reset(x.pool.ProgressTimeout)
	}
}

// cancelCause returns the reason for which the exchange's context was cancelled,
// or err if it was not cancelled.
func (x *exchange) cancelCause(err error) error {
	c := context.Cause(x.ctx)
	if c == nil {
		return err
	}
	if errors.Is(c, ErrNoProgress) {
		x.pool.dropTransport(x.server, x.transport)
		return fmt.Errorf("%w for %s", ErrNoProgress, x.pool.ProgressTimeout)
	}
	return c
}

// Read reads the answer's body. It restarts the progress deadline unless events are
// counted, and fails once the body exceeds MaxAnswerBytes.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.body.Read(b)
	if !x.countsEvents {
		x.resetProgressTimer()
	}
	x.bytesRead += int64(n)
	if x.bytesRead > MaxAnswerBytes {
		return 0, fmt.Errorf("answer has more than %d bytes", MaxAnswerBytes)
	}
	if errors.Is(err, io.EOF) && x.answer.ContentLength < 0 && len(x.answer.TransferEncoding) == 0 {
		err = x.awaitOrderlyEnd()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = x.cancelCause(err)
	}
	return n, err
}

// CountEvents makes only complete events of an answer of Pool.Do count as progress from now
// on, which the caller reports by RecordEvent. A server that sends a byte now and then makes
// none.
func CountEvents(answer *http.Response) {
	if x, ok := answer.Body.(*exchange); ok {
		x.countsEvents = true
		x.resetProgressTimer()
	}
}

// RecordEvent restarts the progress deadline of an answer of Pool.Do.
func RecordEvent(answer *http.Response) {
	if x, ok := answer.Body.(*exchange); ok {
		x.resetProgressTimer()
	}
}

// Drain reads and discards the remaining bytes of an answer of Pool.Do whose content
// is complete, within drainTimeout and maxDrainBytes. net/http reuses a
// connection only after the body was read to its end.
func Drain(answer *http.Response) {
	x, ok := answer.Body.(*exchange)
	if !ok {
		return // not an answer of Pool.Do
	}
	x.progressTimer.Reset(drainTimeout)
	_, _ = io.Copy(io.Discard, io.LimitReader(x.body, maxDrainBytes))
}

// Close ends the exchange. If the body was not read to its end, the connection
// is closed too.
func (x *exchange) Close() error {
	x.progressTimer.Stop()
	var err error
	if x.body != nil {
		err = x.body.Close()
	}
	x.cancel(context.Canceled)
	x.cancelTimeout()
	return err
}

// dropTransport discards the connections to a server after one of them stopped
// making progress, as the others may be broken in the same way. The next request
// opens a new connection.
func (p *Pool) dropTransport(server netip.AddrPort, transport *http.Transport) {
	p.transports.Update(server, func(transports map[netip.AddrPort]*http.Transport) {
		if transports[server] == transport {
			delete(transports, server)
		}
	})
	transport.CloseIdleConnections()
}

// Close closes all idle connections. Requests in progress keep theirs.
func (p *Pool) Close() {
	p.transports.Each(func(_ netip.AddrPort, t *http.Transport) bool {
		t.CloseIdleConnections()
		return true
	})
}
