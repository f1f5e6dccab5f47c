// Package permit obtains the permissions of the control hosts for requests to replicas
// that limit them.
package permit

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
	"zinniapond.example/zinniapond/internal/fleet/hosts"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Throttle, error) {
		c := &Client{Logger: k.Logger.Named("permit"), Clock: k.Now}
		c.ControlHosts.Seeds = k.Settings.Control.Seeds()
		err := errors.Join(kernel.FindInto(k, &c.Peers), kernel.FindInto(k, &c.Limits), kernel.FindInto(k, &c.Stats), kernel.FindInto(k, &c.ControlHosts.Directory))
		return c, err
	})
}

const (
	// callTimeout bounds a call. Another control host or another replica serves the
	// request sooner than one that does not answer in this time.
	callTimeout = 100 * time.Millisecond
	// maxCalls is the number of control hosts that are asked for one permission.
	maxCalls = 3
	// validity is the time for which a permission may be used. A process that was
	// suspended asks again.
	validity = 250 * time.Millisecond
	// maxSpread bounds the random delay that keeps the hosts from asking all at the
	// same time after a refusal.
	maxSpread = 20 * time.Millisecond
	// unknownWait is the wait that is assumed while no control host answers and the
	// number of hosts is not known.
	unknownWait = time.Second
	// shareMargin divides the share of a limit that a host uses by itself while no
	// control host answers, as the control hosts may still grant to others.
	shareMargin = 2
)

// Client implements zinniapond.Throttle. Its exported fields are set before use.
type Client struct {
	Peers        zinniapond.Peers
	ControlHosts hosts.Chooser
	Limits       zinniapond.LimitBook
	Stats        *stats.Set[string]
	Logger       hclog.Logger
	Clock        func() time.Time

	hostCount atomic.Int64
	replicas  shard.Map[netip.AddrPort, *replica]
	reachable atomic.Bool // whether the last call to a control host succeeded
}

var _ zinniapond.Throttle = (*Client)(nil)

// replica is what this host knows of the permissions for one replica.
type replica struct {
	mu sync.Mutex
	// nextAt is when the next permission may be granted, according to the last
	// answer of a control host.
	nextAt time.Time
	// nextShare is when this host may send by itself while no control host answers;
	// zero while one does.
	nextShare time.Time
}

func (r *replica) setNext(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextAt = at
}

func (r *replica) next() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextAt
}

// endShare records that a control host has answered.
func (r *replica) endShare() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextShare = time.Time{}
}

// takeShare grants one request of this host's share. The first one waits for a whole
// interval, as many hosts may lose the control hosts at once.
func (r *replica) takeShare(now time.Time, interval, maxWait time.Duration) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nextShare.IsZero() {
		r.nextShare = now.Add(interval)
	}
	if r.nextShare.Before(now) {
		r.nextShare = now
	}
	wait = r.nextShare.Sub(now)
	if wait > maxWait {
		return wait, false
	}
	r.nextShare = r.nextShare.Add(interval)
	return wait, true
}

// SetHostCount sets the number of hosts that send requests to the replicas.
func (c *Client) SetHostCount(count int) { c.hostCount.Store(int64(count)) }

// Limited reports whether a replica limits its requests, and the time until the next
// permission. A replica that was never asked for counts as available for long.
func (c *Client) Limited(now time.Time, to zinniapond.Backend) (wait time.Duration, limited bool) {
	if _, limited := c.Limits.Rate(now, to.Address, to.ID); !limited {
		return 0, false
	}
	if r, ok := c.replicas.Get(to.Address); ok {
		return r.next().Sub(now), true
	}
	return -time.Hour, true
}

// Acquire obtains the permission to send one request.
func (c *Client) Acquire(ctx context.Context, now time.Time, to zinniapond.Backend, maxWait time.Duration) (zinniapond.Permit, error) {
	rate, limited := c.Limits.Rate(now, to.Address, to.ID)
	if !limited {
		return zinniapond.Permit{}, nil
	}
	r := c.replicas.GetOrCreate(to.Address, func() *replica { return new(replica) })
	wait, granted, err := c.ask(ctx, to, maxWait)
	now = c.Clock()
	switch interval, ok := c.shareInterval(rate); {
	case err == nil:
		r.endShare()
	case ok:
		wait, granted = r.takeShare(now, interval, maxWait)
	default:
		wait = unknownWait
	}
	if !granted {
		c.Stats.Add("permit.refused", 1)
		wait += rand.N(maxSpread)
		r.setNext(now.Add(wait))
		return zinniapond.Permit{}, &zinniapond.Error{
			Step: "request permission", Peer: to.Address, RetryAfter: max(wait, 0), Err: zinniapond.Join(zinniapond.ErrOverload, err),
		}
	}
	c.Stats.Add("permit.granted", 1)
	r.setNext(now)
	sendAt := now.Add(max(wait, 0))
	return zinniapond.Permit{SendAt: sendAt, ExpiresAt: sendAt.Add(validity)}, nil
}

// shareInterval returns the time between two requests of this host while no control
// host answers. ok is false if the number of hosts is not known.
func (c *Client) shareInterval(rate zinniapond.RequestRate) (interval time.Duration, ok bool) {
	hostCount := c.hostCount.Load()
	return time.Duration(float64(hostCount) * shareMargin / float64(rate) * float64(time.Second)), hostCount > 0
}

// ask asks one control host after another until one answers.
func (c *Client) ask(ctx context.Context, to zinniapond.Backend, maxWait time.Duration) (wait time.Duration, granted bool, err error) {
	err = zinniapond.ErrUnavailable
	for range maxCalls {
		now := c.Clock()
		host, ok := c.ControlHosts.Choose(now, to.Address.String())
		if !ok || ctx.Err() != nil {
			break
		}
		request := zinniapond.PermitRequest{MaxWait: maxWait}
		request.Limit, _ = c.Limits.Report(now, to.Address)
		var reply zinniapond.PermitReply
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = c.Peers.Call(callCtx, host, "Grants.Acquire", request, &reply)
		cancel()
		now = c.Clock()
		if ctx.Err() == nil {
			c.record(now, host, err)
		}
		if err == nil {
			if reply.Limit.Replica.IsValid() {
				c.Limits.Merge(now, []zinniapond.LimitReport{reply.Limit}, false)
			}
			return reply.Wait, reply.Granted, nil
		}
	}
	return 0, false, err
}

// record records the outcome of a call, and logs only changes between success and
// failure.
func (c *Client) record(now time.Time, host netip.AddrPort, err error) {
	c.ControlHosts.Record(now, host, err == nil)
	if succeeded := err == nil; c.reachable.Swap(succeeded) != succeeded {
		c.Logger.Info("permissions for limited replicas", "available", succeeded, "host", host, "error", err)
	}
}
