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

// TestMain gives the fuzz test a fixed seed and a bounded size.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	ctx    = context.Background()
	errCut = errors.New("link is cut")
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

const (
	testBudget = 1000
	testWindow = time.Minute
)

// world has one plan, its home's journal, and hosts with clocks of their own.
type world struct {
	now     time.Time // by the home's clock
	plan    zinniapond.Plan
	view    zinniapond.ControlView
	ledgers map[zinniapond.HostName]*Ledger
	skew    map[zinniapond.HostName]time.Duration
	cut     map[zinniapond.HostName]bool // from the home
	mute    bool                         // answers of the home are lost
	records []zinniapond.Record
	epoch   zinniapond.Epoch
	broken  string // "before" or "after" the record is in the journal
	calls   int
	slow    time.Duration // how long each way of a call takes
}

// homes have the same clock, so that a window has one beginning; the clocks of
// the other hosts differ.
var (
	homes = []zinniapond.HostName{"a", "b"}
	hosts = []zinniapond.HostName{"a", "b", "c", "d"}
)

func newWorld() *world {
	w := &world{
		now:     start,
		plan:    zinniapond.Plan{Name: "p", Budget: testBudget, Window: testWindow},
		ledgers: make(map[zinniapond.HostName]*Ledger),
		skew:    map[zinniapond.HostName]time.Duration{"c": -7 * time.Hour, "d": 40 * time.Second},
		cut:     make(map[zinniapond.HostName]bool),
	}
	w.view = zinniapond.ControlView{
		Shards: 1, Members: make(map[zinniapond.HostName]zinniapond.Member),
		Assignments: map[zinniapond.ShardID]zinniapond.Assignment{},
	}
	for i, h := range hosts {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		w.view.Members[h] = zinniapond.Member{Name: h, Peers: address}
		w.start(h)
	}
	w.move("a")
	return w
}

// start makes a host's ledger, as a new process has it.
func (w *world) start(host zinniapond.HostName) {
	g := &Ledger{Host: host, Directory: w, Logger: hclog.NewNullLogger()}
	g.Peers, g.Journal = link{w, host}, journal{w}
	g.Clock = func() time.Time { return w.clock(host) }
	w.ledgers[host] = g
}

func (w *world) clock(host zinniapond.HostName) time.Time { return w.now.Add(w.skew[host]) }

// move gives the home to a host.
func (w *world) move(host zinniapond.HostName) {
	w.epoch++
	w.view.Assignments[0] = zinniapond.Assignment{Owner: host, Epoch: w.epoch}
	g := w.ledgers[host]
	g.Drop(0)
	for _, r := range w.records {
		g.Restore(w.clock(host), 0, r)
	}
	g.Serve(w.clock(host), 0, w.epoch)
}

func (w *world) View() *zinniapond.ControlView { return &w.view }
func (w *world) Catalog() *zinniapond.Catalog {
	return &zinniapond.Catalog{Plans: map[zinniapond.PlanName]zinniapond.Plan{"p": w.plan}}
}
func (w *world) Fresh(time.Time) bool     { return true }
func (w *world) Confirmed() time.Time     { return w.now }
func (w *world) Changed() <-chan struct{} { return nil }

type link struct {
	*world
	from zinniapond.HostName
}

func (l link) Call(_ context.Context, peer netip.AddrPort, _ string, request, reply any) error {
	l.calls++
	for h, m := range l.view.Members {
		if m.Peers != peer {
			continue
		}
		if l.cut[l.from] || l.cut[h] {
			return errCut
		}
		l.now = l.now.Add(l.slow)
		err := l.ledgers[h].Grant(request.(*zinniapond.GrantRequest), reply.(*zinniapond.GrantReply))
		l.now = l.now.Add(l.slow)
		if l.mute {
			return errCut
		}
		return err
	}
	return errCut
}

type journal struct{ *world }

func (j journal) Append(_ context.Context, _ time.Time, _ zinniapond.ShardID, epoch zinniapond.Epoch, records ...zinniapond.Record) error {
	if epoch != j.epoch {
		return zinniapond.ErrFenced
	}
	if j.broken == "before" {
		return zinniapond.ErrNoQuorum
	}
	j.records = append(j.records, records...)
	if j.broken == "after" {
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

func (w *world) reserve(host zinniapond.HostName, amount zinniapond.Tokens) (zinniapond.Reservation, error) {
	return w.ledgers[host].Reserve(ctx, w.clock(host), w.plan, amount)
}

func TestFuzz(t *testing.T) {
	t.Run("guards against spending more than the budget in a window", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			w := newWorld()
			type held struct {
				zinniapond.Reservation
				host zinniapond.HostName
			}
			var open []held
			spent := make(map[time.Time]zinniapond.Tokens)
			host := rapid.SampledFrom(hosts)
			reserve := func(r *rapid.T) {
				h := host.Draw(r, "host")
				v, err := w.reserve(h, zinniapond.Tokens(rapid.IntRange(0, 300).Draw(r, "amount")))
				if err != nil {
					return
				}
				if w.now.Before(v.Window) || !w.now.Before(v.Window.Add(testWindow)) {
					r.Fatalf("window %s was spent from at %s", v.Window, w.now)
				}
				open = append(open, held{v, h})
				spent[v.Window] += v.Amount
				if spent[v.Window] > testBudget {
					r.Fatalf("%d of %d tokens spent in window %s", spent[v.Window], testBudget, v.Window)
				}
			}
			r.Repeat(map[string]func(*rapid.T){
				"reserve1": reserve, "reserve2": reserve, "reserve3": reserve,
				"settle": func(r *rapid.T) {
					if len(open) == 0 {
						r.Skip("nothing reserved")
					}
					i := rapid.IntRange(0, len(open)-1).Draw(r, "which")
					v := open[i]
					open = append(open[:i], open[i+1:]...)
					used := zinniapond.Tokens(rapid.IntRange(0, int(v.Amount)).Draw(r, "used"))
					w.ledgers[v.host].Settle(w.clock(v.host), v.Reservation, used)
					spent[v.Window] -= v.Amount - used
				},
				"return": func(r *rapid.T) {
					h := host.Draw(r, "host")
					w.ledgers[h].Return(ctx, w.clock(h))
				},
				"pass": func(r *rapid.T) {
					w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(r, "ms")) * time.Millisecond)
				},
				"move":    func(r *rapid.T) { w.move(rapid.SampledFrom(homes).Draw(r, "home")) },
				"restart": func(r *rapid.T) { w.restart(host.Draw(r, "host")) },
				"cut":     func(r *rapid.T) { w.cut[host.Draw(r, "host")] = true },
				"heal":    func(*rapid.T) { clear(w.cut); w.mute, w.broken, w.slow = false, "", 0 },
				"slow":    func(r *rapid.T) { w.slow = time.Duration(rapid.IntRange(0, 20).Draw(r, "s")) * time.Second },
				"mute":    func(*rapid.T) { w.mute = true },
				"break":   func(r *rapid.T) { w.broken = rapid.SampledFrom([]string{"before", "after"}).Draw(r, "when") },
			})
		})
	})
}

