package loads

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
	"zinniapond.example/zinniapond/internal/policy/blame"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// member is a control host with a view of the control log of its own. It records the
// relayed sums that it receives.
type member struct {
	loads    *Loads
	view     zinniapond.ControlView
	received []zinniapond.LoadsRequest
	isLost   bool // messages to it are lost
}

// group is a set of control hosts that relay sums to each other.
type group struct {
	now     time.Time
	members map[netip.AddrPort]*member
}

type groupView struct{ *member }

func (v groupView) View() *zinniapond.ControlView { return &v.view }
func (v groupView) Catalog() *zinniapond.Catalog  { return nil }
func (v groupView) LeaseValid(time.Time) bool     { return true }
func (v groupView) ConfirmedAt() time.Time        { return time.Time{} }
func (v groupView) Changed() <-chan struct{}      { return nil }

func (g *group) Call(_ context.Context, to netip.AddrPort, _ string, request, reply any) error {
	m := g.members[to]
	if m.isLost {
		return context.DeadlineExceeded
	}
	m.received = append(m.received, request.(zinniapond.LoadsRequest))
	return m.loads.Exchange(request.(zinniapond.LoadsRequest), reply.(*zinniapond.LoadsReply))
}

// newGroup returns two control hosts that have the same list of 20 replicas.
func newGroup() (g *group, one, two *member) {
	g = &group{now: time.Unix(1000, 0), members: make(map[netip.AddrPort]*member)}
	addresses := []netip.AddrPort{netip.MustParseAddrPort("10.1.0.1:7000"), netip.MustParseAddrPort("10.1.0.2:7000")}
	for _, a := range addresses {
		m := new(member)
		for _, v := range addresses {
			m.view.Voters = append(m.view.Voters, zinniapond.VoterKey{Name: zinniapond.HostName(v.String())})
		}
		g.members[a] = m
		g.restart(a)
		m.setList(5, 20)
	}
	return g, g.members[addresses[0]], g.members[addresses[1]]
}

// restart gives a control host an empty state.
func (g *group) restart(a netip.AddrPort) {
	m := g.members[a]
	m.loads = &Loads{Address: a, Peers: g, ControlHosts: hosts.Chooser{Directory: groupView{m}}, Limits: newBook(), Blame: new(blame.Book), Logger: hclog.NewNullLogger(), Clock: func() time.Time { return g.now }}
}

func (m *member) setList(index zinniapond.Index, count int) {
	m.view.BackendsIndex, m.view.Backends = index, nil
	for i := range count {
		m.view.Backends = append(m.view.Backends, zinniapond.Backend{Address: replicaAddress(i)})
	}
}

func replicaAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, 0, byte(i)}), 80)
}

// relay reports the number of requests at each replica to one control host, which
// relays the sums.
func (g *group) relay(t *testing.T, from *member, count int) {
	t.Helper()
	request := zinniapond.LoadsRequest{Sender: "front"}
	for i := range 20 {
		request.Loads = append(request.Loads, zinniapond.Load{Replica: replicaAddress(i), Count: count + i})
	}
	assert.NoError(t, from.loads.Exchange(request, new(zinniapond.LoadsReply)))
	from.loads.relay(context.Background())
}

// assertSums checks the sums that a control host sends to a host with the given list.
func assertSums(t *testing.T, m *member, listIndex zinniapond.Index, isPacked bool, count int) {
	t.Helper()
	var reply zinniapond.LoadsReply
	assert.NoError(t, m.loads.Exchange(zinniapond.LoadsRequest{Sender: "other", ListIndex: listIndex}, &reply))
	assert.Equal(t, len(reply.Packed) > 0, isPacked)
	sums, err := m.loads.lists.Unpack(listIndex, reply.Packed, reply.Loads)
	assert.NoError(t, err)
	assert.Equal(t, len(sums), 20)
	for _, l := range sums {
		assert.Equal(t, l.Count, count+int(l.Replica.Addr().As4()[3]))
	}
}

func assertPacked(t *testing.T, m *member, want bool) {
	t.Helper()
	last := m.received[len(m.received)-1]
	assert.Equal(t, len(last.Packed) > 0, want)
}

func TestPackedRelay(t *testing.T) {
	t.Run("guards against relayed sums with the address of each replica", func(t *testing.T) {
		g, one, two := newGroup()
		g.relay(t, one, 3) // the list of the other control host is not known yet
		assertPacked(t, two, false)
		g.relay(t, one, 4)
		assertPacked(t, two, true)
		assertSums(t, two, 5, true, 4)
	})
	t.Run("guards against sums assigned to the replicas of another list", func(t *testing.T) {
		g, one, two := newGroup()
		g.relay(t, one, 3)
		one.setList(9, 10) // a change that the other control host has not applied
		g.relay(t, one, 4)
		assertSums(t, two, 5, true, 4)
		two.setList(9, 10)
		g.relay(t, one, 5)
		assertSums(t, two, 9, true, 5) // ten replicas are no longer on the list
	})
	t.Run("guards against wrong sums after a control host has restarted", func(t *testing.T) {
		g, one, two := newGroup()
		g.relay(t, one, 3)
		g.relay(t, one, 4)
		g.restart(two.loads.Address)
		two.setList(9, 20)
		g.relay(t, one, 5) // in the order of a list that the restarted host does not have
		g.relay(t, one, 6)
		assertPacked(t, two, false)
		assertSums(t, two, 9, true, 6)
	})
	t.Run("guards against wrong sums after lost messages", func(t *testing.T) {
		g, one, two := newGroup()
		g.relay(t, one, 3)
		two.isLost = true
		g.relay(t, one, 4)
		two.isLost = false
		g.relay(t, one, 5)
		assertSums(t, two, 5, true, 5)
	})
	t.Run("guards against packed sums for a host that names no list or an unknown one", func(t *testing.T) {
		g, one, two := newGroup()
		g.relay(t, one, 3)
		assertSums(t, two, 0, false, 3)
		assertSums(t, two, 77, false, 3)
	})
}
