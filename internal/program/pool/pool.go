// Package pool assigns the slots at the backend servers of a pool to waiting
// calls. A queue determines the order of the calls and a router chooses the
// server.
package pool

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/shard"
)

// redispatchInterval is the interval at which slots are assigned again while
// calls wait and nothing else triggers it: a server that the router avoids may
// be probed once some time has passed.
const redispatchInterval = 100 * time.Millisecond

// Pool has the queue and the backend servers of one pool. The exported fields
// have to be set before Run.
type Pool struct {
	Name    zinniapond.PoolName
	Queue   zinniapond.Queue
	Router  zinniapond.Router
	Limiter zinniapond.Limiter
	Clock   func() time.Time

	grants  shard.Map[zinniapond.CallID, chan zinniapond.Choice] // by waiting call, the channel that receives its server
	wake    chan struct{}                                        // makes Run assign slots again
	running atomic.Int64                                         // slots in use
}

// New returns a pool without queue, router, limiter and clock, which the caller
// sets.
func New(name zinniapond.PoolName) *Pool {
	return &Pool{Name: name, wake: make(chan struct{}, 1)}
}

// Run assigns slots to waiting calls until ctx is done.
func (p *Pool) Run(ctx context.Context) error {
	timer := time.NewTimer(redispatchInterval)
	defer timer.Stop()
	for {
		for p.dispatchNext(p.Clock()) {
		}
		var redispatch <-chan time.Time
		if p.Queue.Len() > 0 {
			timer.Reset(redispatchInterval)
			redispatch = timer.C
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		case <-redispatch:
		}
	}
}

// Dispatch makes Run try to assign slots again. It does not block.
func (p *Pool) Dispatch() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// dispatchNext assigns one slot to the next call in the queue for which a
// server has one. It reports whether a slot was assigned.
func (p *Pool) dispatchNext(now time.Time) bool {
	var choice zinniapond.Choice
	w, ok := p.Queue.Pop(now, func(w zinniapond.QueuedCall) bool {
		var found bool
		choice, found = p.TryAcquire(now, w.PickInfo)
		return found
	})
	if !ok {
		return false
	}
	// Acquire removes its channel from grants only after it has received the
	// choice or has removed the call from the queue, so a call popped from the
	// queue has a channel.
	granted, _ := p.grants.Get(w.Call)
	granted <- choice
	return true
}

// TryAcquire acquires a slot for need without waiting. It reports whether a
// server had one.
func (p *Pool) TryAcquire(now time.Time, need zinniapond.PickInfo) (zinniapond.Choice, bool) {
	choice, ok := p.Router.Pick(now, need, func(server netip.AddrPort) bool {
		return p.Limiter.CanAcquire(now, server)
	})
	if !ok || !p.Limiter.Acquire(now, choice.Backend) {
		return zinniapond.Choice{}, false
	}
	p.running.Add(1)
	p.Router.AttemptStarted(now, choice.Backend, need)
	return choice, true
}

// Acquire waits in the queue for a slot at a server. It returns an error that
// wraps ErrOverload after waiting.Deadline, or one that wraps
// context.Cause(ctx) when ctx is done. The slot has to be released with
// Release.
func (p *Pool) Acquire(ctx context.Context, now time.Time, waiting zinniapond.QueuedCall) (zinniapond.Choice, error) {
	granted := make(chan zinniapond.Choice, 1)
	p.grants.Set(waiting.Call, granted)
	defer p.grants.Delete(waiting.Call)
	p.Queue.Push(now, waiting)
	p.Dispatch()
	timer := time.NewTimer(waiting.Deadline.Sub(now))
	defer timer.Stop()
	var cause error
	select {
	case choice := <-granted:
		return choice, nil
	case <-timer.C:
		cause = zinniapond.ErrOverload
	case <-ctx.Done():
		cause = context.Cause(ctx)
	}
	if p.Queue.Remove(waiting.Call) {
		return zinniapond.Choice{}, fmt.Errorf("wait for a slot in pool %s: %w", p.Name, cause)
	}
	// The call was no longer in the queue: the slot was assigned while the wait
	// ended.
	return <-granted, nil
}

// Release releases a slot and passes what the attempt showed of the server to
// the limiter and the router.
func (p *Pool) Release(now time.Time, server netip.AddrPort, need zinniapond.PickInfo, seen zinniapond.Observation) {
	p.running.Add(-1)
	p.Limiter.Release(now, server, seen)
	p.Router.AttemptFinished(now, server, need, seen)
	p.Dispatch()
}

// Running returns the number of slots in use.
func (p *Pool) Running() int { return int(p.running.Load()) }

// Update sets the servers that the router may choose for new calls.
func (p *Pool) Update(now time.Time, servers []zinniapond.Backend) {
	p.Router.Update(now, servers)
	p.Dispatch()
}
