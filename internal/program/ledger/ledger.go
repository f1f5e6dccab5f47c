// Package ledger keeps the budgets of the plans. The owner of a plan's home
// shard grants parts of the budget to the hosts that run its programs.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

func init() {
	kernel.Register[zinniapond.Budget]("default", build)
}

func build(k *kernel.Kernel) (zinniapond.Budget, error) {
	p, err := kernel.Find[zinniapond.Peers](k)
	if err != nil {
		return nil, err
	}
	d, err := kernel.Find[zinniapond.Directory](k)
	if err != nil {
		return nil, err
	}
	j, err := kernel.Find[zinniapond.Journal](k)
	if err != nil {
		return nil, err
	}
	m, err := kernel.Find[zinniapond.Mounter](k)
	if err != nil {
		return nil, err
	}
	g := &Ledger{
		Host: k.Settings.Host, Peers: p, Directory: d, Journal: j,
		Logger: k.Logger.Named("ledger"), Clock: k.Now,
	}
	return g, m.Mount("Ledger", g)
}

// Ledger reserves tokens from this host's grants, and grants parts of the
// budgets whose home shard this host owns.
type Ledger struct {
	Host      zinniapond.HostName
	Peers     zinniapond.Peers
	Directory zinniapond.Directory
	Journal   zinniapond.Journal
	Logger    hclog.Logger
	Clock     func() time.Time
	// Wait bounds a request for a grant; 1 s by default.
	Wait time.Duration

	accounts shard.Map[zinniapond.PlanName, *account]
	homes    shard.Map[zinniapond.ShardID, *home]
}

func (g *Ledger) wait() time.Duration {
	if g.Wait > 0 {
		return g.Wait
	}
	return time.Second
}

// mostTries bounds the waits for a grant within one reservation.
const mostTries = 8

// Reserve sets aside a part of the plan's budget, from this host's grant if it
// has enough left, or else from a new grant.
func (g *Ledger) Reserve(ctx context.Context, now time.Time, plan zinniapond.Plan, amount zinniapond.Tokens,
) (zinniapond.Reservation, error) {
	if amount < 0 {
		return zinniapond.Reservation{}, fmt.Errorf("reserve %d tokens: %w", amount, zinniapond.ErrMalformed)
	}
	a := g.accounts.GetOrCreate(plan.Name, func() *account { return new(account) })
	ctx, cancel := context.WithTimeout(ctx, g.wait())
	defer cancel()
	began := g.Clock()
	// A grant may be over when it arrives, or another call may take it.
	for range mostTries {
		// The wait for a grant passes on the caller's clock as well.
		at := now.Add(g.Clock().Sub(began))
		r, busy, err := a.reserve(at, plan, amount)
		switch {
		case err != nil:
			return zinniapond.Reservation{}, err
		case busy == nil:
			return r, nil
		case busy.mine:
			err := g.ask(ctx, at, a, plan, amount)
			a.asked(busy)
			if err != nil {
				return zinniapond.Reservation{}, err
			}
		default:
			select {
			case <-busy.done:
			case <-ctx.Done():
				return zinniapond.Reservation{}, unreachable(plan.Name, ctx.Err())
			}
		}
	}
	return zinniapond.Reservation{}, unreachable(plan.Name, errors.New("grants are over before they can be used"))
}

// Settle gives back what a call has not used of its reservation.
func (g *Ledger) Settle(now time.Time, reservation zinniapond.Reservation, used zinniapond.Tokens) {
	if a, ok := g.accounts.Get(reservation.Plan); ok {
		a.settle(now, reservation, used)
	}
}

// Run returns unused grants until ctx is done.
func (g *Ledger) Run(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			g.Return(ctx, g.Clock())
		}
	}
}

// Return gives unused grants back to their homes. A grant whose return is lost
// stays unspent.
func (g *Ledger) Return(ctx context.Context, now time.Time) {
	var requests []*zinniapond.GrantRequest
	g.accounts.Each(func(plan zinniapond.PlanName, a *account) bool {
		if w, amount := a.idle(now); amount > 0 {
			requests = append(requests, &zinniapond.GrantRequest{
				Sender: g.Host, Plan: plan, Amount: amount, Return: true, Window: w,
			})
		}
		return true
	})
	for _, r := range requests {
		c, cancel := context.WithTimeout(ctx, g.wait())
		if err := g.send(c, r, new(zinniapond.GrantReply)); err != nil {
			g.Logger.Debug("unused grant not returned", "plan", r.Plan, "err", err)
		}
		cancel()
	}
}

