package quotas

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
	"zinniapond.example/zinniapond/internal/policy/allow"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// quorum is a set of control hosts with a common clock.
type quorum struct {
	mu       sync.Mutex // guards now and cut
	now      time.Time
	counters map[netip.AddrPort]*Counter
	list     []netip.AddrPort
	routing  zinniapond.Routing
	age      time.Duration // of the configuration
	cut      map[netip.AddrPort]bool
	log      bytes.Buffer
}

func (q *quorum) View() *zinniapond.ControlView {
	view := &zinniapond.ControlView{Routing: &q.routing}
	for _, a := range q.list {
		view.Voters = append(view.Voters, zinniapond.VoterKey{Name: zinniapond.HostName(a.String())})
	}
	return view
}
func (q *quorum) Catalog() *zinniapond.Catalog { return nil }
func (q *quorum) LeaseValid(time.Time) bool    { return true }
func (q *quorum) ConfirmedAt() time.Time       { return q.clock().Add(-q.age) }
func (q *quorum) Changed() <-chan struct{}     { return nil }

// link is the network from one host.
type link struct {
	*quorum
	from netip.AddrPort
}

func (l link) Call(_ context.Context, to netip.AddrPort, method string, request, reply any) error {
	l.mu.Lock()
	cut := l.cut[to] || l.cut[l.from]
	l.mu.Unlock()
	if cut {
		return zinniapond.ErrUnavailable
	}
	if method == "Quotas.Acquire" {
		return l.counters[to].Acquire(request.(zinniapond.QuotaRequest), reply.(*zinniapond.QuotaReply))
	}
	return l.counters[to].Accept(request.(zinniapond.CounterRequest), reply.(*zinniapond.CounterReply))
}

func (q *quorum) clock() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.now
}

func (q *quorum) advance(span time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.now = q.now.Add(span)
}

// cutOff cuts the connections of control hosts.
func (q *quorum) cutOff(hosts ...int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, i := range hosts {
		q.cut[q.list[i]] = true
	}
}

// newQuorum returns control hosts that were started a minute ago, and one plan.
func newQuorum(count int) *quorum {
	q := &quorum{now: start, counters: make(map[netip.AddrPort]*Counter), cut: make(map[netip.AddrPort]bool)}
	q.setPlan(10, 20)
	logger := hclog.New(&hclog.LoggerOptions{Output: &q.log})
	for i := range count {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7000)
		q.list = append(q.list, a)
		q.counters[a] = &Counter{
			Address: a, Peers: link{q, a}, ControlHosts: hosts.Chooser{Directory: q}, MaxConfigAge: 4 * time.Second, Stats: new(stats.Set[string]), Logger: logger,
			Policy: allow.Policy{Access: zinniapond.AccessSettings{QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 0}}, Clock: q.clock,
		}
		q.counters[a].vote.start(start)
	}
	q.advance(time.Minute)
	return q
}

func (q *quorum) setPlan(rate zinniapond.RequestRate, burst int) {
	q.routing.Version++
	q.routing.Plans = []zinniapond.Plan{{Name: "p", RequestRate: rate, RequestBurst: burst}}
}

// ask asks a control host for tokens for requests of programs that were begun.
func (q *quorum) ask(host, count int) (zinniapond.QuotaReply, error) {
	return q.askFor(host, "f", zinniapond.QuotaNeed{Plan: "p", Continuing: count})
}

// askFor asks a control host for what a front needs.
func (q *quorum) askFor(host int, front zinniapond.HostName, need zinniapond.QuotaNeed) (zinniapond.QuotaReply, error) {
	var reply zinniapond.QuotaReply
	err := q.counters[q.list[host]].Acquire(zinniapond.QuotaRequest{Sender: front, Needs: []zinniapond.QuotaNeed{need}}, &reply)
	return reply, err
}

// assertGranted fails unless a control host grants the given number of tokens.
func assertGranted(t *testing.T, q *quorum, host, count, want int) zinniapond.QuotaReply {
	t.Helper()
	reply, err := q.ask(host, count)
	assert.NoError(t, err)
	assert.Equal(t, reply.Grants[0].Continuing, want)
	return reply
}

