// Package links sends HTTP/1.1 requests to replicas over persistent connections.
// A connection carries one request at a time and is reused only if nothing but
// the answer was received on it. No request is ever sent twice.
package links

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/shard"
)

const (
	// dialTimeout bounds a dial. Hosts are a few ms apart; if a replica drops the
	// first packet, the caller does better to try another replica.
	dialTimeout = time.Second
	// readBufferBytes is the size of a connection's read buffer; one event of a
	// stream fits in.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the header of an answer with all interim answers before it.
	maxHeadBytes = 64 << 10
	// maxCopies and maxCopyBytes bound the late copies of other answers that are
	// skipped before an answer, and the body of one.
	maxCopies    = 4
	maxCopyBytes = 1 << 20
	// maxErrorBytes bounds the text of an error about a header.
	maxErrorBytes = 200
	// maxRefusedIDs is the number of refused requests that a connection remembers.
	maxRefusedIDs = 16
	// defaultIdleTimeout applies to replicas that do not announce their own idle
	// timeout. A connection that the replica has closed is detected before its
	// reuse.
	defaultIdleTimeout = 30 * time.Second
	// maxIdleSeconds bounds the idle timeout that a replica announces.
	maxIdleSeconds = 3600
	// idleMargin is how long before the replica's idle timeout a connection is
	// closed on this side, so that no request is sent while the replica closes it.
	idleMargin = time.Second
	// keepAliveTimeout is the time within which an unreachable peer is detected
	// while there is nothing to send.
	keepAliveTimeout = 5 * time.Second
)

// Pool holds the idle connections to replicas. The zero value is ready for use.
type Pool struct {
	// MaxIdleNonRepeatable is the longest idle time of a connection for a
	// request that must not be repeated; zero for no limit. A replica may drop a
	// connection unnoticed, and a request sent on such a connection is lost.
	MaxIdleNonRepeatable time.Duration
	// OnDial is called for each new connection, before it is opened; may be nil.
	OnDial func(reason zinniapond.OpenReason)
	// IDField is the header field in which an answer has the id of its request. An
	// answer with another id is a late copy and is skipped. Empty if answers have no
	// id.
	IDField string

	replicas shard.Map[netip.AddrPort, *replicaConns]
}

// replicaConns holds the idle connections to one replica, the most recently used
// at the end. Once removed is set, returned connections are closed.
type replicaConns struct {
	mu      sync.Mutex
	idle    []*connection
	removed bool
	opens   opens
}

// errHeadTooLarge reports a header that has not ended after maxHeadBytes.
var errHeadTooLarge = fmt.Errorf("header of the answer has more than %d bytes", maxHeadBytes)

// connection is a connection to a replica with its buffered reader.
type connection struct {
	net.Conn
	replica       *replicaConns
	reader        *bufio.Reader
	limiter       *headLimiter // source of reader
	idleSince     time.Time
	reusableUntil time.Time // the replica may close the connection after that
	// refused has the ids of the last requests that were answered with an error. A
	// copy of such an answer could not be told from the answer to the same request.
	refused []string
	// written is set while all bytes of the last request are written.
	written  atomic.Bool
	restarts int         // of the replica when the connection was opened
	closed   atomic.Bool // set by closeFor
}

// abort closes the connection. The rest of a request that is not written is dropped at
// once: the operating system would go on sending what it holds of it, for as long as a
// replica that reads slowly takes.
func (l *connection) abort(reason zinniapond.OpenReason) error {
	if c, ok := l.Conn.(*net.TCPConn); ok && !l.written.Load() {
		_ = c.SetLinger(0) // fails only if the connection is closed
	}
	return l.closeFor(reason)
}

// body is the body of an answer. It implements io.ReadCloser.
type body struct {
	answer           *http.Response
	id               string        // of the request
	copies           int           // number of late copies before the answer
	decoded          io.ReadCloser // as net/http decodes it
	connection       *connection
	stopCancellation func() bool   // stops closing the connection at the end of ctx
	writeDone        chan struct{} // closed when no more of the request is written
	complete         bool
	closed           bool
	idleTimeout      time.Duration // how long the connection may be idle after the answer
	now              func() time.Time
	ctx              context.Context
}

// headLimiter limits the bytes that are read from a connection while a header is
// expected. net/http would collect header fields for as long as they arrive.
type headLimiter struct {
	source    io.Reader
	limited   bool
	remaining int
}

// expectHead sets the limit for the next header.
func (h *headLimiter) expectHead() { h.limited, h.remaining = true, maxHeadBytes }

// expectBody removes the limit.
func (h *headLimiter) expectBody() { h.limited = false }

func (h *headLimiter) Read(part []byte) (int, error) {
	if !h.limited {
		return h.source.Read(part)
	}
	if h.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.source.Read(part[:min(len(part), h.remaining)])
	h.remaining -= n
	return n, err
}

