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
		Kind: zinniapond.CommandLists, Change: zinniapond.ChangeID(change), Expect: expect, Plans: plans,
	}
}

// working tells whether all hosts are fresh and all shards have an owner.
func (c *cluster) working() bool {
	for _, h := range c.hosts {
		if !h.watcher.Fresh(time.Now()) || len(h.watcher.View().Assignments) < c.settings.Control.Shards {
			return false
		}
	}
	return true
}

// seated tells whether a voter votes with its present disk, as its log has it.
func (c *cluster) seated(name zinniapond.HostName) bool {
	v := c.hosts[name].voter
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.node != nil && slices.Contains(v.node.Core.Voters(), v.node.Core.Self) && len(v.node.Core.Voters()) == 3
}

// operation is a change of the lists for porcupine; the state is a version.
type operation struct{ expect zinniapond.Version }

var versions = porcupine.Model{
	Init: func() any { return zinniapond.Version(0) },
	Step: func(state, input, output any) (bool, any) {
		version, in, out := state.(zinniapond.Version), input.(operation), output.(zinniapond.CommandResult)
		if out.Accepted {
			return in.expect == version && out.Lists.Version == version+1, version + 1
		}
		return out.Conflict && in.expect != version && out.Lists.Version == version, version
	},
}

// operate lets operators change the lists through all hosts at once until the
// channel is closed.
func (c *cluster) operate(stop <-chan struct{}) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for name, h := range c.hosts {
		group.Go(func() {
			var seen zinniapond.Version
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				called := time.Now()
				command := listsCommand(seen, fmt.Sprintf("%s-%d", name, n), "x")
				result, err := h.watcher.Propose(c.t.Context(), called, command)
				if err != nil {
					c.t.Errorf("propose: %v", err)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: slices.IndexFunc(c.settings.Control.Voters, func(v zinniapond.Voter) bool { return v.Name == name }), Input: operation{seen}, Call: called.UnixNano(), Output: result, Return: time.Now().UnixNano(),
				})
				mu.Unlock()
				seen = result.Lists.Version
			}
		})
	}
	group.Wait()
	return history
}

func TestQuorum(t *testing.T) {
	c := newCluster(t, 3)
	t.Run("guards against a quorum that forms and assigns nothing", func(t *testing.T) {
		assert.Eventually(t, 10*time.Second, "all hosts fresh, all shards assigned", c.working)
	})
	first := c.leader()
	t.Run("guards against lost or doubled changes, and stale hosts, when the leader dies", func(t *testing.T) {
		done, stop := make(chan []porcupine.Operation, 1), make(chan struct{})
		go func() { done <- c.operate(stop) }()
		time.Sleep(200 * time.Millisecond)
		killed := time.Now()
		c.hosts[first].crash()
		assert.Eventually(t, 3*time.Second, "another leader", func() bool {
			assert.True(t, c.working(), "a host is not fresh %s after the leader died", time.Since(killed))
			return c.leader() != ""
		})
		t.Logf("%s without a leader", time.Since(killed))
		time.Sleep(200 * time.Millisecond)
		close(stop)
		history := <-done
		t.Logf("%d changes", len(history))
		assert.Equal(t, porcupine.CheckOperations(versions, history), true)
	})
	t.Run("guards against a lost disk that votes, and a voter that never comes back", func(t *testing.T) {
		c.vote(first, c.t.TempDir()) // its settings still say bootstrap
		assert.Eventually(t, 10*time.Second, "the new disk votes", func() bool { return c.seated(first) })
		disk := c.hosts[first].voter.log.Disk()
		assert.True(t, disk != firstDisk, "the empty disk took the identity of the lost one")
	})
	t.Run("guards against a damaged log that is used or stops the voter", func(t *testing.T) {
		leader := c.leader()
		at := slices.IndexFunc(c.settings.Control.Voters, func(v zinniapond.Voter) bool { return v.Name != leader })
		follower := c.settings.Control.Voters[at].Name
		h := c.hosts[follower]
		h.crash()
		assert.NoError(t, os.Truncate(filepath.Join(h.data, "control", "control.bolt"), 5000))
		c.vote(follower, h.data)
		assert.Eventually(t, 10*time.Second, "the new disk votes", func() bool { return c.seated(follower) })
	})
	t.Run("guards against a voter that takes part with others cut off", func(t *testing.T) {
		leader := c.leader()
		c.fabric.mu.Lock()
		c.fabric.cut[leader] = true
		c.fabric.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.hosts[leader].watcher.Propose(ctx, time.Now(), listsCommand(0, "cut", "x"))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		c.fabric.mu.Lock()
		delete(c.fabric.cut, leader)
		c.fabric.mu.Unlock()
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
		h.crash()
		c.vote("v0", h.data)
		assert.Eventually(t, 5*time.Second, "a leader", func() bool { return c.leader() != "" })
		h.voter.mu.Lock()
		defer h.voter.mu.Unlock()
		assert.Equal(t, h.voter.node.State.View().Lists.Version, 1000)
		replayed := h.voter.node.State.View().Index - h.voter.node.Core.Snapshot().Index
		assert.True(t, replayed <= 512+2, "%d records replayed", replayed)
		t.Logf("%d records replayed of %d", replayed, h.voter.node.State.View().Index)
	})
}
