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
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/guard"
)

// The pause before a dial after failed ones. The longest still finds a host
// within a fraction of an election after its return.
const (
	firstPause = 10 * time.Millisecond
	lastPause  = 100 * time.Millisecond
)

// link is one connection.
type link struct {
	client  *rpc.Client
	codec   *codec.Codec
	pending atomic.Int64
	stats   *stats.Set[string]
	idle    *time.Timer // closes the connection
}

func (l *link) alive() bool {
	select {
	case <-l.codec.Done():
		return false
	default:
		return true
	}
}

// peer has the connections to one host.
type peer struct {
	pool    *Pool
	address netip.AddrPort

	mu    sync.Mutex
	links []*link
	dial  *dial // in progress, or nil
	// pause precedes the next dial; it grows with each dial that fails.
	pause time.Duration
}

// dial is one attempt to connect, which several callers may wait for.
type dial struct {
	done   chan struct{}
	cancel context.CancelFunc
	err    error
}

func newPeer(p *Pool, address netip.AddrPort) *peer {
	return &peer{pool: p, address: address}
}

// take returns a connection with its count of pending calls raised by one.
func (v *peer) take(ctx context.Context) (*link, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		l, d, err := v.choose()
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

// choose returns the connection with the fewest calls, or the dial to wait for.
func (v *peer) choose() (*link, *dial, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.pool.closed:
		return nil, nil, zinniapond.ErrNotSent
	default:
	}
	var best *link
	kept := v.links[:0]
	for _, l := range v.links {
		if !l.alive() {
			l.idle.Stop()
			continue
		}
		kept = append(kept, l)
		if best == nil || l.pending.Load() < best.pending.Load() {
			best = l
		}
	}
	clear(v.links[len(kept):])
	v.links = kept
	busy := best == nil || best.pending.Load() >= int64(v.pool.Spread)
	if v.dial == nil && busy && len(v.links) < v.pool.Width {
		v.start()
	}
	if best == nil {
		return nil, v.dial, nil
	}
	best.pending.Add(1)
	return best, nil, nil
}

// start dials in the background: a caller that gives up must not end the dial
// that others wait for.
func (v *peer) start() {
	ctx, cancel := context.WithCancel(context.Background())
	d := &dial{done: make(chan struct{}), cancel: cancel}
	v.dial = d
	v.pool.Stats.Add("peers.dials", 1)
	pause := v.pause
	go func() {
		defer cancel()
		c, err := v.connect(ctx, pause)
		v.mu.Lock()
		defer v.mu.Unlock()
		v.dial = nil
		defer close(d.done)
		if err == nil && ctx.Err() != nil {
			c.Close()
			err = zinniapond.ErrNotSent
		}
		if d.err = err; err != nil {
			v.pool.Stats.Add("peers.refused", 1)
			v.pause = min(max(2*v.pause, firstPause), lastPause)
			return
		}
		v.pause = 0
		l := &link{codec: codec.New(c, v.pool.Limit, v.pool.Beat, v.pool.Silence), stats: v.pool.Stats}
		l.idle = time.AfterFunc(v.pool.Idle, func() { v.retire(l) })
		l.client = rpc.NewClientWithCodec(l.codec)
		v.links = append(v.links, l)
	}()
}

// connect dials after a pause. The calls wait meanwhile, so that a caller that
// tries again at once does not fill a core with dials to a dead host.
func (v *peer) connect(ctx context.Context, pause time.Duration) (net.Conn, error) {
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return v.pool.Guard.Dial(ctx, v.address, guard.Peers)
}

// put gives a connection back after a call.
func (v *peer) put(l *link) {
	if l.pending.Add(-1) == 0 {
		l.idle.Reset(v.pool.Idle)
	}
}

// retire closes a connection that has been idle. The lock keeps choose from
// handing it out meanwhile.
func (v *peer) retire(l *link) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if l.pending.Load() == 0 {
		_ = l.codec.Close()
	}
}

// close ends the connections. The pool has been marked as closed before.
func (v *peer) close() {
	v.mu.Lock()
	links, d := v.links, v.dial
	v.links = nil
	v.mu.Unlock()
	// The codec is closed and not the client: rpc.Client then reports the lost
	// connection to pending calls, and ErrShutdown only to calls not yet sent.
	for _, l := range links {
		l.idle.Stop()
		_ = l.codec.Close()
	}
	if d != nil {
		d.cancel()
		<-d.done
	}
}
