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
	// defaultQueueTimeout bounds the time in the queue if neither the call nor
	// its plan sets a bound.
	defaultQueueTimeout = 30 * time.Second
	// maxAttempts bounds the attempts of one call. Usually the retry budget is
	// exhausted first; this bound takes effect when few other calls run.
	maxAttempts = 4
	// resultRetryDelay is the delay before a failed append of a result is
	// retried.
	resultRetryDelay = 200 * time.Millisecond
)

// execution is the state of the execution of one call.
type execution struct {
	owner      *Owner
	shard      *ownedShard
	program    *program
	active     *activeCall
	plan       zinniapond.Plan
	admittedAt time.Time

	pool            *pool.Pool
	need            zinniapond.PickInfo
	queueDeadline   time.Time
	queueTime       time.Duration
	unloadedLatency time.Duration // estimated latency on an unloaded server; zero if unknown
	intentWritten   bool
	attempts        []zinniapond.Attempt
}

// run waits for the program's earlier calls, reserves tokens, runs the attempts
// and makes the intent and the result durable. An error means that the call was
// not run, that it is idempotent and may be sent again, or that another owner
// now decides its outcome.
func (x *execution) run(ctx context.Context) (zinniapond.Answer, error) {
	o, call := x.owner, &x.active.call
	x.queueDeadline = x.admittedAt.Add(x.queueTimeout())
	if err := x.awaitTurn(ctx); err != nil {
		return zinniapond.Answer{}, err
	}
	now := o.Clock()
	if !o.Directory.LeaseValid(now) {
		return zinniapond.Answer{}, o.newRefusal("start call", zinniapond.ErrStaleConfig)
	}
	o.Leases.PauseEnded(now, call.Program)
	reservation, err := o.Budget.Reserve(ctx, now, x.plan, call.PromptTokens+call.MaxGenerated)
	if err != nil {
		return zinniapond.Answer{}, err
	}
	answer, err := x.runAttempts(ctx)
	o.Budget.Settle(o.Clock(), reservation, answer.Usage.Total())
	if x.intentWritten && errors.Is(err, zinniapond.ErrNotOwner) {
		// ErrNotOwner tells the caller that nothing was sent, which is not
		// certain once the intent is written. ErrFenced makes no such promise.
		err = fmt.Errorf("call was interrupted: %w: %s", zinniapond.ErrFenced, err.Error())
	}
	return answer, err
}

// queueTimeout returns how long the call may wait before it is sent.
func (x *execution) queueTimeout() time.Duration {
	if w := x.active.call.MaxQueueTime; w > 0 {
		return w
	}
	if x.plan.MaxQueueTime > 0 {
		return x.plan.MaxQueueTime
	}
	return defaultQueueTimeout
}

// awaitTurn waits until the program's earlier calls have finished. It returns
// an error that wraps ErrOutOfOrder at the queue deadline.
func (x *execution) awaitTurn(ctx context.Context) error {
	timer := time.NewTimer(x.queueDeadline.Sub(x.owner.Clock()))
	defer timer.Stop()
	select {
	case <-x.active.startable:
		return nil
	case <-timer.C:
		return x.owner.newRefusal("wait for the program's earlier calls", zinniapond.ErrOutOfOrder)
	case <-ctx.Done():
		return fmt.Errorf("wait for the program's earlier calls: %w", context.Cause(ctx))
	}
}

// runAttempts runs attempts until one of them decides the outcome of the call,
// and makes the outcome durable.
func (x *execution) runAttempts(ctx context.Context) (zinniapond.Answer, error) {
	o, call := x.owner, &x.active.call
	var err error
	if x.pool, err = o.findOrStartPool(o.Clock(), call.Pool); err != nil {
		return zinniapond.Answer{}, err
	}
	x.need = zinniapond.PickInfo{
		Call: call.ID, Program: call.Program, Class: call.Class, DataCentre: o.Settings.DataCentre,
		PromptTokens: call.PromptTokens, MaxGenerated: call.MaxGenerated, PrefixHashes: call.PrefixHashes,
	}
	// The router is asked before it counts the prompt of this call as cached,
	// which would lower the estimate.
	x.unloadedLatency = x.pool.Router.EstimateDuration(x.need)
	for attemptCount := 1; ; attemptCount++ {
		choice, err := x.acquireServer(ctx)
		if err != nil {
			return x.endWithoutServer(ctx, err)
		}
		if err := x.writeIntent(ctx, choice); err != nil {
			return zinniapond.Answer{}, err
		}
		result := x.runAttempt(ctx, choice)
		if delay, retry := x.shouldRetry(ctx, &result, attemptCount); retry {
			sleep(ctx, delay)
			continue
		}
		return x.recordOutcome(ctx, result)
	}
}

