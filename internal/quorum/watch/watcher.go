// Package watch implements the observer of the control log that runs on every
// host. It registers the host, fetches and applies the log, and holds the
// freshness lease.
package watch

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/files/lists"
	"zinniapond.example/zinniapond/internal/fleet/state"
	"zinniapond.example/zinniapond/internal/quorum/delay"
	"zinniapond.example/zinniapond/internal/quorum/lease"
)

// fetchesPerLease is the duration of a lease divided by the longest time for
// which the leader holds a fetch. Just before a reply, the lease has aged by one
// held fetch and by the age of the leader's contact with its majority; the rest
// must outlast an election of 1.5 s.
const fetchesPerLease = 5

func init() {
	kernel.Register[zinniapond.Directory]("default", build)
	kernel.Register[zinniapond.Control]("default", func(k *kernel.Kernel) (zinniapond.Control, error) {
		d, err := kernel.FindNamed[zinniapond.Directory](k, "default")
		if err != nil {
			return nil, err
		}
		return d.(*Watcher), nil
	})
}

func build(k *kernel.Kernel) (zinniapond.Directory, error) {
	peers, err := kernel.Find[zinniapond.Peers](k)
	if err != nil {
		return nil, err
	}
	w := &Watcher{
		Settings: k.Settings, Peers: peers, Clock: k.Clock, Logger: k.Logger.Named("watch"),
		Parse: new(lists.Parser).Parse,
	}
	return w, kernel.FindInto(k, &w.Stats)
}

// Watcher holds one host's view of the control log. It is safe for concurrent
// use. The exported fields are set before the first call.
type Watcher struct {
	Settings *zinniapond.Settings
	Peers    zinniapond.Peers
	Clock    func() time.Time
	Logger   hclog.Logger
	Stats    *stats.Set[string] // may be nil
	// Parse parses lists; nil accepts all lists.
	Parse func(version zinniapond.Version, plans, usage string) (*zinniapond.Catalog, []zinniapond.ListFault)

	once      sync.Once
	instance  string // of this process
	published atomic.Pointer[publication]

	mu        sync.Mutex
	holder    lease.Holder
	delay     delay.Meter
	leader    zinniapond.HostName // last known leader, empty if unknown
	nextVoter int
	// leaderChanged is closed and replaced when leader becomes another host, not when it
	// becomes unknown.
	leaderChanged chan struct{}
	changedLeader zinniapond.HostName // leader at the last such change
}

// publication is the immutable state that readers load without a lock. Each
// change replaces it as a whole.
type publication struct {
	view        *zinniapond.ControlView
	catalog     *zinniapond.Catalog
	changed     chan struct{} // closed at the next change of view
	leaseExpiry time.Time     // end of the lease
	isMember    bool          // this process is an active member
}

func (w *Watcher) initialise() {
	w.once.Do(func() {
		w.instance = uuid.NewString()
		w.leaderChanged = make(chan struct{})
		c := w.Settings.Control
		w.holder = lease.Holder{
			Host: w.Settings.VoterName(), LeaseDuration: c.LeaseDuration, FetchWait: c.LeaseDuration / fetchesPerLease, State: &state.State{Parse: w.Parse},
		}
		w.published.Store(&publication{
			view: w.holder.State.View(), catalog: w.holder.State.Catalog(), changed: make(chan struct{}),
		})
	})
}

// View returns the latest applied state. Callers must not change it.
func (w *Watcher) View() *zinniapond.ControlView {
	w.initialise()
	return w.published.Load().view
}

// Catalog returns the parsed lists of View.
func (w *Watcher) Catalog() *zinniapond.Catalog {
	w.initialise()
	return w.published.Load().catalog
}

// Changed returns a channel that is closed at the next change of View.
func (w *Watcher) Changed() <-chan struct{} {
	w.initialise()
	return w.published.Load().changed
}

// LeaseValid reports whether the lease has not expired at now and this
// process is a member that has applied its own registration.
func (w *Watcher) LeaseValid(now time.Time) bool {
	w.initialise()
	p := w.published.Load()
	return p.isMember && now.Before(p.leaseExpiry)
}

// ConfirmedAt returns the instant at which View was last known to be current,
// or the zero time without a lease.
func (w *Watcher) ConfirmedAt() time.Time {
	w.initialise()
	leaseExpiry := w.published.Load().leaseExpiry
	if leaseExpiry.IsZero() {
		return leaseExpiry
	}
	return leaseExpiry.Add(-w.Settings.Control.LeaseDuration)
}

