// Package quotas counts the requests of all hosts for each plan on one control host.
// The control hosts accept one of them at a time as the one that counts, with a lease;
// the others forward requests for tokens to it. All state is in memory only.
package quotas

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
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
	kernel.Register(string(zinniapond.RoleControl)+".quotas", func(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
		c := &Counter{Address: k.Settings.PeersAddress(), MaxConfigAge: k.Settings.Access.KeyLease(), Logger: k.Logger.Named("quotas"), Clock: k.Now}
		c.ControlHosts.Seeds = k.Settings.Control.Seeds()
		mounter, err := kernel.Find[zinniapond.Mounter](k)
		err = errors.Join(err, kernel.FindInto(k, &c.Peers), kernel.FindInto(k, &c.ControlHosts.Directory), kernel.FindInto(k, &c.Policy), kernel.FindInto(k, &c.Stats))
		if err != nil {
			return nil, err
		}
		if err := mounter.Mount("Quotas", c); err != nil {
			return nil, fmt.Errorf("mount quotas: %w", err)
		}
		o, err := kernel.Find[*vars.Overview](k)
		if err != nil {
			return nil, err
		}
		o.Add(c)
		return c, nil
	})
}

// forwardTimeout bounds a forwarded request. It is below the time for which fronts wait
// for a reply.
const forwardTimeout = 70 * time.Millisecond

// Counter counts tokens, or forwards requests for them to the control host that counts.
// Its exported fields are set before Run.
type Counter struct {
	Address      netip.AddrPort // of this host
	Peers        zinniapond.Peers
	ControlHosts hosts.Chooser
	Policy       zinniapond.AllowancePolicy
	// MaxConfigAge is the age of a confirmed configuration from which no tokens are
	// granted; 0 if it does not expire.
	MaxConfigAge time.Duration
	Stats        *stats.Set[string]
	Logger       hclog.Logger
	Clock        func() time.Time

	vote   vote
	tenure tenure
	limits atomic.Pointer[limitTable]
	plans  shard.Map[zinniapond.PlanName, *account]
	// counters has the plans whose refusals are counted apart.
	counters shard.Map[zinniapond.PlanName, struct{}]
}

// limitTable has the limits of one configuration.
type limitTable struct {
	version uint64
	plans   map[zinniapond.PlanName]zinniapond.PlanLimit
}

// Role returns the control role.
func (c *Counter) Role() zinniapond.Role { return zinniapond.RoleControl }

// Run renews the lease of this host while fronts ask it, until ctx is done.
func (c *Counter) Run(ctx context.Context) error {
	c.vote.start(c.Clock())
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	var pruned time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := c.Clock()
			c.renew(ctx, now)
			if now.Sub(pruned) >= pruneInterval {
				pruned = now
				c.prune(now)
			}
		}
	}
}

// limit returns the limit of a plan in the configuration in force.
func (c *Counter) limit(plan zinniapond.PlanName) (zinniapond.PlanLimit, bool) {
	routing := c.ControlHosts.Directory.View().Routing
	if routing == nil {
		return zinniapond.PlanLimit{}, false
	}
	table := c.limits.Load()
	if table == nil || table.version != routing.Version {
		table = &limitTable{version: routing.Version, plans: make(map[zinniapond.PlanName]zinniapond.PlanLimit, len(routing.Plans))}
		for i := range routing.Plans {
			p := &routing.Plans[i]
			table.plans[p.Name] = c.Policy.Limit(p)
		}
		c.limits.Store(table)
	}
	limit, ok := table.plans[plan]
	return limit, ok
}

// Acquire grants tokens, or forwards the request to the control host that counts.
func (c *Counter) Acquire(request zinniapond.QuotaRequest, reply *zinniapond.QuotaReply) error {
	now := c.Clock()
	if age := now.Sub(c.ControlHosts.Directory.ConfirmedAt()); c.MaxConfigAge > 0 && age > c.MaxConfigAge {
		return fmt.Errorf("configuration confirmed %s ago: %w", age.Round(time.Millisecond), zinniapond.ErrStaleConfig)
	}
	term, ok := c.tenure.at(now)
	if !ok {
		var counter netip.AddrPort
		if counter, ok = c.obtain(context.Background(), now); !ok {
			return c.forward(counter, request, reply)
		}
		now = c.Clock()
		if term, ok = c.tenure.at(now); !ok {
			return fmt.Errorf("lease for counting has expired: %w", zinniapond.ErrUnavailable)
		}
	}
	c.tenure.recordRequest(now)
	reply.Counter, reply.Mark = c.Address, term.mark(now)
	reply.FilledIn = max(c.Policy.FilledAt(term.since).Sub(now), 0)
	reply.Grants = make([]zinniapond.QuotaGrant, len(request.Needs))
	for i := range request.Needs {
		reply.Grants[i] = c.grant(now, term, request.Sender, &request.Needs[i])
	}
	// Another host counts if this one was suspended for long.
	if _, ok := c.tenure.at(c.Clock()); !ok {
		*reply = zinniapond.QuotaReply{}
		return fmt.Errorf("lease for counting has expired: %w", zinniapond.ErrUnavailable)
	}
	c.Stats.Add("quotas.messages", 1)
	return nil
}

// forward sends a request to the control host that counts.
func (c *Counter) forward(counter netip.AddrPort, request zinniapond.QuotaRequest, reply *zinniapond.QuotaReply) error {
	if !counter.IsValid() || counter == c.Address || request.Forwarded {
		return fmt.Errorf("no control host counts: %w", zinniapond.ErrUnavailable)
	}
	request.Forwarded = true
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	c.Stats.Add("quotas.forwarded", 1)
	return c.Peers.Call(ctx, counter, "Quotas.Acquire", request, reply)
}
