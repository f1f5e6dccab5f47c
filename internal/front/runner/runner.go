// Package runner runs requests at replicas: it finds the route, reserves and
// restores what a program needs, chooses replicas, and passes the answer on.
package runner

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/meter"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/front/board"
	"zinniapond.example/zinniapond/internal/routes/table"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Forwarder, error) {
		r := &Runner{DataCentre: k.Settings.DataCentre, Logger: k.Logger.Named("front"), Clock: k.Now}
		r.Board = board.Board{Host: k.Settings.Host, Logger: r.Logger, Clock: k.Now}
		r.NewRouter = func() (zinniapond.Router, error) { return kernel.New[zinniapond.Router](k) }
		return r, errors.Join(
			kernel.Fill(k, &r.Directory), kernel.Fill(k, &r.Roster), kernel.Fill(k, &r.Turns), kernel.Fill(k, &r.Client),
			kernel.Fill(k, &r.Meter), kernel.Fill(k, &r.Stats), kernel.Fill(k, &r.Board.Peers),
		)
	})
}

// Runner implements zinniapond.Forwarder. Its exported fields are set before
// Run.
type Runner struct {
	DataCentre zinniapond.DataCentre
	Directory  zinniapond.Directory
	Roster     zinniapond.Roster
	Turns      zinniapond.Turns
	Client     zinniapond.ReplicaClient
	Stats      *stats.Set[string]
	Meter      *meter.Meter
	Logger     hclog.Logger
	Clock      func() time.Time
	NewRouter  func() (zinniapond.Router, error)
	// Board exchanges loads with other hosts; not used without Peers.
	Board board.Board

	table atomic.Pointer[table.Table]
	once  sync.Once
	// configured is closed when there is a configuration.
	configured chan struct{}
	pools      shard.Map[zinniapond.PoolName, *pool]
	// background has the writes that go on after an answer.
	background sync.WaitGroup
}

// pool has the replicas of one service.
type pool struct {
	router   zinniapond.Router
	replicas atomic.Pointer[map[netip.AddrPort]zinniapond.Backend]
	// flights counts the requests under way at each replica.
	flights shard.Map[netip.AddrPort, *atomic.Int64]
}

func (p *pool) started(now time.Time, replica netip.AddrPort, need zinniapond.Need) {
	p.flights.GetOrCreate(replica, func() *atomic.Int64 { return new(atomic.Int64) }).Add(1)
	p.router.Started(now, replica, need)
}

func (p *pool) finished(now time.Time, replica netip.AddrPort, need zinniapond.Need, seen zinniapond.Observation) {
	if n, ok := p.flights.Get(replica); ok {
		n.Add(-1)
	}
	p.router.Finished(now, replica, need, seen)
}

// loads returns the number of this host's requests at each replica.
func (r *Runner) loads() []zinniapond.Load {
	var loads []zinniapond.Load
	r.pools.Each(func(_ zinniapond.PoolName, p *pool) bool {
		p.flights.Each(func(a netip.AddrPort, n *atomic.Int64) bool {
			if count := n.Load(); count > 0 {
				loads = append(loads, zinniapond.Load{Replica: a, Count: int(count)})
			}
			return true
		})
		return true
	})
	return loads
}

// learn takes in the number of all hosts' requests at each replica.
func (r *Runner) learn(now time.Time, loads []zinniapond.Load) {
	counts := make(map[netip.AddrPort]int, len(loads))
	for _, l := range loads {
		counts[l.Replica] = l.Count
	}
	r.pools.Each(func(_ zinniapond.PoolName, p *pool) bool {
		for a := range *p.replicas.Load() {
			p.router.Report(now, zinniapond.LoadReport{Backend: a, Taken: now, Running: counts[a]})
		}
		return true
	})
}

// sweepPause separates two looks for connections that are idle for too long.
const sweepPause = time.Second

func (r *Runner) initialise() {
	r.once.Do(func() { r.configured = make(chan struct{}) })
}

// Run follows the configuration and the list of replicas until ctx is done.
func (r *Runner) Run(ctx context.Context) error {
	r.initialise()
	group, ctx := errgroup.WithContext(ctx)
	if r.Board.Peers != nil {
		r.Board.Loads, r.Board.Learn, r.Board.Directory = r.loads, r.learn, r.Directory
		group.Go(func() error { return r.Board.Run(ctx) })
	}
	group.Go(func() error { return r.follow(ctx) })
	err := group.Wait()
	r.background.Wait()
	return err
}

// follow takes in the configuration and the list of replicas whenever they
// change.
func (r *Runner) follow(ctx context.Context) error {
	ticker := time.NewTicker(sweepPause)
	defer ticker.Stop()
	for {
		configured, listed := r.Directory.Changed(), r.Roster.Changed()
		if err := r.update(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-configured:
		case <-listed:
		case <-ticker.C:
		}
	}
}

// update takes in the newest configuration and list. A configuration never gives
// way to an older one.
func (r *Runner) update() error {
	routing := r.Directory.View().Routing
	have := r.table.Load()
	if routing != nil && (have == nil || routing.Version > have.Routing().Version) {
		r.table.Store(table.New(routing))
		if have == nil {
			close(r.configured)
		}
		r.Logger.Info("configuration in force", "version", routing.Version, "routes", len(routing.Routes))
	}
	backends := r.Roster.Backends()
	byPool := make(map[zinniapond.PoolName][]zinniapond.Backend)
	for _, b := range backends {
		byPool[b.Pool] = append(byPool[b.Pool], b)
	}
	now := r.Clock()
	for name, list := range byPool {
		p, err := r.pool(name)
		if err != nil {
			return err
		}
		p.update(now, list)
	}
	r.pools.Each(func(name zinniapond.PoolName, p *pool) bool {
		if _, ok := byPool[name]; !ok {
			p.update(now, nil)
		}
		return true
	})
	r.Client.Limit(now, backends)
	return nil
}

func (r *Runner) pool(name zinniapond.PoolName) (*pool, error) {
	if p, ok := r.pools.Get(name); ok {
		return p, nil
	}
	router, err := r.NewRouter()
	if err != nil {
		return nil, err
	}
	return r.pools.GetOrCreate(name, func() *pool {
		p := &pool{router: router}
		p.replicas.Store(&map[netip.AddrPort]zinniapond.Backend{})
		return p
	}), nil
}

// update sets the replicas. Only live ones get new requests.
func (p *pool) update(now time.Time, list []zinniapond.Backend) {
	live := slices.DeleteFunc(slices.Clone(list), func(b zinniapond.Backend) bool { return b.State != zinniapond.BackendLive })
	replicas := make(map[netip.AddrPort]zinniapond.Backend, len(live))
	for _, b := range live {
		replicas[b.Address] = b
	}
	p.replicas.Store(&replicas)
	p.router.Update(now, live)
	var idle []netip.AddrPort
	p.flights.Each(func(a netip.AddrPort, n *atomic.Int64) bool {
		if _, listed := replicas[a]; !listed && n.Load() == 0 {
			idle = append(idle, a)
		}
		return true
	})
	for _, a := range idle {
		p.flights.Delete(a)
	}
}

// Ready tells whether requests can be run: there is a configuration, and a list
// of replicas.
func (r *Runner) Ready() bool {
	return r.table.Load() != nil && len(r.Roster.Backends()) > 0
}
