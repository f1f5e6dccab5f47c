package voter

import (
	"context"
	"time"

	"zinniapond.example/zinniapond"
)

// handovers is the number of hand-overs asked of one owner at a time.
const handovers = 4

// handoverLimit bounds the request for a hand-over. The answer needs no
// waiting: the change shows in the log.
const handoverLimit = time.Second

// serve does the leader's duties after each change and at intervals.
func (v *Voter) serve(ctx context.Context) error {
	ticker := time.NewTicker(v.Settings.Control.Session / 8)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.duty:
		case <-ticker.C:
		}
		var moves []zinniapond.HandoverRequest
		var view *zinniapond.ControlView
		err := v.change(func(now time.Time) error {
			view = v.node.State.View()
			commands, asked, err := v.node.Serve(now)
			if err != nil {
				v.Logger.Warn("duty refused", "error", err)
			}
			for _, c := range commands {
				v.note(c)
			}
			moves = asked
			return nil
		})
		if err != nil {
			return err
		}
		for _, move := range moves {
			owner := view.Members[view.Assignments[move.Shard].Owner]
			v.calls.Go(func() error { v.ask(ctx, owner, move); return nil })
		}
	}
}

// note logs a command of the duties that operators ask about.
func (v *Voter) note(c zinniapond.Command) {
	switch c.Kind {
	case zinniapond.CommandMember:
		v.Logger.Info("host changes state", "host", c.Member.Name, "epoch", c.Member.Epoch, "state", c.Member.State)
	case zinniapond.CommandVoters:
		v.Logger.Info("changing voters", "voters", c.Voters)
	default:
	}
}

// ask asks an owner to hand a shard over.
func (v *Voter) ask(ctx context.Context, owner zinniapond.Member, move zinniapond.HandoverRequest) {
	var reply zinniapond.HandoverReply
	limited, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	err := v.Peers.Call(limited, owner.Peers, "Owner.Handover", move, &reply)
	if err != nil {
		v.Logger.Debug("hand-over not asked", "error", zinniapond.Wrap("Owner.Handover", owner.Peers, err))
	}
}
