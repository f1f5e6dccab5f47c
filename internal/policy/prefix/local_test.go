package prefix

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// TestLocal replays conversations that share a few long prefixes, which arrive at many
// hosts in four data centres before a pool of 48 servers.
func TestLocal(t *testing.T) {
	const prefixes, sharedTokens, servers, hosts = 16, 12_600, 48, 68
	dataCentres := []zinniapond.DataCentre{"a", "b", "c", "d"}
	newHost := func(number int) *Router {
		r := &Router{Seed: uint64(number)*0x9e3779b97f4a7c15 + 1}
		var list []zinniapond.Backend
		for i := range servers {
			list = append(list, zinniapond.Backend{Address: address(i), DataCentre: dataCentres[i%4], Slots: 12})
		}
		r.Update(startTime, list)
		r.latency.observe(zinniapond.Observation{
			TimeToFirstByte: 20 * time.Millisecond, Duration: 300 * time.Millisecond, Usage: zinniapond.Usage{Prompt: 2000, Generated: 250},
		}, 250)
		return r
	}
	need := func(host, call int) zinniapond.PickInfo {
		id := fmt.Sprintf("%d-%d", host, call)
		shared := uint64(call%prefixes + 1)
		return zinniapond.PickInfo{
			Call: zinniapond.CallID(id), Program: zinniapond.ProgramID(id), DataCentre: dataCentres[host%4],
			PromptTokens: sharedTokens + 1680, MaxGenerated: 250, SharedTokens: sharedTokens,
			PrefixHashes: []uint64{shared * 1000, uint64(1_000_000 + host*1000 + call)},
		}
	}
	t.Run("guards against conversations that leave their data centre, and an uneven load within it", func(t *testing.T) {
		calls, left := 0, 0
		counts := make(map[netip.AddrPort]int)
		var routers []*Router
		for i := range hosts {
			routers = append(routers, newHost(i))
		}
		for call := range 2 * prefixes {
			for i, r := range routers {
				n := need(i, call)
				c := pickAndStart(t, r, startTime, n)
				r.AttemptFinished(startTime.Add(300*time.Millisecond), c.Backend, n, zinniapond.Observation{
					TimeToFirstByte: 30 * time.Millisecond, Duration: 300 * time.Millisecond,
					Usage: zinniapond.Usage{Prompt: n.PromptTokens, Cached: c.CachedTokens, Generated: 250},
				})
				calls++
				counts[c.Backend]++
				if s, _ := r.servers.Get(c.Backend); s.dataCentre != n.DataCentre {
					left++
				}
			}
		}
		assert.True(t, left*20 < calls, "%d of %d calls left", left, calls)
		for a, count := range counts {
			assert.True(t, 2*count*servers < 3*calls, "%s got %d of %d calls", a, count, calls)
		}
	})
	t.Run("guards against calls that wait in their data centre while servers of others are idle", func(t *testing.T) {
		r := newHost(0)
		for i := 0; i < servers; i += len(dataCentres) {
			r.UpdateLoad(startTime, zinniapond.LoadReport{Backend: address(i), TakenAt: startTime, RunningCalls: 36})
		}
		n := need(0, 1)
		c, ok := r.Pick(startTime, n, allFree)
		assert.True(t, ok, "no server chosen")
		s, _ := r.servers.Get(c.Backend)
		assert.True(t, s.dataCentre != n.DataCentre, "the call waits behind 36 others")
	})
	t.Run("guards against taking caches for granted in a small pool, where each host sees them by itself", func(t *testing.T) {
		assert.Equal(t, len(newHost(0).localServers(need(0, 1), sampleSize)), 0)
	})
}
