// Package runner runs requests at replicas: it finds the route, reserves the tokens
// of a turn and reads its earlier turns, chooses replicas, and relays the answer.
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
	"zinniapond.example/zinniapond/internal/core/quota"
	"zinniapond.example/zinniapond/internal/core/sample"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/front/begun"
	"zinniapond.example/zinniapond/internal/front/doubts"
	"zinniapond.example/zinniapond/internal/front/ended"
	"zinniapond.example/zinniapond/internal/front/parts"
	"zinniapond.example/zinniapond/internal/front/report"
	"zinniapond.example/zinniapond/internal/routes/table"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Forwarder, error) {
		r := &Runner{Access: k.Settings.Access, MaxApplyTime: k.Settings.Platform.MaxApplyTime, DataCentre: k.Settings.DataCentre, Logger: k.Logger.Named("front"), Clock: k.Now}
		r.LoadExchange = report.LoadExchange{Host: k.Settings.Host, Logger: r.Logger, Clock: k.Now}
		r.NewRouter = func() (zinniapond.Router, error) { return kernel.New[zinniapond.Router](k) }
		r.NewMigration = func() (zinniapond.Migration, error) { return kernel.New[zinniapond.Migration](k) }
		r.NewRetrier = func() (zinniapond.Retrier, error) { return kernel.New[zinniapond.Retrier](k) }
		r.NewWaitQueue = func() (zinniapond.WaitQueue, error) { return kernel.New[zinniapond.WaitQueue](k) }
		r.LoadExchange.ControlHosts.Seeds = k.Settings.Control.Seeds()
		if err := errors.Join(r.findPace(k), r.exportOverview(k)); err != nil {
			return nil, err
		}
		return r, errors.Join(
			kernel.FindInto(k, &r.Directory), kernel.FindInto(k, &r.Roster), kernel.FindInto(k, &r.Turns), kernel.FindInto(k, &r.Client), kernel.FindInto(k, &r.Urgency), kernel.FindInto(k, &r.Limits), kernel.FindInto(k, &r.Blame), kernel.FindInto(k, &r.Origins), kernel.FindInto(k, &r.Throttle), kernel.FindInto(k, &r.Allowances), kernel.FindInto(k, &r.Sharing),
			kernel.FindInto(k, &r.Meter), kernel.FindInto(k, &r.Stats), kernel.FindInto(k, &r.Memory), kernel.FindInto(k, &r.LoadExchange.Peers), kernel.FindInto(k, &r.LoadExchange.ControlHosts.Directory),
		)
	})
}

// Runner implements zinniapond.Forwarder. Its exported fields are set before
// Run.
type Runner struct {
	Access zinniapond.AccessSettings
	// MaxApplyTime is the time within which a configuration is in force.
	MaxApplyTime time.Duration
	DataCentre   zinniapond.DataCentre
	Directory    zinniapond.Directory
	Roster       zinniapond.Roster
	Turns        zinniapond.Turns
	Client       zinniapond.ReplicaClient
	Urgency      zinniapond.Urgency
	Limits       zinniapond.LimitBook
	Blame        zinniapond.Blame
	Origins      zinniapond.OriginPolicy
	Throttle     zinniapond.Throttle
	// Pace bounds the requests at new replicas; nil if the settings do not name one.
	Pace zinniapond.Pace
	// Allowances keeps plans within their limits. It is not used if it is nil.
	Allowances zinniapond.Allowances
	// Sharing divides the connections that replicas accept. It is not used if it is nil.
	Sharing      zinniapond.ConnectionSharing
	Stats        *stats.Set[string]
	Meter        *meter.Meter
	Logger       hclog.Logger
	Clock        func() time.Time
	NewRouter    func() (zinniapond.Router, error)
	NewWaitQueue func() (zinniapond.WaitQueue, error)
	NewMigration func() (zinniapond.Migration, error)
	// NewRetrier returns the budget of second attempts of a pool.
	NewRetrier func() (zinniapond.Retrier, error)
	// Memory bounds the memory of all conversations and answers together.
	Memory *quota.Quota
	// LoadExchange exchanges the loads of replicas with other hosts. It is not
	// used if its field Peers is nil.
	LoadExchange report.LoadExchange

	table   atomic.Pointer[table.Table]
	tableMu sync.Mutex // held while a new table is made
	lease   leaseLog
	// rejectedKeys bounds the lines about rejected keys.
	rejectedKeys sample.Sampler
	once         sync.Once
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	pools      shard.Map[zinniapond.PoolName, *pool]
	hostCount  atomic.Int64 // hosts that exchange loads
	// sums has the number of all hosts' requests at each replica, nil before the first
	// exchange.
	sums  atomic.Pointer[map[netip.AddrPort]int]
	ended ended.Checker
	begun begun.Book
	parts shard.Map[zinniapond.PoolName, *parts.Book] // shared parts of prompts
	// background counts the settlements that run after an answer.
	background sync.WaitGroup
}

// pool has the replicas of one service.
type pool struct {
	router  zinniapond.Router
	pace    zinniapond.Pace // nil if replicas are not bounded
	waiters *waiters
	// migration decides when streams leave replicas of the pool.
	migration zinniapond.Migration
	// retrier bounds the second attempts of requests whose answers are overdue.
	retrier  zinniapond.Retrier
	replicas atomic.Pointer[map[netip.AddrPort]zinniapond.Backend]
	versions atomic.Pointer[versions]
	// inFlight has the number of this host's running requests at each replica.
	inFlight shard.Map[netip.AddrPort, *atomic.Int64]
	doubts   doubts.Book
	// suspects has the number of this host's running suspects at each replica.
	suspects shard.Map[netip.AddrPort, *atomic.Int64]
}

