package owner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"zinniapond.example/zinniapond"
)

// abandonedCallTimeout is how long an idempotent call runs on without a reader,
// so that an entry host whose connection broke can reconnect and read the
// answer.
const abandonedCallTimeout = 10 * time.Second

// errProgramUnloaded means that a program was removed from memory after the
// request had found it; the request has to look it up again.
var errProgramUnloaded = errors.New("program was removed from memory")

// Submit runs a call of a program whose shard this host owns. For a repetition
// of an earlier call, Submit joins the running call or returns the stored
// answer.
func (o *Owner) Submit(ctx context.Context, now time.Time, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	shard, err := o.acquireShard(now, call.Program)
	if err != nil {
		return zinniapond.Answer{}, err
	}
	defer o.releaseShard(shard)
	plan, ok := o.Directory.Catalog().Plans[call.Plan]
	if !ok {
		return zinniapond.Answer{}, fmt.Errorf("find plan %s: %w", call.Plan, zinniapond.ErrForbidden)
	}
	var p *program
	var active *activeCall
	var finishedID zinniapond.CallID
	for retry := true; retry; retry = errors.Is(err, errProgramUnloaded) {
		if p, err = o.findProgram(ctx, now, shard, &call); err != nil {
			return zinniapond.Answer{}, err
		}
		active, finishedID, err = o.admitCall(ctx, now, shard, p, call, plan)
	}
	if err != nil {
		return zinniapond.Answer{}, err
	}
	if finishedID != "" {
		return o.readStoredAnswer(ctx, now, shard, finishedID, &call, sink)
	}
	if !call.Stream {
		sink = nil
	}
	answer, err := active.flow.Read(ctx, sink, call.DeliveredBytes, call.DeliveredChecksum)
	if err != nil {
		return zinniapond.Answer{}, err
	}
	if sink != nil {
		answer.Body = nil // the body has been written to sink
	}
	return answer, nil
}

// admitCall adds the call to the tracker of its program and starts its execution.
// It returns the active call whose answer is to be read; for a repetition of a
// finished call it returns the id of that call instead.
func (o *Owner) admitCall(ctx context.Context, now time.Time, shard *ownedShard, p *program, call zinniapond.Call, plan zinniapond.Plan) (*activeCall, zinniapond.CallID, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unloaded {
		return nil, "", errProgramUnloaded
	}
	id, state, err := p.tracker.AdmitCall(now, &call, &plan)
	if errors.Is(err, zinniapond.ErrCapExceeded) && p.tracker.Idle() && !p.tracker.Ended() {
		reason := err.Error()
		shard.retain()
		o.group.Go(func() error {
			defer o.releaseShard(shard)
			return o.logError("end program over its cap", o.endProgram(o.lifetime, now, shard, p, reason))
		})
	}
	if err != nil {
		return nil, "", err
	}
	p.lastActivity = now
	switch state {
	case zinniapond.CallFinished:
		return nil, id, nil
	case zinniapond.CallRunning:
		if active := p.activeCalls[id]; active != nil {
			return active, "", nil
		}
		return nil, "", o.newRefusal("join call", zinniapond.ErrNotOwner)
	default:
	}
	lifetime, cancel := context.WithCancelCause(trace.ContextWithSpanContext(shard.lifetime, trace.SpanContextFromContext(ctx)))
	active := &activeCall{call: call, startable: make(chan struct{}), cancel: cancel}
	p.activeCalls[id] = active
	p.startNext()
	shard.retain()
	o.group.Go(func() error {
		defer o.releaseShard(shard)
		defer cancel(nil)
		o.executeCall(lifetime, shard, p, active, plan)
		return nil
	})
	return active, "", nil
}

