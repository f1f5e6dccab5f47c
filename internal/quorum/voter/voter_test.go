package voter

import (
	"context"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func listsCommand(expect zinniapond.Version, change, plans string) zinniapond.Command {
	return zinniapond.Command{
		Kind: zinniapond.CommandLists, Change: zinniapond.ChangeID(change), Expect: expect, Plans: plans,
	}
}

func TestQuorum(t *testing.T) {
	for _, n := range []int{1, 3} {
		c := newCluster(t, n)
		w := c.hosts["v0"].watcher
		t.Run("guards against a quorum that forms and assigns nothing", func(t *testing.T) {
			assert.Eventually(t, 10*time.Second, "all hosts fresh and all shards assigned", func() bool {
				for _, h := range c.hosts {
					if !h.watcher.Fresh(time.Now()) || len(h.watcher.View().Assignments) < 8 {
						return false
					}
				}
				return true
			})
		})
		t.Run("guards against a change that is accepted and not applied", func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			got, err := w.Propose(ctx, time.Now(), listsCommand(0, "a", "x"))
			assert.NoError(t, err)
			assert.Equal(t, got.Accepted, true)
			assert.Equal(t, got.Lists.Version, 1)
			assert.Eventually(t, time.Second, "the lists are applied here", func() bool { return w.View().Lists.Plans == "x" })
		})
	}
}