// Run registers the host, follows the control log until ctx is done, and then
// marks the host as left.
func (w *Watcher) Run(ctx context.Context) error {
	w.initialise()
	if len(w.Settings.Control.Voters) == 0 {
		return fmt.Errorf("run watcher: [control] voters is not set")
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.follow(groupCtx) })
	if !w.needsRegistration() {
		return group.Wait()
	}
	group.Go(func() error { return w.keepRegistered(groupCtx) })
	err := group.Wait()
	w.announceDeparture(context.WithoutCancel(ctx))
	return err
}

// needsRegistration reports whether the host has one of the roles that own or
// store shards or relay calls to their owners. Other hosts only follow the log.
func (w *Watcher) needsRegistration() bool {
	s := w.Settings
	return s.HasRole(zinniapond.RoleEntry) || s.HasRole(zinniapond.RoleOwner) || s.HasRole(zinniapond.RoleStore)
}

// publish makes the holder's state visible to readers. While the process catches up
// after its start, readers see an empty state: with an early part of the log, a turn
// could be reported as not found because the disks that have it have not joined yet.
// The caller holds mu.
func (w *Watcher) publish() {
	previous := w.published.Load()
	var view zinniapond.ControlView
	catalog := previous.catalog
	if w.holder.HasCaughtUp() {
		view, catalog = *w.holder.State.View(), w.holder.State.Catalog()
	}
	view.Leader = w.leader
	next := &publication{
		view: &view, catalog: catalog, changed: previous.changed,
		leaseExpiry: w.holder.Expiry(), isMember: w.holder.IsMember(),
	}
	changed := next.view.Index != previous.view.Index || next.view.Leader != previous.view.Leader
	if changed {
		next.changed = make(chan struct{})
	}
	w.published.Store(next)
	if changed {
		close(previous.changed)
	}
}

// selectVoter returns the voter for the next request: the leader if it is known,
// else another voter at each call.
func (w *Watcher) selectVoter() (name zinniapond.HostName, address netip.AddrPort, leaderKnown bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	voters := w.knownVoters()
	for _, v := range voters {
		if v.Name == w.leader {
			return v.Name, v.PeersAddress, true
		}
	}
	v := voters[w.nextVoter%len(voters)]
	w.nextVoter++
	return v.Name, v.PeersAddress, false
}

// knownVoters returns the voters of the settings. With seeds, it returns the
// voters according to the log and the leader first, as the hosts in the settings
// may no longer exist.
func (w *Watcher) knownVoters() []zinniapond.Voter {
	c := w.Settings.Control
	if !c.UsesSeeds {
		return c.Voters
	}
	var voters []zinniapond.Voter
	add := func(v zinniapond.Voter) {
		if !slices.Contains(voters, v) {
			voters = append(voters, v)
		}
	}
	for _, k := range w.holder.State.Voters() {
		if a, err := netip.ParseAddrPort(string(k.Name)); err == nil {
			add(zinniapond.Voter{Name: k.Name, PeersAddress: a})
		}
	}
	// A leader that joined after the last applied record may be in neither list.
	if a, err := netip.ParseAddrPort(string(w.leader)); err == nil {
		add(zinniapond.Voter{Name: w.leader, PeersAddress: a})
	}
	for _, v := range c.Voters {
		add(v)
	}
	return voters
}

// nextLeaderChange returns a channel that is closed when this host learns of another
// leader.
func (w *Watcher) nextLeaderChange() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaderChanged
}

// contextUntilLeaderChange returns a context that is cancelled when this host learns,
// after changed was taken, that another host than the given one is the leader.
func (w *Watcher) contextUntilLeaderChange(ctx context.Context, name zinniapond.HostName, changed <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			w.mu.Lock()
			leader := w.leader
			changed = w.leaderChanged
			w.mu.Unlock()
			if leader != "" && leader != name {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

// noteLeader records the leader that a voter named. An empty name means that the
// voter failed or knew no leader.
func (w *Watcher) noteLeader(asked, leader zinniapond.HostName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leader != "" {
		w.leader = leader
		if leader != w.changedLeader {
			w.changedLeader = leader
			close(w.leaderChanged)
			w.leaderChanged = make(chan struct{})
		}
		return
	}
	if w.leader == asked {
		w.leader = ""
	}
}
