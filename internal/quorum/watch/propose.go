package watch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// proposeTimeout limits one attempt of a proposal. The leader replies or steps
// down well before.
const proposeTimeout = 2 * time.Second

// leaveTimeout limits the proposal by which a stopping host leaves. If the
// proposal fails, the host is fenced at the end of its session.
const leaveTimeout = time.Second

// Propose sends the command to the leader until it is committed and applied
// there, or refused, or ctx is done; in the last case the outcome is unknown. It
// may send a command several times: every kind of command is idempotent.
func (w *Watcher) Propose(ctx context.Context, _ time.Time, command zinniapond.Command) (zinniapond.CommandResult, error) {
	w.initialise()
	if command.Kind == zinniapond.CommandAssign && command.Member == nil {
		w.mu.Lock()
		command.Member = &zinniapond.Member{Name: w.Settings.Host, Epoch: w.holder.Epoch()}
		w.mu.Unlock()
	}
	var lastError error
	for {
		reply, err := w.sendProposal(ctx, command)
		if err == nil && reply.Accepted {
			return reply.Result, nil
		}
		if err != nil {
			lastError = err
		}
		if ctx.Err() != nil {
			return zinniapond.CommandResult{}, fmt.Errorf("propose %s: outcome unknown: %w",
				command.Kind, errors.Join(ctx.Err(), lastError))
		}
		sleep(ctx, max(reply.RetryAfter, retryInterval))
	}
}

func (w *Watcher) sendProposal(ctx context.Context, command zinniapond.Command) (zinniapond.ProposeReply, error) {
	changed := w.nextLeaderChange()
	name, address, leaderKnown := w.selectVoter()
	limit := proposeTimeout
	if !leaderKnown {
		limit = w.Settings.Control.LeaderTimeout
	}
	// A leader that has lost power does not answer. The command is sent again as soon as
	// another leader is known, and not only after the limit.
	leaderCtx, stop := w.contextUntilLeaderChange(ctx, name, changed)
	defer stop()
	callCtx, cancel := context.WithTimeout(leaderCtx, limit)
	defer cancel()
	var reply zinniapond.ProposeReply
	request := zinniapond.ProposeRequest{Sender: w.Settings.Host, Command: command}
	if err := w.Peers.Call(callCtx, address, "Control.Propose", request, &reply); err != nil {
		w.noteLeader(name, "")
		return reply, zinniapond.Wrap("Control.Propose", address, err)
	}
	if !reply.Accepted {
		w.noteLeader(name, reply.Leader)
		return reply, zinniapond.Wrap("Control.Propose", address, zinniapond.ErrNotLeader)
	}
	return reply, nil
}

// keepRegistered registers this process at the start and after each fencing,
// until ctx is done.
func (w *Watcher) keepRegistered(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := w.Changed()
		w.mu.Lock()
		registered := w.holder.IsRegistered()
		w.mu.Unlock()
		if registered {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if err := w.register(ctx); err != nil && ctx.Err() == nil {
			w.Logger.Warn("registration refused", "error", err)
			sleep(ctx, w.Settings.Control.SessionTimeout/4)
		}
	}
	return nil
}

func (w *Watcher) register(ctx context.Context) error {
	s := w.Settings
	w.mu.Lock()
	previousEpoch := w.holder.Epoch()
	w.mu.Unlock()
	result, err := w.Propose(ctx, w.Clock(), zinniapond.Command{
		Kind: zinniapond.CommandRegister,
		Member: &zinniapond.Member{
			Name: s.Host, Epoch: previousEpoch, DataCentre: s.DataCentre, Roles: s.Roles,
			PeersAddress: s.PeersAddress(), StreamsAddress: s.StreamsAddress(), Instance: w.instance,
		},
	})
	if err != nil {
		return err
	}
	if !result.Accepted {
		return fmt.Errorf("register host %s: %s: %w", s.Host, result.Reason, zinniapond.ErrConflict)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holder.SetRegistration(result.Epoch)
	w.publish()
	w.Logger.Info("registered", "epoch", result.Epoch)
	return nil
}

// announceDeparture marks the host as left, so that its shards get new owners
// before the end of its session.
func (w *Watcher) announceDeparture(ctx context.Context) {
	w.mu.Lock()
	epoch := w.holder.Epoch()
	w.holder.EndLease()
	w.publish()
	w.mu.Unlock()
	if epoch == 0 {
		return
	}
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := w.Propose(leaveCtx, w.Clock(), zinniapond.Command{
		Kind:   zinniapond.CommandMember,
		Member: &zinniapond.Member{Name: w.Settings.Host, Epoch: epoch, State: zinniapond.MemberLeft},
	})
	if err != nil {
		w.Logger.Warn("departure not recorded; host will be fenced after its session", "error", err)
	}
}
