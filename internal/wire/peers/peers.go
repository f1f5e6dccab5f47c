// Package peers calls other hosts by net/rpc over authenticated connections
// that are watched for silence.
package peers

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/guard"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Peers, error) {
		p := New(guard.New(k.Settings))
		var err error
		p.Stats, err = kernel.FindNamed[*stats.Set[string]](k, "default")
		return p, err
	})
}

// Defaults of New.
const (
	defaultDeadline = 5 * time.Second
	defaultWidth    = 4
	// defaultSpread is how many calls one connection carries before another is
	// opened. Few connections keep the heartbeats of idle hosts few.
	defaultSpread = 16
	// defaultIdle is how long an unused connection is kept. A status request
	// opens one to every host, whose heartbeats would otherwise go on for ever.
	defaultIdle = 30 * time.Second
)

// Pool keeps the connections to other hosts. Its exported fields are set before
// use.
type Pool struct {
	Guard *guard.Guard
	// Deadline bounds a call whose context has none.
	Deadline time.Duration
	// Width is the largest number of connections to one peer, and Spread the
	// number of calls on all of them from which another is opened.
	Width, Spread int
	// Idle is the time without a call after which a connection is closed.
	Idle time.Duration
	// Stats counts calls, calls without an answer, dials and failed dials; may
	// be nil.
	Stats *stats.Set[string]
	// Limit, Beat and Silence are handed to the codec.
	Limit         int
	Beat, Silence time.Duration

	peers  shard.Map[netip.AddrPort, *peer]
	closed chan struct{}
}

// New returns a pool with the default bounds.
func New(g *guard.Guard) *Pool {
	return &Pool{
		Guard: g, Deadline: defaultDeadline, Width: defaultWidth, Spread: defaultSpread, Idle: defaultIdle,
		closed: make(chan struct{}),
	}
}

// Run closes all connections once ctx is done. Calls before Run are allowed,
// calls after it fail.
func (p *Pool) Run(ctx context.Context) error {
	<-ctx.Done()
	close(p.closed)
	var all []*peer
	p.peers.Each(func(_ netip.AddrPort, v *peer) bool {
		all = append(all, v)
		return true
	})
	for _, v := range all {
		v.close()
	}
	return nil
}

// Call runs a method of a peer. An error wraps ErrNotSent if no byte of the
// request can have reached the peer.
func (p *Pool) Call(ctx context.Context, address netip.AddrPort, method string, request, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.Deadline)
		defer cancel()
	}
	data, err := codec.Marshal(request)
	if err != nil {
		return unsent(method, address, err)
	}
	p.Stats.Add("peers.calls", 1)
	v := p.peers.GetOrCreate(address, func() *peer { return newPeer(p, address) })
	for {
		l, err := v.take(ctx)
		if err != nil {
			return unsent(method, address, err)
		}
		err = l.call(ctx, method, data, reply)
		v.put(l)
		if errors.Is(err, rpc.ErrShutdown) {
			// The connection had ended before the request was written. It is
			// marked as closed, so the next turn dials.
			_ = l.codec.Close()
			continue
		}
		if err != nil {
			return zinniapond.Wrap("call "+method, address, err)
		}
		return nil
	}
}

// unsent marks an error as one of a request that was not sent.
func unsent(method string, address netip.AddrPort, err error) error {
	if !errors.Is(err, zinniapond.ErrNotSent) {
		err = fmt.Errorf("%w: %w", zinniapond.ErrNotSent, err)
	}
	return zinniapond.Wrap("call "+method, address, err)
}

// call sends one request and waits for its answer. The answer is decoded here
// and not by the reader of the connection, so that an answer after the deadline
// does not write into a reply that its caller uses again.
func (l *link) call(ctx context.Context, method string, request cbor.RawMessage, reply any) error {
	sealed := new(cbor.RawMessage)
	call := l.client.Go(method+"."+codec.Method, request, sealed, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		l.stats.Add("peers.late", 1)
		return fmt.Errorf("no answer: %w", ctx.Err())
	}
	if call.Error != nil {
		return call.Error
	}
	return codec.Open(*sealed, reply)
}
