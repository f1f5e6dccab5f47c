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

func TestBackends(t *testing.T) {
	list := func(id string, replaces zinniapond.Index) zinniapond.Command {
		return zinniapond.Command{Kind: zinniapond.CommandBackends, Backends: []zinniapond.Backend{{ID: id}}, BackendsIndex: replaces}
	}
	t.Run("guards against an older list of a leader that was suspended while it read it", func(t *testing.T) {
		s := new(State)
		apply(t, s, list("first", 0))
		first := s.View().BackendsIndex
		assert.True(t, apply(t, s, list("second", first)).Accepted, "the second is refused")
		assert.True(t, !apply(t, s, list("late", first)).Accepted, "an older list is accepted")
		assert.Equal(t, s.View().Backends[0].ID, "second")
		assert.True(t, apply(t, s, list("third", s.View().BackendsIndex)).Accepted, "the third is refused")
	})
}

func TestConcurrentDiskChanges(t *testing.T) {
	const joining, full, lost, leaving = zinniapond.DiskJoining, zinniapond.DiskFull, zinniapond.DiskLost, zinniapond.DiskLeaving
	newDisks := func(t *testing.T) *State {
		s := new(State)
		for _, id := range []zinniapond.DiskID{"a", "b"} {
			apply(t, s, diskCommand(id, "", joining, false))
			apply(t, s, diskCommand(id, joining, full, false))
		}
		return s
	}
	// decide returns a change that is decided in the present state.
	decide := func(s *State, id zinniapond.DiskID, to zinniapond.DiskState, remove bool) zinniapond.Command {
		d := s.View().Disks[id]
		c := zinniapond.DiskChange{Disk: d, ExpectedState: d.State, Remove: remove}
		if c.Disk.State = to; remove || to == leaving {
			c.DisksIndex = s.View().DisksIndex
		}
		return zinniapond.Command{Kind: zinniapond.CommandDisk, Disk: &c}
	}
	t.Run("guards against two retirements that are each tolerated without the other", func(t *testing.T) {
		s := newDisks(t)
		first, second := decide(s, "a", leaving, false), decide(s, "b", leaving, false)
		assert.True(t, apply(t, s, first).Accepted, "the first is refused")
		assert.True(t, !apply(t, s, second).Accepted, "the second is accepted")
		assert.True(t, apply(t, s, first).Accepted, "a repeated retirement is refused")
		assert.Equal(t, s.View().Disks["b"].State, full)
	})
	t.Run("guards against the removal of a disk that was decided before another one was lost", func(t *testing.T) {
		s := newDisks(t)
		apply(t, s, decide(s, "a", lost, false))
		removal := decide(s, "a", lost, true)
		apply(t, s, decide(s, "b", lost, false))
		assert.True(t, !apply(t, s, removal).Accepted, "accepted")
		assert.Equal(t, len(s.View().Disks), 2)
	})
	t.Run("guards against a late change of a disk that has left the state and returned to it", func(t *testing.T) {
		s := newDisks(t)
		late := decide(s, "a", lost, false)
		for _, to := range []zinniapond.DiskState{lost, joining, full} {
			assert.True(t, apply(t, s, decide(s, "a", to, false)).Accepted, "refused")
		}
		assert.True(t, !apply(t, s, late).Accepted, "accepted")
	})
}
