package ledger

import (
	"context"
	"errors"
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// TestMain gives the property test a fixed seed and bounds its number of checks
// and steps.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	ctx             = context.Background()
	errDisconnected = errors.New("host is disconnected")
	startTime       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

const (
	testBudget = 1000
	testWindow = time.Minute
)

// simulation has one plan with one budget, the journal of its home shard, and
// hosts with clocks that differ. It implements the directory of all hosts.
type simulation struct {
	now           time.Time // time by the clock of the hosts in homeHosts
	plan          zinniapond.Plan
	view          zinniapond.ControlView
	ledgers       map[zinniapond.HostName]*Ledger
	clockSkew     map[zinniapond.HostName]time.Duration // by host, relative to now
	disconnected  map[zinniapond.HostName]bool          // hosts that cannot exchange messages with others
	losesReplies  bool                                  // requests are executed but their replies are lost
	records       []zinniapond.Record                   // the journal of the home shard
	epoch         zinniapond.Epoch                      // newest epoch of the home shard
	appendFailure string                                // an append fails "before" or "after" the record is in the journal; empty for never
	peerCalls     int                                   // number of requests to other hosts
	callDelay     time.Duration                         // delay of each request and of each reply
}

// The hosts that may own the home shard, homeHosts, have the same clock, so
// that all of them begin a window at the same time. The clocks of the other
// hosts differ.
var (
	homeHosts = []zinniapond.HostName{"a", "b"}
	hosts     = []zinniapond.HostName{"a", "b", "c", "d"}
)

func newSimulation() *simulation {
	s := &simulation{
		now:          startTime,
		plan:         zinniapond.Plan{Name: "p", Budget: testBudget, BudgetWindow: testWindow},
		ledgers:      make(map[zinniapond.HostName]*Ledger),
		clockSkew:    map[zinniapond.HostName]time.Duration{"c": -7 * time.Hour, "d": 40 * time.Second},
		disconnected: make(map[zinniapond.HostName]bool),
	}
	s.view = zinniapond.ControlView{
		Shards: 1, Members: make(map[zinniapond.HostName]zinniapond.Member),
		Assignments: map[zinniapond.ShardID]zinniapond.Assignment{},
	}
	for i, h := range hosts {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		s.view.Members[h] = zinniapond.Member{Name: h, PeersAddress: address}
		s.startHost(h)
	}
	s.moveHome("a")
	return s
}

// startHost replaces the ledger of a host by an empty one, as at the start of
// its process.
func (s *simulation) startHost(host zinniapond.HostName) {
	ledger := &Ledger{Host: host, Directory: s, Logger: hclog.NewNullLogger()}
	ledger.Peers, ledger.Journal = peerLink{s, host}, journal{s}
	ledger.Clock = func() time.Time { return s.clockOf(host) }
	s.ledgers[host] = ledger
}

func (s *simulation) clockOf(host zinniapond.HostName) time.Time { return s.now.Add(s.clockSkew[host]) }

// moveHome assigns the home shard to a host, which recovers it from the
// journal.
func (s *simulation) moveHome(host zinniapond.HostName) {
	s.epoch++
	s.view.Assignments[0] = zinniapond.Assignment{Owner: host, Epoch: s.epoch}
	ledger := s.ledgers[host]
	ledger.StopGranting(0)
	for _, r := range s.records {
		ledger.Restore(s.clockOf(host), 0, r)
	}
	ledger.StartGranting(s.clockOf(host), 0, s.epoch)
}

func (s *simulation) View() *zinniapond.ControlView { return &s.view }
func (s *simulation) Catalog() *zinniapond.Catalog {
	return &zinniapond.Catalog{Plans: map[zinniapond.PlanName]zinniapond.Plan{"p": s.plan}}
}
func (s *simulation) LeaseValid(time.Time) bool { return true }
func (s *simulation) ConfirmedAt() time.Time    { return s.now }
func (s *simulation) Changed() <-chan struct{}  { return nil }

type peerLink struct {
	*simulation
	from zinniapond.HostName
}

func (p peerLink) Call(_ context.Context, peer netip.AddrPort, _ string, request, reply any) error {
	p.peerCalls++
	for h, m := range p.view.Members {
		if m.PeersAddress != peer {
			continue
		}
		if p.disconnected[p.from] || p.disconnected[h] {
			return errDisconnected
		}
		p.now = p.now.Add(p.callDelay)
		err := p.ledgers[h].Grant(request.(*zinniapond.GrantRequest), reply.(*zinniapond.GrantReply))
		p.now = p.now.Add(p.callDelay)
		if p.losesReplies {
			return errDisconnected
		}
		return err
	}
	return errDisconnected
}

type journal struct{ *simulation }

func (j journal) Append(_ context.Context, _ time.Time, _ zinniapond.ShardID, epoch zinniapond.Epoch, records ...zinniapond.Record) error {
	if epoch != j.epoch {
		return zinniapond.ErrFenced
	}
	if j.appendFailure == "before" {
		return zinniapond.ErrNoQuorum
	}
	j.records = append(j.records, records...)
	if j.appendFailure == "after" {
		return zinniapond.ErrNoQuorum
	}
	return nil
}

func (journal) Recover(context.Context, time.Time, zinniapond.Assignment, func(zinniapond.Record) error) error {
	return nil
}

func (journal) History(context.Context, time.Time, zinniapond.ShardID, zinniapond.ProgramID, func(zinniapond.Record) error) error {
	return nil
}

func (s *simulation) reserve(host zinniapond.HostName, amount zinniapond.Tokens) (zinniapond.Reservation, error) {
	return s.ledgers[host].Reserve(ctx, s.clockOf(host), s.plan, amount)
}

func TestFuzz(t *testing.T) {
	t.Run("guards against spending more than the budget in a window", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			s := newSimulation()
			type heldReservation struct {
				zinniapond.Reservation
				host zinniapond.HostName
			}
			var reservations []heldReservation
			spent := make(map[time.Time]zinniapond.Tokens)
			host := rapid.SampledFrom(hosts)
			reserve := func(r *rapid.T) {
				h := host.Draw(r, "host")
				v, err := s.reserve(h, zinniapond.Tokens(rapid.IntRange(0, 300).Draw(r, "amount")))
				if err != nil {
					return
				}
				if s.now.Before(v.WindowStart) || !s.now.Before(v.WindowStart.Add(testWindow)) {
					r.Fatalf("window %s was spent from at %s", v.WindowStart, s.now)
				}
				reservations = append(reservations, heldReservation{v, h})
				spent[v.WindowStart] += v.Amount
				if spent[v.WindowStart] > testBudget {
					r.Fatalf("%d of %d tokens spent in window %s", spent[v.WindowStart], testBudget, v.WindowStart)
				}
			}
			r.Repeat(map[string]func(*rapid.T){
				"reserve1": reserve, "reserve2": reserve, "reserve3": reserve,
				"settle": func(r *rapid.T) {
					if len(reservations) == 0 {
						r.Skip("nothing reserved")
					}
					i := rapid.IntRange(0, len(reservations)-1).Draw(r, "which")
					v := reservations[i]
					reservations = append(reservations[:i], reservations[i+1:]...)
					used := zinniapond.Tokens(rapid.IntRange(0, int(v.Amount)).Draw(r, "used"))
					s.ledgers[v.host].Settle(s.clockOf(v.host), v.Reservation, used)
					spent[v.WindowStart] -= v.Amount - used
				},
				"return": func(r *rapid.T) {
					h := host.Draw(r, "host")
					s.ledgers[h].ReturnIdle(ctx, s.clockOf(h))
				},
				"pass": func(r *rapid.T) {
					s.now = s.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(r, "ms")) * time.Millisecond)
				},
				"move":    func(r *rapid.T) { s.moveHome(rapid.SampledFrom(homeHosts).Draw(r, "home")) },
				"restart": func(r *rapid.T) { s.restartHost(host.Draw(r, "host")) },
				"cut":     func(r *rapid.T) { s.disconnected[host.Draw(r, "host")] = true },
				"heal":    func(*rapid.T) { clear(s.disconnected); s.losesReplies, s.appendFailure, s.callDelay = false, "", 0 },
				"slow":    func(r *rapid.T) { s.callDelay = time.Duration(rapid.IntRange(0, 20).Draw(r, "s")) * time.Second },
				"mute":    func(*rapid.T) { s.losesReplies = true },
				"break":   func(r *rapid.T) { s.appendFailure = rapid.SampledFrom([]string{"before", "after"}).Draw(r, "when") },
			})
		})
	})
}

