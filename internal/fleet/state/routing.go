package state

import (
	"fmt"

	"zinniapond.example/zinniapond"
)

// routing takes a configuration if its version is higher than the one in force.
// An older or equal one is accepted without effect: its sender may not have
// heard that it was overtaken.
func routing(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if command.Routing == nil {
		return refused("no routing given")
	}
	if view.Routing == nil || command.Routing.Version > view.Routing.Version {
		view.Routing = command.Routing
	}
	return accepted()
}

// disk moves a disk to another state, if the disk still has the state that the
// change was decided on.
func disk(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if command.Disk == nil || command.Disk.Disk.ID == "" {
		return refused("no disk given")
	}
	change := *command.Disk
	have := view.Disks[change.Disk.ID]
	switch {
	case have.State == change.Disk.State && !change.Remove:
		return accepted()
	case have.State != change.Before:
		return refused(fmt.Sprintf("disk %s is %q and not %q", change.Disk.ID, have.State, change.Before))
	}
	change.Disk.Since, change.Disk.First = view.Index, have.First
	if change.Disk.Counts() && have.First == 0 {
		change.Disk.First = view.Index
	}
	put(&view.Disks, change.Disk.ID, change.Disk)
	if change.Remove && have.State == zinniapond.DiskLeaving {
		put(&view.Retired, have.ID, have)
	}
	if change.Remove {
		delete(view.Disks, change.Disk.ID) // put has made a copy
	}
	view.DisksIndex = view.Index
	return accepted()
}
