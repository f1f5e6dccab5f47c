package voter

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listsCommand(expect zinniapond.Version, change, plans string) zinniapond.Command {
	return zinniapond.Command{
		Kind: zinniapond.CommandLists, ChangeID: zinniapond.ChangeID(change), ExpectedVersion: expect, Plans: plans,
	}
}

// isWorking reports whether all hosts are fresh and all shards are assigned.
func (c *cluster) isWorking() bool {
	for _, h := range c.hosts {
		if !h.watcher.LeaseValid(time.Now()) || len(h.watcher.View().Assignments) < c.settings.Control.Shards {
			return false
		}
	}
	return true
}

// isVoterWithPresentDisk reports whether a voter's present disk is one of the three
// in the voter set, according to the voter's own log.
func (c *cluster) isVoterWithPresentDisk(name zinniapond.HostName) bool {
	v := c.hosts[name].voter
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.node != nil && slices.Contains(v.node.Core.Voters(), v.node.Core.Self) && len(v.node.Core.Voters()) == 3
}

// operation is a change of the lists for porcupine; the model's state is the
// version of the lists.
type operation struct{ expect zinniapond.Version }

var versionModel = porcupine.Model{
	Init: func() any { return zinniapond.Version(0) },
	Step: func(state, input, output any) (bool, any) {
		version, in, out := state.(zinniapond.Version), input.(operation), output.(zinniapond.CommandResult)
		if out.Accepted {
			return in.expect == version && out.Lists.Version == version+1, version + 1
		}
		return out.Conflict && in.expect != version && out.Lists.Version == version, version
	},
}

// submitChanges changes the lists through all hosts concurrently until the channel
// is closed, and returns the operations with their results.
func (c *cluster) submitChanges(stop <-chan struct{}) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for name, h := range c.hosts {
		group.Go(func() {
			var seenVersion zinniapond.Version
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				calledAt := time.Now()
				command := listsCommand(seenVersion, fmt.Sprintf("%s-%d", name, n), "x")
				result, err := h.watcher.Propose(c.t.Context(), calledAt, command)
				if err != nil {
					c.t.Errorf("propose: %v", err)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: slices.IndexFunc(c.settings.Control.Voters, func(v zinniapond.Voter) bool { return v.Name == name }), Input: operation{seenVersion}, Call: calledAt.UnixNano(), Output: result, Return: time.Now().UnixNano(),
				})
				mu.Unlock()
				seenVersion = result.Lists.Version
			}
		})
	}
	group.Wait()
	return history
}

func TestQuorum(t *testing.T) {
	c := newCluster(t, 3)
	t.Run("guards against a quorum that forms and assigns nothing", func(t *testing.T) {
		assert.Eventually(t, 10*time.Second, "all hosts fresh, all shards assigned", c.isWorking)
	})
	first := c.findLeader()
	t.Run("guards against lost or duplicate changes, and stale hosts, after the leader crashes", func(t *testing.T) {
		done, stop := make(chan []porcupine.Operation, 1), make(chan struct{})
		go func() { done <- c.submitChanges(stop) }()
		time.Sleep(200 * time.Millisecond)
		killedAt := time.Now()
		c.hosts[first].stopVoter()
		assert.Eventually(t, 3*time.Second, "another leader", func() bool {
			assert.True(t, c.isWorking(), "a host is not fresh %s after the leader crashed", time.Since(killedAt))
			return c.findLeader() != ""
		})
		t.Logf("%s without a leader", time.Since(killedAt))
		time.Sleep(200 * time.Millisecond)
		close(stop)
		history := <-done
		t.Logf("%d changes", len(history))
		assert.Equal(t, porcupine.CheckOperations(versionModel, history), true)
	})
	t.Run("guards against an empty disk that votes at once, and a voter that never votes again", func(t *testing.T) {
		c.startVoter(first, c.t.TempDir()) // its settings still say bootstrap
		assert.Eventually(t, 10*time.Second, "the new disk votes", func() bool { return c.isVoterWithPresentDisk(first) })
		disk := c.hosts[first].voter.log.DiskID()
		assert.True(t, disk != firstDisk, "the empty disk took the identity of the lost one")
	})
	t.Run("guards against a damaged log that is used or ends the voter", func(t *testing.T) {
		leader := c.findLeader()
		position := slices.IndexFunc(c.settings.Control.Voters, func(v zinniapond.Voter) bool { return v.Name != leader })
		follower := c.settings.Control.Voters[position].Name
		h := c.hosts[follower]
		h.stopVoter()
		assert.NoError(t, os.Truncate(filepath.Join(h.data, "control", "control.bolt"), 5000))
		c.startVoter(follower, h.data)
		assert.Eventually(t, 10*time.Second, "the new disk votes", func() bool { return c.isVoterWithPresentDisk(follower) })
	})
	t.Run("guards against a partitioned leader that commits changes", func(t *testing.T) {
		leader := c.findLeader()
		c.network.mu.Lock()
		c.network.partitioned[leader] = true
		c.network.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.hosts[leader].watcher.Propose(ctx, time.Now(), listsCommand(0, "cut", "x"))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		c.network.mu.Lock()
		delete(c.network.partitioned, leader)
		c.network.mu.Unlock()
	})
}

func TestRestart(t *testing.T) {
	c := newCluster(t, 1)
	h := c.hosts["v0"]
	t.Run("guards against a restart that replays all changes or loses one", func(t *testing.T) {
		var version zinniapond.Version
		for n := range 1000 {
			r, err := h.watcher.Propose(t.Context(), time.Now(), listsCommand(version, fmt.Sprint(n), fmt.Sprint(n)))
			assert.NoError(t, err)
			version = r.Lists.Version
		}
		h.stopVoter()
		c.startVoter("v0", h.data)
		assert.Eventually(t, 5*time.Second, "a leader", func() bool { return c.findLeader() != "" })
		h.voter.mu.Lock()
		defer h.voter.mu.Unlock()
		assert.Equal(t, h.voter.node.State.View().Lists.Version, 1000)
		replayed := h.voter.node.State.View().Index - h.voter.node.Core.Snapshot().Index
		assert.True(t, replayed <= 512+2, "%d records replayed", replayed)
		t.Logf("%d records replayed of %d", replayed, h.voter.node.State.View().Index)
	})
}
