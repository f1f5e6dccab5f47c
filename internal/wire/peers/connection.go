package peers

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/wire/auth"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

// Bounds of the exponential back-off between failed dials. The maximum is a
// fraction of the duration of an election, so that a host is reached soon after
// its return.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// connection is one authenticated connection to a peer with its RPC client.
type connection struct {
	client    *rpc.Client
	codec     *codec.Codec
	pending   atomic.Int64 // calls in progress
	stats     *stats.Set[string]
	idleTimer *time.Timer // closes the connection after Pool.IdleTimeout without calls
}

func (l *connection) isOpen() bool {
	select {
	case <-l.codec.Done():
		return false
	default:
		return true
	}
}

// peer holds the connections to one host.
type peer struct {
	pool    *Pool
	address netip.AddrPort

	mu          sync.Mutex
	connections []*connection
	pendingDial *dialAttempt // nil if no dial is in progress
	// backoff is the delay before the next dial; it doubles with each failed dial.
	backoff time.Duration
}

// dialAttempt is one attempt to connect. Several callers may wait for it.
type dialAttempt struct {
	done   chan struct{}
	cancel context.CancelFunc
	err    error
}

func newPeer(p *Pool, address netip.AddrPort) *peer {
	return &peer{pool: p, address: address}
}

// acquire returns an open connection and increments its count of pending calls.
// It dials if there is none and waits until ctx is done.
func (v *peer) acquire(ctx context.Context) (*connection, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		l, d, err := v.selectConnection()
		if l != nil || err != nil {
			return l, err
		}
		select {
		case <-d.done:
			if d.err != nil {
				return nil, d.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// acquireWithin is acquire with a time limit, if that is above zero.
func (v *peer) acquireWithin(ctx context.Context, limit time.Duration) (*connection, error) {
	if limit <= 0 {
		return v.acquire(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return v.acquire(ctx)
}

// selectConnection returns the open connection with the fewest pending calls and
// increments their count, or the dial to wait for if none is open. It removes
// closed connections and starts a dial if all connections are busy. Silent connections
// get no calls.
func (v *peer) selectConnection() (*connection, *dialAttempt, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.pool.closed:
		return nil, nil, zinniapond.ErrNotSent
	default:
	}
	now := time.Now()
	var leastLoaded *connection
	open, answering := v.connections[:0], 0
	for _, l := range v.connections {
		if !l.isOpen() {
			l.idleTimer.Stop()
			continue
		}
		open = append(open, l)
		if l.codec.IsSilent(now) {
			continue
		}
		answering++
		if leastLoaded == nil || l.pending.Load() < leastLoaded.pending.Load() {
			leastLoaded = l
		}
	}
	clear(v.connections[len(open):])
	v.connections = open
	busy := leastLoaded == nil || leastLoaded.pending.Load() >= int64(v.pool.CallsPerConnection)
	if v.pendingDial == nil && busy && answering < v.pool.MaxConnections {
		v.startDial()
	}
	if leastLoaded == nil {
		return nil, v.pendingDial, nil
	}
	leastLoaded.pending.Add(1)
	return leastLoaded, nil, nil
}

// startDial dials in the background, with a context of its own: a caller that
// gives up must not cancel the dial that other callers wait for.
func (v *peer) startDial() {
	ctx, cancel := context.WithCancel(context.Background())
	d := &dialAttempt{done: make(chan struct{}), cancel: cancel}
	v.pendingDial = d
	v.pool.Stats.Add("peers.dials", 1)
	backoff := v.backoff
	go func() {
		defer cancel()
		c, err := v.connect(ctx, backoff)
		v.mu.Lock()
		defer v.mu.Unlock()
		v.pendingDial = nil
		defer close(d.done)
		if err == nil && ctx.Err() != nil {
			c.Close()
			err = zinniapond.ErrNotSent
		}
		if d.err = err; err != nil {
			v.pool.Stats.Add("peers.refused", 1)
			v.backoff = min(max(2*v.backoff, minBackoff), maxBackoff)
			return
		}
		v.backoff = 0
		l := &connection{codec: codec.New(c, v.pool.MaxMessageBytes, v.pool.HeartbeatInterval, v.pool.SilenceTimeout), stats: v.pool.Stats}
		l.idleTimer = time.AfterFunc(v.pool.IdleTimeout, func() { v.closeIdle(l) })
		l.client = rpc.NewClientWithCodec(l.codec)
		v.closeSilent(time.Now())
		v.connections = append(v.connections, l)
	}()
}

// closeSilent closes the silent connections once a new one is established, so that the
// calls on them fail and can be repeated. The caller holds mu.
func (v *peer) closeSilent(now time.Time) {
	for _, l := range v.connections {
		if l.codec.IsSilent(now) {
			v.pool.Stats.Add("peers.silent", 1)
			_ = l.codec.Close()
		}
	}
}

// connect dials after the given delay. The calls wait for it, so that a caller
// that retries without delay does not occupy a core with dials to an unreachable
// host.
func (v *peer) connect(ctx context.Context, backoff time.Duration) (net.Conn, error) {
	if backoff > 0 {
		timer := time.NewTimer(backoff)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return v.pool.Authenticator.Dial(ctx, v.address, auth.Peers)
}

// release decrements the count of pending calls and starts the idle timer after
// the last one.
func (v *peer) release(l *connection) {
	if l.pending.Add(-1) == 0 {
		l.idleTimer.Reset(v.pool.IdleTimeout)
	}
}

// closeIdle closes a connection unless it has pending calls. The lock keeps
// selectConnection from returning the connection at the same time.
func (v *peer) closeIdle(l *connection) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if l.pending.Load() == 0 {
		_ = l.codec.Close()
	}
}

// close closes the connections and cancels a dial in progress. The pool has to
// be marked as closed before, so that no further dial starts.
func (v *peer) close() {
	v.mu.Lock()
	connections, d := v.connections, v.pendingDial
	v.connections = nil
	v.mu.Unlock()
	// The codec is closed instead of the client: rpc.Client then reports the lost
	// connection to pending calls, and ErrShutdown only to calls not yet sent.
	for _, l := range connections {
		l.idleTimer.Stop()
		_ = l.codec.Close()
	}
	if d != nil {
		d.cancel()
		<-d.done
	}
}
