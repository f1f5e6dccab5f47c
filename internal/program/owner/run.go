package owner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/program/pool"
)

const (
	// defaultWait bounds the time in queue where neither call nor plan does.
	defaultWait = 30 * time.Second
	// maxTries bounds the attempts of one call; the retry budget is the usual
	// bound, this one holds when few other calls run.
	maxTries = 4
	// resultPause is the wait between two tries to make a result durable.
	resultPause = 200 * time.Millisecond
)

// execution is one run of a call.
type execution struct {
	owner    *Owner
	holding  *holding
	program  *program
	running  *running
	plan     zinniapond.Plan
	admitted time.Time

	pool     *pool.Pool
	need     zinniapond.Need
	until    time.Time
	queued   time.Duration
	unloaded time.Duration // estimate for an unloaded server; zero if unknown
	intended bool
	attempts []zinniapond.Attempt
}

// run takes the call through its turn, the budget, the queue and the attempts,
// and makes intent and result durable. An error means that the call was not
// run, or that its outcome is another owner's to tell.
func (x *execution) run(ctx context.Context) (zinniapond.Answer, error) {
	o, call := x.owner, &x.running.call
	x.until = x.admitted.Add(x.wait())
	if err := x.awaitTurn(ctx); err != nil {
		return zinniapond.Answer{}, err
	}
	now := o.Clock()
	if !o.Directory.Fresh(now) {
		return zinniapond.Answer{}, o.refuse("start call", zinniapond.ErrStale)
	}
	o.Leases.Returned(now, call.Program)
	reservation, err := o.Budget.Reserve(ctx, now, x.plan, call.Prompt+call.Most)
	if err != nil {
		return zinniapond.Answer{}, err
	}
	answer, err := x.attemptAll(ctx)
	o.Budget.Settle(o.Clock(), reservation, answer.Usage.Total())
	if x.intended && errors.Is(err, zinniapond.ErrNotOwner) {
		// ErrNotOwner promises that nothing was sent, ErrFenced does not.
		err = fmt.Errorf("call was interrupted: %w: %s", zinniapond.ErrFenced, err.Error())
	}
	return answer, err
}

// wait returns how long the call may be queued.
func (x *execution) wait() time.Duration {
	if w := x.running.call.Wait; w > 0 {
		return w
	}
	if x.plan.Wait > 0 {
		return x.plan.Wait
	}
	return defaultWait
}

// awaitTurn waits until the program's earlier calls have finished.
func (x *execution) awaitTurn(ctx context.Context) error {
	timer := time.NewTimer(x.until.Sub(x.owner.Clock()))
	defer timer.Stop()
	select {
	case <-x.running.turn:
		return nil
	case <-timer.C:
		return x.owner.refuse("wait for the program's earlier calls", zinniapond.ErrOrder)
	case <-ctx.Done():
		return fmt.Errorf("wait for the program's earlier calls: %w", context.Cause(ctx))
	}
}

// attemptAll runs attempts until one settles the call, and makes the outcome
// durable.
func (x *execution) attemptAll(ctx context.Context) (zinniapond.Answer, error) {
	o, call := x.owner, &x.running.call
	var err error
	if x.pool, err = o.pool(o.Clock(), call.Pool); err != nil {
		return zinniapond.Answer{}, err
	}
	x.need = zinniapond.Need{
		Call: call.ID, Program: call.Program, Class: call.Class, DataCentre: o.Settings.DataCentre,
		Prompt: call.Prompt, Most: call.Most, Prefix: call.Prefix,
	}
	// Asked before the call's own prompt counts as cached.
	x.unloaded = x.pool.Router.Estimate(x.need)
	for tries := 1; ; tries++ {
		choice, err := x.place(ctx)
		if err != nil {
			return x.notPlaced(ctx, err)
		}
		if err := x.intend(ctx, choice); err != nil {
			return zinniapond.Answer{}, err
		}
		result := x.attempt(ctx, choice)
		if delay, again := x.again(ctx, &result, tries); again {
			pause(ctx, delay)
			continue
		}
		return x.settle(ctx, result)
	}
}

