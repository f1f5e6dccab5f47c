package report

import (
	"context"
	"errors"
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
)

// controlHosts is a fake of the directory and of the connections to control hosts.
type controlHosts struct {
	voters []zinniapond.VoterKey
	asked  []string
	reply  zinniapond.LoadsReply
	failed map[string]bool

	backends []zinniapond.Backend
	packed   []byte // sums in the reply to a host that names its list
}

func newControlHosts(names ...zinniapond.HostName) *controlHosts {
	h := &controlHosts{failed: make(map[string]bool), reply: zinniapond.LoadsReply{Loads: sums, ReportInterval: time.Second}}
	for _, name := range names {
		h.voters = append(h.voters, zinniapond.VoterKey{Name: name})
	}
	return h
}

func (h *controlHosts) View() *zinniapond.ControlView {
	v := &zinniapond.ControlView{Voters: h.voters, Backends: h.backends}
	if len(h.backends) > 0 {
		v.BackendsIndex = 7
	}
	return v
}
func (h *controlHosts) Catalog() *zinniapond.Catalog { return nil }
func (h *controlHosts) LeaseValid(time.Time) bool    { return true }
func (h *controlHosts) ConfirmedAt() time.Time       { return time.Time{} }
func (h *controlHosts) Changed() <-chan struct{}     { return nil }

func (h *controlHosts) Call(_ context.Context, to netip.AddrPort, _ string, request, reply any) error {
	h.asked = append(h.asked, to.String())
	if h.failed[to.String()] {
		return errors.New("gone")
	}
	answer := h.reply
	if request.(zinniapond.LoadsRequest).ListIndex > 0 {
		answer.Packed, answer.Loads = h.packed, nil
	}
	*reply.(*zinniapond.LoadsReply) = answer
	return nil
}

var sums = []zinniapond.Load{{Replica: netip.MustParseAddrPort("10.0.0.9:80"), Count: 4}}

// fixture is a LoadExchange with what it has learned.
type fixture struct {
	LoadExchange
	now     time.Time
	learned []zinniapond.Load
}

func newFixture(host zinniapond.HostName, h *controlHosts) *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.LoadExchange = LoadExchange{
		Host: host, Peers: h, ControlHosts: hosts.Chooser{Directory: h}, Limits: &limits.Book{Logger: hclog.NewNullLogger()}, Blame: &blame.Book{Logger: hclog.NewNullLogger()}, Logger: hclog.NewNullLogger(), Clock: func() time.Time { return f.now },
		LocalLoads:   func() []zinniapond.Load { return nil },
		ApplySums:    func(_ time.Time, loads []zinniapond.Load) { f.learned = loads },
		SetHostCount: func(int) {},
	}
	return f
}

func TestExchange(t *testing.T) {
	t.Run("guards against an interval other than the control host's", func(t *testing.T) {
		h := newControlHosts("10.0.0.1:7000")
		f := newFixture("h", h)
		assert.Equal(t, f.exchange(context.Background()), time.Second)
		assert.Equal(t, f.learned, sums)
		assert.Equal(t, h.asked[0], "10.0.0.1:7000")
	})
	t.Run("guards against sums that stay unknown as they do not fit the list of this host", func(t *testing.T) {
		h := newControlHosts("10.0.0.1:7000")
		h.backends = []zinniapond.Backend{{Address: sums[0].Replica}}
		h.packed = []byte{8, 0}
		f := newFixture("h", h)
		assert.Equal(t, f.exchange(context.Background()), failureInterval)
		assert.Equal(t, len(f.learned), 0)
		f.exchange(context.Background())
		assert.Equal(t, f.learned, sums)
		h.packed = []byte{8}
		f.learned = nil
		f.exchange(context.Background())
		assert.Equal(t, f.learned, sums)
	})
	t.Run("guards against taking a failed exchange for idle replicas", func(t *testing.T) {
		h := newControlHosts("10.0.0.1:7000")
		h.failed["10.0.0.1:7000"] = true
		f := newFixture("h", h)
		assert.Equal(t, f.exchange(context.Background()), failureInterval)
		assert.Equal(t, len(f.learned), 0)
	})
	t.Run("guards against calls while no control host is known", func(t *testing.T) {
		h := newControlHosts()
		assert.Equal(t, newFixture("h", h).exchange(context.Background()), defaultInterval)
		h.voters = []zinniapond.VoterKey{{Name: "voter-without-address"}}
		assert.Equal(t, newFixture("h", h).exchange(context.Background()), defaultInterval)
		assert.Equal(t, len(h.asked), 0)
	})
}

func TestChooseControlHost(t *testing.T) {
	names := []zinniapond.HostName{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	t.Run("guards against loads that stay unknown while one control host is frozen", func(t *testing.T) {
		for _, host := range []zinniapond.HostName{"a", "b", "c", "d"} {
			h := newControlHosts(names...)
			f := newFixture(host, h)
			f.exchange(context.Background())
			h.failed[h.asked[0]] = true
			f.learned = nil
			f.exchange(context.Background())
			f.exchange(context.Background())
			assert.Equal(t, f.learned, sums)
			f.exchange(context.Background())
			assert.Equal(t, h.asked[3], h.asked[2])
			f.now = f.now.Add(4 * time.Second) // longer than a failed host is avoided
			f.exchange(context.Background())
			assert.Equal(t, h.asked[4], h.asked[0])
		}
	})
	t.Run("guards against no call at all while every control host has failed", func(t *testing.T) {
		h := newControlHosts(names...)
		for _, name := range names {
			h.failed[string(name)] = true
		}
		f := newFixture("a", h)
		for range 6 {
			f.exchange(context.Background())
			f.now = f.now.Add(exchangeTimeout)
		}
		for i := range names {
			assert.Equal(t, h.asked[i+len(names)], h.asked[i])
		}
	})
	t.Run("guards against one control host taking the reports of all", func(t *testing.T) {
		h := newControlHosts(names...)
		for i := range 300 {
			newFixture(zinniapond.HostName(fmt.Sprint("front-", i)), h).exchange(context.Background())
		}
		counts := make(map[string]int)
		for _, name := range h.asked {
			counts[name]++
		}
		for _, name := range names {
			assert.True(t, counts[string(name)] > 50, "%s has %d of 300 hosts", name, counts[string(name)])
		}
	})
}
