package ledger

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

// share is the part of what is left of a budget that one grant gives: small
// enough that a lost holder strands little, and large enough that a budget is
// used up in about share*log(share) messages.
const share = 16

// home has the grants of the plans of one shard.
type home struct {
	mu      sync.Mutex
	serving bool
	epoch   zinniapond.Epoch
	plans   map[zinniapond.PlanName]map[time.Time]*window
}

// window is one window of a plan's budget.
type window struct {
	granted zinniapond.Tokens
	holders map[zinniapond.HostName]zinniapond.Tokens
	ends    time.Time // by the clock of the host that granted last
}

func (h *home) window(plan zinniapond.PlanName, start time.Time) *window {
	if h.plans == nil {
		h.plans = make(map[zinniapond.PlanName]map[time.Time]*window)
	}
	windows := h.plans[plan]
	if windows == nil {
		windows = make(map[time.Time]*window)
		h.plans[plan] = windows
	}
	w := windows[start]
	if w == nil {
		w = &window{holders: make(map[zinniapond.HostName]zinniapond.Tokens)}
		windows[start] = w
	}
	return w
}

// current returns the start and the end of the window at now and what is granted
// of it. A
// window that was granted from by a host whose clock is ahead stays current,
// so that no window is granted from twice. If the length of the windows has
// changed, grants from shorter ones within the current one count.
func (h *home) current(now time.Time, plan zinniapond.Plan) (start, ends time.Time, granted zinniapond.Tokens) {
	start = now.UTC().Round(0).Truncate(plan.Window)
	for s := range h.plans[plan.Name] {
		if s.After(start) {
			start = s
		}
	}
	for s, w := range h.plans[plan.Name] {
		if !s.Before(start) {
			granted += w.granted
		} else if w.ends.Before(start) {
			delete(h.plans[plan.Name], s)
		}
	}
	return start, start.Truncate(plan.Window).Add(plan.Window), granted
}

func (h *home) grant(now time.Time, plan zinniapond.Plan, request *zinniapond.GrantRequest) (zinniapond.Grant, zinniapond.Epoch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	start, ends, granted := h.current(now, plan)
	g := zinniapond.Grant{
		Plan: plan.Name, Holder: request.Sender, Window: start,
		Left: ends.Sub(now),
	}
	left := plan.Budget - granted
	if !h.serving || request.Amount > left || request.Amount < 0 {
		return g, h.epoch, false
	}
	g.Amount = max(request.Amount, left/share)
	w := h.window(plan.Name, start)
	w.granted += g.Amount
	w.holders[request.Sender] += g.Amount
	w.ends = ends
	return g, h.epoch, true
}

// giveBack checks a return. The amount becomes free only when the return is in
// the journal; it is taken from the holder at once, so that it counts once.
func (h *home) giveBack(now time.Time, plan zinniapond.Plan, request *zinniapond.GrantRequest) (zinniapond.Grant, zinniapond.Epoch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	start, ends, _ := h.current(now, plan)
	g := zinniapond.Grant{
		Plan: plan.Name, Holder: request.Sender, Window: start, Amount: -request.Amount,
		Left: ends.Sub(now),
	}
	w := h.plans[plan.Name][start]
	if !h.serving || w == nil || !request.Window.Equal(start) || request.Amount <= 0 ||
		request.Amount > w.holders[request.Sender] {
		return g, h.epoch, false
	}
	w.holders[request.Sender] -= request.Amount
	return g, h.epoch, true
}

func (h *home) returned(g zinniapond.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w := h.plans[g.Plan][g.Window]; w != nil {
		w.granted += g.Amount
	}
}

func (h *home) restore(at time.Time, g zinniapond.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.window(g.Plan, g.Window.UTC())
	w.granted += g.Amount
	w.holders[g.Holder] += g.Amount
	if ends := at.Add(g.Left); ends.After(w.ends) {
		w.ends = ends
	}
}

func (h *home) serve(epoch zinniapond.Epoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serving, h.epoch = true, epoch
}
