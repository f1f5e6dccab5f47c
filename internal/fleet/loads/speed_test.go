package loads

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/policy/blame"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

func TestSlowness(t *testing.T) {
	now := time.Unix(1000, 0)
	newLoads := func() *Loads {
		return &Loads{Limits: newBook(), Blame: new(blame.Book), Clock: func() time.Time { return now }}
	}
	t.Run("guards against fronts that do not learn what others measure of a slow replica", func(t *testing.T) {
		l := newLoads()
		var reply zinniapond.LoadsReply
		assert.NoError(t, l.Exchange(zinniapond.LoadsRequest{Sender: "one", Loads: []zinniapond.Load{{Replica: replica, Answers: 1, Slowness: 40}}}, &reply))
		relayed := zinniapond.LoadsRequest{Sender: "control", Relayed: true, Hosts: 3, Loads: []zinniapond.Load{{Replica: replica, Count: 2, Answers: 2, Slowness: 60}}}
		assert.NoError(t, l.Exchange(relayed, &reply))
		reply = zinniapond.LoadsReply{}
		assert.NoError(t, l.Exchange(zinniapond.LoadsRequest{Sender: "two", Loads: []zinniapond.Load{{Replica: replica, Count: 1}}}, &reply))
		assert.Equal(t, reply.Loads, []zinniapond.Load{{Replica: replica, Count: 3, Answers: 3, Slowness: 100}})
	})
	t.Run("guards against messages that grow while no replica is slow", func(t *testing.T) {
		data, err := codec.Marshal(zinniapond.Load{Replica: replica, Count: 3})
		assert.NoError(t, err)
		assert.True(t, len(data) <= 13, "%d bytes an entry", len(data))
	})
	t.Run("guards against slowness that takes more than a host's share of control traffic", func(t *testing.T) {
		l := newLoads()
		request := zinniapond.LoadsRequest{Sender: "one"}
		for i := range 600 {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
			request.Loads = append(request.Loads, zinniapond.Load{Replica: address, Count: 100, Answers: 300, Slowness: 90_000})
		}
		var reply zinniapond.LoadsReply
		assert.NoError(t, l.Exchange(request, &reply))
		reply = zinniapond.LoadsReply{}
		assert.NoError(t, l.Exchange(request, &reply))
		data, err := codec.Marshal(reply)
		assert.NoError(t, err)
		rate := float64(len(data)) / reply.ReportInterval.Seconds()
		t.Logf("%d bytes for 600 slow replicas, %.0f bytes a second", len(data), rate)
		assert.True(t, rate < 22_000, "%.0f bytes a second", rate)
	})
}
