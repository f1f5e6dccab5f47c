package least_test

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/policy/fifo"
	"zinniapond.example/zinniapond/internal/policy/least"
	"zinniapond.example/zinniapond/internal/policy/robin"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestBaselines(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	one, two := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	servers := []zinniapond.Backend{{Address: one}, {Address: two}}
	for name, r := range map[string]zinniapond.Router{"least": &least.Router{}, "robin": &robin.Router{}} {
		t.Run("guards against an uneven or refused choice by "+name, func(t *testing.T) {
			r.Update(now, servers)
			counts := map[netip.AddrPort]int{}
			for _, id := range []zinniapond.CallID{"a", "b", "c", "d"} {
				need := zinniapond.PickInfo{Call: id}
				c, ok := r.Pick(now, need, func(netip.AddrPort) bool { return true })
				assert.True(t, ok, "nothing chosen")
				r.AttemptStarted(now, c.Backend, need)
				counts[c.Backend]++
			}
			assert.True(t, counts[one] == 2 && counts[two] == 2, "counts %v", counts)
			c, _ := r.Pick(now, zinniapond.PickInfo{Exclude: []netip.AddrPort{one}}, func(netip.AddrPort) bool { return true })
			assert.True(t, c.Backend == two, "chose %s", c.Backend)
			_, ok := r.Pick(now, zinniapond.PickInfo{}, func(netip.AddrPort) bool { return false })
			assert.True(t, !ok, "chose a server that is not free")
		})
	}
	t.Run("guards against an order other than arrival by fifo", func(t *testing.T) {
		q := &fifo.Queue{}
		for _, id := range []zinniapond.CallID{"a", "b", "c"} {
			q.Push(now, zinniapond.QueuedCall{Call: id, Class: zinniapond.ClassBatch, Deadline: now.Add(time.Second)})
		}
		assert.True(t, q.Remove("b") && !q.Remove("b"), "removed once")
		w, _ := q.Pop(now, func(zinniapond.QueuedCall) bool { return true })
		assert.Equal(t, w.Call, "a")
		assert.Equal(t, len(q.Expire(now.Add(time.Second))), 1)
		assert.Equal(t, q.Len(), 0)
	})
}
