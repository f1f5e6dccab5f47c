package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
	"zinniapond.example/zinniapond/internal/fleet/quotas"
	"zinniapond.example/zinniapond/internal/front/quota"
	"zinniapond.example/zinniapond/internal/policy/allow"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

var access = zinniapond.AccessSettings{QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20}

// site is a set of fronts and control hosts with a network that can fail, in the time of
// a synctest bubble.
type site struct {
	ctx      context.Context
	stop     context.CancelFunc
	group    sync.WaitGroup
	fronts   []*front
	counters map[netip.AddrPort]*counter
	order    []netip.AddrPort // of the control hosts
	latency  time.Duration

	mu      sync.Mutex // guards the following and the fields of hosts
	routing *zinniapond.Routing
	random  *rand.Rand
	cut     func(from, to string) bool
	runs    map[zinniapond.PlanName][]time.Time
	offers  map[zinniapond.PlanName][]offer
	begun   int // number of programs that have begun
	ended   int // number of those that have ended
	asked   int // number of requests, not counting retries
	refused int // number of refusals
	lost    int // number of requests that were refused for good
	waited  time.Duration
	// longest is the longest wait of a request that ran.
	longest time.Duration
}

// offer is one attempt of a client.
type offer struct {
	at     time.Time
	begins bool
}

// counter is one control host. frozen is the time until which it does nothing.
type counter struct {
	*quotas.Counter
	stop   context.CancelFunc
	dead   bool
	frozen time.Time
	bytes  int
}

// front is one front. frozen is the time until which it does nothing.
type front struct {
	*quota.Client
	name     string
	ctx      context.Context // ends with the process
	stop     context.CancelFunc
	stats    *stats.Set[string]
	frozen   time.Time
	bytes    int
	messages int
}

func (s *site) View() *zinniapond.ControlView {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := &zinniapond.ControlView{Routing: s.routing}
	for _, a := range s.order {
		view.Voters = append(view.Voters, zinniapond.VoterKey{Name: zinniapond.HostName(a.String())})
	}
	return view
}
func (s *site) Catalog() *zinniapond.Catalog { return nil }
func (s *site) LeaseValid(time.Time) bool    { return true }
func (s *site) ConfirmedAt() time.Time       { return time.Now() }
func (s *site) Changed() <-chan struct{}     { return nil }

// setPlans puts a configuration with the given plans in force.
func (s *site) setPlans(plans ...zinniapond.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := uint64(1)
	if s.routing != nil {
		version = s.routing.Version + 1
	}
	s.routing = &zinniapond.Routing{Version: version, HasPlans: true, Plans: plans}
}

func (s *site) plan(name zinniapond.PlanName) *zinniapond.Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.routing.Plans {
		if s.routing.Plans[i].Name == name {
			return &s.routing.Plans[i]
		}
	}
	return nil
}

// connection is the network from one host.
type connection struct {
	*site
	from string
}

