// Package owner implements the owner role. The owner of a shard orders the
// calls of the shard's programs, makes the intent and the result of each call
// durable in the journal, and runs the calls on backend servers.
package owner

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/program/pool"
)

func init() {
	kernel.Register[zinniapond.Scheduler]("owner", func(k *kernel.Kernel) (zinniapond.Scheduler, error) {
		return build(k)
	})
	kernel.Register[zinniapond.RolePlugin]("owner", func(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
		s, err := kernel.FindNamed[zinniapond.Scheduler](k, "owner")
		if err != nil {
			return nil, err
		}
		return s.(*Owner), nil
	})
}

// Owner runs the programs of the shards that are assigned to this host. The
// exported fields have to be set before Run.
type Owner struct {
	Settings  *zinniapond.Settings
	Logger    hclog.Logger
	Tracer    trace.Tracer
	Clock     func() time.Time
	Directory zinniapond.Directory
	Control   zinniapond.Control
	Journal   zinniapond.Journal
	Budget    zinniapond.Budget
	Roster    zinniapond.Roster
	Retrier   zinniapond.Retrier
	Detector  zinniapond.Detector
	Leases    zinniapond.CacheLeases
	Stats     *stats.Set[string]
	Clients   map[zinniapond.BackendKind]zinniapond.BackendClient
	// NewPool creates the pool of the given name with its queue, router and
	// limiter.
	NewPool func(zinniapond.PoolName) (*pool.Pool, error)

	ownedShards        shard.Map[zinniapond.ShardID, *ownedShard]
	programs           shard.Map[zinniapond.ProgramID, *program]
	pools              shard.Map[zinniapond.PoolName, *pool.Pool]
	group              *errgroup.Group
	lifetime           context.Context // cancelled at the end of Run, after the hand-over of the shards
	cancel             context.CancelFunc
	recentServers      shard.Map[recentServer, usage]
	loggedDegradations map[string]zinniapond.Degradation // degradations found by the previous sweep, by subject
}

// Role returns RoleOwner, the role under which the kernel starts Owner.
func (*Owner) Role() zinniapond.Role { return zinniapond.RoleOwner }

func build(k *kernel.Kernel) (*Owner, error) {
	o := &Owner{Settings: k.Settings, Logger: k.Logger.Named("owner"), Tracer: k.Tracer, Clock: k.Clock}
	finders := []func() error{
		newFinder(k, &o.Directory), newFinder(k, &o.Control), newFinder(k, &o.Journal), newFinder(k, &o.Budget),
		newFinder(k, &o.Roster), newFinder(k, &o.Retrier), newFinder(k, &o.Detector), newFinder(k, &o.Leases),
		newFinder(k, &o.Stats),
	}
	for _, f := range finders {
		if err := f(); err != nil {
			return nil, err
		}
	}
	o.Clients = make(map[zinniapond.BackendKind]zinniapond.BackendClient)
	for _, kind := range []zinniapond.BackendKind{zinniapond.KindEngine, zinniapond.KindService} {
		client, err := kernel.FindNamed[zinniapond.BackendClient](k, string(kind))
		if err != nil {
			return nil, err
		}
		o.Clients[kind] = client
	}
	o.NewPool = func(name zinniapond.PoolName) (*pool.Pool, error) { return newPool(k, name) }
	o.lifetime, o.cancel = context.WithCancel(context.Background())
	o.group = new(errgroup.Group)
	mounter, err := kernel.Find[zinniapond.Mounter](k)
	if err != nil {
		return nil, err
	}
	return o, mounter.Mount("Owner", &handoverReceiver{owner: o})
}

// newFinder returns a function that looks up the plug-in of type T in the
// kernel and stores it in dest.
func newFinder[T any](k *kernel.Kernel, dest *T) func() error {
	return func() error {
		v, err := kernel.Find[T](k)
		*dest = v
		return err
	}
}

// newPool creates a pool with new instances of the queue, router and limiter
// that the settings name.
func newPool(k *kernel.Kernel, name zinniapond.PoolName) (*pool.Pool, error) {
	p := pool.New(name)
	var err error
	if p.Queue, err = kernel.New[zinniapond.Queue](k); err != nil {
		return nil, err
	}
	if p.Router, err = kernel.New[zinniapond.Router](k); err != nil {
		return nil, err
	}
	if p.Limiter, err = kernel.New[zinniapond.Limiter](k); err != nil {
		return nil, err
	}
	p.Clock = k.Clock
	return p, nil
}

// Run takes over the assigned shards until ctx is done, then hands them over to
// other hosts and waits for the calls that are still running.
func (o *Owner) Run(ctx context.Context) error {
	defer o.cancel()
	o.group.Go(func() error { return o.followRoster(o.lifetime) })
	o.group.Go(func() error { return o.followDirectory(o.lifetime) })
	o.group.Go(func() error { return o.sweep(o.lifetime) })
	<-ctx.Done()
	o.drain()
	o.cancel()
	return o.group.Wait()
}

// followDirectory takes over and drops shards whenever the assignments in the
// control state change, and hands over all shards once this host is draining.
func (o *Owner) followDirectory(ctx context.Context) error {
	for {
		changed := o.Directory.Changed()
		view := o.Directory.View()
		o.applyAssignments(view)
		if view.Members[o.Settings.Host].State == zinniapond.MemberDraining {
			o.group.Go(func() error { o.handOverAll(); return nil })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// followRoster updates the servers of the pools whenever the platform's list of
// backend servers changes.
func (o *Owner) followRoster(ctx context.Context) error {
	for {
		changed := o.Roster.Changed()
		o.updatePools(o.Clock())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (o *Owner) updatePools(now time.Time) {
	servers := make(map[zinniapond.PoolName][]zinniapond.Backend)
	for _, b := range o.Roster.Backends() {
		if b.State == zinniapond.BackendLive {
			servers[b.Pool] = append(servers[b.Pool], b)
		}
	}
	o.pools.Each(func(name zinniapond.PoolName, p *pool.Pool) bool {
		p.Update(now, servers[name])
		return true
	})
}

// findOrStartPool returns the pool of the given name. It creates and starts the
// pool at the first use.
func (o *Owner) findOrStartPool(now time.Time, name zinniapond.PoolName) (*pool.Pool, error) {
	if p, ok := o.pools.Get(name); ok {
		return p, nil
	}
	created, err := o.NewPool(name)
	if err != nil {
		return nil, err
	}
	p := o.pools.GetOrCreate(name, func() *pool.Pool { return created })
	if p == created {
		o.group.Go(func() error { return p.Run(o.lifetime) })
		o.updatePools(now)
	}
	return p, nil
}

// findBackend returns the entry of the chosen server in the platform's list of
// backend servers.
func (o *Owner) findBackend(server zinniapond.Choice) (zinniapond.Backend, bool) {
	for _, b := range o.Roster.Backends() {
		if b.Address == server.Backend {
			return b, true
		}
	}
	return zinniapond.Backend{}, false
}
