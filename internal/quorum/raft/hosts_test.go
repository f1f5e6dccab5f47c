package raft_test

import (
	"bytes"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/state"
	"zinniapond.example/zinniapond/internal/quorum/lease"
)

// host is one process of a host that owns shards. An earlier process of the
// same host may live on, cut off or frozen.
type host struct {
	w        *world
	name     name
	instance string
	holder   lease.Holder
	target   int
	frozen   bool
	dead     bool
	// released has the shards that this process has offered to another host;
	// it does not serve them until it knows that the offer was refused.
	released map[zinniapond.ShardID]zinniapond.Epoch
	newest   zinniapond.Version
}

func (w *world) startHost(of name) *host {
	h := &host{
		w: w, name: of, instance: fmt.Sprintf("%s-%d", of, len(w.hosts)),
		released: make(map[zinniapond.ShardID]zinniapond.Epoch),
		holder:   lease.Holder{Host: of, Lease: leaseTime, Wait: leaseTime / 5, State: &state.State{}},
	}
	w.hosts = append(w.hosts, h)
	h.fetch()
	h.enrol()
	return h
}

// run makes an event of this process; a frozen one does it when it resumes.
func (h *host) run(work func()) func() {
	var try func()
	try = func() {
		switch {
		case h.dead:
		case h.frozen:
			h.w.after(50*time.Millisecond, try)
		default:
			work()
		}
	}
	return try
}

func (h *host) fetch() {
	n := h.w.nodes[h.target%len(h.w.nodes)]
	request := h.holder.Request()
	sent := h.w.now
	done := false
	h.w.send(h.name, n.name, func() {
		n.serveFetch(request, func(reply zinniapond.FetchReply) {
			h.w.send(n.name, h.name, h.run(func() {
				before := h.holder.State.View().Index
				if err := h.holder.Take(sent, request, reply); err != nil {
					h.w.t.Fatalf("%s: %v", h.instance, err)
				}
				h.w.oracle.applied(h, before)
				if !done {
					done = true
					h.point(reply.Leader, reply.Accepted)
					h.fetch()
				}
			}))
		})
	})
	h.w.after(request.Wait+contact, h.run(func() {
		if !done {
			done = true
			h.target++
			h.fetch()
		}
	}))
}

// point follows the hint of a voter.
func (h *host) point(leader name, accepted bool) {
	if accepted {
		return
	}
	h.target++
	for i, n := range h.w.nodes {
		if n.name == leader {
			h.target = i
		}
	}
}

// enrol keeps the process registered, as Watcher.enrol does.
func (h *host) enrol() {
	h.w.after(100*time.Millisecond, h.run(func() {
		if !h.holder.Enrolled() {
			h.propose(zinniapond.Command{Kind: zinniapond.CommandRegister, Member: &zinniapond.Member{
				Name: h.name, Epoch: h.holder.Epoch(), Instance: h.instance,
				Roles: []zinniapond.Role{zinniapond.RoleOwner, zinniapond.RoleStore},
			}}, func(r zinniapond.CommandResult) {
				if r.Accepted && r.Epoch > h.holder.Epoch() {
					h.holder.Registered(r.Epoch)
				}
			})
		}
		h.enrol()
	}))
}

// propose sends a command to a voter; the answer may be lost.
func (h *host) propose(command zinniapond.Command, answer func(zinniapond.CommandResult)) {
	n := h.w.nodes[h.target%len(h.w.nodes)]
	h.w.send(h.name, n.name, func() {
		n.propose(command, func(reply zinniapond.ProposeReply) {
			h.w.send(n.name, h.name, h.run(func() { answer(reply.Result) }))
		})
	})
}

// owns tells whether the process would serve the shard now.
func (h *host) owns(id zinniapond.ShardID) bool {
	a, ok := h.holder.State.View().Assignments[id]
	return ok && !h.dead && h.holder.Fresh(h.w.now) && a.Owner == h.name && a.Member == h.holder.Epoch() && h.released[id] != a.Epoch
}

// handover carries the leader's request for a hand-over to the owner, which
// stops serving the shard and proposes the new owner.
func (w *world) handover(from *node, move zinniapond.HandoverRequest) {
	for _, h := range w.hosts {
		w.send(from.name, h.name, h.run(func() {
			a := h.holder.State.View().Assignments[move.Shard]
			to := h.holder.State.View().Members[move.To]
			if !h.owns(move.Shard) || a.Epoch != move.Epoch || to.Epoch == 0 {
				return
			}
			h.released[move.Shard] = a.Epoch
			a.Epoch++
			a.Owner, a.Member = to.Name, to.Epoch
			h.offer(a, zinniapond.Command{
				Kind: zinniapond.CommandAssign, Assignments: []zinniapond.Assignment{a},
				Member: &zinniapond.Member{Name: h.name, Epoch: h.holder.Epoch()},
			})
		}))
	}
}

