package quotas

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// leaseTime is the time for which a control host accepts no other one to count, and
	// counterTime the time for which the one that counts relies on that. The difference
	// allows for clocks of different speed. A lease that expires between two renewals is
	// obtained again at the next request without loss, so it is as short as that: it is
	// also the time without tokens after the counting host has failed.
	leaseTime   = 300 * time.Millisecond
	counterTime = 270 * time.Millisecond
	// renewInterval is the interval between renewals of the lease, and renewTimeout
	// bounds one of them.
	renewInterval = 100 * time.Millisecond
	renewTimeout  = 200 * time.Millisecond
	// retryDelay is the mean delay after a renewal that no majority has accepted. It is
	// random, as two hosts that ask at the same time may each get too few votes.
	retryDelay = 50 * time.Millisecond
	// obtainTimeout bounds the renewal for which a front waits.
	obtainTimeout = 80 * time.Millisecond
	// idleTime is the time after the last request after which the lease is not renewed.
	idleTime = 2 * time.Second
)

// vote is what this host has promised to the control host that counts.
type vote struct {
	mu      sync.Mutex
	started time.Time // of this process; it does not know earlier promises
	counter netip.AddrPort
	process uint64
	attempt uint64 // last one of the process
	until   time.Time
	// quietSince is the end of the last promise to another process.
	quietSince time.Time
}

// start sets the start of the process.
func (v *vote) start(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.started.IsZero() {
		v.started = now
	}
}

// accept promises to accept no other counter for leaseTime, unless another one has such
// a promise.
func (v *vote) accept(now time.Time, request zinniapond.CounterRequest) zinniapond.CounterReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.started.IsZero() {
		v.started = now
	}
	if request.Withdrawn {
		if v.counter == request.Sender && v.process == request.Process && v.attempt <= request.Attempt {
			v.counter, v.until = netip.AddrPort{}, now
		}
		return zinniapond.CounterReply{}
	}
	if now.Before(v.started.Add(leaseTime)) {
		return zinniapond.CounterReply{}
	}
	if v.counter != request.Sender && now.Before(v.until) {
		return zinniapond.CounterReply{Counter: v.counter}
	}
	if v.counter != request.Sender || v.process != request.Process {
		v.attempt, v.quietSince = 0, later(v.until, v.started.Add(leaseTime))
		if v.counter == request.Sender {
			v.quietSince = now // its former process may have counted until now
		}
	}
	v.attempt = max(v.attempt, request.Attempt)
	v.counter, v.process, v.until = request.Sender, request.Process, now.Add(leaseTime)
	return zinniapond.CounterReply{Accepted: true, Counter: request.Sender, Quiet: now.Sub(v.quietSince)}
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// current returns the other control host that counts, if there is one.
func (v *vote) current(now time.Time, self netip.AddrPort) (netip.AddrPort, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counter, v.counter.IsValid() && v.counter != self && now.Before(v.until)
}

// term is a time in which this host counts without interruption by another one.
type term struct {
	number uint64
	since  time.Time
}

func (t term) mark(now time.Time) zinniapond.QuotaMark {
	return zinniapond.QuotaMark{Counter: t.number, At: now.Sub(t.since)}
}

// tenure is this host's lease to count.
type tenure struct {
	once     sync.Once
	renewing chan struct{} // has an element during a renewal
	// retryAt is the earliest time of the next renewal after one that has failed. It is
	// guarded by begin and end.
	retryAt time.Time
	// attempt is the number of the last renewal. It is guarded by begin and end.
	attempt uint64

	mu        sync.Mutex
	process   uint64
	term      term
	until     time.Time
	requested time.Time // time of the last request of a front
}

// at returns the present term, if this host may count.
func (t *tenure) at(now time.Time) (term, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term, now.Before(t.until)
}

// begin waits until no other renewal is under way. If wait is not set, it returns false
// in place of waiting.
func (t *tenure) begin(wait bool) bool {
	t.once.Do(func() { t.renewing = make(chan struct{}, 1) })
	if wait {
		t.renewing <- struct{}{}
		return true
	}
	select {
	case t.renewing <- struct{}{}:
		return true
	default:
		return false
	}
}

func (t *tenure) end() { <-t.renewing }

func (t *tenure) recordRequest(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requested = now
}

// isBusy reports whether the lease is valid and was used lately.
func (t *tenure) isBusy(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.until) && now.Sub(t.requested) < idleTime
}

func (t *tenure) processNumber() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.process == 0 {
		t.process = rand.Uint64()
	}
	return t.process
}

