package prefix

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// TestHomes replays conversations that share a few long prefixes, which arrive at many
// hosts in four data centres before a pool of 48 servers.
func TestHomes(t *testing.T) {
	const prefixes, sharedTokens, servers = 16, 12_600, 48
	dataCentres := []zinniapond.DataCentre{"a", "b", "c", "d"}
	newHost := func(number int) *Router {
		r := &Router{Seed: uint64(number)*0x9e3779b97f4a7c15 + 1}
		var list []zinniapond.Backend
		for i := range servers {
			list = append(list, zinniapond.Backend{Address: address(i), DataCentre: dataCentres[i%4], Slots: 12})
		}
		r.Update(startTime, list)
		return r
	}
	need := func(host, call int) zinniapond.PickInfo {
		id := fmt.Sprintf("%d-%d", host, call)
		shared := uint64(call%prefixes + 1)
		return zinniapond.PickInfo{
			Call: zinniapond.CallID(id), Program: zinniapond.ProgramID(id), DataCentre: dataCentres[host%4],
			PromptTokens: sharedTokens + 1680, MaxGenerated: 250, SharedHash: shared, SharedTokens: sharedTokens,
			PrefixHashes: []uint64{shared * 1000, uint64(1_000_000 + host*1000 + call)},
		}
	}
	// play sends calls through all hosts and returns the servers that read each prefix,
	// and the share of calls that left the data centre.
	play := func(t *testing.T) (readers map[uint64]map[netip.AddrPort]bool, remote float64) {
		t.Helper()
		readers = make(map[uint64]map[netip.AddrPort]bool)
		var hosts []*Router
		for i := range 68 {
			hosts = append(hosts, newHost(i))
		}
		calls, left := 0, 0
		for call := range 3 * prefixes {
			for i, r := range hosts {
				n := need(i, call)
				c := pickAndStart(t, r, startTime, n)
				r.AttemptFinished(startTime.Add(300*time.Millisecond), c.Backend, n, zinniapond.Observation{
					TimeToFirstByte: 30 * time.Millisecond, Duration: 300 * time.Millisecond,
					Usage: zinniapond.Usage{Prompt: n.PromptTokens, Cached: c.CachedTokens, Generated: 250},
				})
				if readers[n.SharedHash] == nil {
					readers[n.SharedHash] = make(map[netip.AddrPort]bool)
				}
				readers[n.SharedHash][c.Backend] = true
				calls++
				if s, _ := r.servers.Get(c.Backend); s.dataCentre != n.DataCentre {
					left++
				}
			}
		}
		return readers, float64(left) / float64(calls)
	}
	readers, remote := play(t)
	t.Run("guards against a shared prefix that every server reads", func(t *testing.T) {
		for prefix, at := range readers {
			assert.True(t, len(at) <= servers*2/3, "prefix %d was read by %d of %d servers", prefix, len(at), servers)
		}
	})
	t.Run("guards against conversations that leave their data centre without need", func(t *testing.T) {
		assert.True(t, remote < 0.05, "%.2f of the calls left", remote)
	})
	t.Run("guards against hosts of one data centre that choose different homes", func(t *testing.T) {
		a, b := newHost(0), newHost(4)
		x, y := a.homes(need(0, 1), servers, nil), b.homes(need(4, 1), servers, nil)
		assert.Equal(t, len(x), servers/4/homeDivisor)
		for i := range x {
			assert.Equal(t, x[i].address, y[i].address)
		}
	})
	t.Run("guards against calls that wait at their homes while other servers are idle", func(t *testing.T) {
		r := newHost(0)
		r.latency.observe(zinniapond.Observation{
			TimeToFirstByte: 20 * time.Millisecond, Duration: 300 * time.Millisecond, Usage: zinniapond.Usage{Prompt: 2000, Generated: 250},
		}, 250)
		n := need(0, 1)
		homes := r.homes(n, servers, nil)
		for _, s := range homes {
			r.UpdateLoad(startTime, zinniapond.LoadReport{Backend: s.address, TakenAt: startTime, RunningCalls: 36})
		}
		c, ok := r.Pick(startTime, n, allFree)
		assert.True(t, ok, "no server chosen")
		for _, s := range homes {
			assert.True(t, c.Backend != s.address, "the call waits behind 36 others")
		}
	})
	t.Run("guards against homes in a small pool, where each host sees the caches by itself", func(t *testing.T) {
		assert.Equal(t, len(newHost(0).homes(need(0, 1), sampleSize, nil)), 0)
	})
}
