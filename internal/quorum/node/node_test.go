package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/state"
	"zinniapond.example/zinniapond/internal/quorum/raft"
	"zinniapond.example/zinniapond/internal/test/assert"
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

func TestCompact(t *testing.T) {
	t.Run("guards against a few large records that fill the disk before a snapshot is due by their number", func(t *testing.T) {
		now := time.Unix(1000, 0)
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
		for i := range 40 {
			n.Propose(now, zinniapond.Command{Kind: zinniapond.CommandRouting, Routing: &zinniapond.Routing{
				Version: uint64(i + 1), Source: make([]byte, 1<<20),
			}}, func(zinniapond.ProposeReply) {})
			applyAndSave(t, n, now)
		}
		assert.Equal(t, n.State.View().Routing.Version, uint64(40))
		assert.True(t, n.Core.Snapshot().Index > 20, "no snapshot after 40 MB, the last covers %d", n.Core.Snapshot().Index)
		assert.True(t, n.Core.CommittedEntries(2) == nil, "40 MB of records are in memory")
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
