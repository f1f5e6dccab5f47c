// Package ledger keeps the token budgets of the plans. Each plan has a home
// shard, chosen by the hash of the plan's name. The owner of the home shard
// grants parts of the budget to the hosts that run calls of the plan, and makes
// each grant durable in the journal of the shard.
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
	peers, err := kernel.Find[zinniapond.Peers](k)
	if err != nil {
		return nil, err
	}
	directory, err := kernel.Find[zinniapond.Directory](k)
	if err != nil {
		return nil, err
	}
	journal, err := kernel.Find[zinniapond.Journal](k)
	if err != nil {
		return nil, err
	}
	mounter, err := kernel.Find[zinniapond.Mounter](k)
	if err != nil {
		return nil, err
	}
	ledger := &Ledger{
		Host: k.Settings.Host, Peers: peers, Directory: directory, Journal: journal,
		Logger: k.Logger.Named("ledger"), Clock: k.Now,
	}
	return ledger, mounter.Mount("Ledger", ledger)
}

// Ledger reserves tokens from the grants of this host. It also grants parts of
// the budgets whose home shards this host owns.
type Ledger struct {
	Host      zinniapond.HostName
	Peers     zinniapond.Peers
	Directory zinniapond.Directory
	Journal   zinniapond.Journal
	Logger    hclog.Logger
	Clock     func() time.Time
	// Wait bounds a request for a grant; the default is 1 s.
	Wait time.Duration

	accounts shard.Map[zinniapond.PlanName, *account]
	homes    shard.Map[zinniapond.ShardID, *homeShard]
}

func (l *Ledger) grantTimeout() time.Duration {
	if l.Wait > 0 {
		return l.Wait
	}
	return time.Second
}

// maxGrantWaits bounds the number of times that one reservation waits for a
// grant.
const maxGrantWaits = 8

// Reserve reserves a part of the plan's budget, from the grant of this host
// if enough of it remains, or else from a new grant. It returns an error that
// wraps ErrBudgetExhausted if the budget is used up, or ErrOverload if no
// grant could be obtained.
func (l *Ledger) Reserve(ctx context.Context, now time.Time, plan zinniapond.Plan, amount zinniapond.Tokens,
) (zinniapond.Reservation, error) {
	if amount < 0 {
		return zinniapond.Reservation{}, fmt.Errorf("reserve %d tokens: %w", amount, zinniapond.ErrMalformed)
	}
	planAccount := l.accounts.GetOrCreate(plan.Name, func() *account { return new(account) })
	ctx, cancel := context.WithTimeout(ctx, l.grantTimeout())
	defer cancel()
	startedAt := l.Clock()
	// A grant may have expired when it arrives, or another call may use it up
	// first, so the reservation is tried again.
	for range maxGrantWaits {
		// The time spent waiting for grants is added to the caller's time, so
		// that an expired grant is recognised.
		adjustedNow := now.Add(l.Clock().Sub(startedAt))
		reservation, pending, err := planAccount.reserve(adjustedNow, plan, amount)
		switch {
		case err != nil:
			return zinniapond.Reservation{}, err
		case pending == nil:
			return reservation, nil
		case pending.madeByCaller:
			err := l.requestGrant(ctx, adjustedNow, planAccount, plan, amount)
			planAccount.finishRequest(pending)
			if err != nil {
				return zinniapond.Reservation{}, err
			}
		default:
			select {
			case <-pending.done:
			case <-ctx.Done():
				return zinniapond.Reservation{}, newUnreachableError(plan.Name, ctx.Err())
			}
		}
	}
	return zinniapond.Reservation{}, newUnreachableError(plan.Name, errors.New("grants expired before they could be used"))
}

// Settle corrects a reservation by the tokens that the call has used.
func (l *Ledger) Settle(now time.Time, reservation zinniapond.Reservation, used zinniapond.Tokens) {
	if a, ok := l.accounts.Get(reservation.Plan); ok {
		a.settle(now, reservation, used)
	}
}

// Run returns unused grants to the owners of the home shards, once a second,
// until ctx is done.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.ReturnIdle(ctx, l.Clock())
		}
	}
}

// ReturnIdle gives unused grants back to the owners of the home shards. If a
// message with a return is lost, nobody spends the returned tokens before the
// window ends.
func (l *Ledger) ReturnIdle(ctx context.Context, now time.Time) {
	var requests []*zinniapond.GrantRequest
	l.accounts.Each(func(plan zinniapond.PlanName, a *account) bool {
		if windowStart, amount := a.takeIdle(now); amount > 0 {
			requests = append(requests, &zinniapond.GrantRequest{
				Sender: l.Host, Plan: plan, Amount: amount, Return: true, WindowStart: windowStart,
			})
		}
		return true
	})
	for _, r := range requests {
		callCtx, cancel := context.WithTimeout(ctx, l.grantTimeout())
		if err := l.callHome(callCtx, r, new(zinniapond.GrantReply)); err != nil {
			l.Logger.Debug("unused grant not returned", "plan", r.Plan, "err", err)
		}
		cancel()
	}
}

