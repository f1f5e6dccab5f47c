package state

import (
	"fmt"
	"maps"
	"reflect"

	"zinniapond.example/zinniapond"
)

// putInCopy replaces the map by a copy with the value in it, because readers share
// the map.
func putInCopy[K comparable, V any](m *map[K]V, key K, value V) {
	c := maps.Clone(*m)
	if c == nil {
		c = make(map[K]V)
	}
	c[key] = value
	*m = c
}

// isInForce reports whether the registration with the given epoch is in force: it is
// the host's last one and neither fenced nor left.
func isInForce(m zinniapond.Member, epoch zinniapond.Epoch) bool {
	return m.Epoch == epoch && m.State != zinniapond.MemberFenced && m.State != zinniapond.MemberLeft && m.Epoch > 0
}

// applyRegister gives a process its epoch. The command names the previous epoch of
// the same process, or 0, so that a resent registration is not taken for a new one.
// A process does not replace another's registration that is in force.
func applyRegister(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if command.Member == nil || command.Member.Name == "" {
		return refusedResult("no member given")
	}
	m := *command.Member
	current, known := view.Members[m.Name]
	switch {
	case known && current.Instance == m.Instance && current.Epoch != m.Epoch:
		// The first copy of this command was applied already.
		result := acceptedResult()
		result.Epoch = current.Epoch
		return result
	case known && isInForce(current, current.Epoch) && current.Instance != m.Instance:
		return refusedResult(fmt.Sprintf("registration %d of another process of host %s is in force", current.Epoch, m.Name))
	}
	m.Epoch = zinniapond.Epoch(view.Index)
	m.State = zinniapond.MemberStarting
	putInCopy(&view.Members, m.Name, m)
	result := acceptedResult()
	result.Epoch = m.Epoch
	return result
}

// stateRank orders the states of a registration, which only advances.
var stateRank = map[zinniapond.MemberState]int{
	zinniapond.MemberStarting: 1, zinniapond.MemberActive: 2, zinniapond.MemberDraining: 3,
	zinniapond.MemberFenced: 4, zinniapond.MemberLeft: 5,
}

// applyMember changes the state of the registration that the command names.
func applyMember(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if command.Member == nil {
		return refusedResult("no member given")
	}
	current, known := view.Members[command.Member.Name]
	newState := command.Member.State
	switch {
	case !known || current.Epoch != command.Member.Epoch:
		return refusedResult(fmt.Sprintf("host %s has no registration %d", command.Member.Name, command.Member.Epoch))
	case current.State == newState:
		return acceptedResult()
	case stateRank[newState] <= stateRank[current.State] || current.State == zinniapond.MemberFenced:
		return refusedResult(fmt.Sprintf("host %s is %s and does not become %s", current.Name, current.State, newState))
	}
	current.State = newState
	putInCopy(&view.Members, current.Name, current)
	result := acceptedResult()
	result.Epoch = current.Epoch
	return result
}

// applyAssign changes assignments, all or none. Each must name the present epoch
// plus one; one that is in force already is a resent copy. An owner that has not
// handed its shard over is replaced only if its registration is no longer in force.
// The result of a refused command has the present epoch: an owner whose hand-over
// was refused continues only if that is still its own.
func applyAssign(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	next := maps.Clone(view.Assignments)
	if next == nil {
		next = make(map[zinniapond.ShardID]zinniapond.Assignment)
	}
	for _, a := range command.Assignments {
		current := next[a.Shard]
		if reflect.DeepEqual(current, a) {
			continue
		}
		if reason := refusalReason(view, command, current, a); reason != "" {
			return zinniapond.CommandResult{Conflict: true, Reason: fmt.Sprintf("shard %d: %s", a.Shard, reason), Epoch: current.Epoch}
		}
		next[a.Shard] = a
	}
	view.Assignments = next
	return acceptedResult()
}

// refusalReason returns why an assignment may not replace the current one, or "".
func refusalReason(view *zinniapond.ControlView, command zinniapond.Command, current, a zinniapond.Assignment) string {
	if int(a.Shard) >= view.Shards {
		return fmt.Sprintf("there are %d shards", view.Shards)
	}
	if a.Epoch != current.Epoch+1 {
		return fmt.Sprintf("epoch %d does not follow %d", a.Epoch, current.Epoch)
	}
	if !isInForce(view.Members[a.Owner], a.MemberEpoch) {
		return fmt.Sprintf("host %s has no registration %d in force", a.Owner, a.MemberEpoch)
	}
	changesOwner := a.Owner != current.Owner || a.MemberEpoch != current.MemberEpoch
	if !changesOwner || !isInForce(view.Members[current.Owner], current.MemberEpoch) {
		return ""
	}
	proposer := command.Member
	if proposer == nil || proposer.Name != current.Owner || proposer.Epoch != current.MemberEpoch {
		return fmt.Sprintf("its owner %s is living and has not handed it over", current.Owner)
	}
	return ""
}

// applyOrder gives a backend server an order. The command names the fence of the
// previous order, so that a resent order does not undo a later one.
func applyOrder(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if command.Order == nil {
		return refusedResult("no order given")
	}
	o := *command.Order
	current := view.Orders[o.Backend]
	if o.Fence != current.Fence {
		if current.Kind == o.Kind && current.Model == o.Model {
			return acceptedResult()
		}
		return zinniapond.CommandResult{Conflict: true, Reason: fmt.Sprintf("the order before has fence %d, not %d", current.Fence, o.Fence)}
	}
	o.Fence = view.Index
	putInCopy(&view.Orders, o.Backend, o)
	return acceptedResult()
}
