package owner

import (
	"context"
	"sort"
	"time"

	"zinniapond.example/zinniapond"
)

// proposeLimit bounds one proposal of a hand-over.
const proposeLimit = 3 * time.Second

// handover is the receiver of the RPC methods Owner.Handover and Owner.Demand.
type handover struct{ owner *Owner }

// Handover notes who shall get a shard.
func (r *handover) Handover(q zinniapond.HandoverRequest, reply *zinniapond.HandoverReply) error {
	h, ok := r.owner.holdings.Get(q.Shard)
	if !ok {
		return nil
	}
	h.mu.Lock()
	reply.Accepted = h.ready && h.wanted.Epoch == q.Epoch
	if reply.Accepted {
		h.target = q.To
	}
	now := reply.Accepted && h.inflight == 0
	h.mu.Unlock()
	if now {
		r.owner.group.Go(func() error { r.owner.move(h); return nil })
	}
	return nil
}

// move hands the shard to its target if none of its calls runs.
func (o *Owner) move(h *holding) {
	h.mu.Lock()
	if h.target == "" || h.inflight > 0 || !h.ready || h.busy || h.moving {
		h.mu.Unlock()
		return
	}
	a := h.wanted
	a.Owner, a.Member = h.target, o.Directory.View().Members[h.target].Epoch
	a.Epoch++
	self := o.Directory.View().Members[o.Settings.Host]
	h.target = ""
	h.moving = true
	h.mu.Unlock()
	if o.propose(h, a, &self) {
		return // the shard is dropped when the assignment is applied
	}
	h.mu.Lock()
	h.moving = false
	h.mu.Unlock()
}

// propose puts a hand-over into the control log and tells whether the shard is
// given away. While the outcome of a proposal is unknown it is proposed again:
// serving on could take calls that the next owner interrupts.
func (o *Owner) propose(h *holding, a zinniapond.Assignment, self *zinniapond.Member) bool {
	for h.life.Err() == nil {
		ctx, cancel := context.WithTimeout(h.life, proposeLimit)
		result, err := o.Control.Propose(ctx, o.Clock(), zinniapond.Command{
			Kind: zinniapond.CommandAssign, Assignments: []zinniapond.Assignment{a}, Member: self,
		})
		cancel()
		switch {
		case err == nil && result.Accepted:
			o.Logger.Info("handed over shard", "shard", h.shard, "to", a.Owner, "epoch", a.Epoch)
			return true
		case err == nil && result.Epoch == a.Epoch-1:
			o.Logger.Warn("hand-over refused", "shard", h.shard, "to", a.Owner, "reason", result.Reason)
			return false
		}
		o.Logger.Warn("outcome of the hand-over unknown, proposing again", "shard", h.shard, "to", a.Owner, "error", err)
		pause(h.life, recoverPause)
	}
	return true
}

// moveAll names a new owner for each shard, in turn among the other active
// owners, and moves the shards that are idle.
func (o *Owner) moveAll() {
	heirs := o.heirs()
	if len(heirs) == 0 {
		return
	}
	var all []*holding
	o.holdings.Each(func(_ zinniapond.ShardID, h *holding) bool {
		all = append(all, h)
		return true
	})
	for _, h := range all {
		h.mu.Lock()
		if h.target == "" && !h.moving {
			h.target = heirs[int(h.shard)%len(heirs)]
		}
		idle := h.inflight == 0
		h.mu.Unlock()
		if idle {
			o.move(h)
		}
	}
}

// heirs returns the other hosts that may own shards, sorted.
func (o *Owner) heirs() []zinniapond.HostName {
	var names []zinniapond.HostName
	for name, m := range o.Directory.View().Members {
		if name != o.Settings.Host && m.State == zinniapond.MemberActive && m.Has(zinniapond.RoleOwner) {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// drain hands all shards over within the drain time of the settings. From half
// of it on, new calls are held back, so that each shard has a moment without
// calls.
func (o *Owner) drain() {
	o.Logger.Info("draining", "shards", o.holdings.Len())
	limit := o.Settings.Drain
	ctx, cancel := context.WithTimeout(o.life, limit)
	defer cancel()
	o.announce(ctx)
	half := time.NewTimer(limit / 2)
	defer half.Stop()
	for o.holdings.Len() > 0 {
		changed := o.Directory.Changed()
		o.moveAll()
		if o.quiet() {
			return
		}
		select {
		case <-changed:
		case <-time.After(recoverPause):
		case <-half.C:
			o.holdBack()
		case <-ctx.Done():
			o.Logger.Warn("drain time is over", "shards", o.holdings.Len())
			return
		}
	}
	o.Logger.Info("drained")
}

// announce marks the host as draining, so that it gets no more shards.
func (o *Owner) announce(ctx context.Context) {
	m, ok := o.Directory.View().Members[o.Settings.Host]
	if !ok {
		return
	}
	m.State = zinniapond.MemberDraining
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	_, err := o.Control.Propose(ctx, o.Clock(), zinniapond.Command{Kind: zinniapond.CommandMember, Member: &m})
	if err != nil {
		o.Logger.Warn("marking the host as draining failed", "error", err)
	}
}

// quiet tells whether no call runs and no other host could take a shard.
func (o *Owner) quiet() bool {
	if len(o.heirs()) > 0 {
		return false
	}
	idle := true
	o.holdings.Each(func(_ zinniapond.ShardID, h *holding) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		idle = h.inflight == 0
		return idle
	})
	return idle
}

func (o *Owner) holdBack() {
	o.holdings.Each(func(_ zinniapond.ShardID, h *holding) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.closed = true
		return true
	})
}
