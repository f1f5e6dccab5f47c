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
// same host may still run, partitioned or suspended.
type host struct {
	sim         *simulation
	name        name
	instance    string
	holder      lease.Holder
	targetIndex int
	suspended   bool
	killed      bool
	// releasedEpochs has the assignment epochs of the shards for which this
	// process has proposed another owner. It does not serve them unless it learns
	// that the proposal was refused.
	releasedEpochs map[zinniapond.ShardID]zinniapond.Epoch
	newestVersion  zinniapond.Version
}

func (w *simulation) startHost(hostName name) *host {
	h := &host{
		sim: w, name: hostName, instance: fmt.Sprintf("%s-%d", hostName, len(w.hosts)),
		releasedEpochs: make(map[zinniapond.ShardID]zinniapond.Epoch),
		holder:         lease.Holder{Host: hostName, LeaseDuration: leaseTime, FetchWait: leaseTime / 5, State: &state.State{}},
	}
	w.hosts = append(w.hosts, h)
	h.fetch()
	h.keepRegistered()
	return h
}

// whileRunning wraps work as an event of this process: a suspended process runs
// it after it resumes, a dead one never.
func (h *host) whileRunning(work func()) func() {
	var attempt func()
	attempt = func() {
		switch {
		case h.killed:
		case h.suspended:
			h.sim.schedule(50*time.Millisecond, attempt)
		default:
			work()
		}
	}
	return attempt
}

func (h *host) fetch() {
	n := h.sim.nodes[h.targetIndex%len(h.sim.nodes)]
	request := h.holder.NextRequest()
	sent := h.sim.now
	done := false
	h.sim.send(h.name, n.name, func() {
		n.serveFetch(request, func(reply zinniapond.FetchReply) {
			h.sim.send(n.name, h.name, h.whileRunning(func() {
				previousIndex := h.holder.State.View().Index
				if err := h.holder.ApplyReply(sent, request, reply); err != nil {
					h.sim.t.Fatalf("%s: %v", h.instance, err)
				}
				h.sim.oracle.checkApplied(h, previousIndex)
				if !done {
					done = true
					h.followHint(reply.Leader, reply.Accepted)
					h.fetch()
				}
			}))
		})
	})
	h.sim.schedule(request.MaxWait+contact, h.whileRunning(func() {
		if !done {
			done = true
			h.targetIndex++
			h.fetch()
		}
	}))
}

// followHint selects the voter for the next request after a refusal: the leader
// that the voter named, else the next one.
func (h *host) followHint(leader name, accepted bool) {
	if accepted {
		return
	}
	h.targetIndex++
	for i, n := range h.sim.nodes {
		if n.name == leader {
			h.targetIndex = i
		}
	}
}

// keepRegistered registers the process whenever it has no registration in force,
// as watch.Watcher does.
func (h *host) keepRegistered() {
	h.sim.schedule(100*time.Millisecond, h.whileRunning(func() {
		if !h.holder.IsRegistered() {
			h.propose(zinniapond.Command{Kind: zinniapond.CommandRegister, Member: &zinniapond.Member{
				Name: h.name, Epoch: h.holder.Epoch(), Instance: h.instance,
				Roles: []zinniapond.Role{zinniapond.RoleOwner, zinniapond.RoleStore},
			}}, func(r zinniapond.CommandResult) {
				if r.Accepted && r.Epoch > h.holder.Epoch() {
					h.holder.SetRegistration(r.Epoch)
				}
			})
		}
		h.keepRegistered()
	}))
}

// propose sends a command to a voter; the reply may be lost.
func (h *host) propose(command zinniapond.Command, answer func(zinniapond.CommandResult)) {
	n := h.sim.nodes[h.targetIndex%len(h.sim.nodes)]
	h.sim.send(h.name, n.name, func() {
		n.propose(command, func(reply zinniapond.ProposeReply) {
			h.sim.send(n.name, h.name, h.whileRunning(func() { answer(reply.Result) }))
		})
	})
}

// servesShard reports whether the process would serve calls of the shard now.
func (h *host) servesShard(id zinniapond.ShardID) bool {
	a, ok := h.holder.State.View().Assignments[id]
	return ok && !h.killed && h.holder.LeaseValid(h.sim.now) && a.Owner == h.name && a.MemberEpoch == h.holder.Epoch() && h.releasedEpochs[id] != a.Epoch
}

// requestHandover sends the leader's request for a hand-over to the owner, which
// stops serving the shard and proposes the new owner.
func (w *simulation) requestHandover(from *node, move zinniapond.HandoverRequest) {
	for _, h := range w.hosts {
		w.send(from.name, h.name, h.whileRunning(func() {
			a := h.holder.State.View().Assignments[move.Shard]
			to := h.holder.State.View().Members[move.NewOwner]
			if !h.servesShard(move.Shard) || a.Epoch != move.Epoch || to.Epoch == 0 {
				return
			}
			h.releasedEpochs[move.Shard] = a.Epoch
			a.Epoch++
			a.Owner, a.MemberEpoch = to.Name, to.Epoch
			h.proposeHandover(a, zinniapond.Command{
				Kind: zinniapond.CommandAssign, Assignments: []zinniapond.Assignment{a},
				Member: &zinniapond.Member{Name: h.name, Epoch: h.holder.Epoch()},
			})
		}))
	}
}