// place waits in the queue for a place at a backend server.
func (x *execution) place(ctx context.Context) (zinniapond.Choice, error) {
	now := x.owner.Clock()
	weight := max(x.plan.Weight, 1)
	choice, err := x.pool.Acquire(ctx, now, zinniapond.Waiting{
		Call: x.need.Call, Program: x.need.Program, Plan: x.plan.Name, Weight: weight, Class: x.need.Class,
		Cost: x.need.Prompt + x.need.Most, Arrived: x.admitted, Until: x.until, Need: x.need,
	})
	x.queued += x.owner.Clock().Sub(now)
	if err != nil && errors.Is(err, zinniapond.ErrOverload) {
		return choice, &zinniapond.Error{
			Step: "wait for a backend server", Host: x.owner.Settings.Host, RetryAfter: time.Second,
			Hint: "the pool has no free place; send the call again later", Err: err,
		}
	}
	return choice, err
}

// notPlaced ends a call that got no place. Nothing was sent in its last try; if
// an earlier try has sent something, the outcome is that try's.
func (x *execution) notPlaced(ctx context.Context, err error) (zinniapond.Answer, error) {
	if !x.intended {
		return zinniapond.Answer{}, err
	}
	answer := x.answer(zinniapond.OutcomeNotRun, http.StatusServiceUnavailable, err.Error())
	if x.sent() {
		answer = x.answer(zinniapond.OutcomeUnknown, http.StatusBadGateway, err.Error())
	}
	return x.record(ctx, answer)
}

// sent tells whether any attempt may have reached a backend server.
func (x *execution) sent() bool {
	for _, a := range x.attempts {
		if a.Err != notSent {
			return true
		}
	}
	return false
}

// intend makes the intent durable before the first byte goes out. If it fails,
// the place at the backend server is given back.
func (x *execution) intend(ctx context.Context, choice zinniapond.Choice) error {
	if x.intended {
		return nil
	}
	o, p, call := x.owner, x.program, &x.running.call
	now := o.Clock()
	p.mu.Lock()
	records := []zinniapond.Record{{Kind: zinniapond.RecordIntent, Program: call.Program, At: now, Call: call}}
	if !p.opened {
		records = append([]zinniapond.Record{p.openRecord(now)}, records...)
	}
	p.mu.Unlock()
	err := o.append(ctx, now, x.holding, records...)
	if err == nil && !o.Directory.Fresh(o.Clock()) {
		// Another host may own the shard by now; it knows the intent.
		err = o.refuse("send call", zinniapond.ErrNotOwner)
	}
	if err != nil {
		x.pool.Release(o.Clock(), choice.Backend, x.need, zinniapond.Observation{Cancelled: true})
		return fmt.Errorf("write intent: %w", err)
	}
	x.intended = true
	p.mu.Lock()
	p.opened = true
	p.book.Intend(call.ID)
	p.mu.Unlock()
	o.Retrier.Request(now)
	return nil
}

// again decides whether a failed attempt is followed by another one.
func (x *execution) again(ctx context.Context, r *result, tries int) (time.Duration, bool) {
	call := &x.running.call
	failed := call.Idempotent && r.answer.Status >= http.StatusInternalServerError
	if r.err == nil && !failed || ctx.Err() != nil || tries >= maxTries {
		return 0, false
	}
	x.need.Exclude = append(x.need.Exclude, r.choice.Backend)
	if r.refused || errors.Is(r.err, zinniapond.ErrNotSent) {
		return 0, true // nothing ran, so another try adds no work
	}
	if !call.Idempotent || errors.Is(r.err, zinniapond.ErrUnknown) {
		return 0, false
	}
	delay, ok := x.owner.Retrier.Retry(x.owner.Clock(), tries)
	if ok {
		x.owner.Stats.Add("retries", 1)
	}
	return delay, ok
}

