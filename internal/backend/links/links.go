// Package links sends HTTP/1.1 requests to replicas over persistent connections.
// A connection carries one request at a time and is reused only if nothing but
// the answer was received on it. No request is ever sent twice.
package links

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/shard"
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