func TestAcquire(t *testing.T) {
	t.Run("guards against an empty bucket after a start without earlier grants", func(t *testing.T) {
		assertGranted(t, newQuorum(5), 0, 100, 20)
	})
	t.Run("guards against control hosts that each grant the burst", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q := newQuorum(5)
			assertGranted(t, q, 0, 100, 20)
			// The lease is granted by a majority; the other hosts learn of it now.
			synctest.Wait()
			for i := range q.list {
				assert.Equal(t, assertGranted(t, q, i, 100, 0).Counter, q.list[0])
			}
		})
	})
	t.Run("guards against a second burst from hosts that have not learned which one counts", func(t *testing.T) {
		q := newQuorum(5)
		assertGranted(t, q, 0, 100, 20)
		for i := range q.list {
			// A host that has not heard of the lease yet may name none that counts.
			if reply, err := q.ask(i, 100); err == nil {
				assert.Equal(t, reply.Grants[0].Continuing, 0)
			}
		}
	})
	t.Run("guards against a grant without a majority", func(t *testing.T) {
		q := newQuorum(5)
		assertGranted(t, q, 0, 1, 1)
		q.cutOff(2, 3, 4)
		q.advance(leaseTime)
		_, err := q.ask(0, 1)
		assert.ErrorIs(t, err, zinniapond.ErrUnavailable)
	})
	t.Run("guards against the burst of a host that takes over", func(t *testing.T) {
		q := newQuorum(5)
		assertGranted(t, q, 0, 20, 20)
		q.cutOff(0)
		_, err := q.ask(1, 20)
		assert.ErrorIs(t, err, zinniapond.ErrUnavailable)
		q.advance(leaseTime)
		assertGranted(t, q, 1, 100, 0)
		q.advance(100 * time.Millisecond)
		assertGranted(t, q, 1, 100, 1)
	})
	t.Run("guards against a bucket that is empty after a pause of the load", func(t *testing.T) {
		q := newQuorum(5)
		assertGranted(t, q, 0, 20, 20)
		q.advance(time.Minute)
		assertGranted(t, q, 0, 100, 20)
	})
	t.Run("guards against a host that grants by an old configuration", func(t *testing.T) {
		q := newQuorum(1)
		q.age = 5 * time.Second
		_, err := q.ask(0, 1)
		assert.ErrorIs(t, err, zinniapond.ErrStaleConfig)
	})
	t.Run("guards against the burst of the former limit", func(t *testing.T) {
		q := newQuorum(1)
		assertGranted(t, q, 0, 1, 1)
		q.setPlan(1, 2)
		assertGranted(t, q, 0, 100, 2)
	})
	t.Run("guards against the return of tokens that another term has granted", func(t *testing.T) {
		q := newQuorum(1)
		mark := assertGranted(t, q, 0, 20, 20).Mark
		mark.Counter++
		var reply zinniapond.QuotaReply
		need := zinniapond.QuotaNeed{Plan: "p", Continuing: 100, Unused: []zinniapond.UnusedTokens{{Mark: mark, Count: 20}}}
		assert.NoError(t, q.counters[q.list[0]].Acquire(zinniapond.QuotaRequest{Needs: []zinniapond.QuotaNeed{need}}, &reply))
		assert.Equal(t, reply.Grants[0].Continuing, 0)
	})
	t.Run("guards against plans that are not in the configuration", func(t *testing.T) {
		q := newQuorum(1)
		q.routing.Version, q.routing.Plans = 9, nil
		reply, err := q.ask(0, 1)
		assert.NoError(t, err)
		assert.True(t, reply.Grants[0].Unknown, "the plan is known")
	})
}

// assertBegins fails unless a control host lets a front begin the wanted number of programs.
func assertBegins(t *testing.T, q *quorum, host, count, want int) {
	t.Helper()
	reply, err := q.askFor(host, "other", zinniapond.QuotaNeed{Plan: "p", Beginning: count})
	assert.NoError(t, err)
	assert.Equal(t, reply.Grants[0].Beginning, want)
}

func TestQueue(t *testing.T) {
	// takenOver returns control hosts of which number 1 has just begun to count, and a front
	// that waits for 15 tokens.
	takenOver := func(t *testing.T) *quorum {
		q := newQuorum(5)
		assertGranted(t, q, 0, 20, 20)
		q.cutOff(0)
		q.advance(leaseTime)
		assertGranted(t, q, 1, 15, 0)
		return q
	}
	t.Run("guards against programs that begin at one front while begun ones wait at another", func(t *testing.T) {
		q := takenOver(t)
		q.advance(250 * time.Millisecond)
		assertBegins(t, q, 1, 5, 0)
		assertGranted(t, q, 1, 15, 2)
	})
	t.Run("guards against programs that wait for requests that were served", func(t *testing.T) {
		q := takenOver(t)
		q.advance(250 * time.Millisecond)
		assertGranted(t, q, 1, 2, 2)
		q.advance(250 * time.Millisecond)
		assertBegins(t, q, 1, 5, 3)
	})
	t.Run("guards against programs that wait for a front that was killed", func(t *testing.T) {
		q := takenOver(t)
		q.advance(time.Second)
		assertBegins(t, q, 1, 5, 5)
	})
	t.Run("guards against fronts that are told to return for the same token", func(t *testing.T) {
		q := newQuorum(1)
		assertGranted(t, q, 0, 23, 20) // 3 requests wait
		reply, err := q.askFor(0, "other", zinniapond.QuotaNeed{Plan: "p", Continuing: 1})
		assert.NoError(t, err)
		assert.Equal(t, reply.Grants[0].OtherWait, 400*time.Millisecond)
	})
}

