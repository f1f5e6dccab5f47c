// Package listed has the platform's list of replicas, read by one host for all:
// the control leader reads it and puts changes into the control log. A host
// that has lost the control log reads for itself.
package listed

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

func init() {
	kernel.Register[zinniapond.Roster]("shared", func(k *kernel.Kernel) (zinniapond.Roster, error) { return build(k) })
	kernel.Register[zinniapond.RolePlugin](string(zinniapond.RoleOperators)+".roster", func(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
		r, err := kernel.FindNamed[zinniapond.Roster](k, "shared")
		if err != nil {
			return nil, err
		}
		return r.(*Roster), nil
	})
}

func build(k *kernel.Kernel) (*Roster, error) {
	r := &Roster{Settings: k.Settings, Logger: k.Logger.Named("roster"), Clock: k.Now}
	return r, errors.Join(kernel.Fill(k, &r.Lister), kernel.Fill(k, &r.Directory), kernel.Fill(k, &r.Control))
}

const (
	// readLimit bounds one reading.
	readLimit = 2 * time.Second
	// proposeLimit bounds putting a change into the control log.
	proposeLimit = 2 * time.Second
	// lost is the age of the control state, in refreshes, from which a host
	// reads for itself.
	lost = 2
	// marked is how long a replica's own word that it leaves outweighs the list.
	marked = time.Minute
)

// Roster is the list as this host has it. Its exported fields are set before
// Run.
type Roster struct {
	Settings  *zinniapond.Settings
	Lister    zinniapond.Lister
	Directory zinniapond.Directory
	Control   zinniapond.Control
	Logger    hclog.Logger
	Clock     func() time.Time

	once    sync.Once
	mu      sync.Mutex
	list    []zinniapond.Backend // never changed once set
	marks   map[string]time.Time // by id
	shown   []zinniapond.Backend // list with marks
	changed chan struct{}
	alone   bool // reads for itself
	failed  bool // the last reading failed
}

// Role returns the role that the plug-in belongs to.
func (r *Roster) Role() zinniapond.Role { return zinniapond.RoleOperators }

func (r *Roster) prepare() {
	r.once.Do(func() { r.changed, r.marks = make(chan struct{}), make(map[string]time.Time) })
}

// Backends returns the replicas with what they say of themselves.
func (r *Roster) Backends() []zinniapond.Backend {
	r.prepare()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shown
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.prepare()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Mark records that a replica says of itself that it is leaving.
func (r *Roster) Mark(now time.Time, server netip.AddrPort, state zinniapond.BackendState) {
	r.prepare()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.list {
		if b.Address == server && state == zinniapond.BackendLeaving {
			r.marks[b.ID] = now
		}
	}
	r.show(now)
}

// show is called with the lock held.
func (r *Roster) show(now time.Time) {
	shown := slices.Clone(r.list)
	for i := range shown {
		if at, ok := r.marks[shown[i].ID]; ok && now.Sub(at) < marked {
			shown[i].State = zinniapond.BackendLeaving
		}
	}
	if reflect.DeepEqual(shown, r.shown) {
		return
	}
	r.shown = shown
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Roster) take(now time.Time, list []zinniapond.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = list
	r.show(now)
}

// Run follows the list until ctx is done.
func (r *Roster) Run(ctx context.Context) error {
	r.prepare()
	refresh := r.Settings.Platform.Refresh
	// Hosts that lose the control log together do not read together.
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(refresh))))
	defer timer.Stop()
	index := zinniapond.Index(0)
	for {
		changed := r.Directory.Changed()
		view := r.Directory.View()
		if view.BackendsIndex > index {
			index = view.BackendsIndex
			r.take(r.Clock(), view.Backends)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-timer.C:
			r.turn(ctx)
			timer.Reset(refresh)
		}
	}
}

// turn reads the list if it is this host's turn.
func (r *Roster) turn(ctx context.Context) {
	view := r.Directory.View()
	now := r.Clock()
	leads := view.Leader == r.Settings.VoterName() && r.Settings.HasRole(zinniapond.RoleControl)
	alone := !r.Settings.HasRole(zinniapond.RoleControl) && now.Sub(r.Directory.Confirmed()) > lost*r.Settings.Platform.Refresh
	if alone != r.alone {
		r.alone = alone
		r.Logger.Info("source of the replica list changed", "own", alone, "confirmed", r.Directory.Confirmed())
	}
	if !leads && !alone {
		return
	}
	limited, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	list, err := r.Lister.List(limited)
	// One line for each change, not for each reading.
	if failed := err != nil; failed != r.failed {
		r.failed = failed
		r.Logger.Warn("platform's list", "readable", !failed, "error", err)
	}
	if err != nil {
		return
	}
	if alone {
		r.take(now, list)
		return
	}
	if view.BackendsIndex > 0 && reflect.DeepEqual(list, view.Backends) {
		return
	}
	limited, cancel = context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	result, err := r.Control.Propose(limited, now, zinniapond.Command{Kind: zinniapond.CommandBackends, Backends: list})
	r.Logger.Info("replica list changed", "replicas", len(list), "index", result.Index, "error", err)
}
