// Package tender is the control leader's care for the set of disks that keep
// turns and budgets: it asks them how far they are, and moves them from state to
// state.
package tender

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/turns/moves"
)

func init() {
	kernel.Register[zinniapond.RolePlugin](string(zinniapond.RoleControl)+".tender", build)
}

func build(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
	t := &Tender{Settings: k.Settings, Logger: k.Logger.Named("tender"), Clock: k.Now}
	return t, errors.Join(kernel.Fill(k, &t.Peers), kernel.Fill(k, &t.Directory), kernel.Fill(k, &t.Control))
}

const (
	// interval separates two rounds of questions while the set is at rest, and
	// busy while it changes.
	interval = 500 * time.Millisecond
	busy     = 50 * time.Millisecond
	// askLimit bounds one question.
	askLimit = 400 * time.Millisecond
	// proposeLimit bounds one change; it is decided anew afterwards.
	proposeLimit = 2 * time.Second
)

// Tender runs on every control host and acts on the leader. Its exported fields
// are set before Run.
type Tender struct {
	Settings  *zinniapond.Settings
	Peers     zinniapond.Peers
	Directory zinniapond.Directory
	Control   zinniapond.Control
	Logger    hclog.Logger
	Clock     func() time.Time

	mu      sync.Mutex
	reports map[zinniapond.DiskID]zinniapond.DiskHeard
}

// Role returns the role of the plug-in.
func (t *Tender) Role() zinniapond.Role { return zinniapond.RoleControl }

// Run cares for the disks while this host leads, until ctx is done.
func (t *Tender) Run(ctx context.Context) error {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		changed := t.Directory.Changed()
		pause := t.round(ctx)
		timer.Reset(pause)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-changed:
		}
	}
}

// round asks all disks once and proposes what is due. It returns the pause until
// the next round.
func (t *Tender) round(ctx context.Context) time.Duration {
	view := t.Directory.View()
	if view.Leader != t.Settings.VoterName() || len(view.Disks) == 0 {
		t.reports = nil
		return interval
	}
	if t.reports == nil {
		t.reports = make(map[zinniapond.DiskID]zinniapond.DiskHeard)
	}
	t.ask(ctx, view)
	m := moves.Moves{View: view, Tolerance: t.Settings.Keeper, Forget: forget(view), Reports: t.reports}
	for _, c := range m.Due(t.Clock()) {
		t.propose(ctx, c)
	}
	for _, d := range view.Disks {
		if d.State != zinniapond.DiskFull {
			return busy
		}
	}
	return interval
}

// forget returns the silence after which no record of a disk is within its
// retention.
func forget(view *zinniapond.ControlView) time.Duration {
	longest := zinniapond.SpendRetention
	if view.Routing != nil {
		for _, r := range view.Routing.Routes {
			longest = max(longest, r.Retention)
		}
	}
	return longest + 2*zinniapond.RetentionSlack
}

func (t *Tender) ask(ctx context.Context, view *zinniapond.ControlView) {
	limited, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	var group sync.WaitGroup
	for _, d := range view.Disks {
		group.Go(func() {
			var reply zinniapond.DiskReply
			err := t.Peers.Call(limited, d.Address, "Keeper.Report", zinniapond.DiskRequest{Sender: t.Settings.Host}, &reply)
			if err != nil || reply.Disk != d.ID {
				t.Logger.Debug("disk does not report", "disk", d.ID, "address", d.Address, "have", reply.Disk, "error", err)
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.reports[d.ID] = zinniapond.DiskHeard{At: t.Clock(), Reply: reply}
		})
	}
	group.Wait()
}

func (t *Tender) propose(ctx context.Context, change zinniapond.DiskChange) {
	limited, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	result, err := t.Control.Propose(limited, t.Clock(), zinniapond.Command{Kind: zinniapond.CommandDisk, Disk: &change})
	t.Logger.Info("disk changes state", "disk", change.Disk.ID, "host", change.Disk.Host, "before", change.Before,
		"state", change.Disk.State, "removed", change.Remove, "accepted", result.Accepted, "reason", result.Reason, "error", err)
}