// Do sends a request and returns the answer once its header has arrived.
// request is the encoded request, header and body. nonRepeatable limits the
// idle time of a reused connection to MaxIdleNonRepeatable. The error wraps
// ErrNotSent if no byte was written, and ErrUnavailable if nothing listens there. The
// connection is closed if ctx ends before the answer is read. The caller closes the
// answer's body. id is the id of the request; it may be empty if IDField is.
func (p *Pool) Do(ctx context.Context, now func() time.Time, to netip.AddrPort, method, id string, nonRepeatable bool, request []byte) (*http.Response, error) {
	return p.DoUntil(ctx, now, time.Time{}, to, method, id, nonRepeatable, request)
}

// DoUntil is like Do, but sends nothing from the instant until on. The connection may take
// as long as dialTimeout. The error then wraps ErrPermitExpired and ErrNotSent.
func (p *Pool) DoUntil(ctx context.Context, now func() time.Time, until time.Time, to netip.AddrPort, method, id string, nonRepeatable bool, request []byte) (*http.Response, error) {
	l, err := p.acquire(ctx, now(), to, id, nonRepeatable)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = fmt.Errorf("%w: %w", zinniapond.ErrUnavailable, err)
		}
		return nil, zinniapond.Wrap("connect", to, fmt.Errorf("%w: %w", zinniapond.ErrNotSent, err))
	}
	if at := now(); !until.IsZero() && !at.Before(until) {
		if l.reusableUntil.IsZero() { // a new connection
			l.idleSince, l.reusableUntil = at, at.Add(defaultIdleTimeout)
		}
		l.replica.put(l)
		return nil, zinniapond.Wrap("send request", to, fmt.Errorf("%w: %w", zinniapond.ErrNotSent, zinniapond.ErrPermitExpired))
	}
	b := &body{connection: l, id: id, now: now, ctx: ctx, writeDone: make(chan struct{})}
	l.written.Store(false)
	b.stopCancellation = context.AfterFunc(ctx, func() { _ = l.abort(zinniapond.OpenAfterError) })
	go func() {
		// An answer may arrive before the whole request is written.
		_, err := l.Write(request)
		l.written.Store(err == nil)
		close(b.writeDone)
	}()
	answer, copies, err := p.readAnswer(l, method, id)
	if err != nil {
		b.stopCancellation()
		_ = l.abort(zinniapond.OpenAfterError)
		<-b.writeDone // the close ends the write; the request is in memory until then
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, zinniapond.Wrap("read answer", to, err)
	}
	b.copies = copies
	b.answer, b.decoded, b.idleTimeout = answer, answer.Body, parseIdleTimeout(answer.Header.Get("Keep-Alive"))
	answer.Body = b
	return answer, nil
}

// readAnswer reads the header of the answer to a request and skips late copies of other
// answers before it.
func (p *Pool) readAnswer(l *connection, method, id string) (answer *http.Response, copies int, err error) {
	for {
		l.limiter.expectHead()
		answer, err = readHead(l.reader, method)
		l.limiter.expectBody()
		if err != nil {
			return nil, copies, err
		}
		other := ""
		if p.IDField != "" {
			other = answer.Header.Get(p.IDField)
		}
		if other == "" || other == id {
			return answer, copies, nil
		}
		if copies++; copies > maxCopies {
			return nil, copies, fmt.Errorf("more than %d answers to other requests", maxCopies)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxCopyBytes))
		if err == nil && n == maxCopyBytes {
			err = fmt.Errorf("more than %d bytes", maxCopyBytes)
		}
		if err != nil {
			return nil, copies, fmt.Errorf("skip answer to request %q: %w", other, err)
		}
	}
}

// readHead reads the header of the final answer and skips interim answers (1xx).
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, shorten(err)
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
}

// shorten bounds the text of an error. net/http repeats a malformed line, which may have
// maxHeadBytes.
func shorten(err error) error {
	if len(err.Error()) <= maxErrorBytes {
		return err
	}
	return fmt.Errorf("%.*q (shortened)", maxErrorBytes, err.Error())
}

// Read reads the body. It returns io.EOF at the end of a complete body only.
func (b *body) Read(part []byte) (int, error) {
	n, err := b.decoded.Read(part)
	if errors.Is(err, io.EOF) {
		b.complete = true
	} else if err != nil && b.ctx.Err() != nil {
		err = b.ctx.Err()
	}
	return n, err
}

