// Package plan decides which host owns each shard and which hosts keep its
// journal.
package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// Planner decides on assignments from the control state alone. Its exported
// fields are set before use.
type Planner struct {
	Replicas int // target number of replicas of each shard
	// FirstAssignmentDelay is how long to wait for stores to register before the
	// first assignment; each replica that is added later has to be copied.
	FirstAssignmentDelay time.Duration
	// ReplacementDelay is how long to wait for a lost store to return, before
	// its replicas are replaced.
	ReplacementDelay time.Duration
	// MaxHandovers bounds the hand-overs requested from one owner at a time:
	// each pauses the calls of its shard briefly.
	MaxHandovers int
}

// workingState is the control state with the load of each host, updated during one
// decision.
type workingState struct {
	view          *zinniapond.ControlView
	owners        []zinniapond.HostName // active owners, sorted
	stores        []zinniapond.HostName // active stores, sorted
	ownedShards   map[zinniapond.HostName]int
	replicaCounts map[zinniapond.HostName]int // replicas by store
}

func newWorkingState(view *zinniapond.ControlView) *workingState {
	f := &workingState{
		view: view, ownedShards: make(map[zinniapond.HostName]int), replicaCounts: make(map[zinniapond.HostName]int),
	}
	for _, name := range slices.Sorted(maps.Keys(view.Members)) {
		m := view.Members[name]
		if m.State != zinniapond.MemberActive {
			continue
		}
		if m.HasRole(zinniapond.RoleOwner) {
			f.owners = append(f.owners, name)
		}
		if m.HasRole(zinniapond.RoleStore) {
			f.stores = append(f.stores, name)
		}
	}
	for _, a := range view.Assignments {
		if f.ownerIsInForce(a) {
			f.ownedShards[a.Owner]++
		}
		for _, r := range a.Replicas {
			f.replicaCounts[r]++
		}
	}
	return f
}

// isInForce reports whether a host's registration is in force.
func (f *workingState) isInForce(name zinniapond.HostName) bool {
	m := f.view.Members[name]
	return m.Epoch > 0 && m.State != zinniapond.MemberFenced && m.State != zinniapond.MemberLeft
}

// ownerIsInForce reports whether the owner is still the process that was assigned
// the shard.
func (f *workingState) ownerIsInForce(a zinniapond.Assignment) bool {
	return f.isInForce(a.Owner) && f.view.Members[a.Owner].Epoch == a.MemberEpoch
}

// Assign returns the assignments to propose: owners for shards without one, and at
// most one change of the replicas of each shard. leaderAge is the time since this
// host became leader, and silence returns the time since a host was last heard of.
func (p *Planner) Assign(view *zinniapond.ControlView, leaderAge time.Duration, silence func(zinniapond.HostName) time.Duration) []zinniapond.Assignment {
	f := newWorkingState(view)
	if len(f.owners) == 0 || len(f.stores) == 0 {
		return nil
	}
	var changes []zinniapond.Assignment
	for n := range view.Shards {
		id := zinniapond.ShardID(n)
		a, assigned := view.Assignments[id]
		a.Shard = id
		if !assigned && len(f.stores) < p.Replicas && leaderAge < p.FirstAssignmentDelay {
			continue
		}
		if next, changed := p.planShard(f, a, assigned, silence); changed {
			next.Epoch = a.Epoch + 1
			changes = append(changes, next)
		}
	}
	return changes
}

func (p *Planner) planShard(f *workingState, a zinniapond.Assignment, assigned bool, silence func(zinniapond.HostName) time.Duration) (zinniapond.Assignment, bool) {
	a.Replicas = slices.Clone(a.Replicas)
	changed := false
	if !assigned {
		for len(a.Replicas) < p.Replicas {
			r, ok := f.chooseStore(a)
			if !ok {
				break
			}
			a.Replicas = append(a.Replicas, r)
			f.replicaCounts[r]++
		}
	}
	if !assigned || !f.ownerIsInForce(a) {
		a.Owner = f.leastLoaded(f.owners, f.ownedShards)
		a.MemberEpoch = f.view.Members[a.Owner].Epoch
		f.ownedShards[a.Owner]++
		changed = true
	}
	if assigned && p.planReplacement(f, &a, silence) {
		changed = true
	}
	return a, changed
}

