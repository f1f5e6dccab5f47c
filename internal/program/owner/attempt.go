package owner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"zinniapond.example/zinniapond"
	hop "zinniapond.example/zinniapond/internal/core/trace"
)

// notSent is the error text of an attempt of which no byte reached the server.
const notSent = "not sent"

// errRaced ends an attempt whose rival has begun to answer first.
var errRaced = errors.New("another attempt answered first")

// result is how an attempt ended.
type result struct {
	choice  zinniapond.Choice
	answer  zinniapond.Answer
	err     error
	refused bool // the server said that it did not run the call
	index   int  // place in execution.attempts
}

// race lets one of two attempts at a time write the answer.
type race struct {
	mu     sync.Mutex
	winner zinniapond.AttemptID
}

func (r *race) claim(id zinniapond.AttemptID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner == "" {
		r.winner = id
	}
	return r.winner == id
}

// attempt runs the call on the chosen server and, if that is slow to begin and
// the call is idempotent, on a second one beside it.
func (x *execution) attempt(ctx context.Context, choice zinniapond.Choice) result {
	ctx, cancel := context.WithTimeout(ctx, x.owner.Settings.Limits.Attempt)
	defer cancel()
	ctx, stop := x.untilAbandoned(ctx)
	defer stop()
	var contest race
	results := make(chan result, 2)
	outstanding := 1
	x.launch(ctx, choice, x.need, &contest, results)
	hedge, disarm := x.hedgeTimer()
	defer disarm()
	for {
		select {
		case r := <-results:
			outstanding--
			x.note(&r)
			if r.err == nil || outstanding == 0 {
				return r
			}
		case <-hedge:
			hedge = nil
			need := x.need
			need.Exclude = append(need.Exclude[:0:0], need.Exclude...)
			need.Exclude = append(need.Exclude, choice.Backend)
			if second, ok := x.hedge(need); ok {
				outstanding++
				x.launch(ctx, second, need, &contest, results)
			}
		}
	}
}

// untilAbandoned cancels an idempotent call that nobody has been reading for
// abandonAfter. Others go on, as only their result tells what they did.
func (x *execution) untilAbandoned(ctx context.Context) (context.Context, func()) {
	if !x.running.call.Idempotent {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	left := x.running.flow.Abandoned()
	x.owner.group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-left:
			}
			pause(ctx, abandonAfter)
			if x.running.flow.Readers() == 0 {
				cancel(fmt.Errorf("caller has gone: %w", context.Canceled))
			}
		}
	})
	return ctx, func() { cancel(nil) }
}

func (x *execution) hedgeTimer() (<-chan time.Time, func()) {
	if !x.running.call.Idempotent {
		return nil, func() {}
	}
	after, ok := x.owner.Retrier.HedgeAfter(x.owner.Clock(), x.running.call.Pool)
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(after)
	return timer.C, func() { timer.Stop() }
}

// hedge takes a place at a second server if one is free and the budget allows.
func (x *execution) hedge(need zinniapond.Need) (zinniapond.Choice, bool) {
	if x.running.flow.Begun() {
		return zinniapond.Choice{}, false
	}
	now := x.owner.Clock()
	choice, ok := x.pool.Try(now, need)
	if !ok {
		return choice, false
	}
	if !x.owner.Retrier.Hedge(now) {
		x.pool.Release(now, choice.Backend, need, zinniapond.Observation{Cancelled: true})
		return choice, false
	}
	x.owner.Stats.Add("hedges", 1)
	choice.Reason = "hedge: " + choice.Reason
	return choice, true
}

// launch starts one attempt. Its place is given back when it ends, also if
// nobody waits for it any more.
func (x *execution) launch(ctx context.Context, choice zinniapond.Choice, need zinniapond.Need, contest *race, results chan<- result) {
	id := zinniapond.AttemptID(uuid.NewString())
	now := x.owner.Clock()
	x.owner.Stats.Add("attempts", 1)
	x.attempts = append(x.attempts, zinniapond.Attempt{ID: id, Backend: choice.Backend, Started: now, Why: choice.Reason})
	index := len(x.attempts) - 1
	t := &try{execution: x, id: id, started: now, choice: choice, need: need, contest: contest, index: index}
	x.owner.group.Go(func() error {
		results <- t.do(ctx)
		return nil
	})
}

