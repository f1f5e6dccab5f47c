package grants

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
	"zinniapond.example/zinniapond/internal/fleet/limits"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var (
	start   = time.Unix(1000, 0)
	replica = zinniapond.Backend{Address: netip.MustParseAddrPort("10.0.0.1:80"), ID: "i-1"}
)

// quorum is a set of control hosts with a common clock that relay to each other.
type quorum struct {
	now   time.Time
	hosts map[netip.AddrPort]*Granter
	cut   bool // relayed messages are lost
}

func (q *quorum) View() *zinniapond.ControlView {
	view := new(zinniapond.ControlView)
	for a := range q.hosts {
		view.Voters = append(view.Voters, zinniapond.VoterKey{Name: zinniapond.HostName(a.String())})
	}
	return view
}
func (q *quorum) Catalog() *zinniapond.Catalog { return nil }
func (q *quorum) LeaseValid(time.Time) bool    { return true }
func (q *quorum) ConfirmedAt() time.Time       { return time.Time{} }
func (q *quorum) Changed() <-chan struct{}     { return nil }

func (q *quorum) Call(_ context.Context, to netip.AddrPort, _ string, request, reply any) error {
	if q.cut {
		return zinniapond.ErrUnavailable
	}
	return q.hosts[to].Relay(request.(zinniapond.GrantsRequest), reply.(*zinniapond.GrantsReply))
}

func newQuorum(addresses ...string) *quorum {
	q := &quorum{now: start, hosts: make(map[netip.AddrPort]*Granter)}
	for _, a := range addresses {
		address := netip.MustParseAddrPort(a)
		q.hosts[address] = &Granter{
			Address: address, Peers: q, ControlHosts: hosts.Chooser{Directory: q}, Limits: &limits.Book{Logger: hclog.NewNullLogger()},
			Logger: hclog.NewNullLogger(), Clock: func() time.Time { return q.now },
		}
	}
	return q
}

// ask asks a control host for a permission.
func (q *quorum) ask(t *testing.T, address string, rate zinniapond.RequestRate, maxWait time.Duration) zinniapond.PermitReply {
	t.Helper()
	var reply zinniapond.PermitReply
	limit := zinniapond.LimitReport{Replica: replica.Address, ID: replica.ID, Rate: rate}
	assert.NoError(t, q.hosts[netip.MustParseAddrPort(address)].Acquire(zinniapond.PermitRequest{Limit: limit, MaxWait: maxWait}, &reply))
	return reply
}

// grantsOver asks every host a hundred times a second and returns when requests may be
// sent.
func (q *quorum) grantsOver(t *testing.T, span time.Duration, rate zinniapond.RequestRate, maxWait time.Duration, addresses ...string) []time.Time {
	t.Helper()
	var sent []time.Time
	const step = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < span; elapsed += step {
		for _, a := range addresses {
			if reply := q.ask(t, a, rate, maxWait); reply.Granted {
				sent = append(sent, q.now.Add(max(reply.Wait, 0)))
			}
		}
		if elapsed%relayInterval == 0 {
			for _, g := range q.hosts {
				g.relay(context.Background(), q.now)
			}
		}
		q.now = q.now.Add(step)
	}
	slices.SortFunc(sent, time.Time.Compare)
	return sent
}

// assertWithin fails if more requests are sent in some window of 4 s than a replica with
// the given limit accepts, or less than it accepts on the whole.
func assertWithin(t *testing.T, sent []time.Time, rate zinniapond.RequestRate, span time.Duration) {
	t.Helper()
	const window = 4 * time.Second
	allowed := int(1.5*float64(rate)*window.Seconds()) + 5
	for i := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(sent[i]) < window {
				count++
			}
		}
		assert.True(t, count <= allowed, "%d requests within %s, allowed %d", count, window, allowed)
	}
	assert.True(t, float64(len(sent)) >= 0.9*float64(rate)*span.Seconds(), "only %d requests in %s", len(sent), span)
}

const (
	hostA, hostB, hostC = "10.1.0.1:7000", "10.1.0.2:7000", "10.1.0.3:7000"
	span                = 12 * time.Second
)

func TestLimit(t *testing.T) {
	for _, rate := range []zinniapond.RequestRate{0.25, 1, 4, 40} {
		t.Run("guards against more requests than a replica accepts", func(t *testing.T) {
			q := newQuorum(hostA)
			assertWithin(t, q.grantsOver(t, span, rate, 0, hostA), rate, span)
		})
		t.Run("guards against more requests than a replica accepts when all wait for permissions", func(t *testing.T) {
			q := newQuorum(hostA)
			assertWithin(t, q.grantsOver(t, span, rate, time.Second, hostA), rate, span)
		})
		t.Run("guards against each control host granting the whole limit", func(t *testing.T) {
			q := newQuorum(hostA, hostB, hostC)
			assertWithin(t, q.grantsOver(t, span, rate, 0, hostA, hostB, hostC), rate, span)
		})
	}
	t.Run("guards against a burst after a pause", func(t *testing.T) {
		q := newQuorum(hostA)
		q.ask(t, hostA, 4, 0)
		q.now = q.now.Add(30 * time.Second)
		assertWithin(t, q.grantsOver(t, span, 4, 0, hostA), 4, span)
	})
	t.Run("guards against more requests than a replica accepts when another control host takes over", func(t *testing.T) {
		q := newQuorum(hostA, hostB)
		sent := q.grantsOver(t, span, 4, 0, hostA)
		q.cut = true
		sent = append(sent, q.grantsOver(t, span, 4, 0, hostB)...)
		assertWithin(t, sent, 4, 2*span)
	})
}

