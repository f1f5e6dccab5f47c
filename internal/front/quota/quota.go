// Package quota obtains the tokens that allow the requests of plans with a limit from the
// control host that counts them. Tokens are held by plan and shared by all requests of
// this host, so that most requests of a busy plan need no message.
package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/core/vars"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Allowances, error) {
		c := &Client{Host: k.Settings.Host, Logger: k.Logger.Named("quota"), Clock: k.Now}
		c.ControlHosts.Seeds = k.Settings.Control.Seeds()
		o, err := kernel.Find[*vars.Overview](k)
		if err != nil {
			return nil, err
		}
		o.Add(c)
		return c, errors.Join(kernel.FindInto(k, &c.Peers), kernel.FindInto(k, &c.Policy), kernel.FindInto(k, &c.Stats), kernel.FindInto(k, &c.ControlHosts.Directory))
	})
}

const (
	// waitShare is the share of its remaining time for which a request waits for a token, if
	// one is likely within this time. The client then has time left to try another host. At
	// 150 ms, programs of small plans were refused six times within two seconds in a burst of
	// 1.7 times their usual load, although their plans were below their limits again soon.
	waitShare = 0.5
	// minWait and maxWait bound the wait. A host that no control host answers for longer
	// than maxWait has no valid configuration and refuses all requests with keys.
	minWait = 150 * time.Millisecond
	maxWait = 5 * time.Second
	// outageRetryAfter is the least delay after which a client may retry while no control
	// host answers.
	outageRetryAfter = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay after any other refusal, without its
	// random part.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// ownValidity is the time for which a permit is valid that no control host has
	// counted.
	ownValidity = 250 * time.Millisecond
)

// Client implements zinniapond.Allowances. Its exported fields are set before Run.
type Client struct {
	Host         zinniapond.HostName
	Peers        zinniapond.Peers
	ControlHosts hosts.Chooser
	Policy       zinniapond.AllowancePolicy
	Stats        *stats.Set[string]
	Logger       hclog.Logger
	Clock        func() time.Time

	plans shard.Map[zinniapond.PlanName, *balance]
	// hostCount is the largest number of hosts that was reported. A host that loses the
	// control hosts after others did must not take a larger share.
	hostCount atomic.Int64
	// failing is set while no control host answers.
	failing atomic.Bool

	once sync.Once
	wake chan struct{}

	mu      sync.Mutex
	due     time.Time      // time of the next message; zero if none is needed
	sent    time.Time      // time of the last message
	counter netip.AddrPort // control host to ask; not valid if unknown
	// failed is the control host of the last call that failed, at failedAt.
	failed   netip.AddrPort
	failedAt time.Time
}

var _ zinniapond.Allowances = (*Client)(nil)

func (c *Client) initialise() { c.once.Do(func() { c.wake = make(chan struct{}, 1) }) }

// SetHostCount sets the number of hosts that send requests to replicas.
func (c *Client) SetHostCount(count int) {
	for known := c.hostCount.Load(); int64(count) > known; known = c.hostCount.Load() {
		if c.hostCount.CompareAndSwap(known, int64(count)) {
			return
		}
	}
}

// lock returns the balance of a plan, locked.
func (c *Client) lock(plan *zinniapond.Plan) *balance {
	var b *balance
	// The balance is locked before prune can remove it.
	c.plans.Update(plan.Name, func(values map[zinniapond.PlanName]*balance) {
		if b = values[plan.Name]; b == nil {
			b = &balance{plan: plan.Name}
			values[plan.Name] = b
		}
		b.mu.Lock()
	})
	b.setLimit(c.Policy, c.Policy.Limit(plan))
	return b
}

// Acquire takes a token that this host holds, or waits for the next reply of a control
// host.
func (c *Client) Acquire(ctx context.Context, now time.Time, plan *zinniapond.Plan, begins bool) (zinniapond.Permit, error) {
	if plan.RequestRate <= 0 {
		return zinniapond.Permit{}, nil
	}
	b := c.lock(plan)
	b.recordDemand(now, begins)
	if expires, ok := b.take(now, begins); ok {
		low := b.isLow(now)
		b.mu.Unlock()
		if low {
			c.schedule(now, false)
		}
		return zinniapond.Permit{SendAt: now, ExpiresAt: expires}, nil
	}
	w := newWaiter(ctx, now, begins)
	if wait, refused := b.refusal(now, w); refused {
		b.mu.Unlock()
		return zinniapond.Permit{}, c.refuse(wait)
	}
	if c.failing.Load() && !b.isAhead(begins) {
		if expires, ok := b.takeOwn(now, c.ownInterval(b.rule)); ok {
			b.mu.Unlock()
			c.Stats.Add("quota.own", 1)
			return zinniapond.Permit{SendAt: now, ExpiresAt: expires}, nil
		}
	}
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	c.schedule(now, true)
	return c.await(ctx, b, w)
}

// newWaiter returns a request that waits from now on.
func newWaiter(ctx context.Context, now time.Time, begins bool) *waiter {
	wait := minWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(max(time.Duration(float64(time.Until(deadline))*waitShare), minWait), maxWait)
	}
	return &waiter{begins: begins, until: now.Add(wait), result: make(chan outcome, 1)}
}

// await waits for the outcome of a request. A request for which no control host has
// answered in its time uses the tokens that this host may grant by itself, if there are
// any. It is refused otherwise.
func (c *Client) await(ctx context.Context, b *balance, w *waiter) (zinniapond.Permit, error) {
	timer := time.NewTimer(w.until.Sub(c.Clock()))
	defer timer.Stop()
	select {
	case o := <-w.result:
		return c.permit(o)
	case <-ctx.Done():
	case <-timer.C:
	}
	now := c.Clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(w)
	select {
	case o := <-w.result: // it has arrived at the same time
		return c.permit(o)
	default:
	}
	if ctx.Err() == nil && !w.answered {
		if expires, ok := b.takeOwn(now, c.ownInterval(b.rule)); ok {
			c.Stats.Add("quota.own", 1)
			return zinniapond.Permit{SendAt: now, ExpiresAt: expires}, nil
		}
		return zinniapond.Permit{}, c.refuse(outageRetryAfter)
	}
	return zinniapond.Permit{}, c.refuse(max(b.roomAt[kindOf(w.begins)].Sub(now), minWait))
}

func (c *Client) permit(o outcome) (zinniapond.Permit, error) {
	if o.expires.IsZero() {
		return zinniapond.Permit{}, c.refuse(o.wait)
	}
	return zinniapond.Permit{SendAt: c.Clock(), ExpiresAt: o.expires}, nil
}

// refuse returns the error for a request without token. The time to retry has a random
// part, so that the clients do not return together.
func (c *Client) refuse(wait time.Duration) error {
	c.Stats.Add("quota.refused", 1)
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return &zinniapond.Error{Step: "check request limit", RetryAfter: wait*3/4 + rand.N(wait*3/4), Err: zinniapond.ErrRateLimited}
}

// ownInterval returns the time between two requests of a plan that no control host
// counts; zero if there may be none.
func (c *Client) ownInterval(limit zinniapond.PlanLimit) time.Duration {
	return c.Policy.OwnInterval(limit, int(c.hostCount.Load()))
}

// Return gives one request back that no replica has run.
func (c *Client) Return(now time.Time, plan *zinniapond.Plan, permit zinniapond.Permit) {
	b, ok := c.plans.Get(plan.Name)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.giveBack(now, permit.ExpiresAt)
}

// Plans returns the number of plans with requests in the last seconds.
func (c *Client) Plans() int { return c.plans.Len() }
