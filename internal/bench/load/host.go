package load

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

// dispatchInterval is the time after which waiting calls are dispatched again
// without any other event, as the owner role does it.
const dispatchInterval = 100 * time.Millisecond

// host is one simulated host that makes scheduling decisions with plug-ins of
// its own. It uses them as the owner role does.
type host struct {
	run         *run
	retrier     zinniapond.Retrier
	limiter     zinniapond.Limiter
	leases      zinniapond.CacheLeases
	enginePool  *pool
	servicePool *pool
	dataCentre  zinniapond.DataCentre
}

// pool has the queue and the router of a host for one pool of servers.
type pool struct {
	host              *host
	name              zinniapond.PoolName
	queue             zinniapond.Queue
	router            zinniapond.Router
	servers           []zinniapond.Backend
	waitingCalls      map[zinniapond.CallID]*call // in the queue
	dispatchScheduled bool                        // the next regular dispatch is scheduled
}

func (r *run) newHost(number int) (*host, error) {
	k := &kernel.Kernel{Settings: &zinniapond.Settings{
		Host:    zinniapond.HostName(fmt.Sprintf("host-%d-%d", number, r.Seed)),
		Plugins: map[string]string{"queue": r.Queue, "router": r.Router},
	}}
	h := &host{run: r, dataCentre: dataCentreOf(number)}
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
	if h.enginePool, err = h.newPool(k, "model", r.engines); err != nil {
		return nil, err
	}
	h.servicePool, err = h.newPool(k, "service", r.services)
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
		servers = append(servers, zinniapond.Backend{Address: n.Address, Pool: name, DataCentre: dataCentreOf(i), State: zinniapond.BackendLive})
	}
	router.Update(startTime, servers)
	return &pool{host: h, name: name, queue: queue, router: router, servers: servers, waitingCalls: make(map[zinniapond.CallID]*call)}, nil
}

// removeServer removes a server that has refused a call because it is leaving.
func (p *pool) removeServer(now time.Time, server netip.AddrPort) {
	p.servers = slices.DeleteFunc(p.servers, func(b zinniapond.Backend) bool { return b.Address == server })
	p.router.Update(now, p.servers)
}

func dataCentreOf(number int) zinniapond.DataCentre {
	return zinniapond.DataCentre([]string{"a", "b", "c"}[number%3])
}

// hasFreeSlot returns the condition by which the router skips servers without a
// free slot.
func (h *host) hasFreeSlot(now time.Time) func(netip.AddrPort) bool {
	return func(server netip.AddrPort) bool { return h.run.NoLimit || h.limiter.CanAcquire(now, server) }
}

// acquire takes a slot of a server for a call, if a server has a free one.
func (p *pool) acquire(now time.Time, need zinniapond.PickInfo) (zinniapond.Choice, bool) {
	h := p.host
	choice, ok := p.router.Pick(now, need, h.hasFreeSlot(now))
	if !ok || (!h.run.NoLimit && !h.limiter.Acquire(now, choice.Backend)) {
		return zinniapond.Choice{}, false
	}
	p.router.AttemptStarted(now, choice.Backend, need)
	return choice, true
}

// release gives a slot back and tells the policies how the attempt went.
func (p *pool) release(now time.Time, server netip.AddrPort, need zinniapond.PickInfo, observation zinniapond.Observation) {
	p.router.AttemptFinished(now, server, need, observation)
	if !p.host.run.NoLimit {
		p.host.limiter.Release(now, server, observation)
	}
}

// enqueue puts a call into the queue and dispatches.
func (p *pool) enqueue(now time.Time, c *call) {
	k := c.execution.script.kind
	p.waitingCalls[c.need.Call] = c
	p.queue.Push(now, zinniapond.QueuedCall{
		Call: c.need.Call, Program: c.need.Program, Plan: k.plan, Weight: k.weight, Class: k.class,
		Cost: c.need.PromptTokens + c.need.MaxGenerated, ArrivedAt: c.submitted, Deadline: c.deadline, PickInfo: c.need,
	})
	p.dispatch(now)
}

// dispatch starts waiting calls until no server has a free slot for them.
func (p *pool) dispatch(now time.Time) {
	for {
		var choice zinniapond.Choice
		w, ok := p.queue.Pop(now, func(w zinniapond.QueuedCall) bool {
			var found bool
			choice, found = p.acquire(now, w.PickInfo)
			return found
		})
		if !ok {
			break
		}
		c := p.waitingCalls[w.Call]
		delete(p.waitingCalls, w.Call)
		if c == nil {
			p.host.run.counts.doubled++ // the queue returned a call twice
			continue
		}
		c.startAttempt(now, choice)
	}
	if p.queue.Len() > 0 && !p.dispatchScheduled {
		p.dispatchScheduled = true
		p.host.run.schedule(now.Add(dispatchInterval), func(now time.Time) {
			p.dispatchScheduled = false
			p.expire(now)
			p.dispatch(now)
		})
	}
}

// expire refuses the calls that have waited too long.
func (p *pool) expire(now time.Time) {
	for _, w := range p.queue.Expire(now) {
		c := p.waitingCalls[w.Call]
		delete(p.waitingCalls, w.Call)
		c.refuse(now)
	}
}

// releaseExpired releases cache that is no longer worth its memory, as its
// lease has expired.
func (h *host) releaseExpired(now time.Time) {
	for _, p := range h.leases.RemoveExpired(now) {
		h.run.releaseCache(now, p.Backend, p.Program)
	}
}

// readReports gives the load reports of all engines to the router, and releases
// the cache that engines hold without a pin for idle programs of this host.
func (h *host) readReports(now time.Time) {
	for _, n := range h.run.engines {
		report := n.Report(now)
		h.enginePool.router.UpdateLoad(now, report)
		var idle []zinniapond.ProgramID
		for _, id := range report.Programs {
			if e := h.run.executions[id]; e != nil && e.host == h && !e.callRunning {
				idle = append(idle, id)
			}
		}
		report.Programs = idle
		if h.run.NoLeases {
			continue
		}
		for _, p := range h.leases.FindUnpinned(now, report) {
			h.run.releaseCache(now, p.Backend, p.Program)
		}
	}
}
