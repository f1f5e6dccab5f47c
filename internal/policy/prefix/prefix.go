// Package prefix routes calls to the backend server with the least expected
// time, which is mostly the one whose cache has the longest part of the prompt.
package prefix

import (
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

const (
	// ejectAt is the slowness, by the pool's median, from which a server
	// receives only probes.
	ejectAt = 3
	// bound is the load, by the mean, up to which a server is preferred for
	// its cache.
	bound = 1.25
	// slack is added to the load bound. A host has only one or two requests at
	// a server, and a bound rounded to these sends calls away from their cache.
	slack = 3
	// usualSlots is the number of requests that a server runs at once, for those
	// that do not say.
	usualSlots = 16
	// queued is how much longer than beside running requests a call takes for each
	// request, by slots, that waits at the server before it.
	queued = 4
	// near is the ratio of expected times that count as equal.
	near = 1.1
	// reservable is the part of a pool, as a divisor, whose free places lower
	// classes may have to leave to the first class. Without a reserve, a short
	// urgent call waits for the end of some long one.
	reservable = 2
	// alike is the slowness, by the pool's median, up to which servers count
	// as equally fast; single answers differ by as much.
	alike = 2
	// sample bounds the servers that are compared for one call. All are
	// compared in pools of this size; larger ones are sampled.
	sample = 16
	// holders bounds the servers with a cached part that are compared.
	holders = 6
)

func init() {
	kernel.Register[zinniapond.Router]("prefix", func(k *kernel.Kernel) (zinniapond.Router, error) {
		return &Router{Seed: xxhash.Sum64String(string(k.Settings.Host))}, nil
	})
}

// Router routes by expected time. Each server's state is under its own lock.
type Router struct {
	// Seed differs between hosts, so that they do not choose alike. Set it
	// before the first use.
	Seed uint64

	list    atomic.Pointer[[]*server]
	servers shard.Map[netip.AddrPort, *server]
	cached  atomic.Pointer[view]
	pool    speed
	flying  atomic.Int64
	urgent  atomic.Int64 // of the first class
}

var _ zinniapond.Router = (*Router)(nil)

func (r *Router) view() *view {
	if v := r.cached.Load(); v != nil {
		return v
	}
	r.cached.CompareAndSwap(nil, newView())
	return r.cached.Load()
}

// Update sets the servers that may receive new work.
func (r *Router) Update(_ time.Time, servers []zinniapond.Backend) {
	next := make([]*server, 0, len(servers))
	listed := make(map[netip.AddrPort]bool, len(servers))
	for _, b := range servers {
		listed[b.Address] = true
		s := r.servers.GetOrCreate(b.Address, func() *server {
			return &server{address: b.Address, dataCentre: b.DataCentre, slots: usualSlots}
		})
		if b.Slots > 0 {
			s.size(b.Slots)
		}
		s.listed.Store(true)
		next = append(next, s)
	}
	r.list.Store(&next)
	var gone []netip.AddrPort
	r.servers.Each(func(a netip.AddrPort, s *server) bool {
		if !listed[a] {
			s.listed.Store(false)
			if s.look(time.Time{}).own == 0 {
				gone = append(gone, a)
			}
		}
		return true
	})
	for _, a := range gone {
		r.servers.Delete(a)
	}
}

// option is a server considered for a call.
type option struct {
	*server
	seen   glance
	cached zinniapond.Tokens
	// slowness is by the pool's median.
	slowness float64
	score    float64
	out      bool // ejected
}

// Pick chooses the free server with the least expected time.
func (r *Router) Pick(now time.Time, need zinniapond.Need, free func(netip.AddrPort) bool) (zinniapond.Choice, bool) {
	list := r.list.Load()
	if list == nil || len(*list) == 0 {
		return zinniapond.Choice{}, false
	}
	random := xxhash.Sum64String(string(need.Call)) ^ r.Seed + uint64(len(need.Exclude))*0x9e3779b97f4a7c15
	var space [sample + holders + 1]option
	options := r.gather(now, need, *list, random, space[:0])
	eject(options)
	if need.Class > zinniapond.ClassInteractive && !r.spare(options, free) {
		return zinniapond.Choice{}, false
	}
	if c, ok := r.tryProbe(now, need, options, free); ok {
		return c, true
	}
	mean := float64(r.flying.Load()+1) / float64(len(*list))
	limit := math.Ceil(bound*mean) + slack
	// First the servers within the load bound, then any that is not ejected,
	// then any at all.
	for round := range 3 {
		best := r.best(need, options, random, func(o *option) bool {
			switch {
			case slices.Contains(need.Exclude, o.address) || !free(o.address):
				return false
			case round == 0:
				return !o.out && float64(o.seen.own+1) <= limit
			case round == 1:
				return !o.out
			}
			return true
		})
		if best == nil {
			continue
		}
		reason := "least expected time"
		switch {
		case best.cached > 0:
			reason = "cached prefix"
		case best.out:
			reason = "only slow servers are free"
		}
		return zinniapond.Choice{Backend: best.address, Cached: best.cached, Reason: reason}, true
	}
	return zinniapond.Choice{}, false
}

// gather reads the servers to compare: those with a cached part and, in a
// large pool, a random sample.
func (r *Router) gather(now time.Time, need zinniapond.Need, list []*server, random uint64, into []option) []option {
	var space [holders]found
	have := r.view().find(need, space[:0])
	consider := func(s *server, h *found) {
		o := option{server: s, seen: s.look(now)}
		if h != nil && h.round == o.seen.round {
			o.cached = h.cached
		}
		if s.address == need.Home {
			o.cached = max(o.cached, need.Held)
		}
		into = append(into, o)
	}
	if len(list) <= sample {
		for _, s := range list {
			consider(s, lookup(have, s.address))
		}
		return into
	}
	for i := range have {
		if s, ok := r.servers.Get(have[i].server); ok && s.listed.Load() {
			consider(s, &have[i])
		}
	}
	if s, ok := r.servers.Get(need.Home); ok && s.listed.Load() && lookup(have, need.Home) == nil {
		consider(s, nil)
	}
	count := uint64(len(list))
	// Consecutive servers from a random place are a sample without repeats.
	for i := range uint64(sample) {
		s := list[(random+i)%count]
		if lookup(have, s.address) == nil && s.address != need.Home {
			consider(s, nil)
		}
	}
	return into
}

func lookup(have []found, server netip.AddrPort) *found {
	for i := range have {
		if have[i].server == server {
			return &have[i]
		}
	}
	return nil
}

// eject marks the slow servers, at most a third: when more are slow, the cause
// is load, and ejecting them would overload the rest.
func eject(options []option) {
	var space [sample + holders + 1]float64
	all := space[:0]
	for i := range options {
		all = append(all, options[i].seen.slowness)
	}
	slices.Sort(all)
	median := max(all[(len(all)-1)/2], 0.1)
	least := all[len(all)-1-len(all)/3] // the slowest that stays in any case
	for i := range options {
		o := &options[i]
		o.out = o.seen.slowness > ejectAt*max(median, 1) && o.seen.slowness > least
		o.slowness = o.seen.slowness / median
		if o.slowness < alike {
			o.slowness = 1
		}
	}
}

// spare tells whether more servers are free than are kept for the first class:
// twice the square root of its calls in flight, as their number swings by that
// much.
func (r *Router) spare(options []option, free func(netip.AddrPort) bool) bool {
	reserved := int(math.Ceil(2 * math.Sqrt(float64(r.urgent.Load()+1))))
	reserved = min(reserved, len(options)/reservable)
	for i := range options {
		if o := &options[i]; !o.out && free(o.address) {
			if reserved == 0 {
				return true
			}
			reserved--
		}
	}
	return false
}

// tryProbe sends a call to an ejected server whose probe is due.
func (r *Router) tryProbe(now time.Time, need zinniapond.Need, options []option, free func(netip.AddrPort) bool) (zinniapond.Choice, bool) {
	for i := range options {
		o := &options[i]
		if o.out && o.seen.probe && !slices.Contains(need.Exclude, o.address) && free(o.address) {
			o.probed(now)
			return zinniapond.Choice{Backend: o.address, Cached: o.cached, Reason: "probe of a slow server"}, true
		}
	}
	return zinniapond.Choice{}, false
}

// best returns the option with the least expected time. Among near-equals it
// takes the less loaded of two random ones, so that hosts with the same view
// do not all choose the same server.
func (r *Router) best(need zinniapond.Need, options []option, random uint64, allowed func(*option) bool) *option {
	var space [sample + holders + 1]*option
	able := space[:0]
	least := math.Inf(1)
	for i := range options {
		o := &options[i]
		if !allowed(o) {
			continue
		}
		o.score = o.slowness * r.pool.expected(need, o.cached, o.seen.load, o.seen.slots)
		if !r.pool.known() {
			o.score = 1 + o.seen.load // nothing observed yet: fewest in flight
		}
		able = append(able, o)
		least = min(least, o.score)
	}
	able = slices.DeleteFunc(able, func(o *option) bool { return o.score > near*least })
	if len(able) == 0 {
		return nil
	}
	if need.Warm != nil {
		able = prefer(able, func(o *option) bool { return need.Warm(o.address) })
	}
	able = prefer(able, func(o *option) bool { return o.dataCentre == need.DataCentre })
	count := uint64(len(able))
	a, b := able[random%count], able[(random>>32)%count]
	if b.seen.load < a.seen.load {
		return b
	}
	return a
}

// prefer returns the options for which better is true, or all if there are none.
func prefer(options []*option, better func(*option) bool) []*option {
	if some := slices.DeleteFunc(slices.Clone(options), func(o *option) bool { return !better(o) }); len(some) > 0 {
		return some
	}
	return options
}

// Started counts a request in flight.
func (r *Router) Started(now time.Time, address netip.AddrPort, need zinniapond.Need) {
	if s, ok := r.servers.Get(address); ok {
		r.flying.Add(1)
		if need.Class == zinniapond.ClassInteractive {
			r.urgent.Add(1)
		}
		s.start(flight{call: need.Call, started: now, most: r.pool.cost(float64(need.Prompt), float64(need.Most))})
	}
}

// Finished ends a request in flight and learns from it.
func (r *Router) Finished(now time.Time, address netip.AddrPort, need zinniapond.Need, seen zinniapond.Observation) {
	s, ok := r.servers.Get(address)
	if !ok {
		return
	}
	f, ok := s.finish(need.Call)
	if !ok {
		return
	}
	r.flying.Add(-1)
	if need.Class == zinniapond.ClassInteractive {
		r.urgent.Add(-1)
	}
	switch {
	case seen.Cancelled:
		// The time until the cancellation is a lower bound of the latency.
		if late := float64(now.Sub(f.started)) / max(f.most, 1); late > ejectAt {
			s.learn(now, late)
		} else {
			s.cancelled(now)
		}
	case seen.Failed:
		s.learn(now, failure)
	default:
		fresh := float64(max(seen.Usage.Prompt-seen.Usage.Cached, 0))
		if usual := r.pool.cost(fresh, float64(seen.Usage.Generated)); usual > 0 {
			s.learn(now, float64(seen.Total)/usual)
		}
		r.pool.observe(seen, need.Most)
		r.view().add(need.Prefix, holder{address, s.current()})
	}
}

// Report takes a load report as a hint.
func (r *Router) Report(_ time.Time, report zinniapond.LoadReport) {
	if s, ok := r.servers.Get(report.Backend); ok {
		s.hint(report)
	}
}

// Event follows a server's cache.
func (r *Router) Event(_ time.Time, event zinniapond.CacheEvent) {
	s, ok := r.servers.Get(event.Backend)
	if ok && s.next(event.Sequence) && event.Dropped {
		r.view().drop(event.Block, event.Backend)
	}
}

// Estimate is the time that the call would take on an unloaded server, with
// the part of its prompt cached that some server has.
func (r *Router) Estimate(need zinniapond.Need) time.Duration {
	if !r.pool.known() {
		return 0
	}
	var space [1]found
	var cached zinniapond.Tokens
	if have := r.view().find(need, space[:0]); len(have) > 0 {
		cached = have[0].cached
	}
	return r.pool.estimate(need, cached)
}
