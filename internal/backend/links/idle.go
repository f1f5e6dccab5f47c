package links

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// dialTimeout bounds a dial. Hosts are a few ms apart; if a replica drops the
	// first packet, the caller does better to try another replica.
	dialTimeout = time.Second
	// readBufferBytes is the size of a connection's read buffer; one event of a
	// stream fits in.
	readBufferBytes = 4 << 10
	// keepAliveTimeout is the time within which an unreachable peer is detected
	// while there is nothing to send.
	keepAliveTimeout = 5 * time.Second
)

// replicaConns holds the idle connections to one replica, the most recently used
// at the end. Once removed is set, returned connections are closed.
type replicaConns struct {
	mu      sync.Mutex
	idle    []*connection
	removed bool
	opens   opens
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
