// Package peers calls methods of other hosts by net/rpc over authenticated
// connections, which heartbeats and a read timeout monitor.
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
	"zinniapond.example/zinniapond/internal/wire/auth"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Peers, error) {
		p := New(auth.New(k.Settings))
		var err error
		p.Stats, err = kernel.FindNamed[*stats.Set[string]](k, "default")
		return p, err
	})
}

// Defaults of New.
const (
	defaultCallTimeout    = 5 * time.Second
	defaultMaxConnections = 4
	// defaultCallsPerConnection is the number of pending calls on each connection
	// from which another one is opened. It is high because each connection adds
	// heartbeats, also between idle hosts.
	defaultCallsPerConnection = 16
	// maxBulkLimits bounds a call with a large reply, as a multiple of the time that it may
	// be without progress.
	maxBulkLimits = 20
	// defaultIdleTimeout is how long an unused connection is kept. A status request
	// opens a connection to every host, whose heartbeats would otherwise never end.
	defaultIdleTimeout = 30 * time.Second
)

// Pool holds the connections to other hosts. Its exported fields have to be set
// before use.
type Pool struct {
	Authenticator *auth.Authenticator
	// CallTimeout is the timeout of a call whose context has no deadline.
	CallTimeout time.Duration
	// MaxConnections is the largest number of connections to one peer.
	// CallsPerConnection is the number of pending calls on each of them from which
	// another connection is opened.
	MaxConnections, CallsPerConnection int
	// IdleTimeout is the time after the last call after which a connection is
	// closed.
	IdleTimeout time.Duration
	// Stats counts calls, calls that ended before their reply, dials, failed dials and
	// silent connections that a new one has replaced. It may be nil.
	Stats *stats.Set[string]
	// MaxMessageBytes, HeartbeatInterval and SilenceTimeout are the arguments of
	// codec.New: the largest message in bytes, the heartbeat interval and the read
	// and write timeout.
	MaxMessageBytes                   int
	HeartbeatInterval, SilenceTimeout time.Duration

	byAddress shard.Map[netip.AddrPort, *peer]
	closed    chan struct{} // closed by Run once its context is done
}

// New returns a pool with the default timeouts and numbers of connections.
func New(g *auth.Authenticator) *Pool {
	return &Pool{
		Authenticator: g, CallTimeout: defaultCallTimeout, MaxConnections: defaultMaxConnections, CallsPerConnection: defaultCallsPerConnection, IdleTimeout: defaultIdleTimeout,
		closed: make(chan struct{}),
	}
}

var _ zinniapond.BulkPeers = (*Pool)(nil)

// Run closes all connections once ctx is done. Calls before Run are allowed.
// Calls after it has returned fail with ErrNotSent.
func (p *Pool) Run(ctx context.Context) error {
	<-ctx.Done()
	close(p.closed)
	var peers []*peer
	p.byAddress.Each(func(_ netip.AddrPort, v *peer) bool {
		peers = append(peers, v)
		return true
	})
	for _, v := range peers {
		v.close()
	}
	return nil
}

// Call calls a method of the peer at address. An error wraps ErrNotSent if no
// byte of the request can have reached the peer.
func (p *Pool) Call(ctx context.Context, address netip.AddrPort, method string, request, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.CallTimeout)
		defer cancel()
	}
	return p.call(ctx, address, method, request, reply, 0)
}

// CallBulk calls a method whose reply may be large. It fails once no part of a large reply
// has arrived for limit, and after maxBulkLimits times limit. A call that is given up and
// repeated while its reply arrives would transfer it twice, or never to the end.
func (p *Pool) CallBulk(ctx context.Context, limit time.Duration, address netip.AddrPort, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, maxBulkLimits*limit)
	defer cancel()
	return p.call(ctx, address, method, request, reply, limit)
}

// call calls a method. A limit above zero bounds the time to establish a connection and
// the time without progress of a large reply.
func (p *Pool) call(ctx context.Context, address netip.AddrPort, method string, request, reply any, limit time.Duration) error {
	data, err := codec.Marshal(request)
	if err != nil {
		return wrapNotSent(method, address, err)
	}
	p.Stats.Add("peers.calls", 1)
	v := p.byAddress.GetOrCreate(address, func() *peer { return newPeer(p, address) })
	for {
		l, err := v.acquireWithin(ctx, limit)
		if err != nil {
			return wrapNotSent(method, address, err)
		}
		err = l.call(ctx, method, data, reply, limit)
		v.release(l)
		if errors.Is(err, rpc.ErrShutdown) {
			// The connection was lost before the request was written. Closing the
			// codec makes the next iteration use another connection.
			_ = l.codec.Close()
			continue
		}
		if err != nil {
			return zinniapond.Wrap("call "+method, address, err)
		}
		return nil
	}
}

// wrapNotSent returns err with the method and the peer, wrapping ErrNotSent.
func wrapNotSent(method string, address netip.AddrPort, err error) error {
	if !errors.Is(err, zinniapond.ErrNotSent) {
		err = fmt.Errorf("%w: %w", zinniapond.ErrNotSent, err)
	}
	return zinniapond.Wrap("call "+method, address, err)
}

// call sends one request and waits for its reply. The reply is decoded here
// instead of in the goroutine that reads the connection, so that a reply after
// the deadline does not overwrite a variable that the caller has reused.
func (l *connection) call(ctx context.Context, method string, request cbor.RawMessage, reply any, limit time.Duration) error {
	envelope := new(cbor.RawMessage)
	call := l.client.Go(method+"."+codec.CallMethod, request, envelope, make(chan *rpc.Call, 1))
	if err := l.await(ctx, call, limit); err != nil {
		l.stats.Add("peers.late", 1)
		return fmt.Errorf("no answer: %w", err)
	}
	if call.Error != nil {
		return call.Error
	}
	return codec.DecodeResult(*envelope, reply)
}

// await waits for the end of a call: until ctx is done, or until no part of a large reply
// has arrived for limit, if that is above zero.
func (l *connection) await(ctx context.Context, call *rpc.Call, limit time.Duration) error {
	var stalled <-chan time.Time
	begun := time.Now()
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		stalled = timer.C
	}
	for {
		select {
		case <-call.Done:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-stalled:
		}
		lastRead := l.codec.LastBulkRead()
		left := limit - time.Since(lastRead)
		if !lastRead.After(begun) || left <= 0 {
			return context.DeadlineExceeded
		}
		stalled = time.After(left)
	}
}
