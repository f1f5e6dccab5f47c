package volume

import (
	"context"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// maxPause is the longest time from the loss of the leader until another one has
// acknowledged a configuration.
const maxPause = 1500 * time.Millisecond

// pause cuts the power of the leader and returns the time until a configuration that a
// surviving control host gets after the given delay is acknowledged.
func (c *cluster) pause(version zinniapond.Version, delay time.Duration) time.Duration {
	c.t.Helper()
	leader := c.leader()
	c.network.setSilent(leader.address, true)
	start := time.Now()
	time.Sleep(delay)
	acknowledged := make(chan time.Duration, controlHosts)
	for _, h := range c.control {
		if h == leader {
			continue
		}
		c.run(func(ctx context.Context) error {
			routing := &zinniapond.Routing{Version: uint64(version), Source: []byte("{}")}
			result, err := h.watcher.Propose(ctx, time.Now(), zinniapond.Command{Kind: zinniapond.CommandRouting, Routing: routing})
			if err == nil && !result.Accepted {
				c.t.Logf("refused: %s", result.Reason)
			}
			acknowledged <- time.Since(start)
			return err
		})
	}
	last := time.Duration(0)
	for range controlHosts - 1 {
		last = max(last, <-acknowledged)
	}
	c.network.setSilent(leader.address, false)
	return last
}

func TestKill(t *testing.T) {
	t.Run("guards against a configuration that waits for a leader that has lost power", func(t *testing.T) {
		withCluster(t, 10, 16, func(c *cluster) {
			for i := range 10 {
				delay := time.Duration(i) * 100 * time.Millisecond
				time.Sleep(5 * time.Second)
				took := c.pause(zinniapond.Version(i+1), delay)
				t.Logf("sent after %s, acknowledged after %s", delay, took)
				assert.True(t, took < maxPause, "acknowledged after %s", took)
			}
		})
	})
}