// acquireServer waits in the queue of the pool for a slot at a backend server.
func (x *execution) acquireServer(ctx context.Context) (zinniapond.Choice, error) {
	now := x.owner.Clock()
	weight := max(x.plan.Weight, 1)
	choice, err := x.pool.Acquire(ctx, now, zinniapond.QueuedCall{
		Call: x.need.Call, Program: x.need.Program, Plan: x.plan.Name, Weight: weight, Class: x.need.Class,
		Cost: x.need.PromptTokens + x.need.MaxGenerated, ArrivedAt: x.admittedAt, Deadline: x.queueDeadline, PickInfo: x.need,
	})
	x.queueTime += x.owner.Clock().Sub(now)
	if err != nil && errors.Is(err, zinniapond.ErrOverload) {
		return choice, &zinniapond.Error{
			Step: "wait for a backend server", Host: x.owner.Settings.Host, RetryAfter: time.Second,
			Hint: "the pool has no free place; send the call again later", Err: err,
		}
	}
	return choice, err
}

// endWithoutServer ends a call that got no slot at a server. If an earlier
// attempt may have reached a server, the outcome is unknown, otherwise the call
// was not run.
func (x *execution) endWithoutServer(ctx context.Context, err error) (zinniapond.Answer, error) {
	if !x.intentWritten {
		return zinniapond.Answer{}, err
	}
	answer := x.newAnswer(zinniapond.OutcomeNotRun, http.StatusServiceUnavailable, err.Error())
	if x.mayHaveSent() {
		answer = x.newAnswer(zinniapond.OutcomeUnknown, http.StatusBadGateway, err.Error())
	}
	return x.writeResult(ctx, answer)
}

// mayHaveSent reports whether any attempt may have reached a backend server.
func (x *execution) mayHaveSent() bool {
	for _, a := range x.attempts {
		if a.Err != notSentText {
			return true
		}
	}
	return false
}

// writeIntent makes the intent durable before the first byte is sent to a
// server. If this fails, writeIntent releases the slot at the chosen server.
func (x *execution) writeIntent(ctx context.Context, choice zinniapond.Choice) error {
	if x.intentWritten {
		return nil
	}
	o, p, call := x.owner, x.program, &x.active.call
	now := o.Clock()
	p.mu.Lock()
	records := []zinniapond.Record{{Kind: zinniapond.RecordIntent, Program: call.Program, At: now, Call: call}}
	if !p.opened {
		records = append([]zinniapond.Record{p.newOpenRecord(now)}, records...)
	}
	p.mu.Unlock()
	err := o.appendRecords(ctx, now, x.shard, records...)
	if err == nil && !o.Directory.LeaseValid(o.Clock()) {
		// The lease of this host's view has expired, so another host may have
		// taken over the shard, with the intent in its journal.
		err = o.newRefusal("send call", zinniapond.ErrNotOwner)
	}
	if err != nil {
		x.pool.Release(o.Clock(), choice.Backend, x.need, zinniapond.Observation{Cancelled: true})
		return fmt.Errorf("write intent: %w", err)
	}
	x.intentWritten = true
	p.mu.Lock()
	p.opened = true
	p.tracker.MarkIntended(call.ID)
	p.mu.Unlock()
	o.Retrier.CountRequest(now)
	return nil
}

// shouldRetry decides whether another attempt follows the attempt that ended
// with r, and after which delay.
func (x *execution) shouldRetry(ctx context.Context, r *result, attemptCount int) (time.Duration, bool) {
	call := &x.active.call
	failed := call.Idempotent && r.answer.Status >= http.StatusInternalServerError
	if r.err == nil && !failed || ctx.Err() != nil || attemptCount >= maxAttempts {
		return 0, false
	}
	x.need.Exclude = append(x.need.Exclude, r.choice.Backend)
	if r.refused || errors.Is(r.err, zinniapond.ErrNotSent) {
		return 0, true // nothing was run, so a retry adds no load
	}
	if !call.Idempotent || errors.Is(r.err, zinniapond.ErrOutcomeUnknown) {
		return 0, false
	}
	delay, ok := x.owner.Retrier.AllowRetry(x.owner.Clock(), attemptCount)
	if ok {
		x.owner.Stats.Add("retries", 1)
	}
	return delay, ok
}