func TestFilledIn(t *testing.T) {
	t.Run("guards against fronts that do not know that a count is new", func(t *testing.T) {
		q := newQuorum(5)
		assert.Equal(t, assertGranted(t, q, 0, 20, 20).FilledIn, 0)
		q.cutOff(0)
		q.advance(leaseTime)
		assert.Equal(t, assertGranted(t, q, 1, 100, 0).FilledIn, 7*time.Second)
		q.advance(7 * time.Second)
		assert.Equal(t, assertGranted(t, q, 1, 1, 1).FilledIn, 0)
	})
}

func TestLog(t *testing.T) {
	t.Run("guards against a log line for each refusal", func(t *testing.T) {
		q := newQuorum(1)
		c := q.counters[q.list[0]]
		for range 50 {
			_, err := q.ask(0, 100)
			assert.NoError(t, err)
			c.prune(q.now)
			q.advance(100 * time.Millisecond)
		}
		assert.Equal(t, c.Limited(), []zinniapond.PlanName{"p"})
		assert.Equal(t, c.Stats.Value("quotas.refused.p") > 0, true)
		q.advance(underLimitTime + time.Second)
		c.prune(q.now)
		c.prune(q.now)
		assert.Equal(t, len(c.Limited()), 0)
		assert.Equal(t, strings.Count(q.log.String(), "has reached its request limit"), 1)
		assert.Equal(t, strings.Count(q.log.String(), "under its request limit again"), 1)
	})
	t.Run("guards against a counter for each of many plans", func(t *testing.T) {
		q := newQuorum(1)
		c := q.counters[q.list[0]]
		q.routing.Plans = nil
		for i := range 2 * maxCounters {
			q.routing.Plans = append(q.routing.Plans, zinniapond.Plan{Name: zinniapond.PlanName(fmt.Sprint(i)), RequestRate: 1, RequestBurst: 1})
		}
		q.routing.Version++
		for _, p := range q.routing.Plans {
			need := zinniapond.QuotaNeed{Plan: p.Name, Continuing: 9}
			assert.NoError(t, c.Acquire(zinniapond.QuotaRequest{Needs: []zinniapond.QuotaNeed{need}}, new(zinniapond.QuotaReply)))
		}
		assert.Equal(t, c.counters.Len(), maxCounters)
	})
}

func TestPrune(t *testing.T) {
	t.Run("guards against buckets of idle plans that are kept", func(t *testing.T) {
		q := newQuorum(1)
		c := q.counters[q.list[0]]
		assertGranted(t, q, 0, 20, 20)
		c.prune(q.now)
		assert.Equal(t, c.plans.Len(), 1)
		q.advance(time.Minute)
		c.prune(q.now)
		assert.Equal(t, c.plans.Len(), 0)
		assertGranted(t, q, 0, 100, 20)
	})
}

// BenchmarkAcquire measures a message with four needs at the size to design for: 21,000
// plans, all of them active.
func BenchmarkAcquire(b *testing.B) {
	q := newQuorum(1)
	q.routing.Plans = nil
	for i := range 21000 {
		q.routing.Plans = append(q.routing.Plans, zinniapond.Plan{Name: zinniapond.PlanName(fmt.Sprint(i)), RequestRate: 10, RequestBurst: 20})
	}
	q.routing.Version++
	c := q.counters[q.list[0]]
	needs := make([]zinniapond.QuotaNeed, 4)
	for i := 0; b.Loop(); i++ {
		q.advance(time.Millisecond)
		for j := range needs {
			needs[j] = zinniapond.QuotaNeed{Plan: q.routing.Plans[(4*i+j)%len(q.routing.Plans)].Name, Continuing: 1}
		}
		if err := c.Acquire(zinniapond.QuotaRequest{Needs: needs}, new(zinniapond.QuotaReply)); err != nil {
			b.Fatal(err)
		}
	}
}