// try is one attempt at work. It has its own copies of what its execution
// changes for the next attempt.
type try struct {
	*execution
	id      zinniapond.AttemptID
	started time.Time
	choice  zinniapond.Choice
	need    zinniapond.Need
	contest *race
	index   int
}

func (t *try) do(ctx context.Context) result {
	o, call, choice := t.owner, t.running.call, t.choice
	r := result{choice: choice, index: t.index}
	ctx, span := o.Tracer.Start(ctx, "owner.attempt", trace.WithAttributes(
		attribute.String("attempt", string(t.id)), attribute.String("backend", choice.Backend.String()),
		attribute.String("why", choice.Reason)))
	defer span.End()
	call.Trace = hop.Inject(ctx)
	sink := &contestant{id: t.id, contest: t.contest, running: t.running, clock: o.Clock, started: t.started}
	var out zinniapond.Sink
	if call.Stream {
		out = sink
	}
	server, ok := o.backend(choice)
	if !ok {
		r.err = zinniapond.Wrap("run call", choice.Backend, zinniapond.ErrNotSent)
	} else {
		r.answer, r.err = o.Clients[call.Kind].Do(ctx, t.id, server, call, out)
	}
	if r.err == nil && !t.contest.claim(t.id) {
		r.err = errRaced
	}
	r.answer.Backend = choice.Backend
	now := o.Clock()
	seen := observe(now, t.started, sink.first, r)
	if errors.Is(r.err, zinniapond.ErrUnavailable) {
		r.refused = true
		seen.Cancelled = true
		o.Roster.Mark(now, choice.Backend, zinniapond.BackendLeaving)
	}
	t.pool.Release(now, choice.Backend, t.need, seen)
	if r.err == nil {
		o.served(now, t, seen)
	}
	return r
}

// observe sums up what the attempt showed of the server.
func observe(now, started time.Time, first time.Duration, r result) zinniapond.Observation {
	seen := zinniapond.Observation{
		First: first, Total: now.Sub(started), Usage: r.answer.Usage,
		Failed:    r.err != nil || r.answer.Status >= http.StatusInternalServerError,
		Cancelled: errors.Is(r.err, context.Canceled) || errors.Is(r.err, errRaced),
	}
	if seen.First == 0 {
		seen.First = seen.Total
	}
	return seen
}

// note adds to the explanation how the attempt ended.
func (x *execution) note(r *result) {
	a := &x.attempts[r.index]
	a.Took = x.owner.Clock().Sub(a.Started)
	switch {
	case r.refused || errors.Is(r.err, zinniapond.ErrNotSent):
		a.Err = notSent
	case r.err != nil:
		a.Err = r.err.Error()
	}
}

// contestant passes an attempt's parts on while it leads the race. An attempt
// after a broken one must begin with the bytes that were passed on already.
type contestant struct {
	id      zinniapond.AttemptID
	contest *race
	running *running
	clock   func() time.Time
	started time.Time
	first   time.Duration
	offset  int64
	failed  bool
}

func (c *contestant) Begin(status int, fields []zinniapond.Field) error {
	if !c.contest.claim(c.id) {
		return errRaced
	}
	c.first = c.clock().Sub(c.started)
	if status >= http.StatusInternalServerError {
		c.failed = true // another attempt may follow, so nothing is passed on
		return nil
	}
	return c.running.flow.Begin(status, fields)
}

func (c *contestant) Write(part []byte) error {
	if c.failed {
		return nil
	}
	rest, err := c.running.flow.Match(c.offset, part)
	if err != nil {
		return err
	}
	c.offset += int64(len(part))
	if len(rest) == 0 {
		return nil
	}
	return c.running.flow.Write(rest)
}
