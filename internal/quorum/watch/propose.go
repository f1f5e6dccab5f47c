package watch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// proposeLimit bounds one try of a proposal. The leader answers or steps down
// well before.
const proposeLimit = 2 * time.Second

// leaveLimit bounds the last message of a stopping host; without it the host is
// fenced after its session.
const leaveLimit = time.Second

// Propose sends the command to the leader until it is committed and applied
// there, or refused, or ctx is done. It may send a command several times; each
// kind of command bears that.
func (w *Watcher) Propose(ctx context.Context, _ time.Time, command zinniapond.Command) (zinniapond.CommandResult, error) {
	w.prepare()
	if command.Kind == zinniapond.CommandAssign && command.Member == nil {
		w.mu.Lock()
		command.Member = &zinniapond.Member{Name: w.Settings.Host, Epoch: w.holder.Epoch()}
		w.mu.Unlock()
	}
	var last error
	for {
		reply, err := w.propose(ctx, command)
		if err == nil && reply.Accepted {
			return reply.Result, nil
		}
		if err != nil {
			last = err
		}
		if ctx.Err() != nil {
			return zinniapond.CommandResult{}, fmt.Errorf("propose %s: outcome unknown: %w",
				command.Kind, errors.Join(ctx.Err(), last))
		}
		sleep(ctx, max(reply.RetryAfter, pause))
	}
}

func (w *Watcher) propose(ctx context.Context, command zinniapond.Command) (zinniapond.ProposeReply, error) {
	name, address, known := w.target()
	limit := proposeLimit
	if !known {
		limit = w.Settings.Control.Fetch
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reply zinniapond.ProposeReply
	request := zinniapond.ProposeRequest{Sender: w.Settings.Host, Command: command}
	if err := w.Peers.Call(limited, address, "Control.Propose", request, &reply); err != nil {
		w.learn(name, "")
		return reply, zinniapond.Wrap("Control.Propose", address, err)
	}
	if !reply.Accepted {
		w.learn(name, reply.Leader)
		return reply, zinniapond.Wrap("Control.Propose", address, zinniapond.ErrNotLeader)
	}
	return reply, nil
}

// enrol keeps this process registered: at the start, and again after it was
// fenced.
func (w *Watcher) enrol(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := w.Changed()
		w.mu.Lock()
		enrolled := w.holder.Enrolled()
		w.mu.Unlock()
		if enrolled {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if err := w.register(ctx); err != nil && ctx.Err() == nil {
			w.Logger.Warn("registration refused", "error", err)
			sleep(ctx, w.Settings.Control.Session/4)
		}
	}
	return nil
}

func (w *Watcher) register(ctx context.Context) error {
	s := w.Settings
	w.mu.Lock()
	before := w.holder.Epoch()
	w.mu.Unlock()
	result, err := w.Propose(ctx, w.Clock(), zinniapond.Command{
		Kind: zinniapond.CommandRegister,
		Member: &zinniapond.Member{
			Name: s.Host, Epoch: before, DataCentre: s.DataCentre, Roles: s.Roles,
			Peers: s.PeersAddress(), Streams: s.StreamsAddress(), Instance: w.instance,
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
	w.holder.Registered(result.Epoch)
	w.publish()
	w.Logger.Info("registered", "epoch", result.Epoch)
	return nil
}

// leave marks the host as left, so that its shards need not wait for the
// session to end.
func (w *Watcher) leave(ctx context.Context) {
	w.mu.Lock()
	epoch := w.holder.Epoch()
	w.holder.Leave()
	w.publish()
	w.mu.Unlock()
	if epoch == 0 {
		return
	}
	limited, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	_, err := w.Propose(limited, w.Clock(), zinniapond.Command{
		Kind:   zinniapond.CommandMember,
		Member: &zinniapond.Member{Name: w.Settings.Host, Epoch: epoch, State: zinniapond.MemberLeft},
	})
	if err != nil {
		w.Logger.Warn("departure not recorded; the host will be fenced", "error", err)
	}
}