// restartHost restarts the process of a host, which loses its memory. If the
// host owns the home shard, it recovers the shard.
func (s *simulation) restartHost(host zinniapond.HostName) {
	s.startHost(host)
	if s.view.Assignments[0].Owner == host {
		s.moveHome(host)
	}
}

func TestGrants(t *testing.T) {
	t.Run("guards against a window granted from after its end by a home whose clock is behind", func(t *testing.T) {
		s := newSimulation()
		s.now = s.now.Add(testWindow)
		first, err := s.reserve("a", testBudget/2)
		assert.NoError(t, err)
		s.clockSkew["b"] = -testWindow
		s.moveHome("b")
		r, err := s.reserve("c", 1)
		assert.NoError(t, err)
		assert.Equal(t, r.WindowStart, first.WindowStart)
		_, err = s.reserve("c", testBudget/2)
		assert.ErrorIs(t, err, zinniapond.ErrBudgetExhausted)
	})
	t.Run("guards against a plan's old budget being spent after it was lowered", func(t *testing.T) {
		s := newSimulation()
		_, err := s.reserve("c", 10) // the grant is larger
		assert.NoError(t, err)
		s.plan.Budget = 60
		_, err = s.reserve("c", 10)
		assert.ErrorIs(t, err, zinniapond.ErrBudgetExhausted)
	})
	t.Run("guards against an old window's grant being spent after the window was shortened", func(t *testing.T) {
		s := newSimulation()
		_, err := s.reserve("c", 10) // the grant is larger
		assert.NoError(t, err)
		s.plan.BudgetWindow, s.plan.Budget = time.Second, testBudget+1
		s.disconnected["a"] = true
		_, err = s.reserve("c", 10)
		assert.ErrorIs(t, err, zinniapond.ErrOverload)
	})
	t.Run("guards against a plan refused until its old window ends after the window was lengthened", func(t *testing.T) {
		s := newSimulation()
		s.now = s.now.Add(5 * testWindow)
		_, err := s.reserve("c", 100)
		assert.NoError(t, err)
		s.plan.BudgetWindow = time.Hour
		r, err := s.reserve("c", 100)
		assert.NoError(t, err)
		s.now = startTime.Add(time.Hour)
		next, err := s.reserve("c", 100)
		assert.NoError(t, err)
		assert.True(t, next.WindowStart.After(r.WindowStart), "a grant outlived its window")
	})
	t.Run("guards against a lost home ending the use of grants that are held", func(t *testing.T) {
		s := newSimulation()
		_, err := s.reserve("c", 10)
		assert.NoError(t, err)
		s.disconnected["a"] = true
		_, err = s.reserve("c", 40)
		assert.NoError(t, err)
		_, err = s.reserve("c", 40)
		assert.ErrorIs(t, err, zinniapond.ErrOverload)
	})
	t.Run("guards against many messages for a budget and against much of it being stranded", func(t *testing.T) {
		s := newSimulation()
		s.plan.Budget = 200_000
		var spent zinniapond.Tokens
		var refused int
		for n := 0; refused < 100; n++ {
			h := hosts[(n*n/7+n)%len(hosts)]
			s.now = s.now.Add(time.Millisecond)
			r, err := s.reserve(h, 500)
			if err != nil {
				refused++
				continue
			}
			s.ledgers[h].Settle(s.clockOf(h), r, 350)
			spent += 350
		}
		t.Logf("spent %d of %d tokens in calls of 350 with %d messages", spent, s.plan.Budget, s.peerCalls)
		assert.True(t, spent > s.plan.Budget*98/100, "only %d tokens were spent", spent)
		assert.True(t, s.peerCalls < 100, "%d messages", s.peerCalls)
	})
	t.Run("guards against an idle holder keeping its grant to the end of the window", func(t *testing.T) {
		s := newSimulation()
		r, err := s.reserve("c", 400)
		assert.NoError(t, err)
		s.ledgers["c"].Settle(s.clockOf("c"), r, 0)
		_, err = s.reserve("d", 700)
		assert.ErrorIs(t, err, zinniapond.ErrBudgetExhausted)
		s.now = s.now.Add(testWindow / 4)
		s.ledgers["c"].ReturnIdle(ctx, s.clockOf("c"))
		_, err = s.reserve("d", 700)
		assert.NoError(t, err)
		s.disconnected["a"] = true
		_, err = s.reserve("c", 400) // what was given back is not spent
		assert.ErrorIs(t, err, zinniapond.ErrOverload)
	})
}
