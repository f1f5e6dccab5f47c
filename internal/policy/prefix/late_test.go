package prefix

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// lateCall is a running call of the model.
type lateCall struct {
	at   time.Time
	host *Router
	need zinniapond.PickInfo
	to   netip.AddrPort
	took time.Duration
}

type lateCalls []lateCall

func (e lateCalls) Len() int           { return len(e) }
func (e lateCalls) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e lateCalls) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *lateCalls) Push(x any)        { *e = append(*e, x.(lateCall)) }
func (e *lateCalls) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// TestLateSums replays many hosts that choose servers by sums of loads that are late. If
// all of them take the servers with the least load at the last exchange, these are
// overloaded until the next one while others are idle.
func TestLateSums(t *testing.T) {
	const (
		hosts, servers, slots = 51, 48, 12
		prefixes              = 6
		exchange              = 200 * time.Millisecond
		callTime              = 250 * time.Millisecond // on an idle server
		callsPerSecond        = 950                    // two thirds of the slots
		// maxOverloaded is an eighth: one turn of a program of eight may wait.
		maxOverloaded = 0.125
		length        = 6 * time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	var list []zinniapond.Backend
	for i := range servers {
		list = append(list, zinniapond.Backend{Address: address(i), DataCentre: zinniapond.DataCentre([]string{"a", "b", "c"}[i%3]), Slots: slots})
	}
	var routers []*Router
	for range hosts {
		r := &Router{Seed: random.Uint64()}
		r.Update(startTime, list)
		routers = append(routers, r)
	}
	running := make(map[netip.AddrPort]int)
	var pending lateCalls
	overloaded, calls := 0, 0
	now, nextExchange := startTime, startTime
	for i := 0; now.Sub(startTime) < length; i++ {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / callsPerSecond))
		for len(pending) > 0 && pending[0].at.Before(now) {
			e := heap.Pop(&pending).(lateCall)
			running[e.to]--
			e.host.AttemptFinished(e.at, e.to, e.need, zinniapond.Observation{
				TimeToFirstByte: e.took / 10, Duration: e.took, Usage: zinniapond.Usage{Prompt: e.need.PromptTokens, Cached: e.need.SharedTokens, Generated: 250},
			})
		}
		for ; nextExchange.Before(now); nextExchange = nextExchange.Add(exchange) {
			for _, r := range routers {
				for a, n := range running {
					r.UpdateLoad(nextExchange, zinniapond.LoadReport{Backend: a, TakenAt: nextExchange, RunningCalls: n})
				}
			}
		}
		host := i % hosts
		shared := uint64(random.IntN(prefixes) + 1)
		id := fmt.Sprint(i)
		need := zinniapond.PickInfo{
			Call: zinniapond.CallID(id), Program: zinniapond.ProgramID(id), DataCentre: zinniapond.DataCentre([]string{"a", "b", "c"}[host%3]),
			PromptTokens: 13_000, MaxGenerated: 250, SharedTokens: 12_600, PrefixHashes: []uint64{shared * 1000, uint64(1_000_000 + i)},
		}
		c := pickAndStart(t, routers[host], now, need)
		running[c.Backend]++
		// Each running call slows the others by one slot's share.
		took := time.Duration(float64(callTime) * (1 + float64(running[c.Backend])/slots))
		heap.Push(&pending, lateCall{now.Add(took), routers[host], need, c.Backend, took})
		if now.Sub(startTime) > time.Second {
			calls++
			if running[c.Backend] > slots {
				overloaded++
			}
		}
	}
	t.Run("guards against hosts that overload servers together while others have room", func(t *testing.T) {
		assert.True(t, float64(overloaded) < maxOverloaded*float64(calls), "%d of %d calls came to servers without a free slot", overloaded, calls)
	})
}
