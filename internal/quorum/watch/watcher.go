// Package watch is the control log's observer that runs on every host. It
// registers the host, follows the log, and holds the freshness lease.
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
	"zinniapond.example/zinniapond/internal/files/lists"
	"zinniapond.example/zinniapond/internal/fleet/state"
	"zinniapond.example/zinniapond/internal/quorum/lease"
)

// holds is the number of fetches in the time of a lease. Just before a reply
// the lease is as old as one hold and the leader's contact with its majority;
// what is left must outlast an election of 1.5 s.
const holds = 5

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
	return &Watcher{
		Settings: k.Settings, Peers: peers, Clock: k.Clock, Logger: k.Logger.Named("watch"),
		Parse: new(lists.Parser).Parse,
	}, nil
}

// Watcher is one host's view of the control log. The exported fields are set
// before the first call.
type Watcher struct {
	Settings *zinniapond.Settings
	Peers    zinniapond.Peers
	Clock    func() time.Time
	Logger   hclog.Logger
	// Parse parses lists; nil accepts all.
	Parse func(version zinniapond.Version, plans, usage string) (*zinniapond.Catalog, []zinniapond.ListFault)

	once      sync.Once
	instance  string // of this process
	published atomic.Pointer[publication]

	mu     sync.Mutex
	holder lease.Holder
	leader zinniapond.HostName // last known
	hunt   int
}

// publication is what readers see; it is replaced as a whole.
type publication struct {
	view    *zinniapond.ControlView
	catalog *zinniapond.Catalog
	changed chan struct{} // closed when the publication is replaced
	until   time.Time     // end of the lease
	member  bool          // this process is an active member
}

func (w *Watcher) prepare() {
	w.once.Do(func() {
		w.instance = uuid.NewString()
		c := w.Settings.Control
		w.holder = lease.Holder{
			Host: w.Settings.VoterName(), Lease: c.Lease, Wait: c.Lease / holds, State: &state.State{Parse: w.Parse},
		}
		w.published.Store(&publication{
			view: w.holder.State.View(), catalog: w.holder.State.Catalog(), changed: make(chan struct{}),
		})
	})
}

// View returns the newest applied state.
func (w *Watcher) View() *zinniapond.ControlView {
	w.prepare()
	return w.published.Load().view
}

// Catalog returns the parsed lists of View.
func (w *Watcher) Catalog() *zinniapond.Catalog {
	w.prepare()
	return w.published.Load().catalog
}

// Changed returns a channel that is closed at the next change of View.
func (w *Watcher) Changed() <-chan struct{} {
	w.prepare()
	return w.published.Load().changed
}

// Fresh tells whether the lease holds and this process is a member that has
// applied its own registration.
func (w *Watcher) Fresh(now time.Time) bool {
	w.prepare()
	p := w.published.Load()
	return p.member && now.Before(p.until)
}

// Confirmed returns the instant up to which View is known to be current.
func (w *Watcher) Confirmed() time.Time {
	w.prepare()
	until := w.published.Load().until
	if until.IsZero() {
		return until
	}
	return until.Add(-w.Settings.Control.Lease)
}

// Run registers the host, follows the control log until ctx is done, and then
// marks the host as left.
func (w *Watcher) Run(ctx context.Context) error {
	w.prepare()
	if len(w.Settings.Control.Voters) == 0 {
		return fmt.Errorf("run watcher: [control] voters is not set")
	}
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return w.follow(inner) })
	if !w.registers() {
		return group.Wait()
	}
	group.Go(func() error { return w.enrol(inner) })
	err := group.Wait()
	w.leave(context.WithoutCancel(ctx))
	return err
}

// registers tells whether the host owns or keeps shards, or relays to those that
// do. Other hosts only follow the log.
func (w *Watcher) registers() bool {
	s := w.Settings
	return s.HasRole(zinniapond.RoleEntry) || s.HasRole(zinniapond.RoleOwner) || s.HasRole(zinniapond.RoleStore)
}

// publish shows the state to readers, under the lock.
func (w *Watcher) publish() {
	before := w.published.Load()
	view := *w.holder.State.View()
	view.Leader = w.leader
	next := &publication{
		view: &view, catalog: w.holder.State.Catalog(), changed: before.changed,
		until: w.holder.Until(), member: w.holder.Member(),
	}
	changed := next.view.Index != before.view.Index || next.view.Leader != before.view.Leader
	if changed {
		next.changed = make(chan struct{})
	}
	w.published.Store(next)
	if changed {
		close(before.changed)
	}
}

// target returns the voter to ask: the leader if it is known, or the voters one
// after another.
func (w *Watcher) target() (name zinniapond.HostName, address netip.AddrPort, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	voters := w.voters()
	for _, v := range voters {
		if v.Name == w.leader {
			return v.Name, v.Peers, true
		}
	}
	v := voters[w.hunt%len(voters)]
	return v.Name, v.Peers, false
}

// voters returns the voters as the log has them and those of the settings, which
// may be gone by now.
func (w *Watcher) voters() []zinniapond.Voter {
	c := w.Settings.Control
	if !c.Seeds {
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
			add(zinniapond.Voter{Name: k.Name, Peers: a})
		}
	}
	// A leader that joined after the last snapshot may be in neither list.
	if a, err := netip.ParseAddrPort(string(w.leader)); err == nil {
		add(zinniapond.Voter{Name: w.leader, Peers: a})
	}
	for _, v := range c.Voters {
		add(v)
	}
	return voters
}

// learn notes whom to ask next. An empty name means that the voter asked was of
// no use.
func (w *Watcher) learn(asked, leader zinniapond.HostName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leader != "" {
		w.leader = leader
		return
	}
	w.hunt++
	if w.leader == asked {
		w.leader = ""
	}
}
