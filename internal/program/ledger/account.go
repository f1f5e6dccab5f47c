package ledger

import (
	"fmt"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

// refusalSpan is how long a refusal by the home is believed, so that a plan
// whose budget is used up does not cost a message for each call.
const refusalSpan = 200 * time.Millisecond

// account has what this host may spend of one plan's budget.
type account struct {
	mu      sync.Mutex
	window  time.Time // start of the window, by the home's clock
	expires time.Time // by this host's clock
	left    zinniapond.Tokens
	span    time.Duration     // length of the window
	budget  zinniapond.Tokens // of the plan when the grant was asked for
	used    time.Time         // last reservation
	asking  *request
	// Amounts of at least refused are not asked for until again.
	refused zinniapond.Tokens
	again   time.Time
}

// request is one that is under way to the home.
type request struct {
	done chan struct{}
	mine bool
}

// reserve takes amount from the grant. If there is too little, it returns a
// request to wait for, or to make if it is the caller's.
func (a *account) reserve(now time.Time, plan zinniapond.Plan, amount zinniapond.Tokens,
) (zinniapond.Reservation, *request, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.span != plan.Window || a.budget > plan.Budget {
		// The plan was changed; what was granted under it is no longer spent.
		a.left, a.again, a.expires, a.window = 0, time.Time{}, time.Time{}, time.Time{}
	}
	if now.Before(a.expires) && amount <= a.left {
		a.left -= amount
		a.used = now
		return zinniapond.Reservation{Plan: plan.Name, Window: a.window, Amount: amount}, nil, nil
	}
	if now.Before(a.again) && amount >= a.refused {
		return zinniapond.Reservation{}, nil, fmt.Errorf("reserve %d tokens of plan %s: %w",
			amount, plan.Name, zinniapond.ErrBudget)
	}
	if a.asking != nil {
		return zinniapond.Reservation{}, &request{done: a.asking.done}, nil
	}
	a.asking = &request{done: make(chan struct{}), mine: true}
	return zinniapond.Reservation{}, a.asking, nil
}

// asked ends a request.
func (a *account) asked(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asking = nil
	close(r.done)
}

// take adds a grant that was asked for at sent. The home had the request after
// sent, so the window ends here no later than there.
func (a *account) take(sent time.Time, plan zinniapond.Plan, amount zinniapond.Tokens, reply zinniapond.GrantReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.span, a.budget = plan.Window, plan.Budget
	expires := sent.Add(reply.Grant.Left)
	if !reply.Granted {
		a.refused = amount
		a.again = sent.Add(min(refusalSpan, reply.Grant.Left))
		return
	}
	if !reply.Grant.Window.Equal(a.window) {
		if reply.Grant.Window.Before(a.window) && sent.Before(a.expires) {
			return // a late answer from an earlier window
		}
		a.window, a.left, a.expires = reply.Grant.Window, 0, expires
	}
	a.left += reply.Grant.Amount
	if expires.Before(a.expires) {
		a.expires = expires
	}
	a.again = time.Time{}
}

// settle gives back what was not used, if the window is not over. A call that
// used more than it reserved takes the rest from what is left.
func (a *account) settle(now time.Time, r zinniapond.Reservation, used zinniapond.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.window.Equal(r.Window) && now.Before(a.expires) {
		a.left += r.Amount - used
	}
}

// idle takes back what is left of a grant that was not used for an eighth of
// its window, so that other holders may have it. It is sent to the home once: a
// second message would free the amount twice.
func (a *account) idle(now time.Time) (time.Time, zinniapond.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asking != nil || a.left <= 0 || !now.Before(a.expires) || now.Sub(a.used) < a.span/8 {
		return time.Time{}, 0
	}
	amount := a.left
	a.left = 0
	return a.window, amount
}
