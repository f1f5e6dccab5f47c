// Package links sends HTTP/1.1 requests to replicas over kept connections. One
// connection carries one request at a time; it is used again only if nothing
// but the answer has come on it. No request is ever sent twice.
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
	"strconv"
	"strings"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/shard"
)

const (
	// dialLimit bounds a dial. Hosts are a few ms apart; a replica that drops the
	// first packet is left for another.
	dialLimit = time.Second
	// readSize is the buffer of a connection; an event of a stream fits in.
	readSize = 4 << 10
	// usualIdle is for replicas that do not say when they close a connection. One
	// that was closed is noticed before its use.
	usualIdle = 30 * time.Second
	// margin is how long before a replica closes an idle connection it is given
	// up, so that no request meets the close.
	margin = time.Second
	// silentLimit finds a peer that is cut off while nothing is to be sent.
	silentLimit = 5 * time.Second
)

// Pool has the connections to replicas. Its zero value is ready.
type Pool struct {
	// Fresh is the longest idle time of a connection for a request that must not
	// be repeated; zero for no bound. A replica may drop a connection unnoticed,
	// and the request that meets the drop is lost.
	Fresh time.Duration
	// Dialled counts new connections; may be nil.
	Dialled func()

	replicas shard.Map[netip.AddrPort, *replica]
}

// replica has the idle connections to one replica, the last used at the end.
type replica struct {
	mu   sync.Mutex
	idle []*link
	gone bool
}

// link is one connection.
type link struct {
	net.Conn
	owner  *replica
	reader *bufio.Reader
	since  time.Time // idle since
	until  time.Time // the replica may close it from then on
}

// body is the body of an answer. It implements io.ReadCloser.
type body struct {
	answer *http.Response
	raw    io.ReadCloser // as net/http decodes it
	link   *link
	stop   func() bool
	wrote  chan error
	whole  bool
	closed bool
	idle   time.Duration // how long the connection may rest after the answer
	now    func() time.Time
	ctx    context.Context
}

// Do sends a request and returns the answer. request has the head and body as
// bytes. The error wraps ErrNotSent if no byte was written. The connection is
// closed when ctx ends before the answer does. The caller closes the answer's
// body.
func (p *Pool) Do(ctx context.Context, now func() time.Time, to netip.AddrPort, method string, once bool, request []byte) (*http.Response, error) {
	l, err := p.take(ctx, now(), to, once)
	if err != nil {
		return nil, zinniapond.Wrap("connect", to, fmt.Errorf("%w: %w", zinniapond.ErrNotSent, err))
	}
	b := &body{link: l, now: now, ctx: ctx, wrote: make(chan error, 1)}
	b.stop = context.AfterFunc(ctx, func() { l.Close() })
	go func() {
		// An answer may come before the whole request is sent.
		_, err := l.Write(request)
		b.wrote <- err
	}()
	answer, err := readHead(l.reader, method)
	if err != nil {
		b.stop()
		l.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, zinniapond.Wrap("read answer", to, err)
	}
	b.answer, b.raw, b.idle = answer, answer.Body, idleTime(answer.Header.Get("Keep-Alive"))
	answer.Body = b
	return answer, nil
}

// readHead reads the head of the final answer.
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
}

// Read reads the body. It returns io.EOF at the end of a complete body only.
func (b *body) Read(part []byte) (int, error) {
	n, err := b.raw.Read(part)
	if errors.Is(err, io.EOF) {
		b.whole = true
	} else if err != nil && b.ctx.Err() != nil {
		err = b.ctx.Err()
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end, and closes
// it otherwise.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	sent := false
	select {
	case err := <-b.wrote:
		sent = err == nil
	default:
	}
	alive := b.stop()
	l := b.link
	if !alive || !sent || !b.whole || b.answer.Close || b.answer.ContentLength < 0 && len(b.answer.TransferEncoding) == 0 ||
		l.reader.Buffered() > 0 {
		return l.Close()
	}
	l.since = b.now()
	l.until = l.since.Add(b.idle)
	l.owner.put(l)
	return nil
}

// idleTime reads how long the replica keeps an idle connection.
func idleTime(value string) time.Duration {
	for _, p := range strings.Split(value, ",") {
		name, digits, _ := strings.Cut(strings.TrimSpace(p), "=")
		if seconds, err := strconv.Atoi(digits); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			d := time.Duration(seconds) * time.Second
			return max(d-margin, d/2)
		}
	}
	return usualIdle
}

func (r *replica) put(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		_ = l.Close()
		return
	}
	r.idle = append(r.idle, l)
}

// take returns an idle connection, the last used first, or a new one.
func (p *Pool) take(ctx context.Context, now time.Time, to netip.AddrPort, once bool) (*link, error) {
	r := p.replicas.GetOrCreate(to, func() *replica { return new(replica) })
	for {
		l := r.pop()
		if l == nil {
			break
		}
		if now.Before(l.until) && l.silent() {
			if p.usable(now, l, once) {
				return l, nil
			}
			r.put(l)
			break
		}
		_ = l.Close()
	}
	if p.Dialled != nil {
		p.Dialled()
	}
	d := net.Dialer{Timeout: dialLimit, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silentLimit / 2, Interval: silentLimit / 4, Count: 2}}
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return &link{Conn: c, owner: r, reader: bufio.NewReaderSize(c, readSize)}, nil
}

// Idle tells whether a request to a replica would find an idle connection.
func (p *Pool) Idle(now time.Time, to netip.AddrPort, once bool) bool {
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
	return now.Before(l.until) && p.usable(now, l, once)
}

// usable tells whether a connection is fresh enough for a request.
func (p *Pool) usable(now time.Time, l *link, once bool) bool {
	return !once || p.Fresh == 0 || now.Sub(l.since) <= p.Fresh
}

func (r *replica) pop() *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idle) == 0 {
		return nil
	}
	l := r.idle[len(r.idle)-1]
	r.idle = r.idle[:len(r.idle)-1]
	return l
}

// Sweep closes connections that are idle for too long, and all idle ones to
// replicas that are not in keep.
func (p *Pool) Sweep(now time.Time, keep func(netip.AddrPort) bool) {
	var gone []netip.AddrPort
	p.replicas.Each(func(a netip.AddrPort, r *replica) bool {
		if r.sweep(now, keep(a)) {
			gone = append(gone, a)
		}
		return true
	})
	for _, a := range gone {
		p.replicas.Delete(a)
	}
}

func (r *replica) sweep(now time.Time, keep bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = !keep
	left := r.idle[:0]
	for _, l := range r.idle {
		if keep && now.Before(l.until) {
			left = append(left, l)
		} else {
			_ = l.Close()
		}
	}
	r.idle = left
	return r.gone
}
