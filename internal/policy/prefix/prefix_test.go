package prefix

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

func allFree(netip.AddrPort) bool { return true }

func newRouter(count int) *Router {
	r := &Router{Seed: 1}
	var servers []zinniapond.Backend
	for i := range count {
		servers = append(servers, zinniapond.Backend{Address: address(i), DataCentre: zinniapond.DataCentre([]string{"a", "b", "c"}[i%3])})
	}
	r.Update(startTime, servers)
	return r
}

func newNeed(i int) zinniapond.PickInfo {
	id := fmt.Sprint(i)
	return zinniapond.PickInfo{
		Call: zinniapond.CallID(id), Program: zinniapond.ProgramID(id), PromptTokens: 1024, MaxGenerated: 100,
		PrefixHashes: []uint64{uint64(i)*10 + 1, uint64(i)*10 + 2, uint64(i)*10 + 3, uint64(i)*10 + 4},
	}
}

// pickAndStart chooses a server for a call and starts the call there.
func pickAndStart(t assert.TB, r *Router, now time.Time, need zinniapond.PickInfo) zinniapond.Choice {
	c, ok := r.Pick(now, need, allFree)
	assert.True(t, ok, "no server chosen")
	r.AttemptStarted(now, c.Backend, need)
	return c
}

// runCall runs a call that takes the given multiple of its normal time.
func runCall(t assert.TB, r *Router, now time.Time, need zinniapond.PickInfo, factor func(netip.AddrPort) float64) netip.AddrPort {
	c := pickAndStart(t, r, now, need)
	f := factor(c.Backend)
	r.AttemptFinished(now.Add(time.Duration(f*float64(2*time.Second))), c.Backend, need, zinniapond.Observation{
		TimeToFirstByte: time.Duration(f * float64(200*time.Millisecond)), Duration: time.Duration(f * float64(2*time.Second)),
		Usage: zinniapond.Usage{Prompt: need.PromptTokens, Cached: c.CachedTokens, Generated: need.MaxGenerated},
	})
	return c.Backend
}

func normalSpeed(netip.AddrPort) float64 { return 1 }

func TestAffinity(t *testing.T) {
	r := newRouter(12)
	for i := range 50 {
		runCall(t, r, startTime, newNeed(i), normalSpeed)
	}
	need := newNeed(100)
	home := runCall(t, r, startTime, need, normalSpeed)
	need.Call, need.PromptTokens = "again", 1280
	need.PrefixHashes = append(need.PrefixHashes, 1005)
	t.Run("guards against sending a conversation to a server that was started again without its cache", func(t *testing.T) {
		r := newRouter(12)
		for i := range 50 {
			runCall(t, r, startTime, newNeed(i), normalSpeed)
		}
		need := newNeed(100)
		home := runCall(t, r, startTime, need, normalSpeed)
		need.Call = "again"
		c, _ := r.Pick(startTime, need, allFree)
		assert.True(t, c.Backend == home && c.CachedTokens > 0, "the conversation does not return to its server")
		var servers []zinniapond.Backend
		for i := range 12 {
			servers = append(servers, zinniapond.Backend{Address: address(i), ID: "next"})
		}
		r.Update(startTime, servers)
		c, _ = r.Pick(startTime, need, allFree)
		assert.Equal(t, c.CachedTokens, 0)
	})
	t.Run("guards against leaving the server with the cache", func(t *testing.T) {
		c, _ := r.Pick(startTime, need, allFree)
		assert.True(t, c.Backend == home, "chose %s, cache is at %s", c.Backend, home)
		assert.Equal(t, c.CachedTokens, 1024)
	})
	t.Run("guards against a server that this call has tried", func(t *testing.T) {
		retried := need
		retried.Exclude = []netip.AddrPort{home}
		c, _ := r.Pick(startTime, retried, allFree)
		assert.True(t, c.Backend != home, "chose the excluded server")
	})
	t.Run("guards against herding onto one cache", func(t *testing.T) {
		count := 0
		for i := range 60 {
			n := need
			n.Call = zinniapond.CallID(fmt.Sprint("herd-", i))
			if pickAndStart(t, r, startTime, n).Backend == home {
				count++
			}
			defer r.AttemptFinished(startTime, home, n, zinniapond.Observation{Cancelled: true})
		}
		assert.True(t, float64(count) <= loadBoundRatio*60/12+loadBoundSlack+1, "%d of 60 calls at one server", count)
	})
	t.Run("guards against trusting the cache after lost events", func(t *testing.T) {
		r.ApplyCacheEvent(startTime, zinniapond.CacheEvent{Backend: home, Sequence: 1, Block: 5})
		r.ApplyCacheEvent(startTime, zinniapond.CacheEvent{Backend: home, Sequence: 3, Block: 6})
		c, _ := r.Pick(startTime, need, allFree)
		assert.True(t, c.Backend != home || c.CachedTokens == 0, "still expects %d tokens", c.CachedTokens)
	})
}

