package voter

import (
	"context"
	"time"

	"zinniapond.example/zinniapond"
)

// maxHandovers limits the hand-overs requested of one owner at a time.
const maxHandovers = 4

// handoverTimeout limits the request for a hand-over. A reply that comes later is
// not needed: the new assignment appears in the log.
const handoverTimeout = time.Second

// runDuties does the leader's duties after each change that concerns them and
// eight times per session time.
func (v *Voter) runDuties(ctx context.Context) error {
	ticker := time.NewTicker(v.Settings.Control.SessionTimeout / 8)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.dutiesChanged:
		case <-ticker.C:
		}
		var moves []zinniapond.HandoverRequest
		var view *zinniapond.ControlView
		err := v.updateNode(func(now time.Time) error {
			view = v.node.State.View()
			commands, requests, err := v.node.RunDuties(now)
			if err != nil {
				v.Logger.Warn("leader's command not appended", "error", err)
			}
			for _, c := range commands {
				v.logCommand(c)
			}
			moves = requests
			return nil
		})
		if err != nil {
			return err
		}
		for _, move := range moves {
			owner := view.Members[view.Assignments[move.Shard].Owner]
			v.calls.Go(func() error { v.requestHandover(ctx, owner, move); return nil })
		}
	}
}

// logCommand logs the commands of the duties that matter to operators: changes of
// a host's state and of the voters.
func (v *Voter) logCommand(c zinniapond.Command) {
	switch c.Kind {
	case zinniapond.CommandMember:
		v.Logger.Info("host changes state", "host", c.Member.Name, "epoch", c.Member.Epoch, "state", c.Member.State)
	case zinniapond.CommandVoters:
		v.Logger.Info("changing voters", "voters", c.Voters)
	default:
	}
}

// requestHandover asks the owner of a shard to hand it over. A failed request is
// only logged; a later round repeats it.
func (v *Voter) requestHandover(ctx context.Context, owner zinniapond.Member, move zinniapond.HandoverRequest) {
	var reply zinniapond.HandoverReply
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	err := v.Peers.Call(callCtx, owner.PeersAddress, "Owner.Handover", move, &reply)
	if err != nil {
		v.Logger.Debug("hand-over request failed", "error", zinniapond.Wrap("Owner.Handover", owner.PeersAddress, err))
	}
}