// newUnreachableError returns the error for a call that was not run because
// no grant could be obtained. It wraps ErrOverload and not
// ErrBudgetExhausted, as the budget is not known to be used up.
func newUnreachableError(plan zinniapond.PlanName, err error) error {
	return fmt.Errorf("obtain grant for plan %s: %w: %w", plan, zinniapond.ErrOverload, err)
}

// requestGrant obtains a grant of at least amount from the owner of the plan's
// home shard.
func (l *Ledger) requestGrant(ctx context.Context, now time.Time, a *account, plan zinniapond.Plan, amount zinniapond.Tokens) error {
	request := &zinniapond.GrantRequest{Sender: l.Host, Plan: plan.Name, Amount: amount}
	var reply zinniapond.GrantReply
	if err := l.callHome(ctx, request, &reply); err != nil {
		return newUnreachableError(plan.Name, err)
	}
	a.addGrant(now, plan, amount, reply)
	return nil
}

// callHome sends the request to the owner of the plan's home shard, which may
// be this host.
func (l *Ledger) callHome(ctx context.Context, request *zinniapond.GrantRequest, reply *zinniapond.GrantReply) error {
	view := l.Directory.View()
	if view.Shards <= 0 {
		return fmt.Errorf("find home of plan %s: %w", request.Plan, zinniapond.ErrStaleConfig)
	}
	shardID := zinniapond.ShardOf(string(request.Plan), view.Shards)
	owner := view.Assignments[shardID].Owner
	if owner == l.Host {
		return l.Grant(request, reply)
	}
	member, ok := view.Members[owner]
	if !ok || !member.PeersAddress.IsValid() {
		return fmt.Errorf("find home of plan %s, shard %d: %w", request.Plan, shardID, zinniapond.ErrNotOwner)
	}
	return zinniapond.Wrap("Ledger.Grant", member.PeersAddress, l.Peers.Call(ctx, member.PeersAddress, "Ledger.Grant", request, reply))
}

// Grant grants a part of a plan's budget, or takes an unspent part back. It
// returns once the grant or the return is durable in the journal.
func (l *Ledger) Grant(request *zinniapond.GrantRequest, reply *zinniapond.GrantReply) error {
	view := l.Directory.View()
	shardID := zinniapond.ShardOf(string(request.Plan), max(view.Shards, 1))
	home, ok := l.homes.Get(shardID)
	if !ok {
		return fmt.Errorf("grant for plan %s, shard %d: %w", request.Plan, shardID, zinniapond.ErrNotOwner)
	}
	plan, ok := l.Directory.Catalog().Plans[request.Plan]
	if !ok {
		return fmt.Errorf("grant for plan %s: %w", request.Plan, zinniapond.ErrNotFound)
	}
	now := l.Clock()
	var grant zinniapond.Grant
	var epoch zinniapond.Epoch
	if request.Return {
		grant, epoch, ok = home.acceptReturn(now, plan, request)
	} else {
		grant, epoch, ok = home.grant(now, plan, request)
	}
	reply.Grant = grant
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.grantTimeout())
	defer cancel()
	err := l.Journal.Append(ctx, now, shardID, epoch, zinniapond.Record{
		Kind: zinniapond.RecordGrant, At: now, Grant: &grant,
	})
	if errors.Is(err, zinniapond.ErrFenced) {
		l.homes.Update(shardID, func(homes map[zinniapond.ShardID]*homeShard) {
			if homes[shardID] == home {
				delete(homes, shardID)
			}
		})
	}
	if err != nil {
		// The amount counts as granted although the append failed, because the
		// record may be in the journal all the same.
		return fmt.Errorf("grant for plan %s: %w", request.Plan, err)
	}
	if request.Return {
		home.freeReturned(grant)
	}
	reply.Granted = true
	return nil
}

// Restore applies a grant record from the journal of a shard. It is called
// for each record of a recovered shard before StartGranting, and ignores
// records of other kinds.
func (l *Ledger) Restore(_ time.Time, shard zinniapond.ShardID, record zinniapond.Record) {
	if record.Kind != zinniapond.RecordGrant || record.Grant == nil {
		return
	}
	home := l.homes.GetOrCreate(shard, func() *homeShard { return new(homeShard) })
	home.restoreGrant(record.At, *record.Grant)
}

// StartGranting starts granting from the budgets whose home shard is given,
// after Restore has been called with all records of the shard. It is called
// again when the assignment has a new epoch and this host stays the owner.
func (l *Ledger) StartGranting(_ time.Time, shard zinniapond.ShardID, epoch zinniapond.Epoch) {
	home := l.homes.GetOrCreate(shard, func() *homeShard { return new(homeShard) })
	home.startServing(epoch)
}

// StopGranting stops granting for a shard that this host no longer owns. It is
// also called before a recovery, which restores the grants from the journal.
func (l *Ledger) StopGranting(shard zinniapond.ShardID) { l.homes.Delete(shard) }