func TestLargePool(t *testing.T) {
	t.Run("guards against not finding the only free server of a large pool", func(t *testing.T) {
		r := newRouter(600)
		for i := range 20 {
			only := address(i * 29)
			c, ok := r.Pick(startTime, newNeed(i), func(a netip.AddrPort) bool { return a == only })
			assert.True(t, ok, "no server chosen")
			assert.Equal(t, c.Backend, only)
		}
	})
}

func TestExpectedTime(t *testing.T) {
	t.Run("guards against expecting the time of an idle server on one with a queue or a slow one", func(t *testing.T) {
		r := newRouter(1)
		for i := range 200 {
			runCall(t, r, startTime, newNeed(i), normalSpeed)
		}
		idle := pickAndStart(t, r, startTime, newNeed(1000)).ExpectedTime
		assert.True(t, idle > time.Second && idle < 4*time.Second, "expects %s", idle)
		for i := range 2 * defaultSlots {
			pickAndStart(t, r, startTime, newNeed(2000+i))
		}
		queued := pickAndStart(t, r, startTime, newNeed(3000)).ExpectedTime
		assert.True(t, queued > 2*idle, "expects %s with a queue, %s without", queued, idle)
		slow := newRouter(1)
		for i := range 200 {
			runCall(t, slow, startTime, newNeed(i), normalSpeed)
		}
		for i := range 4 {
			runCall(t, slow, startTime, newNeed(500+i), func(netip.AddrPort) float64 { return 5 })
		}
		got := pickAndStart(t, slow, startTime, newNeed(1000)).ExpectedTime
		assert.True(t, got > 2*idle, "expects %s on a slow server, %s on a fast one", got, idle)
	})
}

func TestSlow(t *testing.T) {
	slow := func(count int) func(netip.AddrPort) float64 {
		return func(a netip.AddrPort) float64 {
			for i := range count {
				if a == address(i) {
					return 10
				}
			}
			return 1
		}
	}
	runCalls := func(t *testing.T, r *Router, from time.Time, calls int, factor func(netip.AddrPort) float64) map[netip.AddrPort]int {
		t.Helper()
		counts := map[netip.AddrPort]int{}
		for i := range calls {
			now := from.Add(time.Duration(i) * 100 * time.Millisecond)
			counts[runCall(t, r, now, newNeed(int(now.Sub(startTime)/time.Millisecond)), factor)]++
		}
		return counts
	}
	t.Run("guards against a slowed server that keeps its work", func(t *testing.T) {
		r := newRouter(12)
		runCalls(t, r, startTime, 200, normalSpeed)
		counts := runCalls(t, r, startTime.Add(time.Minute), 600, slow(1))
		assert.True(t, counts[address(0)] > 0 && counts[address(0)] <= 12, "%d of 600 calls at the slow server", counts[address(0)])
		counts = runCalls(t, r, startTime.Add(4*time.Minute), 600, normalSpeed)
		assert.True(t, counts[address(0)] > 20, "%d of 600 calls after its recovery", counts[address(0)])
	})
	t.Run("guards against ejecting more than a third", func(t *testing.T) {
		r := newRouter(12)
		runCalls(t, r, startTime, 200, normalSpeed)
		runCalls(t, r, startTime.Add(time.Minute), 600, slow(8))
		candidates := r.gatherCandidates(startTime.Add(3*time.Minute), newNeed(1), *r.eligible.Load(), allFree, 0, nil)
		markEjected(candidates)
		ejected := 0
		for _, o := range candidates {
			if o.ejected {
				ejected++
			}
		}
		assert.True(t, ejected <= 4, "%d of 12 ejected", ejected)
	})
	t.Run("guards against waiting for an answer that does not come", func(t *testing.T) {
		r := newRouter(12)
		runCalls(t, r, startTime, 200, normalSpeed)
		n := newNeed(1_000_000)
		hung := pickAndStart(t, r, startTime, n).Backend
		counts := runCalls(t, r, startTime.Add(time.Minute), 200, normalSpeed)
		assert.True(t, counts[hung] == 0, "%d calls at a server that does not answer", counts[hung])
	})
	t.Run("guards against work for a server that leaves", func(t *testing.T) {
		r := newRouter(3)
		r.Update(startTime, []zinniapond.Backend{{Address: address(1)}})
		counts := runCalls(t, r, startTime, 20, normalSpeed)
		assert.Equal(t, counts[address(1)], 20)
	})
}

