package ledger

import (
	"fmt"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

// refusalLifetime is how long a refused request for a grant is not repeated, so
// that a plan whose budget is used up does not cost a message for each call.
const refusalLifetime = 200 * time.Millisecond

// account is the part of one plan's budget that this host may still spend in
// the present window.
type account struct {
	mu           sync.Mutex
	windowStart  time.Time         // by the clock of the host that granted
	expiresAt    time.Time         // end of the window by this host's clock
	remaining    zinniapond.Tokens // granted to this host and not reserved
	windowLength time.Duration     // length of the plan's windows when the grant was requested
	planBudget   zinniapond.Tokens // budget of the plan when the grant was requested
	lastReserved time.Time         // time of the last reservation
	pending      *request          // request in progress; nil if there is none
	// Reservations of refusedAmount or more fail without a request until
	// refusedUntil.
	refusedAmount zinniapond.Tokens
	refusedUntil  time.Time
}

// request is a request to the owner of the home shard for a grant.
type request struct {
	done         chan struct{} // closed when the request has ended
	madeByCaller bool          // the caller of reserve has to send the request
}

// reserve reserves amount from the remaining grant. If too little remains, it
// returns a request: the caller sends the request if madeByCaller is set, and
// otherwise waits until the request is done.
func (a *account) reserve(now time.Time, plan zinniapond.Plan, amount zinniapond.Tokens,
) (zinniapond.Reservation, *request, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.windowLength != plan.BudgetWindow || a.planBudget > plan.Budget {
		// The plan was changed to another window or a smaller budget, so the
		// grants under the old plan are void.
		a.remaining, a.refusedUntil, a.expiresAt, a.windowStart = 0, time.Time{}, time.Time{}, time.Time{}
	}
	if now.Before(a.expiresAt) && amount <= a.remaining {
		a.remaining -= amount
		a.lastReserved = now
		return zinniapond.Reservation{Plan: plan.Name, WindowStart: a.windowStart, Amount: amount}, nil, nil
	}
	if now.Before(a.refusedUntil) && amount >= a.refusedAmount {
		return zinniapond.Reservation{}, nil, fmt.Errorf("reserve %d tokens of plan %s: %w",
			amount, plan.Name, zinniapond.ErrBudgetExhausted)
	}
	if a.pending != nil {
		return zinniapond.Reservation{}, &request{done: a.pending.done}, nil
	}
	a.pending = &request{done: make(chan struct{}), madeByCaller: true}
	return zinniapond.Reservation{}, a.pending, nil
}

// finishRequest ends the pending request and wakes the calls that wait for it.
func (a *account) finishRequest(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = nil
	close(r.done)
}

// addGrant adds the reply to a request that was sent at the given time. The
// time left in the window is counted from sent: the granting host received the
// request after that, so the window ends here no later than there.
func (a *account) addGrant(sent time.Time, plan zinniapond.Plan, amount zinniapond.Tokens, reply zinniapond.GrantReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.windowLength, a.planBudget = plan.BudgetWindow, plan.Budget
	expiresAt := sent.Add(reply.Grant.ValidFor)
	if !reply.Granted {
		a.refusedAmount = amount
		a.refusedUntil = sent.Add(min(refusalLifetime, reply.Grant.ValidFor))
		return
	}
	if !reply.Grant.WindowStart.Equal(a.windowStart) {
		if reply.Grant.WindowStart.Before(a.windowStart) && sent.Before(a.expiresAt) {
			return // a late reply from an earlier window
		}
		a.windowStart, a.remaining, a.expiresAt = reply.Grant.WindowStart, 0, expiresAt
	}
	a.remaining += reply.Grant.Amount
	if expiresAt.Before(a.expiresAt) {
		a.expiresAt = expiresAt
	}
	a.refusedUntil = time.Time{}
}

// settle adds the unused part of a reservation to the remaining grant, unless
// the window has ended. A call that has used more than it reserved reduces the
// remaining grant.
func (a *account) settle(now time.Time, r zinniapond.Reservation, used zinniapond.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.windowStart.Equal(r.WindowStart) && now.Before(a.expiresAt) {
		a.remaining += r.Amount - used
	}
}

// takeIdle removes and returns the remaining grant if it was not used for an
// eighth of its window, so that it can be returned for other hosts. The return
// is sent only once: a second message would free the amount twice.
func (a *account) takeIdle(now time.Time) (time.Time, zinniapond.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending != nil || a.remaining <= 0 || !now.Before(a.expiresAt) || now.Sub(a.lastReserved) < a.windowLength/8 {
		return time.Time{}, 0
	}
	amount := a.remaining
	a.remaining = 0
	return a.windowStart, amount
}
