package loads

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var replica = netip.MustParseAddrPort("10.0.0.1:80")

func exchange(t *testing.T, l *Loads, host zinniapond.HostName, count int) zinniapond.LoadsReply {
	t.Helper()
	var reply zinniapond.LoadsReply
	request := zinniapond.LoadsRequest{Sender: host, Loads: []zinniapond.Load{{Replica: replica, Count: count}}}
	assert.NoError(t, l.Exchange(request, &reply))
	return reply
}

func TestExchange(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &Loads{Clock: func() time.Time { return now }}
	t.Run("guards against a host that does not see the requests of others", func(t *testing.T) {
		exchange(t, l, "one", 3)
		assert.Equal(t, exchange(t, l, "two", 4).Loads[0], zinniapond.Load{Replica: replica, Count: 7})
		assert.Equal(t, exchange(t, l, "one", 1).Loads[0].Count, 5)
	})
	t.Run("guards against counting the requests of a host that is gone", func(t *testing.T) {
		now = now.Add(time.Second)
		assert.Equal(t, exchange(t, l, "two", 4).Loads[0].Count, 4)
	})
	t.Run("guards against more reports than the leader can take", func(t *testing.T) {
		for i := range 400 {
			exchange(t, l, zinniapond.HostName(rune('a'+i)), 1)
		}
		assert.True(t, exchange(t, l, "two", 4).ReportInterval >= 400*leaderTimePerReport, "the pause does not grow with the hosts")
	})
}

// BenchmarkExchange measures one report at the size to design for: 390 hosts
// before 600 replicas, with 13 requests under way at each host.
func BenchmarkExchange(b *testing.B) {
	now := time.Unix(1000, 0)
	l := &Loads{Clock: func() time.Time { return now }}
	report := func(i int) {
		request := zinniapond.LoadsRequest{Sender: zinniapond.HostName(fmt.Sprint("front-", i%390))}
		for n := range 13 {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte((i*13 + n) % 600 / 250), byte((i*13 + n) % 600 % 250)}), 80)
			request.Loads = append(request.Loads, zinniapond.Load{Replica: at, Count: 1})
		}
		var reply zinniapond.LoadsReply
		if err := l.Exchange(request, &reply); err != nil {
			b.Fatal(err)
		}
	}
	for i := range 390 {
		report(i)
	}
	for i := 0; b.Loop(); i++ {
		report(i)
	}
}
