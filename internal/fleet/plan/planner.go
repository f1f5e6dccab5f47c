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
	Replicas int // replicas wanted for each shard
	// Start is how long to wait for stores to register before the first
	// assignment; each replica that is added later has to be copied.
	Start time.Duration
	// Patience is how long to wait for a store that left to come back.
	Patience time.Duration
	// Moves bounds the hand-overs asked of one owner at a time: each stops the
	// calls of its shard for a moment.
	Moves int
}

// fleet is the working copy of the state during one decision.
type fleet struct {
	view   *zinniapond.ControlView
	owners []zinniapond.HostName // active owners, sorted
	stores []zinniapond.HostName // active stores, sorted
	owned  map[zinniapond.HostName]int
	kept   map[zinniapond.HostName]int // replicas by store
}

func newFleet(view *zinniapond.ControlView) *fleet {
	f := &fleet{
		view: view, owned: make(map[zinniapond.HostName]int), kept: make(map[zinniapond.HostName]int),
	}
	for _, name := range slices.Sorted(maps.Keys(view.Members)) {
		m := view.Members[name]
		if m.State != zinniapond.MemberActive {
			continue
		}
		if m.Has(zinniapond.RoleOwner) {
			f.owners = append(f.owners, name)
		}
		if m.Has(zinniapond.RoleStore) {
			f.stores = append(f.stores, name)
		}
	}
	for _, a := range view.Assignments {
		if f.lives(a) {
			f.owned[a.Owner]++
		}
		for _, r := range a.Replicas {
			f.kept[r]++
		}
	}
	return f
}

// alive tells whether a host's registration is in force.
func (f *fleet) alive(name zinniapond.HostName) bool {
	m := f.view.Members[name]
	return m.Epoch > 0 && m.State != zinniapond.MemberFenced && m.State != zinniapond.MemberLeft
}

// lives tells whether the owner still is the process that got the shard.
func (f *fleet) lives(a zinniapond.Assignment) bool {
	return f.alive(a.Owner) && f.view.Members[a.Owner].Epoch == a.Member
}

// Assign returns the assignments to propose: owners for shards without one, and
// at most one change of the replicas of a shard. leading is the
// age of the leadership, and silent tells for how long a host was not heard.
func (p *Planner) Assign(view *zinniapond.ControlView, leading time.Duration, silent func(zinniapond.HostName) time.Duration) []zinniapond.Assignment {
	f := newFleet(view)
	if len(f.owners) == 0 || len(f.stores) == 0 {
		return nil
	}
	var changes []zinniapond.Assignment
	for n := range view.Shards {
		id := zinniapond.ShardID(n)
		a, known := view.Assignments[id]
		a.Shard = id
		if !known && len(f.stores) < p.Replicas && leading < p.Start {
			continue
		}
		if next, changed := p.shard(f, a, known, silent); changed {
			next.Epoch = a.Epoch + 1
			changes = append(changes, next)
		}
	}
	return changes
}

func (p *Planner) shard(f *fleet, a zinniapond.Assignment, known bool, silent func(zinniapond.HostName) time.Duration) (zinniapond.Assignment, bool) {
	a.Replicas = slices.Clone(a.Replicas)
	changed := false
	if !known {
		for len(a.Replicas) < p.Replicas {
			r, ok := f.spare(a)
			if !ok {
				break
			}
			a.Replicas = append(a.Replicas, r)
			f.kept[r]++
		}
	}
	if !known || !f.lives(a) {
		a.Owner = f.least(f.owners, f.owned)
		a.Member = f.view.Members[a.Owner].Epoch
		f.owned[a.Owner]++
		changed = true
	}
	if known && p.replace(f, &a, silent) {
		changed = true
	}
	return a, changed
}

// replace starts or gives up the change of one replica.
func (p *Planner) replace(f *fleet, a *zinniapond.Assignment, silent func(zinniapond.HostName) time.Duration) bool {
	if a.Joining != "" {
		if f.alive(a.Joining) {
			return false // the owner copies the log to it
		}
		a.Joining, a.Leaving = "", ""
		return true
	}
	lost := slices.IndexFunc(a.Replicas, func(r zinniapond.HostName) bool {
		if f.alive(r) && f.view.Members[r].Has(zinniapond.RoleStore) {
			return false
		}
		return silent(r) >= p.Patience
	})
	if lost < 0 && len(a.Replicas) >= p.Replicas {
		return false
	}
	r, ok := f.spare(*a)
	if !ok {
		return false
	}
	a.Joining, a.Leaving = r, ""
	if lost >= 0 {
		a.Leaving = a.Replicas[lost]
	}
	f.kept[r]++
	return true
}

// spare returns the store that fits best as one more replica: first in a data
// centre that has none, then with the fewest replicas.
func (f *fleet) spare(a zinniapond.Assignment) (zinniapond.HostName, bool) {
	used := make(map[zinniapond.DataCentre]int)
	for _, r := range a.Replicas {
		if f.alive(r) {
			used[f.view.Members[r].DataCentre]++
		}
	}
	var free []zinniapond.HostName
	for _, s := range f.stores {
		if !slices.Contains(a.Replicas, s) {
			free = append(free, s)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	return slices.MinFunc(free, func(x, y zinniapond.HostName) int {
		return cmp.Or(
			cmp.Compare(used[f.view.Members[x].DataCentre], used[f.view.Members[y].DataCentre]),
			cmp.Compare(f.kept[x], f.kept[y]),
			cmp.Compare(x, y),
		)
	}), true
}

func (f *fleet) least(names []zinniapond.HostName, load map[zinniapond.HostName]int) zinniapond.HostName {
	return slices.MinFunc(names, func(x, y zinniapond.HostName) int {
		return cmp.Or(cmp.Compare(load[x], load[y]), cmp.Compare(x, y))
	})
}

// Rebalance returns the hand-overs to ask of living owners: all shards of a
// draining owner, and of the others only what evens the load out, so that as
// little as possible moves.
func (p *Planner) Rebalance(view *zinniapond.ControlView) []zinniapond.HandoverRequest {
	f := newFleet(view)
	if len(f.owners) == 0 {
		return nil
	}
	asked := make(map[zinniapond.HostName]int)
	var moves []zinniapond.HandoverRequest
	for _, id := range slices.Sorted(maps.Keys(view.Assignments)) {
		a := view.Assignments[id]
		draining := view.Members[a.Owner].State == zinniapond.MemberDraining
		if !f.lives(a) || asked[a.Owner] >= p.Moves || a.Joining != "" && !draining {
			continue
		}
		to := f.least(f.owners, f.owned)
		if to == a.Owner || !draining && f.owned[a.Owner]-f.owned[to] < 2 {
			continue
		}
		f.owned[a.Owner]--
		f.owned[to]++
		asked[a.Owner]++
		moves = append(moves, zinniapond.HandoverRequest{Shard: id, Epoch: a.Epoch, To: to})
	}
	return moves
}
