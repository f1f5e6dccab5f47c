package loads

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
	"zinniapond.example/zinniapond/internal/policy/blame"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

// ending is the end of a replica with one request.
func ending(address byte, suspects ...zinniapond.Digest) zinniapond.Ending {
	return zinniapond.Ending{Pool: "pool", Replica: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, address}), 80), ID: "i-0123456789", Suspects: suspects}
}

func TestBlame(t *testing.T) {
	now := time.Unix(1000, 0)
	newControlHost := func(address string, peers zinniapond.Peers, directory zinniapond.Directory) *Loads {
		return &Loads{
			Address: netip.MustParseAddrPort(address), Peers: peers, ControlHosts: hosts.Chooser{Directory: directory},
			Limits: newBook(), Blame: &blame.Book{Logger: hclog.NewNullLogger()}, Logger: hclog.NewNullLogger(), Clock: func() time.Time { return now },
		}
	}
	exchange := func(t *testing.T, l *Loads, sender zinniapond.HostName, endings ...zinniapond.Ending) zinniapond.BlameReport {
		t.Helper()
		var reply zinniapond.LoadsReply
		request := zinniapond.LoadsRequest{Sender: sender, Blame: zinniapond.BlameReport{Endings: endings}}
		assert.NoError(t, l.Exchange(request, &reply))
		return reply.Blame
	}
	t.Run("guards against evidence of one host that another one does not get", func(t *testing.T) {
		l := newControlHost("10.0.0.1:7000", nil, nil)
		exchange(t, l, "two")
		now = now.Add(time.Second)
		exchange(t, l, "one", ending(1, 7))
		got := exchange(t, l, "two")
		assert.Equal(t, len(got.Endings), 1)
		assert.Equal(t, got.Endings[0].Suspects, []zinniapond.Digest{7})
	})
	t.Run("guards against evidence that a host which has restarted does not get", func(t *testing.T) {
		l := newControlHost("10.0.0.1:7000", nil, nil)
		exchange(t, l, "one", ending(1, 7))
		now = now.Add(10 * time.Second)
		assert.Equal(t, len(exchange(t, l, "restarted").Endings), 1)
	})
	t.Run("guards against sending all evidence each time", func(t *testing.T) {
		l := newControlHost("10.0.0.1:7000", nil, nil)
		exchange(t, l, "one", ending(1, 7))
		now = now.Add(time.Second)
		exchange(t, l, "one")
		now = now.Add(time.Second)
		assert.Equal(t, exchange(t, l, "one").Size(), 0)
	})
	t.Run("guards against evidence that takes more than a host's share of control traffic", func(t *testing.T) {
		l := newControlHost("10.0.0.1:7000", nil, nil)
		var endings []zinniapond.Ending
		for i := range 200 {
			e := ending(byte(i))
			for d := range 40 {
				e.Suspects = append(e.Suspects, zinniapond.Digest(0x9e3779b97f4a7c15*uint64(100*i+d)))
			}
			endings = append(endings, e)
		}
		exchange(t, l, "one", endings...)
		var reply zinniapond.LoadsReply
		request := zinniapond.LoadsRequest{Sender: "two"}
		for range 2 {
			reply = zinniapond.LoadsReply{}
			assert.NoError(t, l.Exchange(request, &reply))
		}
		data, err := codec.Marshal(reply)
		assert.NoError(t, err)
		const hostTraffic = 22_000 // bytes a second, for all control traffic of a host
		rate := float64(len(data)) / reply.ReportInterval.Seconds()
		assert.True(t, rate < hostTraffic, "%.0f bytes a second", rate)
	})
}