func (p *pool) recordStart(now time.Time, replica netip.AddrPort, need zinniapond.PickInfo) {
	p.inFlight.GetOrCreate(replica, func() *atomic.Int64 { return new(atomic.Int64) }).Add(1)
	p.router.AttemptStarted(now, replica, need)
}

func (p *pool) recordFinish(now time.Time, replica netip.AddrPort, need zinniapond.PickInfo, observation zinniapond.Observation) {
	if n, ok := p.inFlight.Get(replica); ok {
		n.Add(-1)
	}
	p.router.AttemptFinished(now, replica, need, observation)
}

// updateInterval is the longest time between two updates. Each update also makes
// the replica client close connections that were idle for too long.
const updateInterval = time.Second

func (r *Runner) initialise() {
	r.once.Do(func() {
		r.configured = make(chan struct{})
		r.ended.Client = r.Client
		r.rejectedKeys.Interval = rejectionPause
	})
}

// Run applies changes of the configuration and of the list of replicas, and exchanges
// loads, until ctx is done.
func (r *Runner) Run(ctx context.Context) error {
	r.initialise()
	group, ctx := errgroup.WithContext(ctx)
	if r.LoadExchange.Peers != nil {
		r.LoadExchange.LocalLoads, r.LoadExchange.ApplySums = r.localLoads, r.reportLoads
		r.LoadExchange.Limits, r.LoadExchange.SetHostCount = r.Limits, r.setHostCount
		r.LoadExchange.Blame, r.LoadExchange.OnEndings = r.Blame, r.applyEndings
		group.Go(func() error { return r.LoadExchange.Run(ctx) })
	}
	group.Go(func() error { return r.followUpdates(ctx) })
	err := group.Wait()
	r.background.Wait()
	return err
}

// setHostCount sets the number of hosts that send requests to replicas.
func (r *Runner) setHostCount(count int) {
	r.hostCount.Store(int64(count))
	r.Throttle.SetHostCount(count)
	if r.Allowances != nil {
		r.Allowances.SetHostCount(count)
	}
	if r.Pace != nil {
		r.Pace.SetHostCount(count)
	}
	if r.Sharing != nil {
		r.Sharing.SetHostCount(r.Clock(), count)
	}
}

// followUpdates applies the configuration and the list of replicas whenever they
// change, and at least once each updateInterval.
func (r *Runner) followUpdates(ctx context.Context) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		configurationChanged, rosterChanged := r.Directory.Changed(), r.Roster.Changed()
		if err := r.update(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-configurationChanged:
		case <-rosterChanged:
		case <-ticker.C:
		}
	}
}

// currentTable returns the table of the configuration that is known to this host; nil
// before the first. A configuration is never replaced by an older one.
func (r *Runner) currentTable() *table.Table {
	r.initialise() // requests may come before Run
	routing := r.Directory.View().Routing
	current := r.table.Load()
	if routing == nil || current != nil && routing.Version <= current.Routing().Version {
		return current
	}
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	current = r.table.Load()
	if current != nil && routing.Version <= current.Routing().Version {
		return current
	}
	next := table.New(routing)
	r.table.Store(next)
	if current == nil {
		close(r.configured)
	}
	r.Logger.Info("configuration in force", "version", routing.Version, "routes", len(routing.Routes), "plans", len(routing.Plans))
	return next
}

// update applies the current configuration and list of replicas.
func (r *Runner) update() error {
	r.currentTable()
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
		p.update(now, list, r.hostCount.Load())
		r.setPaced(now, name, list)
	}
	r.pools.Each(func(name zinniapond.PoolName, p *pool) bool {
		if _, ok := byPool[name]; !ok {
			p.update(now, nil, 0)
			r.setPaced(now, name, nil)
		}
		return true
	})
	r.limitConnections(now)
	r.Client.CloseIdle(now, backends)
	r.ended.Prune(now)
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
	queue, err := r.NewWaitQueue()
	if err != nil {
		return nil, err
	}
	migration, err := r.NewMigration()
	if err != nil {
		return nil, err
	}
	retrier, err := r.NewRetrier()
	if err != nil {
		return nil, err
	}
	return r.pools.GetOrCreate(name, func() *pool {
		p := &pool{router: router, pace: r.Pace, waiters: newWaiters(queue, r.Clock), migration: migration, retrier: retrier}
		p.replicas.Store(&map[netip.AddrPort]zinniapond.Backend{})
		p.versions.Store(new(versions))
		return p
	}), nil
}

// update sets the replicas of the pool. Only live replicas get new requests.
func (p *pool) update(now time.Time, list []zinniapond.Backend, hosts int64) {
	live := slices.DeleteFunc(slices.Clone(list), func(b zinniapond.Backend) bool { return b.State != zinniapond.BackendLive })
	replicas := make(map[netip.AddrPort]zinniapond.Backend, len(live))
	for _, b := range live {
		replicas[b.Address] = b
	}
	p.versions.Store(newVersions(list))
	old := p.replicas.Swap(&replicas)
	p.router.Update(now, live)
	p.offerListed(now, *old, replicas, hosts)
	p.doubts.Prune(now)
	var idle []netip.AddrPort
	p.inFlight.Each(func(a netip.AddrPort, n *atomic.Int64) bool {
		if _, listed := replicas[a]; !listed && n.Load() == 0 {
			idle = append(idle, a)
		}
		return true
	})
	for _, a := range idle {
		p.inFlight.Delete(a)
		p.suspects.Delete(a)
	}
}

// Ready reports whether requests can be run: a configuration is in force, keys can be
// checked, and the list of replicas is not empty.
func (r *Runner) Ready() bool {
	t := r.table.Load()
	return t != nil && len(r.Roster.Backends()) > 0 && (!t.Routing().HasPlans || r.keyLeaseValid(r.Clock()))
}