// extend records a renewal that a majority has accepted. No other host has counted in the
// time quiet. A new term begins if another one may have counted since this one did.
func (t *tenure) extend(now, sentAt time.Time, quiet time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	quietSince := now.Add(-quiet)
	if t.term.number == 0 || !now.Before(t.until) && quietSince.After(t.until) {
		t.term = term{number: rand.Uint64() | 1, since: quietSince}
	}
	if until := sentAt.Add(counterTime); until.After(t.until) {
		t.until = until
	}
}

// Accept promises to accept no other control host as the one that counts.
func (c *Counter) Accept(request zinniapond.CounterRequest, reply *zinniapond.CounterReply) error {
	*reply = c.vote.accept(c.Clock(), request)
	return nil
}

// obtain obtains the lease to count. If another host counts, it returns that host.
func (c *Counter) obtain(ctx context.Context, now time.Time) (counter netip.AddrPort, ok bool) {
	if counter, ok := c.vote.current(now, c.Address); ok {
		return counter, false
	}
	c.tenure.begin(true)
	defer c.tenure.end()
	now = c.Clock()
	if _, ok := c.tenure.at(now); ok {
		return c.Address, true
	}
	if now.Before(c.tenure.retryAt) {
		return netip.AddrPort{}, false
	}
	counter, ok = c.requestLease(ctx, now, obtainTimeout)
	if !ok {
		c.tenure.retryAt = c.Clock().Add(retryDelay/2 + rand.N(retryDelay))
		c.withdraw(ctx)
	}
	return counter, ok
}

// renew renews the lease while fronts use it.
func (c *Counter) renew(ctx context.Context, now time.Time) {
	if !c.tenure.isBusy(now) || !c.tenure.begin(false) {
		return
	}
	defer c.tenure.end()
	if counter, ok := c.requestLease(ctx, now, renewTimeout); !ok {
		c.Logger.Debug("lease for counting not renewed", "counter", counter)
	}
}

// requestLease asks all control hosts to accept this one, and returns once a majority has
// accepted. It asks itself first.
func (c *Counter) requestLease(ctx context.Context, now time.Time, timeout time.Duration) (counter netip.AddrPort, ok bool) {
	voters := c.ControlHosts.Addresses()
	if !slices.Contains(voters, c.Address) {
		return netip.AddrPort{}, false // not a control host of the quorum any more
	}
	c.tenure.attempt++
	request := zinniapond.CounterRequest{Sender: c.Address, Process: c.tenure.processNumber(), Attempt: c.tenure.attempt}
	own := c.vote.accept(now, request)
	if !own.Accepted {
		return own.Counter, false
	}
	replies := c.ask(ctx, voters, request, timeout)
	accepted, quiet := 1, own.Quiet
	for remaining := len(voters) - 1; accepted < len(voters)/2+1 && remaining > 0; remaining-- {
		reply := <-replies
		if reply.Accepted {
			accepted++
			quiet = min(quiet, reply.Quiet)
		} else if reply.Counter.IsValid() {
			counter = reply.Counter
		}
	}
	if accepted < len(voters)/2+1 {
		return counter, false
	}
	c.tenure.extend(c.Clock(), now, quiet)
	return c.Address, true
}

// withdraw frees the other control hosts from their promises to this one, which does not
// count.
func (c *Counter) withdraw(ctx context.Context) {
	request := zinniapond.CounterRequest{Sender: c.Address, Process: c.tenure.processNumber(), Attempt: c.tenure.attempt, Withdrawn: true}
	c.vote.accept(c.Clock(), request)
	c.ask(ctx, c.ControlHosts.Addresses(), request, obtainTimeout)
}

// ask sends a request to the other voters. The channel receives a reply for each of them,
// the zero value for a failed call.
func (c *Counter) ask(ctx context.Context, voters []netip.AddrPort, request zinniapond.CounterRequest, timeout time.Duration) <-chan zinniapond.CounterReply {
	replies := make(chan zinniapond.CounterReply, len(voters))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	var group sync.WaitGroup
	for _, address := range voters {
		if address == c.Address {
			continue
		}
		group.Go(func() {
			var reply zinniapond.CounterReply
			if err := c.Peers.Call(ctx, address, "Quotas.Accept", request, &reply); err != nil {
				reply = zinniapond.CounterReply{}
			}
			replies <- reply
		})
	}
	go func() {
		group.Wait()
		cancel()
	}()
	return replies
}
