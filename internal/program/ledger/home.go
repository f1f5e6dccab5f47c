package ledger

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

// grantDivisor is the divisor of the ungranted part of a budget that gives the
// size of one grant. It is large enough that a lost host strands little of the
// budget, and small enough that about grantDivisor*log(grantDivisor) messages
// use the budget up.
const grantDivisor = 16

// homeShard has the grants of the plans that have the same home shard.
type homeShard struct {
	mu      sync.Mutex
	serving bool                                                // all grant records of the shard are restored
	epoch   zinniapond.Epoch                                    // epoch at which this host owns the shard
	windows map[zinniapond.PlanName]map[time.Time]*budgetWindow // by plan and start of the window
}

// budgetWindow is one window of a plan's budget.
type budgetWindow struct {
	granted zinniapond.Tokens                         // total granted less the returns that are durable
	holders map[zinniapond.HostName]zinniapond.Tokens // granted to each host less its returns
	endsAt  time.Time                                 // by the clock of the host that granted last
}

// findOrCreateWindow returns the window of the plan with the given start. The
// caller holds h.mu.
func (h *homeShard) findOrCreateWindow(plan zinniapond.PlanName, start time.Time) *budgetWindow {
	if h.windows == nil {
		h.windows = make(map[zinniapond.PlanName]map[time.Time]*budgetWindow)
	}
	windows := h.windows[plan]
	if windows == nil {
		windows = make(map[time.Time]*budgetWindow)
		h.windows[plan] = windows
	}
	w := windows[start]
	if w == nil {
		w = &budgetWindow{holders: make(map[zinniapond.HostName]zinniapond.Tokens)}
		windows[start] = w
	}
	return w
}

// currentWindow returns the start and the end of the window at now, and the
// tokens granted from it. If a host whose clock is ahead has granted from a
// later window, that window is the current one, so that no window is granted
// from again once a later one has been. If the length of the plan's windows has
// changed, grants from shorter windows within the current one count as well.
// The caller holds h.mu.
func (h *homeShard) currentWindow(now time.Time, plan zinniapond.Plan) (start, end time.Time, granted zinniapond.Tokens) {
	start = now.UTC().Round(0).Truncate(plan.BudgetWindow)
	for s := range h.windows[plan.Name] {
		if s.After(start) {
			start = s
		}
	}
	for s, w := range h.windows[plan.Name] {
		if !s.Before(start) {
			granted += w.granted
		} else if w.endsAt.Before(start) {
			delete(h.windows[plan.Name], s)
		}
	}
	return start, start.Truncate(plan.BudgetWindow).Add(plan.BudgetWindow), granted
}

// grant grants the requested amount, or 1/grantDivisor of the ungranted part of
// the budget if that is more. It returns the grant, the epoch for the append to
// the journal, and whether the request is granted.
func (h *homeShard) grant(now time.Time, plan zinniapond.Plan, request *zinniapond.GrantRequest) (zinniapond.Grant, zinniapond.Epoch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	start, end, granted := h.currentWindow(now, plan)
	g := zinniapond.Grant{
		Plan: plan.Name, Holder: request.Sender, WindowStart: start,
		ValidFor: end.Sub(now),
	}
	remaining := plan.Budget - granted
	if !h.serving || request.Amount > remaining || request.Amount < 0 {
		return g, h.epoch, false
	}
	g.Amount = max(request.Amount, remaining/grantDivisor)
	w := h.findOrCreateWindow(plan.Name, start)
	w.granted += g.Amount
	w.holders[request.Sender] += g.Amount
	w.endsAt = end
	return g, h.epoch, true
}

// acceptReturn validates a return and deducts it from the holder at once, so
// that it is counted only once. The amount can be granted again after
// freeReturned, when the return is durable in the journal.
func (h *homeShard) acceptReturn(now time.Time, plan zinniapond.Plan, request *zinniapond.GrantRequest) (zinniapond.Grant, zinniapond.Epoch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	start, end, _ := h.currentWindow(now, plan)
	g := zinniapond.Grant{
		Plan: plan.Name, Holder: request.Sender, WindowStart: start, Amount: -request.Amount,
		ValidFor: end.Sub(now),
	}
	w := h.windows[plan.Name][start]
	if !h.serving || w == nil || !request.WindowStart.Equal(start) || request.Amount <= 0 ||
		request.Amount > w.holders[request.Sender] {
		return g, h.epoch, false
	}
	w.holders[request.Sender] -= request.Amount
	return g, h.epoch, true
}

// freeReturned makes the amount of a durable return available for new grants.
func (h *homeShard) freeReturned(g zinniapond.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w := h.windows[g.Plan][g.WindowStart]; w != nil {
		w.granted += g.Amount
	}
}

// restoreGrant applies a grant record that was written at the given time.
func (h *homeShard) restoreGrant(at time.Time, g zinniapond.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.findOrCreateWindow(g.Plan, g.WindowStart.UTC())
	w.granted += g.Amount
	w.holders[g.Holder] += g.Amount
	if end := at.Add(g.ValidFor); end.After(w.endsAt) {
		w.endsAt = end
	}
}

func (h *homeShard) startServing(epoch zinniapond.Epoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serving, h.epoch = true, epoch
}
