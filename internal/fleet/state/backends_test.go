package state

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// commit records a command as the leader does, and applies it at all states.
func commit(t assert.TB, command zinniapond.Command, leader *State, followers ...*State) zinniapond.LogEntry {
	t.Helper()
	data, err := cbor.Marshal(command)
	assert.NoError(t, err)
	entry := zinniapond.LogEntry{Index: leader.View().Index + 1, Term: 1, Data: data}
	for _, s := range append(followers, leader) {
		_, err := s.Apply(entry)
		assert.NoError(t, err)
	}
	return entry
}

// commitList records a change of the list.
func commitList(t assert.TB, list []zinniapond.Backend, leader *State, followers ...*State) zinniapond.LogEntry {
	t.Helper()
	return commit(t, NewBackendsCommand(time.Unix(1000, 0), leader.View(), list), leader, followers...)
}

// newReplicas returns a list of replicas that are live.
func newReplicas(count int) []zinniapond.Backend {
	var list []zinniapond.Backend
	for i := range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8488)
		list = append(list, zinniapond.Backend{Address: address, ID: fmt.Sprintf("i-%010x", i), Pool: "model", State: zinniapond.BackendLive})
	}
	return list
}

func TestBackendsEdit(t *testing.T) {
	t.Run("guards against a host whose list differs from the one that was proposed", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			leader, follower := new(State), new(State)
			replica := rapid.Custom(func(t *rapid.T) zinniapond.Backend {
				return zinniapond.Backend{
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, rapid.Byte().Draw(t, "host") % 8}), 80),
					ID:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"),
					State:   rapid.SampledFrom([]zinniapond.BackendState{zinniapond.BackendLive, zinniapond.BackendLeaving, "", "other"}).Draw(t, "state"),
				}
			})
			for range rapid.IntRange(1, 6).Draw(t, "changes") {
				list := rapid.SliceOfN(replica, 0, 8).Draw(t, "list") // in any order, with duplicates
				if rapid.Bool().Draw(t, "sorted") {
					slices.SortStableFunc(list, zinniapond.Backend.Compare)
				}
				commitList(t, list, leader, follower)
				assert.True(t, slices.Equal(follower.View().Backends, list), "got %v, want %v", follower.View().Backends, list)
				assert.Equal(t, follower.View().BackendsIndex, leader.View().Index)
			}
		})
	})
	t.Run("guards against records that grow with the list", func(t *testing.T) {
		s := new(State)
		list := newReplicas(480)
		commitList(t, list, s)
		list = slices.Clone(list)
		list[100].State = zinniapond.BackendLeaving
		list = slices.Delete(list, 200, 201)
		entry := commitList(t, list, s)
		assert.True(t, len(entry.Data) < 50, "record of %d bytes", len(entry.Data))
		assert.Equal(t, s.View().Backends, list)
	})
	t.Run("guards against a change of the list that readers share", func(t *testing.T) {
		s := new(State)
		commitList(t, newReplicas(3), s)
		before := s.View()
		commitList(t, newReplicas(2), s)
		leaving := newReplicas(2)
		leaving[0].State = zinniapond.BackendLeaving
		between := s.View()
		commitList(t, leaving, s)
		assert.Equal(t, between.Backends, newReplicas(2))
		assert.Equal(t, s.View().Backends, leaving)
		assert.Equal(t, before.Backends, newReplicas(3))
	})
	t.Run("guards against an edit of another list", func(t *testing.T) {
		s := new(State)
		commitList(t, newReplicas(3), s)
		late := NewBackendsCommand(time.Unix(1000, 0), s.View(), newReplicas(2))
		commitList(t, newReplicas(4), s)
		commit(t, late, s)
		assert.Equal(t, s.View().Backends, newReplicas(4))
	})
	t.Run("guards against malformed edits", func(t *testing.T) {
		for _, removed := range [][]int{{3}, {-1}, {1, 1}, {2, 0}} {
			_, ok := editBackends(newReplicas(3), &zinniapond.BackendsEdit{Removed: removed})
			assert.True(t, !ok, "positions %v accepted", removed)
		}
		for _, edit := range []zinniapond.BackendsEdit{{Live: []int{3}}, {Leaving: []int{-1}}} {
			_, ok := editBackends(newReplicas(3), &edit)
			assert.True(t, !ok, "edit %+v accepted", edit)
		}
		s := new(State)
		commitList(t, newReplicas(3), s)
		commit(t, zinniapond.Command{Kind: zinniapond.CommandBackendsEdit}, s)
		assert.Equal(t, s.View().Backends, newReplicas(3))
	})
	t.Run("guards against a host that starts from a snapshot and cannot apply the next edit", func(t *testing.T) {
		leader, late := new(State), new(State)
		commitList(t, newReplicas(3), leader)
		data, err := leader.Encode()
		assert.NoError(t, err)
		assert.NoError(t, late.Decode(data))
		commitList(t, newReplicas(2), leader, late)
		assert.Equal(t, late.View().Backends, newReplicas(2))
	})
}
