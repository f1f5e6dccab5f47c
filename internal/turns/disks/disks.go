// Package disks manages the set of disks that store turns and budgets. On the
// control leader it polls the disks for their progress and proposes their state
// changes.
package disks

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/turns/states"
)

func init() {
	kernel.Register[zinniapond.RolePlugin](string(zinniapond.RoleControl)+".tender", build)
}

func build(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
	t := &Manager{Settings: k.Settings, Logger: k.Logger.Named("tender"), Clock: k.Now}
	return t, errors.Join(kernel.FindInto(k, &t.Peers), kernel.FindInto(k, &t.Directory), kernel.FindInto(k, &t.Control))
}

const (
	// steadyInterval is the polling interval while all disks are full, and
	// transitionInterval the one while a disk is in another state.
	steadyInterval     = 500 * time.Millisecond
	transitionInterval = 50 * time.Millisecond
	// reportTimeout bounds the polling of all disks in one round.
	reportTimeout = 400 * time.Millisecond
	// proposeTimeout bounds one proposal; the next round decides again.
	proposeTimeout = 2 * time.Second
)

// Manager runs on every control host and acts only on the leader. Its exported
// fields are set before Run.
type Manager struct {
	Settings  *zinniapond.Settings
	Peers     zinniapond.Peers
	Directory zinniapond.Directory
	Control   zinniapond.Control
	Logger    hclog.Logger
	Clock     func() time.Time

	mu      sync.Mutex
	reports map[zinniapond.DiskID]zinniapond.DiskReport
	// decidedAt is the time of the last decision.
	decidedAt time.Time
}

// Role returns the role of the plug-in.
func (t *Manager) Role() zinniapond.Role { return zinniapond.RoleControl }

// Run polls the disks and proposes state changes while this host is the control
// leader, until ctx is done.
func (t *Manager) Run(ctx context.Context) error {
	timer := time.NewTimer(steadyInterval)
	defer timer.Stop()
	for {
		changed := t.Directory.Changed()
		delay := t.runRound(ctx)
		timer.Reset(delay)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-changed:
		}
	}
}

// runRound polls all disks once and proposes the state changes that are due. It
// returns the interval until the next round.
func (t *Manager) runRound(ctx context.Context) time.Duration {
	view := t.Directory.View()
	begun := t.Clock()
	if !t.isLeader(begun, view) || len(view.Disks) == 0 {
		t.reports = nil
		return steadyInterval
	}
	if t.reports == nil {
		t.reports, t.decidedAt = make(map[zinniapond.DiskID]zinniapond.DiskReport), begun
	}
	t.excludePause(begun)
	t.collectReports(ctx, view)
	t.decidedAt = earlier(t.Clock(), begun.Add(reportTimeout))
	m := states.Transitions{View: view, Tolerance: t.Settings.Keeper, RecordLifetime: forgetAfter(view), Reports: t.reports}
	for _, c := range m.Changes(t.decidedAt) {
		t.propose(ctx, c)
	}
	for _, d := range view.Disks {
		if d.State != zinniapond.DiskFull {
			return transitionInterval
		}
	}
	return steadyInterval
}

// isLeader reports whether this host is the control leader, as confirmed within the lease.
// A process that was suspended may have been replaced meanwhile.
func (t *Manager) isLeader(now time.Time, view *zinniapond.ControlView) bool {
	return view.Leader == t.Settings.VoterName() && now.Sub(t.Directory.ConfirmedAt()) < t.Settings.Control.LeaseDuration
}

// excludePause makes the time in which no disk was polled, such as while this process was
// suspended, not count as silence of the disks. The first poll afterwards may fail at all
// of them, as connections have broken.
func (t *Manager) excludePause(now time.Time) {
	pause := now.Sub(t.decidedAt) - steadyInterval
	if pause <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.reports {
		r.ReceivedAt = r.ReceivedAt.Add(pause)
		t.reports[id] = r
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// forgetAfter returns the time without a report from a disk after which every record
// on it is past its retention.
func forgetAfter(view *zinniapond.ControlView) time.Duration {
	longestRetention := zinniapond.SpendRetention
	if view.Routing != nil {
		for _, r := range view.Routing.Routes {
			// Spends are kept from their reservation to the end of the longest turn
			// that continues theirs.
			longestRetention = max(longestRetention, r.Retention+2*r.Timeout)
		}
	}
	return longestRetention + 2*zinniapond.RetentionSlack
}

func (t *Manager) collectReports(ctx context.Context, view *zinniapond.ControlView) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, d := range view.Disks {
		group.Go(func() {
			var reply zinniapond.DiskStatusReply
			err := t.Peers.Call(callCtx, d.Address, "Keeper.Report", zinniapond.DiskStatusRequest{Sender: t.Settings.Host}, &reply)
			if err != nil || reply.Disk != d.ID {
				t.Logger.Debug("disk does not report", "disk", d.ID, "address", d.Address, "have", reply.Disk, "error", err)
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.reports[d.ID] = zinniapond.DiskReport{ReceivedAt: t.Clock(), Reply: reply}
		})
	}
	group.Wait()
}

func (t *Manager) propose(ctx context.Context, change zinniapond.DiskChange) {
	callCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := t.Control.Propose(callCtx, t.Clock(), zinniapond.Command{Kind: zinniapond.CommandDisk, Disk: &change})
	t.Logger.Info("disk changes state", "disk", change.Disk.ID, "host", change.Disk.Host, "before", change.ExpectedState,
		"state", change.Disk.State, "removed", change.Remove, "accepted", result.Accepted, "reason", result.Reason, "error", err)
}
