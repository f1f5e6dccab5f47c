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

// processorTime returns the CPU time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startObservers runs n hosts that only fetch. applied counts the records that
// they apply.
func startObservers(c *cluster, n int, applied *atomic.Int64) (stop func()) {
	var group sync.WaitGroup
	done := make(chan struct{})
	for i := range n {
		name := zinniapond.HostName(fmt.Sprintf("o%d", i))
		group.Go(func() {
			h := lease.Holder{Host: name, LeaseDuration: c.settings.Control.LeaseDuration, FetchWait: c.settings.Control.LeaseDuration / 5, State: &state.State{}}
			for {
				select {
				case <-done:
					return
				default:
				}
				var reply zinniapond.FetchReply
				request, sent := h.NextRequest(), time.Now()
				if err := (peers{network: c.network, host: name}).call(c.settings.Control.Voters[0].PeersAddress, "Control.Fetch", request, &reply); err != nil {
					return
				}
				if err := h.ApplyReply(sent, request, reply); err != nil {
					c.t.Error(err)
				}
				applied.Add(int64(h.State.View().Index - request.AppliedIndex))
			}
		})
	}
	return func() { close(done); group.Wait() }
}

// BenchmarkObservers measures the cost of hosts that follow the log: the CPU time
// per change until all hosts have applied it, and the CPU time and traffic while
// nothing changes. The figures cover the voter and the hosts, with encoding but
// without sockets.
func BenchmarkObservers(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			c := newCluster(b, 1)
			assert.Eventually(b, 10*time.Second, "a leader", func() bool { return c.isWorking() })
			var applied atomic.Int64
			stop := startObservers(c, n, &applied)
			defer stop()
			w := c.hosts["v0"].watcher
			caughtUp := func() bool { return applied.Load() >= int64(n)*int64(w.View().Index) }
			assert.Eventually(b, 10*time.Second, "all hosts caught up", caughtUp)
			version, usedBefore := w.View().Lists.Version, processorTime(b)
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
			b.ReportMetric(float64((processorTime(b)-usedBefore).Nanoseconds())/float64(changes*n), "cpu-ns/change/host")
			c.measureIdle(b, n)
		})
	}
}

// measureIdle measures CPU time and traffic over 3 s without changes.
func (c *cluster) measureIdle(b *testing.B, n int) {
	const span = 3 * time.Second
	count := func() int {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		return c.network.bytes["Control.Fetch"]
	}
	before, usedBefore := count(), processorTime(b)
	time.Sleep(span)
	hosts := float64(n + 1) // plus the watcher on the voter's host
	b.ReportMetric(float64(count()-before)/hosts/span.Seconds(), "idle-B/s/host")
	b.ReportMetric(float64((processorTime(b)-usedBefore).Microseconds())/hosts/span.Seconds(), "idle-cpu-us/s/host")
}