// recordOutcome derives the answer of the call from its last attempt and makes
// the answer durable.
func (x *execution) recordOutcome(ctx context.Context, r result) (zinniapond.Answer, error) {
	switch {
	case r.err == nil:
		return x.writeResult(ctx, x.fillAnswer(r.answer, zinniapond.OutcomeDone))
	case !x.mayHaveSent():
		reason := "no backend server took the call"
		return x.writeResult(ctx, x.newAnswer(zinniapond.OutcomeNotRun, http.StatusServiceUnavailable, reason))
	case x.active.call.Idempotent:
		return x.failIdempotent(ctx, r)
	default:
		reason := fmt.Sprintf("the connection to %s broke before the answer was whole: %v", r.choice.Backend, r.err)
		return x.writeResult(ctx, x.newAnswer(zinniapond.OutcomeUnknown, http.StatusBadGateway, reason))
	}
}

// failIdempotent ends an idempotent call with an error. No result is written,
// so the same request may be sent again with the same idempotency key.
func (x *execution) failIdempotent(ctx context.Context, r result) (zinniapond.Answer, error) {
	if ctx.Err() != nil {
		return zinniapond.Answer{}, context.Cause(ctx)
	}
	return zinniapond.Answer{}, &zinniapond.Error{
		Step: "run call", Peer: r.choice.Backend, Host: x.owner.Settings.Host,
		Hint: "the call is idempotent; send it again", Err: fmt.Errorf("%w: %w", zinniapond.ErrBackendFailed, r.err),
	}
}

func (x *execution) newAnswer(outcome zinniapond.Outcome, status int, reason string) zinniapond.Answer {
	return x.fillAnswer(zinniapond.Answer{Status: status, Reason: reason}, outcome)
}

// fillAnswer adds the outcome, the attempts, the times and the present degradations
// of service to an answer.
func (x *execution) fillAnswer(a zinniapond.Answer, outcome zinniapond.Outcome) zinniapond.Answer {
	a.Call = x.need.Call
	a.Outcome = outcome
	a.Attempts = x.attempts
	a.QueueTime = x.queueTime
	a.RunTime = x.owner.Clock().Sub(x.admittedAt) - x.queueTime
	a.Degraded = x.owner.describeDegradations(x.owner.Clock(), x.plan.Name, x.active.call.Pool)
	return a
}

// writeResult makes the result durable. It retries while this host owns the
// shard, for at most the attempt limit of the settings: the call has run, and
// no other record says how it ended.
func (x *execution) writeResult(ctx context.Context, answer zinniapond.Answer) (zinniapond.Answer, error) {
	o, call := x.owner, &x.active.call
	deadline := o.Clock().Add(o.Settings.Limits.AttemptTimeout)
	for {
		now := o.Clock()
		records := []zinniapond.Record{{Kind: zinniapond.RecordResult, Program: call.Program, At: now, Answer: &answer}}
		if call.SingleCall && answer.Outcome != zinniapond.OutcomeNotRun {
			records = append(records, zinniapond.Record{
				Kind: zinniapond.RecordEnd, Program: call.Program, At: now, Reason: "single call",
			})
		}
		err := o.appendRecords(context.WithoutCancel(ctx), now, x.shard, records...)
		switch {
		case err == nil:
			return answer, nil
		case errors.Is(err, zinniapond.ErrFenced), x.shard.lifetime.Err() != nil:
			return zinniapond.Answer{}, fmt.Errorf("write result: %w: %w", zinniapond.ErrNotOwner, err)
		case now.After(deadline):
			// The intent is durable without a result, so the next owner that
			// recovers the journal also finds the outcome unknown.
			return newUnknownAnswer(call.ID, "the result could not be made durable: "+err.Error()), nil
		}
		o.Logger.Warn("write of result failed, retrying", "call", call.ID, "error", err)
		sleep(ctx, resultRetryDelay)
	}
}

// sleep waits for d or until ctx is done. It returns at once if d is not
// positive.
func sleep(ctx context.Context, d time.Duration) {
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

// releaseCache asks a server to drop the cache of a program. After a failure
// the cache stays until the server lets it expire.
func (o *Owner) releaseCache(server netip.AddrPort, id zinniapond.ProgramID) {
	ctx, cancel := context.WithTimeout(o.lifetime, serverRequestTimeout)
	defer cancel()
	if err := o.Clients[zinniapond.KindEngine].ReleaseCache(ctx, server, id); err != nil {
		o.Logger.Warn("cache release failed; the cache stays until it expires", "program", id, "backend", server, "error", err)
	}
}
