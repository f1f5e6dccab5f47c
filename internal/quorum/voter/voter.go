// Package voter is the control role: it drives the raft core with the clock,
// the disk and the other voters, applies the control log, and does the duties
// of the leader.
package voter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/files/lists"
	"zinniapond.example/zinniapond/internal/fleet/plan"
	"zinniapond.example/zinniapond/internal/fleet/state"
	"zinniapond.example/zinniapond/internal/quorum/disk"
	"zinniapond.example/zinniapond/internal/quorum/duty"
	"zinniapond.example/zinniapond/internal/quorum/node"
	"zinniapond.example/zinniapond/internal/quorum/raft"
)

func init() {
	kernel.Register[zinniapond.RolePlugin](string(zinniapond.RoleControl), build)
}

func build(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
	peers, err := kernel.Find[zinniapond.Peers](k)
	if err != nil {
		return nil, err
	}
	mounter, err := kernel.Find[zinniapond.Mounter](k)
	if err != nil {
		return nil, err
	}
	v := &Voter{
		Settings: k.Settings, Peers: peers, Clock: k.Clock, Logger: k.Logger.Named("control"),
		Parse: new(lists.Parser).Parse,
	}
	if err := mounter.Mount("Control", v); err != nil {
		return nil, fmt.Errorf("mount control service: %w", err)
	}
	return v, nil
}

// Voter is one voter of the control quorum. The exported fields are set before
// the first call.
type Voter struct {
	Settings *zinniapond.Settings
	Peers    zinniapond.Peers
	Clock    func() time.Time
	Logger   hclog.Logger
	// Parse checks lists; nil accepts all.
	Parse func(version zinniapond.Version, plans, usage string) (*zinniapond.Catalog, []zinniapond.ListFault)

	mu   sync.Mutex
	node *node.Node // nil until the voter has joined a cluster
	log  *disk.Log
	// recorded and committed are closed and replaced when there are new records
	// and newly committed ones. Hosts wait on the second, of which there are
	// hundreds, so that they wake once for each change.
	recorded  chan struct{}
	committed chan struct{}
	pulling   pulling
	leader    zinniapond.HostName // last logged

	dirty chan struct{} // has one element when there is something to save
	alarm chan struct{} // the core's deadline may have changed
	duty  chan struct{} // the leader's duties may have changed
	done  chan struct{} // closed when Run ends
	once  sync.Once
	calls *errgroup.Group
	ctx   context.Context // of Run; calls to other voters begin in net/rpc methods too
}

// pulling is the fetch that runs.
type pulling struct {
	peer   zinniapond.HostName
	cancel context.CancelFunc
}

// Role returns the role of the plug-in.
func (v *Voter) Role() zinniapond.Role { return zinniapond.RoleControl }

// prepare makes the channels. Methods can be called by other hosts before Run.
func (v *Voter) prepare() {
	v.once.Do(func() {
		v.recorded, v.committed = make(chan struct{}), make(chan struct{})
		v.dirty, v.alarm, v.duty = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
		v.done = make(chan struct{})
	})
}

// Run joins the cluster and takes part in it until ctx is done.
func (v *Voter) Run(ctx context.Context) error {
	v.prepare()
	defer close(v.done)
	if v.Settings.Data == "" {
		return errors.New("run control role: [node] data is not set")
	}
	v.log = &disk.Log{
		Folder: filepath.Join(v.Settings.Data, "control"), Cluster: v.Settings.Cluster, Host: v.Settings.VoterName(),
	}
	if err := v.open(); err != nil {
		return err
	}
	err := v.work(ctx)
	return errors.Join(err, v.log.Close())
}

func (v *Voter) work(ctx context.Context) error {
	if err := v.form(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	v.calls, v.ctx = group, ctx
	if err := v.start(); err != nil {
		return err
	}
	group.Go(func() error { return v.save(ctx) })
	group.Go(func() error { return v.tick(ctx) })
	group.Go(func() error { return v.pull(ctx) })
	group.Go(func() error { return v.serve(ctx) })
	return group.Wait()
}

// start builds the core from the disk.
func (v *Voter) start() error {
	durable, err := v.log.Load()
	if err != nil {
		return err
	}
	c := v.Settings.Control
	core := &raft.Core{
		Self: zinniapond.VoterKey{Name: v.Settings.VoterName(), Disk: v.log.Disk()},
		Open: c.Seeds, Patience: c.Session,
		Contact: c.Fetch, Election: c.Election, Quorum: c.Fetch,
		// A third of the time in which the leader must be heard, so that one
		// lost answer does not end a leadership.
		Wait:   c.Fetch / 3,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, p := range c.Voters {
		if p.Name != core.Self.Name {
			core.Peers = append(core.Peers, p.Name)
		}
	}
	n := &node.Node{
		Core: core, State: &state.State{Parse: v.Parse}, Snapshot: c.Snapshot,
		Duty: duty.Leader{
			Session: c.Session, Shards: c.Shards,
			Planner: plan.Planner{Replicas: c.Replicas, Start: c.Lease, Patience: c.Session, Moves: handovers},
		},
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock()
	if err := n.Start(now, durable); err != nil {
		return err
	}
	v.node = n
	v.Logger.Info("control log loaded", "snapshot", durable.Snapshot.Index, "last", core.Last(),
		"term", core.Term(), "disk", v.log.Disk(), "voters", len(core.Voters()))
	return v.settle(now)
}

// address returns the address of a voter.
func (v *Voter) address(name zinniapond.HostName) (netip.AddrPort, bool) {
	if v.Settings.Control.Seeds {
		a, err := netip.ParseAddrPort(string(name))
		return a, err == nil
	}
	for _, p := range v.Settings.Control.Voters {
		if p.Name == name {
			return p.Peers, true
		}
	}
	return netip.AddrPort{}, false
}
