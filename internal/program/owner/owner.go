// Package owner does the work of the owner role: it orders the calls of the
// programs in the shards assigned to this host, makes intents and results
// durable, and runs the calls on backend servers.
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

// Owner runs the programs of this host's shards. Its exported fields are set
// before Run.
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
	Clients   map[zinniapond.Kind]zinniapond.BackendClient
	// NewPool makes the pool of the given name.
	NewPool func(zinniapond.PoolName) (*pool.Pool, error)

	holdings shard.Map[zinniapond.ShardID, *holding]
	programs shard.Map[zinniapond.ProgramID, *program]
	pools    shard.Map[zinniapond.PoolName, *pool.Pool]
	group    *errgroup.Group
	life     context.Context // ends with Run, after the hand-over
	cancel   context.CancelFunc
	recent   shard.Map[recentServer, usage]
	declines map[string]zinniapond.Decline // of the sweep before, by subject
}

// Role returns the role that Owner does.
func (*Owner) Role() zinniapond.Role { return zinniapond.RoleOwner }

func build(k *kernel.Kernel) (*Owner, error) {
	o := &Owner{Settings: k.Settings, Logger: k.Logger.Named("owner"), Tracer: k.Tracer, Clock: k.Clock}
	finders := []func() error{
		find(k, &o.Directory), find(k, &o.Control), find(k, &o.Journal), find(k, &o.Budget),
		find(k, &o.Roster), find(k, &o.Retrier), find(k, &o.Detector), find(k, &o.Leases),
		find(k, &o.Stats),
	}
	for _, f := range finders {
		if err := f(); err != nil {
			return nil, err
		}
	}
	o.Clients = make(map[zinniapond.Kind]zinniapond.BackendClient)
	for _, kind := range []zinniapond.Kind{zinniapond.KindEngine, zinniapond.KindService} {
		c, err := kernel.FindNamed[zinniapond.BackendClient](k, string(kind))
		if err != nil {
			return nil, err
		}
		o.Clients[kind] = c
	}
	o.NewPool = func(name zinniapond.PoolName) (*pool.Pool, error) { return newPool(k, name) }
	o.life, o.cancel = context.WithCancel(context.Background())
	o.group = new(errgroup.Group)
	mounter, err := kernel.Find[zinniapond.Mounter](k)
	if err != nil {
		return nil, err
	}
	return o, mounter.Mount("Owner", &handover{owner: o})
}

func find[T any](k *kernel.Kernel, into *T) func() error {
	return func() error {
		v, err := kernel.Find[T](k)
		*into = v
		return err
	}
}

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

// Run takes over assigned shards until ctx is done, then hands them to other
// hosts and waits for the calls that still run.
func (o *Owner) Run(ctx context.Context) error {
	defer o.cancel()
	o.group.Go(func() error { return o.followRoster(o.life) })
	o.group.Go(func() error { return o.followDirectory(o.life) })
	o.group.Go(func() error { return o.sweep(o.life) })
	<-ctx.Done()
	o.drain()
	o.cancel()
	return o.group.Wait()
}

// followDirectory takes and drops shards as the assignments change.
func (o *Owner) followDirectory(ctx context.Context) error {
	for {
		changed := o.Directory.Changed()
		view := o.Directory.View()
		o.applyAssignments(view)
		if view.Members[o.Settings.Host].State == zinniapond.MemberDraining {
			o.group.Go(func() error { o.moveAll(); return nil })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// followRoster keeps the pools' servers as the platform lists them.
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

// pool returns the pool of the given name and starts it at its first use.
func (o *Owner) pool(now time.Time, name zinniapond.PoolName) (*pool.Pool, error) {
	if p, ok := o.pools.Get(name); ok {
		return p, nil
	}
	fresh, err := o.NewPool(name)
	if err != nil {
		return nil, err
	}
	p := o.pools.GetOrCreate(name, func() *pool.Pool { return fresh })
	if p == fresh {
		o.group.Go(func() error { return p.Run(o.life) })
		o.updatePools(now)
	}
	return p, nil
}

// backend returns what the platform's list says of a server.
func (o *Owner) backend(server zinniapond.Choice) (zinniapond.Backend, bool) {
	for _, b := range o.Roster.Backends() {
		if b.Address == server.Backend {
			return b, true
		}
	}
	return zinniapond.Backend{}, false
}
