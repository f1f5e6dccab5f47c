package state

import (
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// NewBackendsCommand returns the command that replaces the list of replicas of a view: the
// difference, so that a record, the log and the traffic to each host grow with the change
// and not with the list. It has the whole list if that is the first one, or if the
// difference does not restore it or has more entries.
func NewBackendsCommand(readAt time.Time, view *zinniapond.ControlView, list []zinniapond.Backend) zinniapond.Command {
	whole := zinniapond.Command{Kind: zinniapond.CommandBackends, Backends: list, BackendsIndex: view.BackendsIndex, ReadAt: readAt}
	if view.BackendsIndex == 0 {
		return whole
	}
	edit := newBackendsEdit(view.Backends, list)
	edit.Base = view.BackendsIndex
	restored, ok := editBackends(view.Backends, edit)
	if !ok || !slices.Equal(restored, list) || len(edit.Added)+len(edit.Removed) > len(list) {
		return whole
	}
	return zinniapond.Command{Kind: zinniapond.CommandBackendsEdit, BackendsEdit: edit, ReadAt: readAt}
}

// newBackendsEdit returns the difference between two lists that are sorted by
// Backend.Compare.
func newBackendsEdit(base, list []zinniapond.Backend) *zinniapond.BackendsEdit {
	edit := new(zinniapond.BackendsEdit)
	i := 0
	for _, b := range list {
		for ; i < len(base) && base[i].Compare(b) < 0; i++ {
			edit.Removed = append(edit.Removed, i)
		}
		if i < len(base) && addStateChange(edit, i, base[i], b) {
			i++
			continue
		}
		edit.Added = append(edit.Added, zinniapond.AddedBackend(b))
	}
	for ; i < len(base); i++ {
		edit.Removed = append(edit.Removed, i)
	}
	return edit
}

// addStateChange adds the change of a replica at a position to an edit. It returns false
// if the replica changes in more than its state.
func addStateChange(edit *zinniapond.BackendsEdit, position int, before, after zinniapond.Backend) bool {
	changed := before.State != after.State
	before.State = after.State
	switch {
	case before != after:
		return false
	case !changed:
	case after.State == zinniapond.BackendLive:
		edit.Live = append(edit.Live, position)
	case after.State == zinniapond.BackendLeaving:
		edit.Leaving = append(edit.Leaving, position)
	default:
		return false
	}
	return true
}

// editBackends applies an edit to a list. It returns false if a position is not in the
// list or the positions to remove do not ascend.
func editBackends(base []zinniapond.Backend, edit *zinniapond.BackendsEdit) ([]zinniapond.Backend, bool) {
	base = slices.Clone(base) // readers share the list
	if !setStates(base, edit.Live, zinniapond.BackendLive) || !setStates(base, edit.Leaving, zinniapond.BackendLeaving) {
		return nil, false
	}
	list := make([]zinniapond.Backend, 0, len(base)+len(edit.Added))
	next := 0
	for _, position := range edit.Removed {
		if position < next || position >= len(base) {
			return nil, false
		}
		list = append(list, base[next:position]...)
		next = position + 1
	}
	list = append(list, base[next:]...)
	for _, b := range edit.Added {
		list = append(list, zinniapond.Backend(b))
	}
	slices.SortStableFunc(list, zinniapond.Backend.Compare)
	return list, true
}

func setStates(list []zinniapond.Backend, positions []int, state zinniapond.BackendState) bool {
	for _, position := range positions {
		if position < 0 || position >= len(list) {
			return false
		}
		list[position].State = state
	}
	return true
}

// applyBackendsEdit changes the list of replicas if it is the one that the edit was made
// from. Otherwise the list was changed between the proposal and the record, and the
// proposer finds the difference again when it next reads the platform's list.
func applyBackendsEdit(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	edit := command.BackendsEdit
	switch {
	case edit == nil:
		return refusedResult("no edit given")
	case edit.Base != view.BackendsIndex:
		return refusedResult("the list of replicas has changed since the edit was made")
	}
	list, ok := editBackends(view.Backends, edit)
	if !ok {
		return refusedResult("the edit does not fit the list of replicas")
	}
	setBackends(view, list, command.ReadAt)
	return acceptedResult()
}
