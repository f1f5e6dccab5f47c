// Package pool hands the places at a pool's backend servers to the waiting
// calls, in the order of a queue and by the choice of a router.
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

// reconsider is how long calls wait at most before places are sought again
// without any event: an avoided server may be probed once some time has passed.
const reconsider = 100 * time.Millisecond

// Pool has the waiting calls and the servers of one pool. Its exported fields
// are set before Run.
type Pool struct {
	Name    zinniapond.PoolName
	Queue   zinniapond.Queue
	Router  zinniapond.Router
	Limiter zinniapond.Limiter
	Clock   func() time.Time

	tickets shard.Map[zinniapond.CallID, chan zinniapond.Choice]
	wake    chan struct{}
	running atomic.Int64
}

// New returns a pool whose exported fields are still to be set.
func New(name zinniapond.PoolName) *Pool {
	return &Pool{Name: name, wake: make(chan struct{}, 1)}
}

// Run hands out places until ctx is done.
func (p *Pool) Run(ctx context.Context) error {
	timer := time.NewTimer(reconsider)
	defer timer.Stop()
	for {
		for p.dispatch(p.Clock()) {
		}
		var again <-chan time.Time
		if p.Queue.Len() > 0 {
			timer.Reset(reconsider)
			again = timer.C
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		case <-again:
		}
	}
}

// Wake makes Run seek places anew.
func (p *Pool) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// dispatch gives one place to one call.
func (p *Pool) dispatch(now time.Time) bool {
	var choice zinniapond.Choice
	w, ok := p.Queue.Pop(now, func(w zinniapond.Waiting) bool {
		var found bool
		choice, found = p.Try(now, w.Need)
		return found
	})
	if !ok {
		return false
	}
	// Acquire removes its ticket only after it has received the choice or has
	// taken the call out of the queue, so a popped call has a ticket.
	ticket, _ := p.tickets.Get(w.Call)
	ticket <- choice
	return true
}

// Try takes a place for need at once, if a server has one.
func (p *Pool) Try(now time.Time, need zinniapond.Need) (zinniapond.Choice, bool) {
	choice, ok := p.Router.Pick(now, need, func(server netip.AddrPort) bool {
		return p.Limiter.Free(now, server)
	})
	if !ok || !p.Limiter.Acquire(now, choice.Backend) {
		return zinniapond.Choice{}, false
	}
	p.running.Add(1)
	p.Router.Started(now, choice.Backend, need)
	return choice, true
}

// Acquire waits in the queue for a place at a server. It returns an error that
// wraps ErrOverload once waiting.Until has passed, and one that wraps
// context.Cause when ctx is done. The place is given back by Release.
func (p *Pool) Acquire(ctx context.Context, now time.Time, waiting zinniapond.Waiting) (zinniapond.Choice, error) {
	ticket := make(chan zinniapond.Choice, 1)
	p.tickets.Set(waiting.Call, ticket)
	defer p.tickets.Delete(waiting.Call)
	p.Queue.Push(now, waiting)
	p.Wake()
	timer := time.NewTimer(waiting.Until.Sub(now))
	defer timer.Stop()
	var cause error
	select {
	case choice := <-ticket:
		return choice, nil
	case <-timer.C:
		cause = zinniapond.ErrOverload
	case <-ctx.Done():
		cause = context.Cause(ctx)
	}
	if p.Queue.Remove(waiting.Call) {
		return zinniapond.Choice{}, fmt.Errorf("wait for a place in pool %s: %w", p.Name, cause)
	}
	// The place was granted at the same moment.
	return <-ticket, nil
}

// Release gives a place back and tells what the attempt showed.
func (p *Pool) Release(now time.Time, server netip.AddrPort, need zinniapond.Need, seen zinniapond.Observation) {
	p.running.Add(-1)
	p.Limiter.Release(now, server, seen)
	p.Router.Finished(now, server, need, seen)
	p.Wake()
}

// Running returns the number of places in use.
func (p *Pool) Running() int { return int(p.running.Load()) }

// Update sets the servers that may receive new work.
func (p *Pool) Update(now time.Time, servers []zinniapond.Backend) {
	p.Router.Update(now, servers)
	p.Wake()
}