// unreachable is the refusal of a call whose plan's budget cannot be asked for.
// The call was not run; the budget is not known to be used up.
func unreachable(plan zinniapond.PlanName, err error) error {
	return fmt.Errorf("budget of plan %s cannot be asked for: %w: %w", plan, zinniapond.ErrOverload, err)
}

// ask gets a grant from the plan's home for at least amount.
func (g *Ledger) ask(ctx context.Context, now time.Time, a *account, plan zinniapond.Plan, amount zinniapond.Tokens) error {
	request := &zinniapond.GrantRequest{Sender: g.Host, Plan: plan.Name, Amount: amount}
	var reply zinniapond.GrantReply
	if err := g.send(ctx, request, &reply); err != nil {
		return unreachable(plan.Name, err)
	}
	a.take(now, plan, amount, reply)
	return nil
}

// send calls the plan's home, which may be this host.
func (g *Ledger) send(ctx context.Context, request *zinniapond.GrantRequest, reply *zinniapond.GrantReply) error {
	v := g.Directory.View()
	if v.Shards <= 0 {
		return fmt.Errorf("find home of plan %s: %w", request.Plan, zinniapond.ErrStale)
	}
	s := zinniapond.ShardOf(string(request.Plan), v.Shards)
	owner := v.Assignments[s].Owner
	if owner == g.Host {
		return g.Grant(request, reply)
	}
	m, ok := v.Members[owner]
	if !ok || !m.Peers.IsValid() {
		return fmt.Errorf("find home of plan %s, shard %d: %w", request.Plan, s, zinniapond.ErrNotOwner)
	}
	return zinniapond.Wrap("Ledger.Grant", m.Peers, g.Peers.Call(ctx, m.Peers, "Ledger.Grant", request, reply))
}

// Grant grants a part of a plan's budget, or takes an unspent part back. It
// returns once the grant is in the journal.
func (g *Ledger) Grant(request *zinniapond.GrantRequest, reply *zinniapond.GrantReply) error {
	v := g.Directory.View()
	s := zinniapond.ShardOf(string(request.Plan), max(v.Shards, 1))
	h, ok := g.homes.Get(s)
	if !ok {
		return fmt.Errorf("grant for plan %s, shard %d: %w", request.Plan, s, zinniapond.ErrNotOwner)
	}
	plan, ok := g.Directory.Catalog().Plans[request.Plan]
	if !ok {
		return fmt.Errorf("grant for plan %s: %w", request.Plan, zinniapond.ErrNotFound)
	}
	now := g.Clock()
	var grant zinniapond.Grant
	var epoch zinniapond.Epoch
	if request.Return {
		grant, epoch, ok = h.giveBack(now, plan, request)
	} else {
		grant, epoch, ok = h.grant(now, plan, request)
	}
	reply.Grant = grant
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.wait())
	defer cancel()
	err := g.Journal.Append(ctx, now, s, epoch, zinniapond.Record{
		Kind: zinniapond.RecordGrant, At: now, Grant: &grant,
	})
	if errors.Is(err, zinniapond.ErrFenced) {
		g.homes.Do(s, func(homes map[zinniapond.ShardID]*home) {
			if homes[s] == h {
				delete(homes, s)
			}
		})
	}
	if err != nil {
		// The amount stays granted: the record may be in the journal.
		return fmt.Errorf("grant for plan %s: %w", request.Plan, err)
	}
	if request.Return {
		h.returned(grant)
	}
	reply.Granted = true
	return nil
}

// Restore takes a grant record that the journal of a shard has, before Serve.
// Other records are ignored.
func (g *Ledger) Restore(_ time.Time, shard zinniapond.ShardID, record zinniapond.Record) {
	if record.Kind != zinniapond.RecordGrant || record.Grant == nil {
		return
	}
	h := g.homes.GetOrCreate(shard, func() *home { return new(home) })
	h.restore(record.At, *record.Grant)
}

// Serve begins to grant budgets whose home is the given shard, after all its
// records have been passed to Restore. It is called again with the new epoch if
// an assignment changes but leaves this host the owner.
func (g *Ledger) Serve(_ time.Time, shard zinniapond.ShardID, epoch zinniapond.Epoch) {
	h := g.homes.GetOrCreate(shard, func() *home { return new(home) })
	h.serve(epoch)
}

// Drop ends the granting for a shard that this host no longer owns. It is
// called before a recovery as well.
func (g *Ledger) Drop(shard zinniapond.ShardID) { g.homes.Delete(shard) }