// pause waits until a host is not frozen.
func (s *site) pause(frozen *time.Time) {
	for {
		s.mu.Lock()
		wait := time.Until(*frozen)
		s.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

func (s *site) frozenAt(name string) *time.Time {
	for _, f := range s.fronts {
		if f.name == name {
			return &f.frozen
		}
	}
	address := netip.MustParseAddrPort(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return &s.counters[address].frozen
}

// Call delivers a request even if the caller has given up before it arrives.
func (c connection) Call(ctx context.Context, to netip.AddrPort, method string, request, reply any) error {
	c.pause(c.frozenAt(c.from))
	c.mu.Lock()
	target := c.counters[to]
	lost := c.cut != nil && c.cut(c.from, to.String())
	dead := target.dead
	c.mu.Unlock()
	if dead {
		return zinniapond.ErrUnavailable
	}
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	done := make(chan error, 1)
	// The bubble waits for deliveries. They are not counted in the group, as a control
	// host that withdraws its request for the lease makes calls also after the group has
	// ended.
	go func() {
		time.Sleep(2 * c.latency) // there and back
		c.pause(&target.frozen)
		var err error
		switch method {
		case "Quotas.Acquire":
			var r zinniapond.QuotaReply
			err = target.Acquire(request.(zinniapond.QuotaRequest), &r)
			c.count(to, request, r)
			if ctx.Err() == nil && err == nil {
				*reply.(*zinniapond.QuotaReply) = r
			}
		case "Quotas.Accept":
			var r zinniapond.CounterReply
			err = target.Accept(request.(zinniapond.CounterRequest), &r)
			c.count(to, request, r)
			if ctx.Err() == nil && err == nil {
				*reply.(*zinniapond.CounterReply) = r
			}
		}
		done <- err
	}()
	var err error
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case err = <-done:
	}
	c.pause(c.frozenAt(c.from))
	return err
}

// count counts the bytes of a message at both hosts.
func (c connection) count(to netip.AddrPort, request, reply any) {
	size := 0
	for _, message := range []any{request, reply} {
		data, err := codec.Marshal(message)
		if err != nil {
			panic(err)
		}
		size += len(data) + 24 // header of the frame
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters[to].bytes += size
	for _, f := range c.fronts {
		if f.name == c.from {
			f.bytes += size
			f.messages++
		}
	}
}

// startCounter starts a process of a control host, in place of an earlier one.
func (s *site) startCounter(address netip.AddrPort) {
	counted := &counter{Counter: &quotas.Counter{
		Address: address, Peers: connection{s, address.String()}, ControlHosts: hosts.Chooser{Directory: s},
		Policy: allow.Policy{Access: access}, Stats: new(stats.Set[string]), Logger: hclog.NewNullLogger(), Clock: time.Now,
	}}
	var ctx context.Context
	ctx, counted.stop = context.WithCancel(s.ctx)
	s.mu.Lock()
	if earlier := s.counters[address]; earlier != nil {
		earlier.dead = true
		earlier.stop()
	}
	s.counters[address] = counted
	s.mu.Unlock()
	s.group.Go(func() { _ = counted.Run(ctx) }) // returns nil only
}

// startFront starts a process of a front, in place of an earlier one.
func (s *site) startFront(f *front, frontCount int) {
	client := &quota.Client{
		Host: zinniapond.HostName(f.name), Peers: connection{s, f.name}, ControlHosts: hosts.Chooser{Directory: s},
		Policy: allow.Policy{Access: access}, Stats: f.stats, Logger: hclog.NewNullLogger(), Clock: time.Now,
	}
	client.SetHostCount(frontCount)
	ctx, stop := context.WithCancel(s.ctx)
	s.mu.Lock()
	if f.stop != nil {
		f.stop()
	}
	f.Client, f.ctx, f.stop = client, ctx, stop
	s.mu.Unlock()
	s.group.Go(func() { _ = client.Run(ctx) }) // returns nil only
}

// killFront ends the process of a front. Its clients wait until it is started again, which
// takes the given time.
func (s *site) killFront(f *front, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.stop()
	f.frozen = time.Now().Add(span + time.Millisecond) // after the start
}

// process returns the present process of a front.
func (s *site) process(f *front) (*quota.Client, context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.Client, f.ctx
}

// killCounter ends the process of a control host.
func (s *site) killCounter(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters[address].dead = true
	s.counters[address].stop()
}

// counting returns the control host that has answered most requests of fronts.
func (s *site) counting() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best netip.AddrPort
	most := int64(-1)
	for _, a := range s.order {
		if n := s.counters[a].Stats.Value("quotas.messages"); n > most {
			best, most = a, n
		}
	}
	return best
}

// runSite runs play with a site in which the control hosts have just started.
func runSite(t *testing.T, seed uint64, frontCount int, play func(s *site)) *site {
	t.Helper()
	frontCount = min(frontCount, maxFronts)
	s := &site{counters: make(map[netip.AddrPort]*counter), latency: 2 * time.Millisecond, runs: make(map[zinniapond.PlanName][]time.Time), offers: make(map[zinniapond.PlanName][]offer), random: rand.New(rand.NewPCG(seed, 1))}
	synctest.Test(t, func(*testing.T) {
		s.ctx, s.stop = context.WithCancel(context.Background())
		for i := range 5 {
			s.order = append(s.order, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7000))
		}
		for _, a := range s.order {
			s.startCounter(a)
		}
		for i := range frontCount {
			s.fronts = append(s.fronts, &front{name: fmt.Sprintf("front-%d", i), stats: new(stats.Set[string])})
		}
		for _, f := range s.fronts {
			s.startFront(f, frontCount)
		}
		time.Sleep(time.Second)
		play(s)
		s.stop()
		s.group.Wait()
		time.Sleep(time.Second) // calls to hosts that do not answer end
	})
	return s
}
