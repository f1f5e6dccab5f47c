package prefix

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// openModel is a model of hosts that choose servers by late sums of loads and keep their
// connections for a while.
type openModel struct {
	hosts, servers, slots int
	callTime              time.Duration // on an idle server
	callsPerSecond        float64
	prompt, generated     zinniapond.Tokens
	knowsConnections      bool // the hosts know to which servers they have idle connections
}

// openResult is what a run of the model shows.
type openResult struct {
	calls, opened int
	busiest       int     // calls of the server with most calls
	peak          int     // most calls at one server at the same time
	overloaded    float64 // share of the calls that began at a server without a free slot
}

// run runs the model for a time.
func (m openModel) run(seed uint64, length time.Duration) (result openResult) {
	const (
		exchange = 200 * time.Millisecond
		idleTime = 4 * time.Second
		openTime = 2 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 2))
	centres := []zinniapond.DataCentre{"a", "b", "c"}
	var list []zinniapond.Backend
	for i := range m.servers {
		list = append(list, zinniapond.Backend{Address: address(i), DataCentre: centres[i%3], Slots: m.slots})
	}
	routers := make([]*Router, m.hosts)
	idle := make([]map[netip.AddrPort][]time.Time, m.hosts) // since when connections are idle
	for i := range routers {
		routers[i], idle[i] = &Router{Seed: random.Uint64()}, make(map[netip.AddrPort][]time.Time)
		routers[i].Update(startTime, list)
	}
	index := make(map[*Router]int)
	for i, r := range routers {
		index[r] = i
	}
	running, counts := make(map[netip.AddrPort]int), make(map[netip.AddrPort]int)
	var pending lateCalls
	now, nextExchange := startTime, startTime
	for i := 0; now.Sub(startTime) < length; i++ {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / m.callsPerSecond))
		for len(pending) > 0 && pending[0].at.Before(now) {
			e := heap.Pop(&pending).(lateCall)
			running[e.to]--
			idle[index[e.host]][e.to] = append(idle[index[e.host]][e.to], e.at)
			first := e.took / 10
			if m.generated == 0 {
				first = e.took
			}
			e.host.AttemptFinished(e.at, e.to, e.need, zinniapond.Observation{
				TimeToFirstByte: first, Duration: e.took, Usage: zinniapond.Usage{Prompt: e.need.PromptTokens, Generated: m.generated},
			})
		}
		for ; nextExchange.Before(now); nextExchange = nextExchange.Add(exchange) {
			for _, r := range routers {
				for a, n := range running {
					r.UpdateLoad(nextExchange, zinniapond.LoadReport{Backend: a, TakenAt: nextExchange, RunningCalls: n})
				}
			}
		}
		host := random.IntN(m.hosts)
		kept := idle[host]
		isUsable := func(since time.Time) bool { return now.Sub(since) < idleTime }
		id := fmt.Sprint(i)
		need := zinniapond.PickInfo{
			Call: zinniapond.CallID(id), Program: zinniapond.ProgramID(id), DataCentre: centres[host%3],
			PromptTokens: m.prompt, MaxGenerated: m.generated,
		}
		if m.knowsConnections {
			need.HasIdleConnection = func(a netip.AddrPort) bool {
				n := len(kept[a])
				return n > 0 && isUsable(kept[a][n-1])
			}
		}
		choice, _ := routers[host].Pick(now, need, allFree)
		to := choice.Backend
		routers[host].AttemptStarted(now, to, need)
		took := time.Duration(float64(m.callTime) * (0.5 + random.ExpFloat64()/2) * (1 + float64(running[to])/float64(m.slots)))
		kept[to] = slices.DeleteFunc(kept[to], func(since time.Time) bool { return !isUsable(since) })
		if n := len(kept[to]); n > 0 {
			kept[to] = kept[to][:n-1]
		} else {
			result.opened++
			took += openTime
		}
		if running[to] >= m.slots {
			result.overloaded++
		}
		running[to]++
		counts[to]++
		result.calls++
		result.peak, result.busiest = max(result.peak, running[to]), max(result.busiest, counts[to])
		heap.Push(&pending, lateCall{at: now.Add(took), host: routers[host], need: need, to: to, took: took})
	}
	result.overloaded /= float64(result.calls)
	return result
}

func (m openModel) sum(known bool) (sum openResult) {
	m.knowsConnections = known
	for seed := range uint64(2) {
		r := m.run(seed, 10*time.Second)
		sum.calls += r.calls
		sum.opened += r.opened
		sum.busiest += r.busiest
		sum.peak += r.peak
		sum.overloaded += r.overloaded
	}
	return sum
}

func TestOpenModel(t *testing.T) {
	for _, c := range []struct {
		name  string
		model openModel
		// maxOpened is between the connections that are opened with and without the cost
		// in the expected time, where these differ.
		maxOpened int
	}{
		{"a plain service", openModel{hosts: 51, servers: 14, slots: 8, callTime: 20 * time.Millisecond, callsPerSecond: 800}, 1100},
		{"short calls", openModel{hosts: 51, servers: 14, slots: 8, callTime: 4 * time.Millisecond, callsPerSecond: 800}, 710},
		{"a calm service", openModel{hosts: 51, servers: 14, slots: 8, callTime: 20 * time.Millisecond, callsPerSecond: 150}, 330},
		{"a large service", openModel{hosts: 51, servers: 48, slots: 8, callTime: 20 * time.Millisecond, callsPerSecond: 1200}, 2420},
		{"turns", openModel{hosts: 51, servers: 48, slots: 12, callTime: 200 * time.Millisecond, callsPerSecond: 950, prompt: 2000, generated: 250}, 5300},
	} {
		t.Run("guards against needless connections, and against a server that is overloaded for its connections, with "+c.name, func(t *testing.T) {
			unknown, known := c.model.sum(false), c.model.sum(true)
			t.Logf("without knowledge of connections: %+v; with it: %+v", unknown, known)
			assert.True(t, known.opened <= c.maxOpened, "%d connections opened", known.opened)
			assert.True(t, known.peak <= unknown.peak, "%d calls at one server, %d without knowledge of connections", known.peak, unknown.peak)
			assert.True(t, known.overloaded <= unknown.overloaded, "%f overloaded, %f without knowledge of connections", known.overloaded, unknown.overloaded)
		})
	}
}

func TestOpenCost(t *testing.T) {
	// pick chooses between a server with an idle connection and a call, and one that has neither.
	pick := func(t *testing.T, callTime time.Duration) zinniapond.Choice {
		t.Helper()
		r := newRouter(2)
		r.latency.prefillPerToken = float64(callTime) / promptOverhead
		need := zinniapond.PickInfo{Call: "c", HasIdleConnection: func(a netip.AddrPort) bool { return a == address(1) }}
		r.AttemptStarted(startTime, address(1), zinniapond.PickInfo{Call: "running"})
		c, ok := r.Pick(startTime, need, allFree)
		assert.True(t, ok, "no server chosen")
		return c
	}
	t.Run("guards against a connection that takes longer to open than the call beside another one", func(t *testing.T) {
		assert.Equal(t, pick(t, 10*time.Millisecond).Backend, address(1))
	})
	t.Run("guards against a long call beside another one to save a connection", func(t *testing.T) {
		c := pick(t, time.Second)
		assert.Equal(t, c.Backend, address(0))
		assert.Equal(t, c.ExpectedTime, time.Second+openCost)
	})
}