// restart loses a host's memory. If it was the home, it recovers the shard.
func (w *world) restart(host zinniapond.HostName) {
	w.start(host)
	if w.view.Assignments[0].Owner == host {
		w.move(host)
	}
}

func TestGrants(t *testing.T) {
	t.Run("guards against a window granted from after its end by a home whose clock is behind", func(t *testing.T) {
		w := newWorld()
		w.now = w.now.Add(testWindow)
		first, err := w.reserve("a", testBudget/2)
		assert.NoError(t, err)
		w.skew["b"] = -testWindow
		w.move("b")
		r, err := w.reserve("c", 1)
		assert.NoError(t, err)
		assert.Equal(t, r.Window, first.Window)
		_, err = w.reserve("c", testBudget/2)
		assert.ErrorIs(t, err, zinniapond.ErrBudget)
	})
	t.Run("guards against a plan's old budget being spent after it was lowered", func(t *testing.T) {
		w := newWorld()
		_, err := w.reserve("c", 10) // the grant is larger
		assert.NoError(t, err)
		w.plan.Budget = 60
		_, err = w.reserve("c", 10)
		assert.ErrorIs(t, err, zinniapond.ErrBudget)
	})
	t.Run("guards against an old window's grant being spent after the window was shortened", func(t *testing.T) {
		w := newWorld()
		_, err := w.reserve("c", 10) // the grant is larger
		assert.NoError(t, err)
		w.plan.Window, w.plan.Budget = time.Second, testBudget+1
		w.cut["a"] = true
		_, err = w.reserve("c", 10)
		assert.ErrorIs(t, err, zinniapond.ErrOverload)
	})
	t.Run("guards against a plan refused until its old window ends after the window was lengthened", func(t *testing.T) {
		w := newWorld()
		w.now = w.now.Add(5 * testWindow)
		_, err := w.reserve("c", 100)
		assert.NoError(t, err)
		w.plan.Window = time.Hour
		r, err := w.reserve("c", 100)
		assert.NoError(t, err)
		w.now = start.Add(time.Hour)
		next, err := w.reserve("c", 100)
		assert.NoError(t, err)
		assert.True(t, next.Window.After(r.Window), "a grant outlived its window")
	})
	t.Run("guards against a lost home ending the use of grants that are held", func(t *testing.T) {
		w := newWorld()
		_, err := w.reserve("c", 10)
		assert.NoError(t, err)
		w.cut["a"] = true
		_, err = w.reserve("c", 40)
		assert.NoError(t, err)
		_, err = w.reserve("c", 40)
		assert.ErrorIs(t, err, zinniapond.ErrOverload)
	})
	t.Run("guards against many messages for a budget and against much of it being stranded", func(t *testing.T) {
		w := newWorld()
		w.plan.Budget = 200_000
		var spent zinniapond.Tokens
		var refused int
		for n := 0; refused < 100; n++ {
			h := hosts[(n*n/7+n)%len(hosts)]
			w.now = w.now.Add(time.Millisecond)
			r, err := w.reserve(h, 500)
			if err != nil {
				refused++
				continue
			}
			w.ledgers[h].Settle(w.clock(h), r, 350)
			spent += 350
		}
		t.Logf("spent %d of %d tokens in calls of 350 with %d messages", spent, w.plan.Budget, w.calls)
		assert.True(t, spent > w.plan.Budget*98/100, "only %d tokens were spent", spent)
		assert.True(t, w.calls < 100, "%d messages", w.calls)
	})
	t.Run("guards against an idle holder keeping its grant to the end of the window", func(t *testing.T) {
		w := newWorld()
		r, err := w.reserve("c", 400)
		assert.NoError(t, err)
		w.ledgers["c"].Settle(w.clock("c"), r, 0)
		_, err = w.reserve("d", 700)
		assert.ErrorIs(t, err, zinniapond.ErrBudget)
		w.now = w.now.Add(testWindow / 4)
		w.ledgers["c"].Return(ctx, w.clock("c"))
		_, err = w.reserve("d", 700)
		assert.NoError(t, err)
		w.cut["a"] = true
		_, err = w.reserve("c", 400) // what was given back is not spent
		assert.ErrorIs(t, err, zinniapond.ErrOverload)
	})
}