// planReplacement starts the replacement of one replica, or cancels it if the
// joining host is no longer registered.
func (p *Planner) planReplacement(f *workingState, a *zinniapond.Assignment, silence func(zinniapond.HostName) time.Duration) bool {
	if a.JoiningReplica != "" {
		if f.isInForce(a.JoiningReplica) {
			return false // the owner copies the log to it
		}
		a.JoiningReplica, a.ReplacedReplica = "", ""
		return true
	}
	lostIndex := slices.IndexFunc(a.Replicas, func(r zinniapond.HostName) bool {
		if f.isInForce(r) && f.view.Members[r].HasRole(zinniapond.RoleStore) {
			return false
		}
		return silence(r) >= p.ReplacementDelay
	})
	if lostIndex < 0 && len(a.Replicas) >= p.Replicas {
		return false
	}
	r, ok := f.chooseStore(*a)
	if !ok {
		return false
	}
	a.JoiningReplica, a.ReplacedReplica = r, ""
	if lostIndex >= 0 {
		a.ReplacedReplica = a.Replicas[lostIndex]
	}
	f.replicaCounts[r]++
	return true
}

// chooseStore returns the store to hold one more replica of a shard: the one in the
// data centre with the fewest replicas of the shard, and among equals the one that
// keeps the fewest replicas.
func (f *workingState) chooseStore(a zinniapond.Assignment) (zinniapond.HostName, bool) {
	perDataCentre := make(map[zinniapond.DataCentre]int)
	for _, r := range a.Replicas {
		if f.isInForce(r) {
			perDataCentre[f.view.Members[r].DataCentre]++
		}
	}
	var candidates []zinniapond.HostName
	for _, s := range f.stores {
		if !slices.Contains(a.Replicas, s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return slices.MinFunc(candidates, func(x, y zinniapond.HostName) int {
		return cmp.Or(
			cmp.Compare(perDataCentre[f.view.Members[x].DataCentre], perDataCentre[f.view.Members[y].DataCentre]),
			cmp.Compare(f.replicaCounts[x], f.replicaCounts[y]),
			cmp.Compare(x, y),
		)
	}), true
}

func (f *workingState) leastLoaded(names []zinniapond.HostName, load map[zinniapond.HostName]int) zinniapond.HostName {
	return slices.MinFunc(names, func(x, y zinniapond.HostName) int {
		return cmp.Or(cmp.Compare(load[x], load[y]), cmp.Compare(x, y))
	})
}

// Rebalance returns the hand-overs to request from registered owners: all shards of
// a draining owner, and of the others only as many as balance the load, so that few
// shards move. It returns at most MaxHandovers of them for each owner.
func (p *Planner) Rebalance(view *zinniapond.ControlView) []zinniapond.HandoverRequest {
	f := newWorkingState(view)
	if len(f.owners) == 0 {
		return nil
	}
	requested := make(map[zinniapond.HostName]int)
	var moves []zinniapond.HandoverRequest
	for _, id := range slices.Sorted(maps.Keys(view.Assignments)) {
		a := view.Assignments[id]
		draining := view.Members[a.Owner].State == zinniapond.MemberDraining
		if !f.ownerIsInForce(a) || requested[a.Owner] >= p.MaxHandovers || a.JoiningReplica != "" && !draining {
			continue
		}
		target := f.leastLoaded(f.owners, f.ownedShards)
		if target == a.Owner || !draining && f.ownedShards[a.Owner]-f.ownedShards[target] < 2 {
			continue
		}
		f.ownedShards[a.Owner]--
		f.ownedShards[target]++
		requested[a.Owner]++
		moves = append(moves, zinniapond.HandoverRequest{Shard: id, Epoch: a.Epoch, NewOwner: target})
	}
	return moves
}