// proposeHandover repeats the proposal of a hand-over until its outcome is known.
func (h *host) proposeHandover(a zinniapond.Assignment, command zinniapond.Command) {
	if h.releasedEpochs[a.Shard] != a.Epoch-1 {
		return
	}
	h.propose(command, func(r zinniapond.CommandResult) {
		// The refusal may answer a repeated proposal after the first one was
		// accepted, so the epoch is compared.
		if !r.Accepted && r.Epoch == a.Epoch-1 && h.releasedEpochs[a.Shard] == a.Epoch-1 {
			delete(h.releasedEpochs, a.Shard)
		}
	})
	h.sim.schedule(time.Second, h.whileRunning(func() {
		if h.holder.State.View().Assignments[a.Shard].Epoch < a.Epoch {
			h.proposeHandover(a, command)
		}
	}))
}

// checkSingleOwners fails if two processes would serve the same shard now.
func (w *simulation) checkSingleOwners() {
	for id := range zinniapond.ShardID(shards) {
		var owner *host
		for _, h := range w.hosts {
			if !h.servesShard(id) {
				continue
			}
			if owner != nil {
				w.t.Fatalf("shard %d is served by %s and %s at %s", id, owner.instance, h.instance, w.now.Format("05.000"))
			}
			owner = h
		}
	}
}

// change is an operator's change of the lists with the first result that was
// returned for it.
type change struct {
	command zinniapond.Command
	result  *zinniapond.CommandResult
}

// acknowledgement is the instant at which an operator learned that a change was
// accepted, and the index of its record.
type acknowledgement struct {
	at    time.Time
	index zinniapond.Index
}

// oracle records the committed records, leaders and results of the whole run, and
// fails if a node or host contradicts them.
type oracle struct {
	sim              *simulation
	history          []zinniapond.LogEntry
	leaders          map[zinniapond.Term]name
	changes          []*change
	acknowledgements []acknowledgement
	changeOfVersion  map[zinniapond.Version]zinniapond.ChangeID
}

// checkLeader fails if a term has two leaders.
func (o *oracle) checkLeader(n *node) {
	if !n.core.IsLeader(o.sim.now) {
		return
	}
	if first, ok := o.leaders[n.core.Term()]; ok && first != n.name {
		o.sim.t.Fatalf("term %d has the leaders %s and %s", n.core.Term(), first, n.name)
	}
	o.leaders[n.core.Term()] = n.name
}

// checkCommitted fails if a committed record was replaced by another one.
func (o *oracle) checkCommitted(n *node, e zinniapond.LogEntry) {
	if int(e.Index) > len(o.history) {
		o.history = append(o.history, e)
		return
	}
	if recorded := o.history[e.Index-1]; recorded.Term != e.Term || !bytes.Equal(recorded.Data, e.Data) {
		o.sim.t.Fatalf("record %d was committed in term %d, at %s it is of term %d", e.Index, recorded.Term, n.name, e.Term)
	}
}

// checkApplied fails if the state of a host reverts to an older one, or contains
// a record that is not committed.
func (o *oracle) checkApplied(h *host, previousIndex zinniapond.Index) {
	view := h.holder.State.View()
	if view.Index < previousIndex || view.Lists.Version < h.newestVersion {
		o.sim.t.Fatalf("%s reverted from record %d, version %d to record %d, version %d", h.instance, previousIndex, h.newestVersion, view.Index, view.Lists.Version)
	}
	h.newestVersion = view.Lists.Version
	if int(view.Index) > len(o.history) {
		o.sim.t.Fatalf("%s applied record %d, which is not committed", h.instance, view.Index)
	}
}

// checkFreshness fails if a host holds a lease although it lacks a change that was
// accepted longer ago than the duration of a lease.
func (o *oracle) checkFreshness() {
	for _, h := range o.sim.hosts {
		if h.killed || !h.holder.LeaseValid(o.sim.now) {
			continue
		}
		for _, a := range o.acknowledgements {
			if a.at.Before(o.sim.now.Add(-leaseTime)) && h.holder.State.View().Index < a.index {
				o.sim.t.Fatalf("%s is fresh at record %d, record %d was accepted %s ago",
					h.instance, h.holder.State.View().Index, a.index, o.sim.now.Sub(a.at))
			}
		}
	}
}

// checkAnswer fails if a change has two outcomes, or a version two changes.
func (o *oracle) checkAnswer(c *change, r zinniapond.CommandResult) {
	if r.Index > 0 && int(r.Index) > len(o.history) {
		o.sim.t.Fatalf("change %s was answered with record %d, but only %d are committed", c.command.ChangeID, r.Index, len(o.history))
	}
	if first := c.result; first != nil {
		if first.Accepted != r.Accepted || first.Conflict != r.Conflict || first.Index != r.Index {
			o.sim.t.Fatalf("change %s had the outcome %+v, then %+v", c.command.ChangeID, *first, r)
		}
		return
	}
	c.result = &r
	if !r.Accepted {
		return
	}
	o.acknowledgements = append(o.acknowledgements, acknowledgement{o.sim.now, r.Index})
	if other, ok := o.changeOfVersion[r.Lists.Version]; ok {
		o.sim.t.Fatalf("version %d was given to the changes %s and %s", r.Lists.Version, other, c.command.ChangeID)
	}
	o.changeOfVersion[r.Lists.Version] = c.command.ChangeID
}
