package state

import (
	"fmt"
	"maps"
	"reflect"

	"zinniapond.example/zinniapond"
)

// put stores a value in a copy of the map, because readers share the map.
func put[K comparable, V any](m *map[K]V, key K, value V) {
	c := maps.Clone(*m)
	if c == nil {
		c = make(map[K]V)
	}
	c[key] = value
	*m = c
}

// living tells whether a registration is in force.
func living(m zinniapond.Member, epoch zinniapond.Epoch) bool {
	return m.Epoch == epoch && m.State != zinniapond.MemberFenced && m.State != zinniapond.MemberLeft && m.Epoch > 0
}

// register gives a process its epoch. The command names the epoch that the same
// process had before, or 0, so that a resent registration is not taken for a
// new one. A process does not replace a living registration of another.
func register(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if command.Member == nil || command.Member.Name == "" {
		return refused("no member given")
	}
	m := *command.Member
	have, known := view.Members[m.Name]
	switch {
	case known && have.Instance == m.Instance && have.Epoch != m.Epoch:
		// The first copy of this command was applied already.
		result := accepted()
		result.Epoch = have.Epoch
		return result
	case known && living(have, have.Epoch) && have.Instance != m.Instance:
		return refused(fmt.Sprintf("registration %d of another process of host %s is in force", have.Epoch, m.Name))
	}
	m.Epoch = zinniapond.Epoch(view.Index)
	m.State = zinniapond.MemberStarting
	put(&view.Members, m.Name, m)
	result := accepted()
	result.Epoch = m.Epoch
	return result
}

// rank orders the states of a registration, which never goes back.
var rank = map[zinniapond.MemberState]int{
	zinniapond.MemberStarting: 1, zinniapond.MemberActive: 2, zinniapond.MemberDraining: 3,
	zinniapond.MemberFenced: 4, zinniapond.MemberLeft: 5,
}

// member changes the state of the registration that the command names.
func member(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if command.Member == nil {
		return refused("no member given")
	}
	have, known := view.Members[command.Member.Name]
	to := command.Member.State
	switch {
	case !known || have.Epoch != command.Member.Epoch:
		return refused(fmt.Sprintf("host %s has no registration %d", command.Member.Name, command.Member.Epoch))
	case have.State == to:
		return accepted()
	case rank[to] <= rank[have.State] || have.State == zinniapond.MemberFenced:
		return refused(fmt.Sprintf("host %s is %s and does not become %s", have.Name, have.State, to))
	}
	have.State = to
	put(&view.Members, have.Name, have)
	result := accepted()
	result.Epoch = have.Epoch
	return result
}

// assign changes assignments, all or none. Each must name the present epoch
// plus one; one that is in force already is a resent copy. The owner of a shard
// changes against its will only if its registration is no longer in force. The
// result of a refused command has the present epoch: an owner whose hand-over
// was refused goes on only if that is still its own.
func assign(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	next := maps.Clone(view.Assignments)
	if next == nil {
		next = make(map[zinniapond.ShardID]zinniapond.Assignment)
	}
	for _, a := range command.Assignments {
		have := next[a.Shard]
		if reflect.DeepEqual(have, a) {
			continue
		}
		if reason := objection(view, command, have, a); reason != "" {
			return zinniapond.CommandResult{Conflict: true, Reason: fmt.Sprintf("shard %d: %s", a.Shard, reason), Epoch: have.Epoch}
		}
		next[a.Shard] = a
	}
	view.Assignments = next
	return accepted()
}

func objection(view *zinniapond.ControlView, command zinniapond.Command, have, a zinniapond.Assignment) string {
	if int(a.Shard) >= view.Shards {
		return fmt.Sprintf("there are %d shards", view.Shards)
	}
	if a.Epoch != have.Epoch+1 {
		return fmt.Sprintf("epoch %d does not follow %d", a.Epoch, have.Epoch)
	}
	if !living(view.Members[a.Owner], a.Member) {
		return fmt.Sprintf("host %s has no registration %d in force", a.Owner, a.Member)
	}
	moved := a.Owner != have.Owner || a.Member != have.Member
	if !moved || !living(view.Members[have.Owner], have.Member) {
		return ""
	}
	by := command.Member
	if by == nil || by.Name != have.Owner || by.Epoch != have.Member {
		return fmt.Sprintf("its owner %s is living and has not handed it over", have.Owner)
	}
	return ""
}

// order gives a backend server an order. The command names the fence of the
// order before, so that a resent order does not undo a later one.
func order(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if command.Order == nil {
		return refused("no order given")
	}
	o := *command.Order
	have := view.Orders[o.Backend]
	if o.Fence != have.Fence {
		if have.Kind == o.Kind && have.Model == o.Model {
			return accepted()
		}
		return zinniapond.CommandResult{Conflict: true, Reason: fmt.Sprintf("the order before has fence %d, not %d", have.Fence, o.Fence)}
	}
	o.Fence = view.Index
	put(&view.Orders, o.Backend, o)
	return accepted()
}
