package loads

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
	"zinniapond.example/zinniapond/internal/fleet/limits"
	"zinniapond.example/zinniapond/internal/policy/blame"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

func newBook() zinniapond.LimitBook { return &limits.Book{Logger: hclog.NewNullLogger()} }

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
	l := &Loads{Limits: newBook(), Blame: new(blame.Book), Clock: func() time.Time { return now }}
	t.Run("guards against a host that does not see the requests of others", func(t *testing.T) {
		exchange(t, l, "one", 3)
		assert.Equal(t, exchange(t, l, "two", 4).Loads[0], zinniapond.Load{Replica: replica, Count: 7})
		assert.Equal(t, exchange(t, l, "one", 1).Loads[0].Count, 5)
	})
	t.Run("guards against a host that does not see the answers to others", func(t *testing.T) {
		var reply zinniapond.LoadsReply
		for host, count := range map[zinniapond.HostName]int{"one": 1, "two": 4} {
			loads := []zinniapond.Load{{Replica: replica, Count: count, Good: 2, Bad: 3}}
			assert.NoError(t, l.Exchange(zinniapond.LoadsRequest{Sender: host, Loads: loads}, &reply))
		}
		assert.Equal(t, reply.Loads[0], zinniapond.Load{Replica: replica, Count: 5, Good: 4, Bad: 6})
	})
	t.Run("guards against counting the requests of a host that is gone", func(t *testing.T) {
		now = now.Add(time.Second)
		assert.Equal(t, exchange(t, l, "two", 4).Loads[0].Count, 4)
	})
	t.Run("guards against more reports than a control host can take", func(t *testing.T) {
		for i := range 400 {
			exchange(t, l, zinniapond.HostName(rune('a'+i)), 1)
		}
		assert.True(t, exchange(t, l, "two", 4).ReportInterval >= 400*timePerReport, "the pause does not grow with the hosts")
	})
	t.Run("guards against replies that take more than a host's share of control traffic", func(t *testing.T) {
		l := &Loads{Limits: newBook(), Blame: new(blame.Book), Clock: func() time.Time { return now }}
		request := zinniapond.LoadsRequest{Sender: "one"}
		for i := range 600 {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
			request.Loads = append(request.Loads, zinniapond.Load{Replica: address, Count: 1, Good: 1000 * (i % 2), Bad: 1000 * (i % 2)})
		}
		var reply zinniapond.LoadsReply
		assert.NoError(t, l.Exchange(request, &reply))
		assert.NoError(t, l.Exchange(request, &reply))
		data, err := codec.Marshal(reply)
		assert.NoError(t, err)
		const hostTraffic = 22_000 // bytes a second, for all control traffic of a host
		rate := float64(len(data)) / reply.ReportInterval.Seconds()
		assert.True(t, rate < hostTraffic, "%.0f bytes a second", rate)
	})
}

// quorum is a set of control hosts that call each other.
type quorum map[netip.AddrPort]*Loads

func (q quorum) View() *zinniapond.ControlView {
	view := &zinniapond.ControlView{}
	for a := range q {
		view.Voters = append(view.Voters, zinniapond.VoterKey{Name: zinniapond.HostName(a.String())})
	}
	return view
}
func (q quorum) Catalog() *zinniapond.Catalog { return nil }
func (q quorum) LeaseValid(time.Time) bool    { return true }
func (q quorum) ConfirmedAt() time.Time       { return time.Time{} }
func (q quorum) Changed() <-chan struct{}     { return nil }

func (q quorum) Call(_ context.Context, to netip.AddrPort, _ string, request, reply any) error {
	return q[to].Exchange(request.(zinniapond.LoadsRequest), reply.(*zinniapond.LoadsReply))
}

func TestRelay(t *testing.T) {
	now := time.Unix(1000, 0)
	q := make(quorum)
	var controls []*Loads
	for _, address := range []string{"10.1.0.1:7000", "10.1.0.2:7000", "10.1.0.3:7000"} {
		l := &Loads{Address: netip.MustParseAddrPort(address), Peers: q, ControlHosts: hosts.Chooser{Directory: q}, Limits: newBook(), Blame: new(blame.Book), Logger: hclog.NewNullLogger(), Clock: func() time.Time { return now }}
		q[netip.MustParseAddrPort(address)] = l
		controls = append(controls, l)
	}
	relayAll := func() {
		for _, l := range controls {
			l.relay(context.Background())
		}
	}
	t.Run("guards against a host that does not see the requests reported to other control hosts", func(t *testing.T) {
		exchange(t, controls[0], "one", 3)
		exchange(t, controls[1], "two", 4)
		relayAll()
		assert.Equal(t, exchange(t, controls[2], "three", 5).Loads[0].Count, 12)
	})
	t.Run("guards against counting relayed requests again with each relay", func(t *testing.T) {
		relayAll()
		relayAll()
		assert.Equal(t, exchange(t, controls[2], "three", 5).Loads[0].Count, 12)
	})
	t.Run("guards against counting the requests of a control host that is gone", func(t *testing.T) {
		now = now.Add(validPauses * relayInterval)
		exchange(t, controls[1], "two", 4)
		now = now.Add(relayInterval)
		controls[1].relay(context.Background())
		assert.Equal(t, exchange(t, controls[2], "three", 5).Loads[0].Count, 9)
	})
	t.Run("guards against messages between control hosts to which no host reports", func(*testing.T) {
		idle := &Loads{Address: netip.MustParseAddrPort("10.1.0.1:7000"), ControlHosts: hosts.Chooser{Directory: q}, Limits: newBook(), Blame: new(blame.Book), Logger: hclog.NewNullLogger(), Clock: func() time.Time { return now }}
		idle.relay(context.Background()) // a call would fail without Peers
	})
}

// BenchmarkExchange measures one report at the size to design for: 390 hosts
// before 600 replicas, with 13 requests under way at each host. Hosts get the sums with
// addresses, or in the order of the replica list.
func BenchmarkExchange(b *testing.B) {
	const hostCount = 390
	for name, listIndex := range map[string]zinniapond.Index{"addresses": 0, "packed": 5} {
		b.Run(name, func(b *testing.B) {
			_, one, _ := newGroup()
			l := one.loads
			one.view.Backends = nil
			for n := range 600 {
				one.view.Backends = append(one.view.Backends, zinniapond.Backend{Address: benchmarkAddress(n)})
			}
			report := func(i int) {
				request := zinniapond.LoadsRequest{Sender: zinniapond.HostName(fmt.Sprint("front-", i%hostCount)), ListIndex: listIndex}
				for n := range 13 {
					request.Loads = append(request.Loads, zinniapond.Load{Replica: benchmarkAddress((i*13 + n) % 600), Count: 1})
				}
				var reply zinniapond.LoadsReply
				if err := l.Exchange(request, &reply); err != nil {
					b.Fatal(err)
				}
			}
			for i := range hostCount {
				report(i)
			}
			for i := 0; b.Loop(); i++ {
				report(i)
			}
		})
	}
}

func benchmarkAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n % 250)}), 80)
}
