package voter

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/state"
	"zinniapond.example/zinniapond/internal/quorum/lease"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// processor returns the processor time that this process has used.
func processor(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// observers runs hosts that only fetch. applied counts the records they apply.
func observers(c *cluster, n int, applied *atomic.Int64) (stop func()) {
	var group sync.WaitGroup
	done := make(chan struct{})
	for i := range n {
		name := zinniapond.HostName(fmt.Sprintf("o%d", i))
		group.Go(func() {
			h := lease.Holder{Host: name, Lease: c.settings.Control.Lease, Wait: c.settings.Control.Lease / 5, State: &state.State{}}
			for {
				select {
				case <-done:
					return
				default:
				}
				var reply zinniapond.FetchReply
				request, sent := h.Request(), time.Now()
				if err := (port{fabric: c.fabric, host: name}).call(c.settings.Control.Voters[0].Peers, "Control.Fetch", request, &reply); err != nil {
					return
				}
				if err := h.Take(sent, request, reply); err != nil {
					c.t.Error(err)
				}
				applied.Add(int64(h.State.View().Index - request.Applied))
			}
		})
	}
	return func() { close(done); group.Wait() }
}

// BenchmarkObservers measures what hosts that follow the log cost: for each
// change until all have applied it, and while nothing changes. The figures hold
// both sides, with encoding and without sockets.
func BenchmarkObservers(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			c := newCluster(b, 1)
			assert.Eventually(b, 10*time.Second, "a leader", func() bool { return c.working() })
			var applied atomic.Int64
			stop := observers(c, n, &applied)
			defer stop()
			w := c.hosts["v0"].watcher
			caught := func() bool { return applied.Load() >= int64(n)*int64(w.View().Index) }
			assert.Eventually(b, 10*time.Second, "all hosts caught up", caught)
			version, used := w.View().Lists.Version, processor(b)
			changes := 0
			for b.Loop() {
				r, err := w.Propose(b.Context(), time.Now(), listsCommand(version, fmt.Sprint(version), "x"))
				assert.NoError(b, err)
				version = r.Lists.Version
				for applied.Load() < int64(n)*int64(r.Index) {
					time.Sleep(50 * time.Microsecond)
				}
				changes++
			}
			b.ReportMetric(float64((processor(b)-used).Nanoseconds())/float64(changes*n), "cpu-ns/change/host")
			c.idle(b, n)
		})
	}
}

// idle measures the traffic of a few quiet seconds.
func (c *cluster) idle(b *testing.B, n int) {
	const span = 3 * time.Second
	count := func() int {
		c.fabric.mu.Lock()
		defer c.fabric.mu.Unlock()
		return c.fabric.bytes["Control.Fetch"]
	}
	before, used := count(), processor(b)
	time.Sleep(span)
	hosts := float64(n + 1) // and the voter's own watcher
	b.ReportMetric(float64(count()-before)/hosts/span.Seconds(), "idle-B/s/host")
	b.ReportMetric(float64((processor(b)-used).Microseconds())/hosts/span.Seconds(), "idle-cpu-us/s/host")
}
