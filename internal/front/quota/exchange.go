package quota

import (
	"context"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// countersKey is the key by which a control host is chosen for all plans.
	countersKey = "quotas"
	// callTimeout bounds a call.
	callTimeout = 100 * time.Millisecond
	// messageInterval is the least time between two messages unless requests wait.
	messageInterval = 200 * time.Millisecond
	// minGatherTime and maxGatherTime bound the time for which the message for a request
	// is delayed, so that it serves further requests, if another message was sent shortly
	// before. The request waits for that time. It grows by gatherTimePerHost, as the
	// control host that counts takes the messages of all hosts.
	minGatherTime     = 5 * time.Millisecond
	maxGatherTime     = 50 * time.Millisecond
	gatherTimePerHost = 200 * time.Microsecond
	// failureInterval is the time after which another control host is asked.
	failureInterval = 20 * time.Millisecond
	// avoidTime is the time for which the control host that counts is not asked directly
	// after a failure.
	avoidTime = 3 * time.Second
	// sweepInterval is the interval at which unused tokens are collected and idle plans
	// are forgotten.
	sweepInterval = 500 * time.Millisecond
)

// schedule requests a message. It is sent at once if none was sent lately; else after a
// short time for requests that wait, and after messageInterval for others.
func (c *Client) schedule(now time.Time, waiting bool) {
	c.mu.Lock()
	at := c.sent.Add(messageInterval)
	c.mu.Unlock()
	gatherTime := min(max(time.Duration(c.hostCount.Load())*gatherTimePerHost, minGatherTime), maxGatherTime)
	if soon := now.Add(gatherTime); waiting && soon.Before(at) {
		at = soon
	}
	c.scheduleAt(at)
}

// scheduleAt requests a message at the given time or before.
func (c *Client) scheduleAt(at time.Time) {
	c.initialise()
	c.mu.Lock()
	earliest := c.due.IsZero() || at.Before(c.due)
	if earliest {
		c.due = at
	}
	c.mu.Unlock()
	if earliest {
		signal(c.wake)
	}
}

// signal sends a value to a channel with room for one, unless it has one.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// takeDue returns the time until the next message; ok is false if none is needed. If the
// message is due, its time is removed.
func (c *Client) takeDue(now time.Time) (wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.due.IsZero() {
		return 0, false
	}
	wait = max(c.due.Sub(now), 0)
	if wait == 0 {
		c.due = time.Time{}
	}
	return wait, true
}

// Run sends messages until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	c.initialise()
	// The timers call functions and have no channels. The race detector of Go 1.26
	// crashes if goroutines of a synctest bubble receive at the same time from channels of
	// timers that have become due while nobody waited for them, and now and then if a timer
	// is due as it is made.
	timer := time.AfterFunc(messageInterval, func() { signal(c.wake) })
	defer timer.Stop()
	signal(c.wake)
	sweep := make(chan struct{}, 1)
	sweepTimer := time.AfterFunc(sweepInterval, func() { signal(sweep) })
	defer sweepTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweep:
			c.sweep(c.Clock())
			sweepTimer.Reset(sweepInterval)
			continue
		case <-c.wake:
		}
		switch wait, ok := c.takeDue(c.Clock()); {
		case ok && wait == 0:
			c.exchange(ctx)
			signal(c.wake)
		case ok:
			timer.Reset(wait)
		}
	}
}

// controlHost returns the control host to ask: the one that counts, if it is known.
func (c *Client) controlHost(now time.Time) (netip.AddrPort, bool) {
	c.mu.Lock()
	counter := c.counter
	c.mu.Unlock()
	if counter.IsValid() {
		return counter, true
	}
	return c.ControlHosts.Choose(now, countersKey)
}

// exchange sends one message with the needs of all plans that need tokens.
func (c *Client) exchange(ctx context.Context) {
	now := c.Clock()
	var balances []*balance
	c.plans.Each(func(_ zinniapond.PlanName, b *balance) bool {
		balances = append(balances, b)
		return true
	})
	request := zinniapond.QuotaRequest{Sender: c.Host}
	asked := balances[:0]
	for _, b := range balances {
		b.mu.Lock()
		if need, ok := b.need(now); ok {
			request.Needs, asked = append(request.Needs, need), append(asked, b)
		}
		b.mu.Unlock()
	}
	if len(request.Needs) == 0 {
		return
	}
	host, ok := c.controlHost(now)
	err := zinniapond.ErrUnavailable
	var reply zinniapond.QuotaReply
	if ok {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = c.Peers.Call(callCtx, host, "Quotas.Acquire", request, &reply)
		cancel()
		c.Stats.Add("quota.messages", 1)
	}
	if err == nil && len(reply.Grants) != len(request.Needs) {
		err = zinniapond.ErrMalformed
	}
	done := c.Clock()
	if ctx.Err() == nil {
		c.record(now, done, host, reply.Counter, err)
	}
	if err != nil {
		c.applyFailure(done, asked)
		return
	}
	c.applyReply(done, now, asked, &reply)
}

// record records the outcome of a call, and logs only changes between success and
// failure.
func (c *Client) record(sentAt, now time.Time, host, counter netip.AddrPort, err error) {
	if host.IsValid() {
		c.ControlHosts.Record(now, host, err == nil)
	}
	c.mu.Lock()
	c.sent, c.counter = sentAt, counter
	switch {
	case err != nil:
		c.failed, c.failedAt = host, now
	case counter == c.failed && now.Sub(c.failedAt) < avoidTime:
		c.counter = host // it forwards to the one that this host cannot reach
	}
	c.mu.Unlock()
	if failed := err != nil; c.failing.Swap(failed) != failed {
		c.Logger.Info("tokens for plans with a limit", "available", !failed, "host", host, "error", err)
	}
}

// applyReply adds the granted tokens to the balances.
func (c *Client) applyReply(now, sentAt time.Time, asked []*balance, reply *zinniapond.QuotaReply) {
	var next time.Time
	for i, b := range asked {
		b.mu.Lock()
		at := b.apply(now, sentAt, reply, reply.Grants[i])
		b.mu.Unlock()
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if !next.IsZero() {
		c.scheduleAt(later(next, now.Add(failureInterval)))
	}
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// applyFailure serves waiting requests with the tokens that this host may grant by
// itself. The others wait for another control host.
func (c *Client) applyFailure(now time.Time, asked []*balance) {
	remain := false
	for _, b := range asked {
		b.mu.Lock()
		served, waits := b.serveOwn(now, c.ownInterval(b.rule))
		b.mu.Unlock()
		c.Stats.Add("quota.own", int64(served))
		remain = remain || waits
	}
	if remain {
		c.scheduleAt(now.Add(failureInterval))
	}
}

// sweep requests a message if there are unused tokens, and forgets idle plans.
func (c *Client) sweep(now time.Time) {
	var idle []zinniapond.PlanName
	var unused bool
	c.plans.Each(func(plan zinniapond.PlanName, b *balance) bool {
		if b.isIdle(now) {
			idle = append(idle, plan)
		}
		unused = unused || b.hasUnused(now)
		return true
	})
	for _, plan := range idle {
		c.plans.Update(plan, func(values map[zinniapond.PlanName]*balance) {
			if b := values[plan]; b != nil && b.isIdle(now) {
				delete(values, plan)
			}
		})
	}
	if unused {
		c.schedule(now, false)
	}
}