func TestAcquire(t *testing.T) {
	t.Run("guards against a prompt without cache taking a permission that conversations need", func(t *testing.T) {
		q := newQuorum(hostA)
		q.ask(t, hostA, 1, 0)
		q.now = q.now.Add(1100 * time.Millisecond)
		assert.True(t, !q.ask(t, hostA, 1, -200*time.Millisecond).Granted, "granted 100 ms after it became available")
		q.now = q.now.Add(200 * time.Millisecond)
		assert.True(t, q.ask(t, hostA, 1, -200*time.Millisecond).Granted, "refused 300 ms after it became available")
	})
	t.Run("guards against a refusal without the time until the next permission", func(t *testing.T) {
		q := newQuorum(hostA)
		for range 3 {
			q.ask(t, hostA, 2, time.Second)
		}
		reply := q.ask(t, hostA, 2, time.Second)
		assert.True(t, !reply.Granted, "a fourth request is granted")
		assert.Equal(t, reply.Wait, 1500*time.Millisecond)
	})
	t.Run("guards against limits that a control host has forgotten with its restart", func(t *testing.T) {
		q := newQuorum(hostA)
		assert.True(t, q.ask(t, hostA, 1, 0).Granted, "the first is refused")
		assert.True(t, !q.ask(t, hostA, 1, 0).Granted, "the limit is not known")
	})
	t.Run("guards against the successor of a replica waiting for its predecessor's permissions", func(t *testing.T) {
		q := newQuorum(hostA)
		q.ask(t, hostA, 1, time.Hour)
		q.now = q.now.Add(time.Second)
		var reply zinniapond.PermitReply
		limit := zinniapond.LimitReport{Replica: replica.Address, ID: "i-2", Rate: 1}
		assert.NoError(t, q.hosts[netip.MustParseAddrPort(hostA)].Acquire(zinniapond.PermitRequest{Limit: limit}, &reply))
		assert.True(t, reply.Granted, "the successor's first request is refused")
	})
}

func TestRelay(t *testing.T) {
	relay := func(t *testing.T, q *quorum, count uint64) {
		t.Helper()
		request := zinniapond.GrantsRequest{Sender: netip.MustParseAddrPort(hostB), Grants: []zinniapond.GrantCount{{Replica: replica.Address, ID: replica.ID, Count: count}}}
		assert.NoError(t, q.hosts[netip.MustParseAddrPort(hostA)].Relay(request, new(zinniapond.GrantsReply)))
	}
	t.Run("guards against a restarted control host that books all grants of another at once", func(t *testing.T) {
		q := newQuorum(hostA)
		q.ask(t, hostA, 1, 0)
		relay(t, q, 500)
		assert.True(t, q.ask(t, hostA, 1, 3*time.Second).Granted, "the next request would wait for longer than 3 s")
	})
	t.Run("guards against grants that are not counted as their message was lost", func(t *testing.T) {
		q := newQuorum(hostA)
		q.ask(t, hostA, 1, 0)
		relay(t, q, 1)
		relay(t, q, 4)
		assert.Equal(t, q.ask(t, hostA, 1, 0).Wait, 5*time.Second)
	})
	t.Run("guards against grants that are not counted after a restart of their host", func(t *testing.T) {
		q := newQuorum(hostA)
		q.ask(t, hostA, 1, 0)
		relay(t, q, 1)
		relay(t, q, 5)
		relay(t, q, 2)
		assert.Equal(t, q.ask(t, hostA, 1, 0).Wait, 8*time.Second)
	})
	t.Run("guards against permissions that are kept for replicas without a limit", func(t *testing.T) {
		q := newQuorum(hostA)
		g := q.hosts[netip.MustParseAddrPort(hostA)]
		q.ask(t, hostA, 1, 0)
		q.now = q.now.Add(time.Hour)
		g.relay(context.Background(), q.now)
		assert.Equal(t, g.buckets.Len(), 0)
	})
}

// BenchmarkAcquire measures one permission at the size to design for, with all of 600
// replicas limited.
func BenchmarkAcquire(b *testing.B) {
	q := newQuorum(hostA)
	g := q.hosts[netip.MustParseAddrPort(hostA)]
	for i := 0; b.Loop(); i++ {
		q.now = q.now.Add(time.Millisecond)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i % 600 >> 8), byte(i % 600)}), 80)
		request := zinniapond.PermitRequest{Limit: zinniapond.LimitReport{Replica: address, ID: "i-1", Rate: 4}}
		if err := g.Acquire(request, new(zinniapond.PermitReply)); err != nil {
			b.Fatal(err)
		}
	}
}
