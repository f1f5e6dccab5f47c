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

// abandonAfter is how long a call goes on without a reader, so that an entry
// whose connection broke can come back for the answer.
const abandonAfter = 10 * time.Second

// errGone tells that a program was removed from memory after it was found.
var errGone = errors.New("program was removed from memory")

// Submit runs a call of a program whose shard this host owns, or returns what
// is known of it if it is a repetition.
func (o *Owner) Submit(ctx context.Context, now time.Time, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	h, err := o.enter(now, call.Program)
	if err != nil {
		return zinniapond.Answer{}, err
	}
	defer o.leave(h)
	plan, ok := o.Directory.Catalog().Plans[call.Plan]
	if !ok {
		return zinniapond.Answer{}, fmt.Errorf("find plan %s: %w", call.Plan, zinniapond.ErrForbidden)
	}
	var p *program
	var r *running
	var stored zinniapond.CallID
	for again := true; again; again = errors.Is(err, errGone) {
		if p, err = o.program(ctx, now, h, &call); err != nil {
			return zinniapond.Answer{}, err
		}
		r, stored, err = o.admit(ctx, now, h, p, call, plan)
	}
	if err != nil {
		return zinniapond.Answer{}, err
	}
	if stored != "" {
		return o.stored(ctx, now, h, stored, &call, sink)
	}
	if !call.Stream {
		sink = nil
	}
	answer, err := r.flow.Read(ctx, sink, call.Delivered, call.DeliveredSum)
	if err != nil {
		return zinniapond.Answer{}, err
	}
	if sink != nil {
		answer.Body = nil // sink has it
	}
	return answer, nil
}

// admit takes the call into its program's book. It returns the call to read
// from, or the id of the finished call that it repeats.
func (o *Owner) admit(ctx context.Context, now time.Time, h *holding, p *program, call zinniapond.Call, plan zinniapond.Plan) (*running, zinniapond.CallID, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return nil, "", errGone
	}
	id, state, err := p.book.Admit(now, &call, &plan)
	if errors.Is(err, zinniapond.ErrCap) && p.book.Idle() && !p.book.Ended() {
		reason := err.Error()
		h.retain()
		o.group.Go(func() error {
			defer o.leave(h)
			return o.logged("end program over its cap", o.end(o.life, now, h, p, reason))
		})
	}
	if err != nil {
		return nil, "", err
	}
	p.touched = now
	switch state {
	case zinniapond.CallFinished:
		return nil, id, nil
	case zinniapond.CallRunning:
		if r := p.running[id]; r != nil {
			return r, "", nil
		}
		return nil, "", o.refuse("join call", zinniapond.ErrNotOwner)
	default:
	}
	life, cancel := context.WithCancelCause(trace.ContextWithSpanContext(h.life, trace.SpanContextFromContext(ctx)))
	r := &running{call: call, turn: make(chan struct{}), cancel: cancel}
	p.running[id] = r
	p.advance()
	h.retain()
	o.group.Go(func() error {
		defer o.leave(h)
		defer cancel(nil)
		o.execute(life, h, p, r, plan)
		return nil
	})
	return r, "", nil
}

// stored returns the answer of a call that has finished before.
func (o *Owner) stored(ctx context.Context, now time.Time, h *holding, id zinniapond.CallID, call *zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	var answer *zinniapond.Answer
	err := o.Journal.History(ctx, now, h.shard, call.Program, func(r zinniapond.Record) error {
		if r.Kind == zinniapond.RecordResult && r.Answer.Call == id {
			answer = r.Answer
		}
		return nil
	})
	if err != nil {
		return zinniapond.Answer{}, fmt.Errorf("read stored answer: %w", err)
	}
	if answer == nil {
		return zinniapond.Answer{}, fmt.Errorf("read stored answer of call %s: %w", id, zinniapond.ErrUnknown)
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
	var r running
	if err := r.complete(*answer); err != nil {
		return zinniapond.Answer{}, err
	}
	got, err := r.flow.Read(ctx, sink, call.Delivered, call.DeliveredSum)
	got.Body = nil
	return got, err
}

// complete passes what the flow lacks of the answer's body and ends it.
func (r *running) complete(answer zinniapond.Answer) error {
	if err := r.flow.Begin(answer.Status, answer.Fields); err != nil {
		return err
	}
	rest, err := r.flow.Match(0, answer.Body)
	if err == nil && len(rest) > 0 {
		err = r.flow.Write(rest)
	}
	r.flow.Finish(answer, err)
	return err
}

// execute runs a new call to its end.
func (o *Owner) execute(ctx context.Context, h *holding, p *program, r *running, plan zinniapond.Plan) {
	ctx, span := o.Tracer.Start(ctx, "owner.call", trace.WithAttributes(
		attribute.String("program", string(r.call.Program)), attribute.String("call", string(r.call.ID))))
	defer span.End()
	x := &execution{owner: o, holding: h, program: p, running: r, plan: plan, admitted: o.Clock()}
	answer, err := x.run(ctx)
	now := o.Clock()
	if err != nil {
		span.RecordError(err)
		o.Stats.Add("calls.failed", 1)
		o.Logger.Info("call did not finish", "program", r.call.Program, "call", r.call.ID, "error", err)
	} else {
		o.Stats.Add("calls."+string(answer.Outcome), 1)
		o.Logger.Debug("call finished", "program", r.call.Program, "call", r.call.ID,
			"outcome", answer.Outcome, "status", answer.Status, "backend", answer.Backend, "attempts", len(answer.Attempts))
	}
	o.conclude(now, p, r, answer, err)
}

// conclude notes the outcome in the book, answers the readers and lets the
// program's next call run.
func (o *Owner) conclude(now time.Time, p *program, r *running, answer zinniapond.Answer, err error) {
	id := r.call.ID
	p.mu.Lock()
	if err != nil || answer.Outcome == zinniapond.OutcomeNotRun {
		p.book.Withdraw(id)
	} else {
		p.book.Finish(id, &answer)
	}
	p.mu.Unlock()
	if err != nil {
		r.flow.Finish(answer, err)
	} else if err := r.complete(answer); err != nil {
		o.Logger.Error("stored answer differs from the streamed part", "call", id, "error", err)
	}
	p.finish(now, id)
	if r.call.Single && err == nil {
		// The end record was written with the result.
		p.mu.Lock()
		p.book.End(now, "single call")
		p.mu.Unlock()
	}
	p.mu.Lock()
	ended, blank := p.book.Ended(), !p.opened
	p.mu.Unlock()
	switch {
	case ended:
		o.forget(r.call.Program)
	case blank:
		o.unload(r.call.Program, p) // nothing of it is durable
	}
}

func (o *Owner) logged(step string, err error) error {
	if err != nil {
		o.Logger.Warn(step, "error", err)
	}
	return nil
}

// unknownAnswer is the answer for a call that may have run and must not run
// again.
func unknownAnswer(call zinniapond.CallID, reason string) zinniapond.Answer {
	return zinniapond.Answer{
		Call: call, Outcome: zinniapond.OutcomeUnknown, Status: http.StatusBadGateway, Reason: reason,
	}
}