func TestReserve(t *testing.T) {
	r := newRouter(12)
	oneFree := func(a netip.AddrPort) bool { return a == address(3) }
	n := newNeed(1)
	t.Run("guards against long calls on the last free server", func(t *testing.T) {
		n.Class = zinniapond.ClassStandard
		_, ok := r.Pick(startTime, n, oneFree)
		assert.True(t, !ok, "a standard call took the last free server")
	})
	t.Run("guards against a reserve that nobody may use", func(t *testing.T) {
		n.Class = zinniapond.ClassInteractive
		c, ok := r.Pick(startTime, n, oneFree)
		assert.True(t, ok && c.Backend == address(3), "the first class got no place")
	})
	t.Run("guards against a small pool reserved as a whole", func(t *testing.T) {
		n.Class = zinniapond.ClassBatch
		_, ok := newRouter(1).Pick(startTime, n, allFree)
		assert.True(t, ok, "the only server is reserved")
	})
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{12, 60, 600} {
		b.Run(fmt.Sprint("servers=", count), func(b *testing.B) {
			r := newRouter(count)
			needs := make([]zinniapond.PickInfo, 1024)
			for i := range needs {
				needs[i] = newNeed(i)
				runCall(b, r, startTime, needs[i], normalSpeed)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if _, ok := r.Pick(startTime, needs[i%1024], allFree); !ok {
					b.Fatal("no server chosen")
				}
			}
		})
	}
}

func TestHome(t *testing.T) {
	at := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
	}
	newRouter := func() *Router {
		r := &Router{Seed: 7}
		var list []zinniapond.Backend
		for i := range 40 {
			list = append(list, zinniapond.Backend{Address: at(i), Slots: 16})
		}
		r.Update(time.Unix(1000, 0), list)
		r.latency.observe(zinniapond.Observation{
			TimeToFirstByte: 20 * time.Millisecond, Duration: 300 * time.Millisecond, Usage: zinniapond.Usage{Prompt: 2000, Generated: 250},
		}, 500)
		return r
	}
	all := func(netip.AddrPort) bool { return true }
	need := zinniapond.PickInfo{Call: "c", PromptTokens: 18000, MaxGenerated: 500, PrefixBackend: at(33), PrefixTokens: 16000}
	t.Run("guards against prefilling a conversation again that another host sent to a server", func(t *testing.T) {
		choice, ok := newRouter().Pick(time.Unix(1001, 0), need, all)
		assert.True(t, ok, "no choice")
		assert.Equal(t, choice.Backend, at(33))
		assert.Equal(t, choice.CachedTokens, zinniapond.Tokens(16000))
	})
	t.Run("guards against queueing at the server that has the conversation cached while others are free", func(t *testing.T) {
		r := newRouter()
		r.UpdateLoad(time.Unix(1001, 0), zinniapond.LoadReport{Backend: at(33), TakenAt: time.Unix(1001, 0), RunningCalls: 60})
		choice, ok := r.Pick(time.Unix(1001, 0), need, all)
		assert.True(t, ok, "no choice")
		assert.True(t, choice.Backend != at(33), "the call waits behind 60 others")
	})
	t.Run("guards against a new connection to one of several equal servers", func(t *testing.T) {
		r := newRouter()
		tool := zinniapond.PickInfo{Call: "tool", HasIdleConnection: func(a netip.AddrPort) bool { return a == at(5) }}
		for i := range 20 {
			tool.Call = zinniapond.CallID(fmt.Sprint("tool", i))
			if choice, ok := r.Pick(time.Unix(1001, 0), tool, all); ok && choice.Backend == at(5) {
				return
			}
		}
		t.Error("the server with an open connection is never taken")
	})
	t.Run("guards against calls of a plain service that wait beside an idle server", func(t *testing.T) {
		r := newRouter()
		for i := range 40 {
			if i != 9 {
				r.UpdateLoad(time.Unix(1001, 0), zinniapond.LoadReport{Backend: at(i), TakenAt: time.Unix(1001, 0), RunningCalls: 8})
			}
		}
		for i := range 40 {
			choice, _ := r.Pick(time.Unix(1001, 0), zinniapond.PickInfo{Call: zinniapond.CallID(fmt.Sprint(i))}, all)
			// Large pools are sampled.
			if choice.Backend == at(9) {
				return
			}
		}
		t.Error("the idle server is never taken")
	})
}
