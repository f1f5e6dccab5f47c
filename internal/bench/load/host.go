package load

import (
	"fmt"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

// reconsider is the span after which waiting calls are offered places again
// without any event, as the owner role does it.
const reconsider = 100 * time.Millisecond

// host is one deciding host with its own plug-ins. It uses them as the owner
// role does.
type host struct {
	run     *run
	retrier zinniapond.Retrier
	limiter zinniapond.Limiter
	leases  zinniapond.CacheLeases
	engines *pool
	service *pool
	centre  zinniapond.DataCentre
}

// pool has a host's queue and router of one pool.
type pool struct {
	host    *host
	name    zinniapond.PoolName
	queue   zinniapond.Queue
	router  zinniapond.Router
	calls   map[zinniapond.CallID]*call // that wait
	pending bool                        // a reconsideration is planned
}

func (r *run) newHost(number int) (*host, error) {
	k := &kernel.Kernel{Settings: &zinniapond.Settings{
		Host:    zinniapond.HostName(fmt.Sprintf("host-%d-%d", number, r.Seed)),
		Plugins: map[string]string{"queue": r.Queue, "router": r.Router},
	}}
	h := &host{run: r, centre: centre(number)}
	var err error
	if h.retrier, err = kernel.Find[zinniapond.Retrier](k); err != nil {
		return nil, err
	}
	if h.limiter, err = kernel.Find[zinniapond.Limiter](k); err != nil {
		return nil, err
	}
	if h.leases, err = kernel.Find[zinniapond.CacheLeases](k); err != nil {
		return nil, err
	}
	if h.engines, err = h.newPool(k, "model", r.engines); err != nil {
		return nil, err
	}
	h.service, err = h.newPool(k, "service", r.services)
	return h, err
}

func (h *host) newPool(k *kernel.Kernel, name zinniapond.PoolName, nodes []*node) (*pool, error) {
	queue, err := kernel.New[zinniapond.Queue](k)
	if err != nil {
		return nil, err
	}
	router, err := kernel.New[zinniapond.Router](k)
	if err != nil {
		return nil, err
	}
	var servers []zinniapond.Backend
	for i, n := range nodes {
		servers = append(servers, zinniapond.Backend{Address: n.Address, Pool: name, DataCentre: centre(i), State: zinniapond.BackendLive})
	}
	router.Update(begin, servers)
	return &pool{host: h, name: name, queue: queue, router: router, calls: make(map[zinniapond.CallID]*call)}, nil
}

func centre(number int) zinniapond.DataCentre {
	return zinniapond.DataCentre([]string{"a", "b", "c"}[number%3])
}

func (h *host) free(now time.Time) func(netip.AddrPort) bool {
	return func(server netip.AddrPort) bool { return h.run.NoLimit || h.limiter.Free(now, server) }
}

// try takes a place for a call at once, if a server has one.
func (p *pool) try(now time.Time, need zinniapond.Need) (zinniapond.Choice, bool) {
	h := p.host
	choice, ok := p.router.Pick(now, need, h.free(now))
	if !ok || (!h.run.NoLimit && !h.limiter.Acquire(now, choice.Backend)) {
		return zinniapond.Choice{}, false
	}
	p.router.Started(now, choice.Backend, need)
	return choice, true
}

// release gives a place back.
func (p *pool) release(now time.Time, server netip.AddrPort, need zinniapond.Need, seen zinniapond.Observation) {
	p.router.Finished(now, server, need, seen)
	if !p.host.run.NoLimit {
		p.host.limiter.Release(now, server, seen)
	}
}

// push puts a call into the queue.
func (p *pool) push(now time.Time, c *call) {
	k := c.flow.script.kind
	p.calls[c.need.Call] = c
	p.queue.Push(now, zinniapond.Waiting{
		Call: c.need.Call, Program: c.need.Program, Plan: k.plan, Weight: k.weight, Class: k.class,
		Cost: c.need.Prompt + c.need.Most, Arrived: c.submitted, Until: c.until, Need: c.need,
	})
	p.dispatch(now)
}

// dispatch hands places to waiting calls until none is free.
func (p *pool) dispatch(now time.Time) {
	for {
		var choice zinniapond.Choice
		w, ok := p.queue.Pop(now, func(w zinniapond.Waiting) bool {
			var found bool
			choice, found = p.try(now, w.Need)
			return found
		})
		if !ok {
			break
		}
		c := p.calls[w.Call]
		delete(p.calls, w.Call)
		if c == nil {
			p.host.run.count.doubled++ // the queue gave a call out twice
			continue
		}
		c.dispatched(now, choice)
	}
	if p.queue.Len() > 0 && !p.pending {
		p.pending = true
		p.host.run.at(now.Add(reconsider), func(now time.Time) {
			p.pending = false
			p.expire(now)
			p.dispatch(now)
		})
	}
}

// expire refuses the calls that have waited too long.
func (p *pool) expire(now time.Time) {
	for _, w := range p.queue.Expire(now) {
		c := p.calls[w.Call]
		delete(p.calls, w.Call)
		c.refused(now)
	}
}

// sweep releases cache that is no longer worth its memory.
func (h *host) sweep(now time.Time) {
	for _, p := range h.leases.Expired(now) {
		h.run.drop(now, p.Backend, p.Program)
	}
}

// ask takes the load reports of all engines, and releases what they hold for
// this host's programs without a pin.
func (h *host) ask(now time.Time) {
	for _, n := range h.run.engines {
		report := n.Report(now)
		h.engines.router.Report(now, report)
		var mine []zinniapond.ProgramID
		for _, id := range report.Programs {
			if f := h.run.flows[id]; f != nil && f.host == h && !f.running {
				mine = append(mine, id)
			}
		}
		report.Programs = mine
		if h.run.NoLeases {
			continue
		}
		for _, p := range h.leases.Sweep(now, report) {
			h.run.drop(now, p.Backend, p.Program)
		}
	}
}
