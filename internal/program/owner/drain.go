package owner

import (
	"context"
	"sort"
	"time"

	"zinniapond.example/zinniapond"
)

// proposalTimeout bounds one proposal to the control log.
const proposalTimeout = 3 * time.Second

// handoverReceiver is the receiver of the RPC methods Owner.Handover and
// Owner.Demand.
type handoverReceiver struct{ owner *Owner }

// Handover records the host that gets a shard next. The shard is handed over as
// soon as it has no request in flight. The request is not accepted unless this
// host owns the shard at the epoch of the request.
func (r *handoverReceiver) Handover(q zinniapond.HandoverRequest, reply *zinniapond.HandoverReply) error {
	shard, ok := r.owner.ownedShards.Get(q.Shard)
	if !ok {
		return nil
	}
	shard.mu.Lock()
	reply.Accepted = shard.ready && shard.assignment.Epoch == q.Epoch
	if reply.Accepted {
		shard.successor = q.NewOwner
	}
	startNow := reply.Accepted && shard.inFlight == 0
	shard.mu.Unlock()
	if startNow {
		r.owner.group.Go(func() error { r.owner.handOver(shard); return nil })
	}
	return nil
}

// handOver hands the shard over to its successor if it has no request in
// flight.
func (o *Owner) handOver(shard *ownedShard) {
	shard.mu.Lock()
	if shard.successor == "" || shard.inFlight > 0 || !shard.ready || shard.takingOver || shard.handingOver {
		shard.mu.Unlock()
		return
	}
	assignment := shard.assignment
	assignment.Owner, assignment.MemberEpoch = shard.successor, o.Directory.View().Members[shard.successor].Epoch
	assignment.Epoch++
	self := o.Directory.View().Members[o.Settings.Host]
	shard.successor = ""
	shard.handingOver = true
	shard.mu.Unlock()
	if o.proposeHandover(shard, assignment, &self) {
		return // the shard is dropped when the new assignment is applied
	}
	shard.mu.Lock()
	shard.handingOver = false
	shard.mu.Unlock()
}

// proposeHandover proposes the new assignment of the shard to the control log.
// It reports whether the shard is given up. While the outcome of a proposal is
// unknown, the hand-over is proposed again and no calls are accepted: the next
// owner could interrupt them.
func (o *Owner) proposeHandover(shard *ownedShard, assignment zinniapond.Assignment, self *zinniapond.Member) bool {
	for shard.lifetime.Err() == nil {
		ctx, cancel := context.WithTimeout(shard.lifetime, proposalTimeout)
		result, err := o.Control.Propose(ctx, o.Clock(), zinniapond.Command{
			Kind: zinniapond.CommandAssign, Assignments: []zinniapond.Assignment{assignment}, Member: self,
		})
		cancel()
		switch {
		case err == nil && result.Accepted:
			o.Logger.Info("handed over shard", "shard", shard.id, "to", assignment.Owner, "epoch", assignment.Epoch)
			return true
		case err == nil && result.Epoch == assignment.Epoch-1:
			o.Logger.Warn("hand-over refused", "shard", shard.id, "to", assignment.Owner, "reason", result.Reason)
			return false
		}
		o.Logger.Warn("hand-over outcome unknown, proposing again", "shard", shard.id, "to", assignment.Owner, "error", err)
		sleep(shard.lifetime, shardRetryDelay)
	}
	return true
}

// handOverAll chooses a successor for each shard, in turn among the other
// active owners, and hands over the shards without requests in flight.
func (o *Owner) handOverAll() {
	successors := o.findSuccessors()
	if len(successors) == 0 {
		return
	}
	var shards []*ownedShard
	o.ownedShards.Each(func(_ zinniapond.ShardID, s *ownedShard) bool {
		shards = append(shards, s)
		return true
	})
	for _, s := range shards {
		s.mu.Lock()
		if s.successor == "" && !s.handingOver {
			s.successor = successors[int(s.id)%len(successors)]
		}
		idle := s.inFlight == 0
		s.mu.Unlock()
		if idle {
			o.handOver(s)
		}
	}
}

// findSuccessors returns the other active hosts with the owner role, sorted by
// name.
func (o *Owner) findSuccessors() []zinniapond.HostName {
	var names []zinniapond.HostName
	for name, m := range o.Directory.View().Members {
		if name != o.Settings.Host && m.State == zinniapond.MemberActive && m.HasRole(zinniapond.RoleOwner) {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// drain hands all shards over within the drain timeout of the settings. After
// half of the timeout it refuses new calls, so that each shard has a moment
// without requests in flight.
func (o *Owner) drain() {
	o.Logger.Info("draining", "shards", o.ownedShards.Len())
	timeout := o.Settings.DrainTimeout
	ctx, cancel := context.WithTimeout(o.lifetime, timeout)
	defer cancel()
	o.announceDraining(ctx)
	halfTime := time.NewTimer(timeout / 2)
	defer halfTime.Stop()
	for o.ownedShards.Len() > 0 {
		changed := o.Directory.Changed()
		o.handOverAll()
		if o.isIdleWithoutSuccessor() {
			return
		}
		select {
		case <-changed:
		case <-time.After(shardRetryDelay):
		case <-halfTime.C:
			o.refuseNewCalls()
		case <-ctx.Done():
			o.Logger.Warn("drain timeout exceeded", "shards", o.ownedShards.Len())
			return
		}
	}
	o.Logger.Info("drained")
}

// announceDraining sets the state of this host to draining in the control log,
// so that no more shards are assigned to it.
func (o *Owner) announceDraining(ctx context.Context) {
	member, ok := o.Directory.View().Members[o.Settings.Host]
	if !ok {
		return
	}
	member.State = zinniapond.MemberDraining
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	_, err := o.Control.Propose(ctx, o.Clock(), zinniapond.Command{Kind: zinniapond.CommandMember, Member: &member})
	if err != nil {
		o.Logger.Warn("marking the host as draining failed", "error", err)
	}
}

// isIdleWithoutSuccessor reports whether no request is in flight and no other
// host can take over a shard.
func (o *Owner) isIdleWithoutSuccessor() bool {
	if len(o.findSuccessors()) > 0 {
		return false
	}
	idle := true
	o.ownedShards.Each(func(_ zinniapond.ShardID, s *ownedShard) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		idle = s.inFlight == 0
		return idle
	})
	return idle
}

func (o *Owner) refuseNewCalls() {
	o.ownedShards.Each(func(_ zinniapond.ShardID, s *ownedShard) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refusingCalls = true
		return true
	})
}
