// Package listed distributes the platform's list of replicas: the control leader
// reads it for all hosts and proposes changes to the control log. A host whose
// copy of the control state is stale reads the list directly.
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
	"zinniapond.example/zinniapond/internal/fleet/state"
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
	return r, errors.Join(kernel.FindInto(k, &r.Lister), kernel.FindInto(k, &r.Directory), kernel.FindInto(k, &r.Control))
}

const (
	// readTimeout bounds one read of the list.
	readTimeout = 2 * time.Second
	// proposeTimeout bounds one proposal to the control log.
	proposeTimeout = 2 * time.Second
	// staleRefreshes is the age of the control state, in refresh intervals, after
	// which a host reads the list directly.
	staleRefreshes = 2
	// returnTime is how long the list has to show a replica as live after it was
	// leaving until it is used again. Lists that are read at different hosts may
	// alternate for seconds.
	returnTime = 10 * time.Second
	// forgetTime is how long a replica's own statement is kept after the list last
	// had it.
	forgetTime = 10 * time.Minute
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

	once          sync.Once
	mu            sync.Mutex
	list          []zinniapond.Backend // never changed once set
	stated        map[string]statement // by replica id
	published     []zinniapond.Backend // list with stated
	changed       chan struct{}
	readsDirectly bool // the control state is stale
	readFailed    bool // the last read of the list failed
}

// statement is a replica's own statement that it is leaving.
type statement struct {
	listedAt      time.Time // when the list last had the replica
	listedLeaving bool      // the list has shown it as leaving
	liveSince     time.Time // since when the list shows it as live after that; zero if it does not
}

// follow returns the statement with the state that the list shows now.
func (m statement) follow(now time.Time, state zinniapond.BackendState) statement {
	m.listedAt = now
	switch {
	case state == zinniapond.BackendLeaving:
		m.listedLeaving, m.liveSince = true, time.Time{}
	case m.listedLeaving && m.liveSince.IsZero():
		m.liveSince = now
	}
	return m
}

// isOver reports whether the replica has returned or was forgotten by the list.
func (m statement) isOver(now time.Time) bool {
	return !m.liveSince.IsZero() && now.Sub(m.liveSince) >= returnTime || now.Sub(m.listedAt) >= forgetTime
}

// Role returns the role that the plug-in belongs to.
func (r *Roster) Role() zinniapond.Role { return zinniapond.RoleOperators }

func (r *Roster) initState() {
	r.once.Do(func() {
		r.changed, r.stated = make(chan struct{}), make(map[string]statement)
	})
}

// Backends returns the replicas of the list; those that have recently reported
// that they are leaving have that state.
func (r *Roster) Backends() []zinniapond.Backend {
	r.initState()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published
}

// Changed returns a channel that is closed at the next change of Backends.
func (r *Roster) Changed() <-chan struct{} {
	r.initState()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// SetState records the state that the replica at an address has reported of itself.
func (r *Roster) SetState(now time.Time, server netip.AddrPort, state zinniapond.BackendState) {
	r.initState()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.list {
		switch {
		case b.Address != server:
		case state == zinniapond.BackendLeaving:
			r.recordLeaving(now, b)
		default:
			delete(r.stated, b.ID)
		}
	}
	r.publish(now)
}

// MarkLeaving records that a replica has said in an answer that it is leaving.
func (r *Roster) MarkLeaving(now time.Time, server zinniapond.Backend) {
	r.initState()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLeaving(now, server)
	r.publish(now)
}

// recordLeaving records a replica's statement. The caller holds the lock.
func (r *Roster) recordLeaving(now time.Time, server zinniapond.Backend) {
	if _, ok := r.stated[server.ID]; ok {
		return
	}
	r.Logger.Info("replica says that it is leaving", "replica", server.Address, "id", server.ID)
	r.stated[server.ID] = statement{listedAt: now}
}

// publish combines the list with the replicas' own reports and, if the result has
// changed, closes the channel of Changed. The caller holds the lock.
func (r *Roster) publish(now time.Time) {
	marked := slices.Clone(r.list)
	for i := range marked {
		id := marked[i].ID
		if m, ok := r.stated[id]; ok {
			r.stated[id] = m.follow(now, marked[i].State)
			marked[i].State = zinniapond.BackendLeaving
		}
	}
	if reflect.DeepEqual(marked, r.published) {
		return
	}
	r.published = marked
	close(r.changed)
	r.changed = make(chan struct{})
}

// refresh publishes the list again, as statements of replicas end with time.
func (r *Roster) refresh(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(now)
	for id, m := range r.stated {
		if m.isOver(now) {
			delete(r.stated, id)
		}
	}
	r.publish(now)
}

func (r *Roster) apply(now time.Time, list []zinniapond.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = list
	r.publish(now)
}

// Run applies each list of the control log, and reads the list at each refresh
// where this host has to, until ctx is done.
func (r *Roster) Run(ctx context.Context) error {
	r.initState()
	refresh := r.Settings.Platform.RefreshInterval
	// The random first delay spreads the reads of hosts that lose the control
	// log at the same time.
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(refresh))))
	defer timer.Stop()
	index := zinniapond.Index(0)
	for {
		changed := r.Directory.Changed()
		view := r.Directory.View()
		if view.BackendsIndex > index {
			index = view.BackendsIndex
			r.apply(r.Clock(), view.Backends)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-timer.C:
			r.readIfResponsible(ctx)
			r.refresh(r.Clock())
			timer.Reset(refresh)
		}
	}
}

// readIfResponsible reads the list if this host is the control leader, which
// proposes a changed list, or if its control state is stale.
func (r *Roster) readIfResponsible(ctx context.Context) {
	view := r.Directory.View()
	now := r.Clock()
	isLeader := view.Leader == r.Settings.VoterName() && r.Settings.HasRole(zinniapond.RoleControl) && now.Sub(r.Directory.ConfirmedAt()) < r.Settings.Control.LeaseDuration
	readsDirectly := !r.Settings.HasRole(zinniapond.RoleControl) && now.Sub(r.Directory.ConfirmedAt()) > staleRefreshes*r.Settings.Platform.RefreshInterval
	hasReadDirectly := r.readsDirectly
	if readsDirectly != r.readsDirectly {
		r.readsDirectly = readsDirectly
		r.Logger.Info("source of the replica list changed", "own", readsDirectly, "confirmed", r.Directory.ConfirmedAt())
	}
	if !isLeader && !readsDirectly {
		if hasReadDirectly && view.BackendsIndex > 0 {
			r.apply(now, view.Backends) // an unchanged list causes no other call
		}
		return
	}
	boundedCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := r.Lister.List(boundedCtx)
	// Logs only changes, not each read.
	if failed := err != nil; failed != r.readFailed {
		r.readFailed = failed
		r.Logger.Warn("readability of platform's list changed", "readable", !failed, "error", err)
	}
	if err != nil {
		return
	}
	if readsDirectly {
		r.apply(now, list)
		return
	}
	// Edits of the list in the control log assume this order.
	slices.SortStableFunc(list, zinniapond.Backend.Compare)
	if view.BackendsIndex > 0 && reflect.DeepEqual(list, view.Backends) {
		return
	}
	boundedCtx, cancel = context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	// The list is compared again at the next refresh if the command is refused.
	result, err := r.Control.Propose(boundedCtx, now, state.NewBackendsCommand(now, view, list))
	r.Logger.Info("replica list changed", "replicas", len(list), "index", result.Index, "accepted", result.Accepted, "reason", result.Reason, "error", err)
}