// settle turns the last attempt into the call's answer and makes it durable.
func (x *execution) settle(ctx context.Context, r result) (zinniapond.Answer, error) {
	switch {
	case r.err == nil:
		return x.record(ctx, x.fill(r.answer, zinniapond.OutcomeDone))
	case !x.sent():
		reason := "no backend server took the call"
		return x.record(ctx, x.answer(zinniapond.OutcomeNotRun, http.StatusServiceUnavailable, reason))
	case x.running.call.Idempotent:
		return x.failed(ctx, r)
	default:
		reason := fmt.Sprintf("the connection to %s broke before the answer was whole: %v", r.choice.Backend, r.err)
		return x.record(ctx, x.answer(zinniapond.OutcomeUnknown, http.StatusBadGateway, reason))
	}
}

// failed ends an idempotent call without an answer. No result is written, so
// the same request may be sent again under the same key.
func (x *execution) failed(ctx context.Context, r result) (zinniapond.Answer, error) {
	if ctx.Err() != nil {
		return zinniapond.Answer{}, context.Cause(ctx)
	}
	return zinniapond.Answer{}, &zinniapond.Error{
		Step: "run call", Peer: r.choice.Backend, Host: x.owner.Settings.Host,
		Hint: "the call is idempotent; send it again", Err: fmt.Errorf("%w: %w", zinniapond.ErrBackend, r.err),
	}
}

func (x *execution) answer(outcome zinniapond.Outcome, status int, reason string) zinniapond.Answer {
	return x.fill(zinniapond.Answer{Status: status, Reason: reason}, outcome)
}

func (x *execution) fill(a zinniapond.Answer, outcome zinniapond.Outcome) zinniapond.Answer {
	a.Call = x.need.Call
	a.Outcome = outcome
	a.Attempts = x.attempts
	a.Queued = x.queued
	a.Ran = x.owner.Clock().Sub(x.admitted) - x.queued
	a.Degraded = x.owner.degraded(x.owner.Clock(), x.plan.Name, x.running.call.Pool)
	return a
}

// record makes the result durable. It keeps trying while the shard is held: the
// call has run, and only its result tells so.
func (x *execution) record(ctx context.Context, answer zinniapond.Answer) (zinniapond.Answer, error) {
	o, call := x.owner, &x.running.call
	deadline := o.Clock().Add(o.Settings.Limits.Attempt)
	for {
		now := o.Clock()
		records := []zinniapond.Record{{Kind: zinniapond.RecordResult, Program: call.Program, At: now, Answer: &answer}}
		if call.Single && answer.Outcome != zinniapond.OutcomeNotRun {
			records = append(records, zinniapond.Record{
				Kind: zinniapond.RecordEnd, Program: call.Program, At: now, Reason: "single call",
			})
		}
		err := o.append(context.WithoutCancel(ctx), now, x.holding, records...)
		switch {
		case err == nil:
			return answer, nil
		case errors.Is(err, zinniapond.ErrFenced), x.holding.life.Err() != nil:
			return zinniapond.Answer{}, fmt.Errorf("write result: %w: %w", zinniapond.ErrNotOwner, err)
		case now.After(deadline):
			// The intent is durable: whoever reads the journal finds the outcome unknown.
			return unknownAnswer(call.ID, "the result could not be made durable: "+err.Error()), nil
		}
		o.Logger.Warn("writing the result failed, trying again", "call", call.ID, "error", err)
		pause(ctx, resultPause)
	}
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// release drops the program's cache on a server.
func (o *Owner) release(server netip.AddrPort, id zinniapond.ProgramID) {
	ctx, cancel := context.WithTimeout(o.life, releaseLimit)
	defer cancel()
	if err := o.Clients[zinniapond.KindEngine].Release(ctx, server, id); err != nil {
		o.Logger.Warn("releasing cache failed; its expiry remains", "program", id, "backend", server, "error", err)
	}
}
