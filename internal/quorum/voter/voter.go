// Package voter implements the control role. It drives the Raft core with the
// clock, the disk and the other voters, applies the control log, and does the
// duties of the leader.
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

// Voter is one voter of the control quorum. It is safe for concurrent use. The
// exported fields are set before the first call.
type Voter struct {
	Settings *zinniapond.Settings
	Peers    zinniapond.Peers
	Clock    func() time.Time
	Logger   hclog.Logger
	// Parse parses and checks lists; nil accepts all lists.
	Parse func(version zinniapond.Version, plans, usage string) (*zinniapond.Catalog, []zinniapond.ListFault)

	mu   sync.Mutex
	node *node.Node // nil until startNode, which follows formCluster
	log  *disk.Log
	// recordsAppended is closed and replaced when the core has new records,
	// recordsCommitted when records were committed. Hosts, of which there are
	// hundreds, wait on recordsCommitted, so that they wake only once for each
	// change.
	recordsAppended  chan struct{}
	recordsCommitted chan struct{}
	currentFetch     currentFetch
	loggedLeader     zinniapond.HostName // leader in the last log line

	saveNeeded      chan struct{} // has an element while there are unsaved changes
	deadlineChanged chan struct{} // has an element after a change that may move the core's deadline
	dutiesChanged   chan struct{} // has an element after a change that concerns the leader's duties
	done            chan struct{} // closed when Run ends
	once            sync.Once
	calls           *errgroup.Group
	ctx             context.Context // of Run; needed because methods called by other hosts start calls as well
}

// currentFetch is the fetch in flight.
type currentFetch struct {
	peer   zinniapond.HostName
	cancel context.CancelFunc
}

// Role returns RoleControl, under which the plug-in is started.
func (v *Voter) Role() zinniapond.Role { return zinniapond.RoleControl }

// initialise creates the channels. Each method that other hosts call uses it, as
// it may be called before Run.
func (v *Voter) initialise() {
	v.once.Do(func() {
		v.recordsAppended, v.recordsCommitted = make(chan struct{}), make(chan struct{})
		v.saveNeeded, v.deadlineChanged, v.dutiesChanged = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
		v.done = make(chan struct{})
	})
}

// Run forms or joins the cluster and takes part in it until ctx is done.
func (v *Voter) Run(ctx context.Context) error {
	v.initialise()
	defer close(v.done)
	if v.Settings.DataFolder == "" {
		return errors.New("run control role: [node] data is not set")
	}
	v.log = &disk.Log{
		Folder: filepath.Join(v.Settings.DataFolder, "control"), Cluster: v.Settings.Cluster, Host: v.Settings.VoterName(),
	}
	if err := v.openLog(); err != nil {
		return err
	}
	err := v.runUntilDone(ctx)
	return errors.Join(err, v.log.Close())
}

func (v *Voter) runUntilDone(ctx context.Context) error {
	if err := v.formCluster(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	v.calls, v.ctx = group, ctx
	if err := v.startNode(); err != nil {
		return err
	}
	group.Go(func() error { return v.saveChanges(ctx) })
	group.Go(func() error { return v.runTimer(ctx) })
	group.Go(func() error { return v.fetchRecords(ctx) })
	group.Go(func() error { return v.runDuties(ctx) })
	return group.Wait()
}

// startNode creates the node from the settings and the durable state.
func (v *Voter) startNode() error {
	durable, err := v.log.Load()
	if err != nil {
		return err
	}
	c := v.Settings.Control
	core := &raft.Core{
		Self:           zinniapond.VoterKey{Name: v.Settings.VoterName(), Disk: v.log.DiskID()},
		OpenMembership: c.UsesSeeds, VoterTimeout: c.SessionTimeout,
		LeaderTimeout: c.LeaderTimeout, ElectionDelay: c.ElectionDelay, QuorumTimeout: c.LeaderTimeout,
		// A third of the time after which a silent leader counts as failed, so
		// that one lost reply does not end a leadership.
		FetchWait: c.LeaderTimeout / fetchesPerTimeout,
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, p := range c.Voters {
		if p.Name != core.Self.Name {
			core.Peers = append(core.Peers, p.Name)
		}
	}
	n := &node.Node{
		Core: core, State: &state.State{Parse: v.Parse}, SnapshotRecords: c.SnapshotRecords,
		Duties: duty.Leader{
			SessionTimeout: c.SessionTimeout, Shards: c.Shards,
			Planner: plan.Planner{Replicas: c.Replicas, FirstAssignmentDelay: c.LeaseDuration, ReplacementDelay: c.SessionTimeout, MaxHandovers: maxHandovers},
		},
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock()
	if err := n.Start(now, durable); err != nil {
		return err
	}
	v.node = n
	v.Logger.Info("control log loaded", "snapshot", durable.Snapshot.Index, "last", core.LastIndex(),
		"term", core.Term(), "disk", v.log.DiskID(), "voters", len(core.Voters()))
	return v.processChanges(now)
}

// findAddress returns the address of a voter. With seeds, the name of a voter is
// its address.
func (v *Voter) findAddress(name zinniapond.HostName) (netip.AddrPort, bool) {
	if v.Settings.Control.UsesSeeds {
		a, err := netip.ParseAddrPort(string(name))
		return a, err == nil
	}
	for _, p := range v.Settings.Control.Voters {
		if p.Name == name {
			return p.PeersAddress, true
		}
	}
	return netip.AddrPort{}, false
}
