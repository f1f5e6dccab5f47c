package state

import (
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func routingCommand(version uint64, text string) zinniapond.Command {
	return zinniapond.Command{Kind: zinniapond.CommandRouting, Routing: &zinniapond.Routing{Version: version, Source: []byte(text)}}
}

func diskCommand(id zinniapond.DiskID, before, to zinniapond.DiskState, remove bool) zinniapond.Command {
	return zinniapond.Command{Kind: zinniapond.CommandDisk, Disk: &zinniapond.DiskChange{
		Disk: zinniapond.Disk{ID: id, Host: "h", State: to}, ExpectedState: before, Remove: remove,
	}}
}

// restoreFromSnapshot returns a new state decoded from a snapshot of s.
func restoreFromSnapshot(t *testing.T, s *State) *State {
	t.Helper()
	data, err := s.Encode()
	assert.NoError(t, err)
	next := new(State)
	assert.NoError(t, next.Decode(data))
	return next
}

func TestRouting(t *testing.T) {
	s := new(State)
	t.Run("guards against refusing a configuration that a newer one has overtaken", func(t *testing.T) {
		assert.True(t, apply(t, s, routingCommand(5, "five")).Accepted, "the first is refused")
		assert.True(t, apply(t, s, routingCommand(3, "three")).Accepted, "an older one is refused")
	})
	t.Run("guards against an older configuration, or other text under one version, in force", func(t *testing.T) {
		apply(t, s, routingCommand(5, "other"))
		assert.Equal(t, string(s.View().Routing.Source), "five")
	})
	t.Run("guards against a configuration that a snapshot loses", func(t *testing.T) {
		assert.Equal(t, string(restoreFromSnapshot(t, s).View().Routing.Source), "five")
	})
}

func TestDisks(t *testing.T) {
	const joining, full, lost, leaving = zinniapond.DiskJoining, zinniapond.DiskFull, zinniapond.DiskLost, zinniapond.DiskLeaving
	s := new(State)
	apply(t, s, diskCommand("d", "", joining, false))
	t.Run("guards against a change that was decided on an older state", func(t *testing.T) {
		assert.True(t, !apply(t, s, diskCommand("d", full, leaving, false)).Accepted, "accepted")
		assert.Equal(t, s.View().Disks["d"].State, joining)
	})
	t.Run("guards against a view of disks that does not show that it is newer", func(t *testing.T) {
		before := s.View().DisksIndex
		apply(t, s, diskCommand("d", joining, full, false))
		assert.True(t, s.View().DisksIndex > before, "the index stays")
	})
	t.Run("guards against forgetting since when a disk that was lost has had records", func(t *testing.T) {
		first := s.View().Disks["d"].CountsSince
		assert.Equal(t, first, s.View().Disks["d"].StateSince)
		apply(t, s, diskCommand("d", full, lost, false))
		apply(t, s, diskCommand("d", lost, joining, false))
		apply(t, s, diskCommand("d", joining, full, false))
		assert.Equal(t, restoreFromSnapshot(t, s).View().Disks["d"].CountsSince, first)
	})
	t.Run("guards against forgetting that a host was emptied", func(t *testing.T) {
		apply(t, s, diskCommand("d", full, leaving, false))
		apply(t, s, diskCommand("d", leaving, leaving, true))
		view := restoreFromSnapshot(t, s).View()
		assert.Equal(t, len(view.Disks), 0)
		assert.Equal(t, view.Retired["d"].Host, zinniapond.HostName("h"))
	})
}