// readStoredAnswer returns the answer of a finished call from the journal. An
// unknown outcome is returned with status 409.
func (o *Owner) readStoredAnswer(ctx context.Context, now time.Time, shard *ownedShard, callID zinniapond.CallID, call *zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	var answer *zinniapond.Answer
	err := o.Journal.History(ctx, now, shard.id, call.Program, func(r zinniapond.Record) error {
		if r.Kind == zinniapond.RecordResult && r.Answer.Call == callID {
			answer = r.Answer
		}
		return nil
	})
	if err != nil {
		return zinniapond.Answer{}, fmt.Errorf("read stored answer: %w", err)
	}
	if answer == nil {
		return zinniapond.Answer{}, fmt.Errorf("read stored answer of call %s: %w", callID, zinniapond.ErrOutcomeUnknown)
	}
	answer.Repeated = true
	o.Stats.Add("calls.repeated", 1)
	if answer.Outcome == zinniapond.OutcomeUnknown {
		answer.Status = http.StatusConflict
		return *answer, nil
	}
	if !call.Stream || sink == nil {
		return *answer, nil
	}
	var active activeCall
	if err := active.completeBuffer(*answer); err != nil {
		return zinniapond.Answer{}, err
	}
	streamed, err := active.flow.Read(ctx, sink, call.DeliveredBytes, call.DeliveredChecksum)
	streamed.Body = nil
	return streamed, err
}

// completeBuffer writes the part of the answer's body that has not been streamed
// yet to the buffer and finishes the buffer.
func (c *activeCall) completeBuffer(answer zinniapond.Answer) error {
	if err := c.flow.Begin(answer.Status, answer.Fields); err != nil {
		return err
	}
	rest, err := c.flow.TrimMatching(0, answer.Body)
	if err == nil && len(rest) > 0 {
		err = c.flow.Write(rest)
	}
	c.flow.Finish(answer, err)
	return err
}

// executeCall runs an admitted call, counts and logs its outcome, and finishes
// it.
func (o *Owner) executeCall(ctx context.Context, shard *ownedShard, p *program, active *activeCall, plan zinniapond.Plan) {
	ctx, span := o.Tracer.Start(ctx, "owner.call", trace.WithAttributes(
		attribute.String("program", string(active.call.Program)), attribute.String("call", string(active.call.ID))))
	defer span.End()
	x := &execution{owner: o, shard: shard, program: p, active: active, plan: plan, admittedAt: o.Clock()}
	answer, err := x.run(ctx)
	now := o.Clock()
	if err != nil {
		span.RecordError(err)
		o.Stats.Add("calls.failed", 1)
		o.Logger.Info("call failed", "program", active.call.Program, "call", active.call.ID, "error", err)
	} else {
		o.Stats.Add("calls."+string(answer.Outcome), 1)
		o.Logger.Debug("call finished", "program", active.call.Program, "call", active.call.ID,
			"outcome", answer.Outcome, "status", answer.Status, "backend", answer.Backend, "attempts", len(answer.Attempts))
	}
	o.concludeCall(now, p, active, answer, err)
}

// concludeCall records the outcome in the tracker, passes the answer to the
// readers and starts the program's next call. It unloads a program that has
// ended or of which no record is durable.
func (o *Owner) concludeCall(now time.Time, p *program, active *activeCall, answer zinniapond.Answer, err error) {
	id := active.call.ID
	p.mu.Lock()
	if err != nil || answer.Outcome == zinniapond.OutcomeNotRun {
		p.tracker.Withdraw(id)
	} else {
		p.tracker.Finish(id, &answer)
	}
	p.mu.Unlock()
	if err != nil {
		active.flow.Finish(answer, err)
	} else if err := active.completeBuffer(answer); err != nil {
		o.Logger.Error("stored answer differs from the streamed part", "call", id, "error", err)
	}
	p.removeCall(now, id)
	if active.call.SingleCall && err == nil {
		// writeResult has appended the end record together with the result.
		p.mu.Lock()
		p.tracker.End(now, "single call")
		p.mu.Unlock()
	}
	p.mu.Lock()
	ended, notOpened := p.tracker.Ended(), !p.opened
	p.mu.Unlock()
	switch {
	case ended:
		o.forgetProgram(active.call.Program)
	case notOpened:
		o.unloadProgram(active.call.Program, p) // the journal has no record of the program
	}
}

// logError logs a failed step as a warning. It always returns nil, so that a
// goroutine of the group can return its value without ending Run with the
// error.
func (o *Owner) logError(step string, err error) error {
	if err != nil {
		o.Logger.Warn(step, "error", err)
	}
	return nil
}

// newUnknownAnswer returns the answer of a call that may have run and must not
// run again.
func newUnknownAnswer(call zinniapond.CallID, reason string) zinniapond.Answer {
	return zinniapond.Answer{
		Call: call, Outcome: zinniapond.OutcomeUnknown, Status: http.StatusBadGateway, Reason: reason,
	}
}