// Close returns the connection to the pool if the request was written, the
// answer was read to its end and nothing else was received. Otherwise it closes
// the connection.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	notCancelled := b.stopCancellation()
	l := b.connection
	if b.answer.StatusCode >= http.StatusBadRequest {
		l.refused = append(l.refused, b.id)
		l.refused = l.refused[max(len(l.refused)-maxRefusedIDs, 0):]
	}
	if !notCancelled || !b.connection.written.Load() || !b.complete || b.copies > 0 || b.answer.Close || b.answer.ContentLength < 0 && len(b.answer.TransferEncoding) == 0 ||
		l.reader.Buffered() > 0 {
		err := l.abort(b.closeReason(notCancelled))
		<-b.writeDone // the close ends the write; the request is in memory until then
		return err
	}
	l.idleSince = b.now()
	l.reusableUntil = l.idleSince.Add(b.idleTimeout)
	l.replica.put(l)
	return nil
}

// parseIdleTimeout returns how long a connection may be idle, from the replica's
// Keep-Alive header: the announced timeout less idleMargin, but at least half of
// it.
func parseIdleTimeout(value string) time.Duration {
	for _, p := range strings.Split(value, ",") {
		name, digits, _ := strings.Cut(strings.TrimSpace(p), "=")
		if seconds, err := strconv.Atoi(digits); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			d := time.Duration(min(seconds, maxIdleSeconds)) * time.Second
			return max(d-idleMargin, d/2)
		}
	}
	return defaultIdleTimeout
}

func (r *replicaConns) put(l *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.removed {
		_ = l.closeFor(zinniapond.OpenStale)
		return
	}
	if r.opens.isOverShare(len(r.idle) + 1) {
		_ = l.closeFor(zinniapond.OpenOverShare)
		return
	}
	r.idle = append(r.idle, l)
}

// acquire returns the most recently used idle connection if it is usable, or a
// new one.
func (p *Pool) acquire(ctx context.Context, now time.Time, to netip.AddrPort, id string, nonRepeatable bool) (*connection, error) {
	r := p.replicas.GetOrCreate(to, func() *replicaConns { return new(replicaConns) })
	hasIdle := false
	for l := r.pop(); l != nil; l = r.pop() {
		if !now.Before(l.reusableUntil) {
			_ = l.closeFor(zinniapond.OpenStale)
			continue
		}
		if !l.receivedNothing() {
			_ = l.closeFor(zinniapond.OpenClosedIdle)
			continue
		}
		if p.isUsable(now, l, nonRepeatable) && (id == "" || !slices.Contains(l.refused, id)) {
			return l, nil
		}
		r.put(l)
		hasIdle = true
		break
	}
	reason, restarts, err := r.beginOpen(hasIdle, id)
	if err != nil {
		return nil, err
	}
	p.recordOpen(reason)
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveTimeout / 2, Interval: keepAliveTimeout / 4, Count: 2}}
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		r.opens.fail(reason)
		return nil, err
	}
	limiter := &headLimiter{source: c}
	return &connection{Conn: c, replica: r, reader: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter, restarts: restarts}, nil
}

// IsRefused reports whether connections to an address are refused, as nothing listens
// there. It is false if that is not known before ctx is done.
func (p *Pool) IsRefused(ctx context.Context, to netip.AddrPort) bool {
	p.recordOpen(zinniapond.OpenProbe)
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// HasIdleConnection reports whether a request to a replica would find a
// usable idle connection.
func (p *Pool) HasIdleConnection(now time.Time, to netip.AddrPort, nonRepeatable bool) bool {
	r, ok := p.replicas.Get(to)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idle) == 0 {
		return false
	}
	l := r.idle[len(r.idle)-1]
	return now.Before(l.reusableUntil) && p.isUsable(now, l, nonRepeatable)
}

// isUsable reports whether a connection may be reused for a request: one for a
// non-repeatable request has been idle for at most MaxIdleNonRepeatable.
func (p *Pool) isUsable(now time.Time, l *connection, nonRepeatable bool) bool {
	return !nonRepeatable || p.MaxIdleNonRepeatable == 0 || now.Sub(l.idleSince) <= p.MaxIdleNonRepeatable
}

func (r *replicaConns) pop() *connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idle) == 0 {
		return nil
	}
	l := r.idle[len(r.idle)-1]
	r.idle = r.idle[:len(r.idle)-1]
	return l
}

// CloseExpired closes connections past their idle timeout, and all idle
// connections to replicas for which keep returns false.
func (p *Pool) CloseExpired(now time.Time, keep func(netip.AddrPort) bool) {
	var removed []netip.AddrPort
	p.replicas.Each(func(a netip.AddrPort, r *replicaConns) bool {
		if r.sweep(now, keep(a)) {
			removed = append(removed, a)
		}
		return true
	})
	for _, a := range removed {
		p.replicas.Delete(a)
	}
}

func (r *replicaConns) sweep(now time.Time, keep bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = !keep
	kept := r.idle[:0]
	for _, l := range r.idle {
		if keep && now.Before(l.reusableUntil) {
			kept = append(kept, l)
		} else {
			_ = l.closeFor(zinniapond.OpenStale)
		}
	}
	r.idle = kept
	return r.removed
}
