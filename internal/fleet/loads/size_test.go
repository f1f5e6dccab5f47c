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

func TestLimitTraffic(t *testing.T) {
	t.Run("guards against limits that take more than a host's share of control traffic", func(t *testing.T) {
		now := time.Unix(1000, 0)
		l := &Loads{Limits: newBook(), Blame: new(blame.Book), Clock: func() time.Time { return now }}
		request := zinniapond.LoadsRequest{Sender: "one"}
		for i := range 600 {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
			request.Loads = append(request.Loads, zinniapond.Load{Replica: address, Count: 1})
			request.Limits = append(request.Limits, zinniapond.LimitReport{
				Replica: address, ID: "i-0123456789", Rate: 4.25, NamedAge: 123_456_789, Lifted: true, LiftedAge: 23_456_789,
			})
		}
		var reply zinniapond.LoadsReply
		assert.NoError(t, l.Exchange(request, &reply))
		reply = zinniapond.LoadsReply{}
		assert.NoError(t, l.Exchange(request, &reply))
		assert.Equal(t, len(reply.Limits), 600)
		data, err := codec.Marshal(reply)
		assert.NoError(t, err)
		const hostTraffic = 22_000 // bytes a second, for all control traffic of a host
		rate := float64(len(data)) / reply.ReportInterval.Seconds()
		assert.True(t, rate < hostTraffic, "%.0f bytes a second", rate)
	})
}
