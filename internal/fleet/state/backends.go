package state

import (
	"slices"

	"zinniapond.example/zinniapond"
)

// replaceBackendsByEdit replaces the list of replicas of a command by the difference
// from the list in force. Every host has that list, so that a record, the log and the
// traffic to each host grow with the change and not with the list. The list stays whole
// if it is the first one, or if the difference does not restore it or is larger.
func replaceBackendsByEdit(view *zinniapond.ControlView, command *zinniapond.Command) {
	if view.BackendsIndex == 0 {
		return
	}
	edit := newBackendsEdit(view.Backends, command.Backends)
	edit.Base = view.BackendsIndex
	restored, ok := editBackends(view.Backends, edit)
	if !ok || !slices.Equal(restored, command.Backends) || len(edit.Added)+len(edit.Removed) > len(command.Backends) {
		return
	}
	command.Kind, command.Backends, command.BackendsEdit = zinniapond.CommandBackendsEdit, nil, edit
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
		if i < len(base) && base[i] == b {
			i++
			continue
		}
		edit.Added = append(edit.Added, b)
	}
	for ; i < len(base); i++ {
		edit.Removed = append(edit.Removed, i)
	}
	return edit
}

// editBackends applies an edit to a list. It returns false if a position is not in the
// list or the positions do not ascend.
func editBackends(base []zinniapond.Backend, edit *zinniapond.BackendsEdit) ([]zinniapond.Backend, bool) {
	list := make([]zinniapond.Backend, 0, len(base)+len(edit.Added))
	next := 0
	for _, position := range edit.Removed {
		if position < next || position >= len(base) {
			return nil, false
		}
		list = append(list, base[next:position]...)
		next = position + 1
	}
	list = append(append(list, base[next:]...), edit.Added...)
	slices.SortStableFunc(list, zinniapond.Backend.Compare)
	return list, true
}

// applyBackendsEdit changes the list of replicas if it is the one that the edit was made
// from. Otherwise the list has been changed between the proposal and the record, and the
// proposer finds the difference again when it next reads the platform's list.
func applyBackendsEdit(view *zinniapond.ControlView, edit *zinniapond.BackendsEdit) zinniapond.CommandResult {
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
	view.Backends, view.BackendsIndex = list, view.Index
	return acceptedResult()
}
