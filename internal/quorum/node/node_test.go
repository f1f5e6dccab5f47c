package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/state"
	"zinniapond.example/zinniapond/internal/quorum/lease"
	"zinniapond.example/zinniapond/internal/quorum/raft"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

func newNode(t *testing.T, now time.Time) *Node {
	t.Helper()
	voters := []zinniapond.VoterKey{{Name: "a", Disk: "first"}, {Name: "b", Disk: "first"}, {Name: "c", Disk: "first"}}
	n := &Node{
		Core: &raft.Core{
			Self: voters[0], Peers: []zinniapond.HostName{"b", "c"}, LeaderTimeout: time.Second, ElectionDelay: time.Second,
			QuorumTimeout: time.Second, FetchWait: time.Second, Random: rand.New(rand.NewPCG(1, 1)),
		},
		State: new(state.State), SnapshotRecords: 100,
	}
	assert.NoError(t, n.Start(now, zinniapond.LogChange{Snapshot: &zinniapond.Snapshot{Voters: voters}}))
	return n
}

// applyAndSave calls ApplyChanges, saves the changes, and reports whether
// ApplyChanges asked to wake the voters' fetches.
func applyAndSave(t *testing.T, n *Node, now time.Time) bool {
	t.Helper()
	changed, _, err := n.ApplyChanges(now)
	assert.NoError(t, err)
	if change, dirty := n.Core.UnsavedChange(); dirty {
		n.MarkSaved(now, change)
		_, _, err = n.ApplyChanges(now)
		assert.NoError(t, err)
	}
	return changed
}

// newSingleNode returns a node that is the only voter and the leader.
func newSingleNode(t *testing.T, now time.Time) (*Node, time.Time) {
	t.Helper()
	self := zinniapond.VoterKey{Name: "a", Disk: "first"}
	n := &Node{
		Core: &raft.Core{
			Self: self, LeaderTimeout: time.Second, ElectionDelay: time.Second, QuorumTimeout: time.Second, FetchWait: time.Second,
			Random: rand.New(rand.NewPCG(1, 1)),
		},
		State: new(state.State), SnapshotRecords: 1000,
	}
	assert.NoError(t, n.Start(now, zinniapond.LogChange{Snapshot: &zinniapond.Snapshot{Voters: []zinniapond.VoterKey{self}}}))
	now = n.Core.NextDeadline(now)
	n.Core.Tick(now)
	applyAndSave(t, n, now)
	applyAndSave(t, n, now)
	return n, now
}

// proposeRouting puts a configuration of the given size in force, whose document cannot be
// compressed.
func proposeRouting(t *testing.T, n *Node, now time.Time, version, size int) {
	t.Helper()
	source := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{byte(version)}).Read(source) // never fails
	n.Propose(now, zinniapond.Command{Kind: zinniapond.CommandRouting, Routing: &zinniapond.Routing{
		Version: uint64(version), Source: source,
	}}, func(zinniapond.ProposeReply) {})
	applyAndSave(t, n, now)
}

func TestCompact(t *testing.T) {
	t.Run("guards against a few large records that fill the disk before a snapshot is due by their number", func(t *testing.T) {
		n, now := newSingleNode(t, time.Unix(1000, 0))
		for i := range 40 {
			proposeRouting(t, n, now, i+1, 1<<20)
		}
		assert.Equal(t, n.State.View().Routing.Version, uint64(40))
		assert.True(t, n.Core.Snapshot().Index > 20, "no snapshot after 40 MB, the last covers %d", n.Core.Snapshot().Index)
		assert.True(t, n.Core.CommittedEntries(2) == nil, "40 MB of records are in memory")
	})
	t.Run("guards against sending a host that starts all configurations of the past", func(t *testing.T) {
		n, now := newSingleNode(t, time.Unix(1000, 0))
		const size, count = 40_000, 60
		for i := range count {
			proposeRouting(t, n, now, i+1, size)
		}
		h := lease.Holder{Host: "front", LeaseDuration: time.Second, State: new(state.State)}
		bytes := 0
		for fetches := 0; !h.HasCaughtUp(); fetches++ {
			assert.True(t, fetches < 10, "not caught up after %d fetches", fetches)
			request := h.NextRequest()
			reply, _, err := n.HandleFetch(now, now, request)
			assert.NoError(t, err)
			data, err := codec.Marshal(reply)
			assert.NoError(t, err)
			bytes += len(data)
			assert.NoError(t, h.ApplyReply(now, request, reply))
		}
		assert.Equal(t, h.State.View().Routing.Version, uint64(count))
		assert.True(t, bytes <= 5*size, "%d bytes for a configuration of %d", bytes, size)
	})
}

func TestSettle(t *testing.T) {
	t.Run("guards against a candidate that never fetches again after a lost election", func(t *testing.T) {
		now := time.Unix(1000, 0)
		n := newNode(t, now)
		applyAndSave(t, n, now)
		now = n.Core.NextDeadline(now)
		n.Core.Tick(now)
		applyAndSave(t, n, now)
		for name, ballot := range n.Core.TakeVoteRequests() {
			n.Core.HandleVoteReply(now, name, ballot, zinniapond.VoteReply{Granted: true})
		}
		applyAndSave(t, n, now)
		_, _, fetches := n.Core.NextFetch()
		assert.True(t, !fetches, "a candidate fetches")
		now = n.Core.NextDeadline(now)
		n.Core.Tick(now)
		assert.True(t, applyAndSave(t, n, now), "the voters' fetches are not woken")
		_, _, fetches = n.Core.NextFetch()
		assert.True(t, fetches, "there is nothing to fetch")
	})
}
