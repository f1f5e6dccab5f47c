package state

import (
	"fmt"

	"zinniapond.example/zinniapond"
)

// applyRouting puts a configuration in force if its version is higher than the
// present one. An older or equal one is accepted without effect: its sender may not
// know yet that a newer one was committed.
func applyRouting(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if command.Routing == nil {
		return refusedResult("no routing given")
	}
	if view.Routing == nil || command.Routing.Version > view.Routing.Version {
		view.Routing = command.Routing
	}
	return acceptedResult()
}

// applyBackends replaces the list of replicas, unless it was read before the present one
// was known: its sender may have been suspended or replaced since.
func applyBackends(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if command.BackendsIndex > 0 && command.BackendsIndex < view.BackendsIndex {
		return refusedResult(fmt.Sprintf("the list has changed in record %d", view.BackendsIndex))
	}
	setBackends(view, command.Backends, command.ReadAt)
	return acceptedResult()
}

// applyDisk moves a disk to another state or removes it, if the disk still has the
// state for which the change was decided, and the other disks too if it depends on them.
func applyDisk(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if command.Disk == nil || command.Disk.Disk.ID == "" {
		return refusedResult("no disk given")
	}
	change := *command.Disk
	current := view.Disks[change.Disk.ID]
	switch {
	case current.State == change.Disk.State && !change.Remove:
		return acceptedResult()
	case current.State != change.ExpectedState:
		return refusedResult(fmt.Sprintf("disk %s is %q and not %q", change.Disk.ID, current.State, change.ExpectedState))
	case change.Disk.StateSince > 0 && change.Disk.StateSince != current.StateSince:
		return refusedResult(fmt.Sprintf("disk %s is %q since record %d and not %d", change.Disk.ID, current.State, current.StateSince, change.Disk.StateSince))
	case change.DisksIndex > 0 && change.DisksIndex != view.DisksIndex:
		return refusedResult(fmt.Sprintf("a disk has changed in record %d", view.DisksIndex))
	}
	change.Disk.StateSince, change.Disk.CountsSince = view.Index, current.CountsSince
	if change.Disk.CountsForWrites() && current.CountsSince == 0 {
		change.Disk.CountsSince = view.Index
	}
	putInCopy(&view.Disks, change.Disk.ID, change.Disk)
	if change.Remove && current.State == zinniapond.DiskLeaving {
		putInCopy(&view.Retired, current.ID, current)
	}
	if change.Remove {
		delete(view.Disks, change.Disk.ID) // from the copy that putInCopy made
	}
	view.DisksIndex = view.Index
	return acceptedResult()
}