// offer proposes a hand-over again and again until its outcome is known.
func (h *host) offer(a zinniapond.Assignment, command zinniapond.Command) {
	if h.released[a.Shard] != a.Epoch-1 {
		return
	}
	h.propose(command, func(r zinniapond.CommandResult) {
		// The answer may be to a second copy, after the first was accepted.
		if !r.Accepted && r.Epoch == a.Epoch-1 && h.released[a.Shard] == a.Epoch-1 {
			delete(h.released, a.Shard)
		}
	})
	h.w.after(time.Second, h.run(func() {
		if h.holder.State.View().Assignments[a.Shard].Epoch < a.Epoch {
			h.offer(a, command)
		}
	}))
}

// checkOwners fails if two processes would serve one shard now.
func (w *world) checkOwners() {
	for id := range zinniapond.ShardID(shards) {
		var owner *host
		for _, h := range w.hosts {
			if !h.owns(id) {
				continue
			}
			if owner != nil {
				w.t.Fatalf("shard %d is served by %s and %s at %s", id, owner.instance, h.instance, w.now.Format("05.000"))
			}
			owner = h
		}
	}
}

// change is an operator's change of the lists with what is known of it.
type change struct {
	command zinniapond.Command
	result  *zinniapond.CommandResult
}

// acknowledged is the end of a change that an operator has seen.
type acknowledged struct {
	at    time.Time
	index zinniapond.Index
}

// oracle knows what was committed, and compares.
type oracle struct {
	w       *world
	history []zinniapond.LogEntry
	leaders map[zinniapond.Term]name
	changes []*change
	acks    []acknowledged
	by      map[zinniapond.Version]zinniapond.ChangeID
}

// leader guards against two leaders in one term.
func (o *oracle) leader(n *node) {
	if !n.core.Leading(o.w.now) {
		return
	}
	if first, ok := o.leaders[n.core.Term()]; ok && first != n.name {
		o.w.t.Fatalf("term %d has the leaders %s and %s", n.core.Term(), first, n.name)
	}
	o.leaders[n.core.Term()] = n.name
}

// committed guards against a committed record that is lost or changed.
func (o *oracle) committed(n *node, e zinniapond.LogEntry) {
	if int(e.Index) > len(o.history) {
		o.history = append(o.history, e)
		return
	}
	if had := o.history[e.Index-1]; had.Term != e.Term || !bytes.Equal(had.Data, e.Data) {
		o.w.t.Fatalf("record %d was committed in term %d, at %s it is of term %d", e.Index, had.Term, n.name, e.Term)
	}
}

// applied guards against a state that goes back, and against a lease that holds
// for a state that lacks an old change.
func (o *oracle) applied(h *host, before zinniapond.Index) {
	view := h.holder.State.View()
	if view.Index < before || view.Lists.Version < h.newest {
		o.w.t.Fatalf("%s went back from record %d, version %d to %d, %d", h.instance, before, h.newest, view.Index, view.Lists.Version)
	}
	h.newest = view.Lists.Version
	if int(view.Index) > len(o.history) {
		o.w.t.Fatalf("%s applied record %d, which is not committed", h.instance, view.Index)
	}
}

// fresh guards against a host that admits work under lists that were replaced
// longer ago than its lease.
func (o *oracle) fresh() {
	for _, h := range o.w.hosts {
		if h.dead || !h.holder.Fresh(o.w.now) {
			continue
		}
		for _, a := range o.acks {
			if a.at.Before(o.w.now.Add(-leaseTime)) && h.holder.State.View().Index < a.index {
				o.w.t.Fatalf("%s is fresh at record %d, record %d was accepted %s ago",
					h.instance, h.holder.State.View().Index, a.index, o.w.now.Sub(a.at))
			}
		}
	}
}

// answered guards against a change with two outcomes, and a version with two
// changes.
func (o *oracle) answered(c *change, r zinniapond.CommandResult) {
	if r.Index > 0 && int(r.Index) > len(o.history) {
		o.w.t.Fatalf("change %s was answered at record %d of %d", c.command.Change, r.Index, len(o.history))
	}
	if first := c.result; first != nil {
		if first.Accepted != r.Accepted || first.Conflict != r.Conflict || first.Index != r.Index {
			o.w.t.Fatalf("change %s had the outcome %+v, then %+v", c.command.Change, *first, r)
		}
		return
	}
	c.result = &r
	if !r.Accepted {
		return
	}
	o.acks = append(o.acks, acknowledged{o.w.now, r.Index})
	if other, ok := o.by[r.Lists.Version]; ok {
		o.w.t.Fatalf("version %d was given to the changes %s and %s", r.Lists.Version, other, c.command.Change)
	}
	o.by[r.Lists.Version] = c.command.Change
}
