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
	tracing "zinniapond.example/zinniapond/internal/core/trace"
)

// notSentText is the Err field of an attempt that was not run: no byte reached
// the server, or the server refused the call. The outcome of the call depends
// on it.
const notSentText = "not sent"

// errAnsweredByOther ends an attempt because the other attempt of a hedged call
// has begun to answer first.
var errAnsweredByOther = errors.New("another attempt answered first")

// result is the outcome of one attempt.
type result struct {
	choice  zinniapond.Choice
	answer  zinniapond.Answer
	err     error
	refused bool // the server replied that it did not run the call
	index   int  // index in execution.attempts
}

// answerRace decides which of two concurrent attempts provides the answer: the
// first that calls claimAnswer.
type answerRace struct {
	mu     sync.Mutex
	winner zinniapond.AttemptID
}

// claimAnswer claims the answer for the attempt and reports whether the attempt
// provides it.
func (r *answerRace) claimAnswer(id zinniapond.AttemptID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner == "" {
		r.winner = id
	}
	return r.winner == id
}

// runAttempt runs an attempt on the chosen server. If that server is slow to
// begin its answer and the call is idempotent, runAttempt starts a second,
// hedged attempt on another server. It returns the first success, or the last
// failure.
func (x *execution) runAttempt(ctx context.Context, choice zinniapond.Choice) result {
	ctx, cancel := context.WithTimeout(ctx, x.owner.Settings.Limits.AttemptTimeout)
	defer cancel()
	ctx, stopWatching := x.cancelWhenAbandoned(ctx)
	defer stopWatching()
	var race answerRace
	results := make(chan result, 2)
	outstanding := 1
	x.launchAttempt(ctx, choice, x.need, &race, results)
	hedgeTimer, stopHedgeTimer := x.startHedgeTimer()
	defer stopHedgeTimer()
	for {
		select {
		case r := <-results:
			outstanding--
			x.recordAttemptEnd(&r)
			if r.err == nil || outstanding == 0 {
				return r
			}
		case <-hedgeTimer:
			hedgeTimer = nil
			need := x.need
			need.Exclude = append(need.Exclude[:0:0], need.Exclude...)
			need.Exclude = append(need.Exclude, choice.Backend)
			if second, ok := x.acquireHedgeServer(need); ok {
				outstanding++
				x.launchAttempt(ctx, second, need, &race, results)
			}
		}
	}
}

// cancelWhenAbandoned returns a context that is cancelled when an idempotent
// call has had no reader for abandonedCallTimeout. A non-idempotent call is
// never cancelled for want of readers, because only its result tells whether it
// took effect.
func (x *execution) cancelWhenAbandoned(ctx context.Context) (context.Context, func()) {
	if !x.active.call.Idempotent {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	lastReaderLeft := x.active.flow.Abandoned()
	x.owner.group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-lastReaderLeft:
			}
			sleep(ctx, abandonedCallTimeout)
			if x.active.flow.Readers() == 0 {
				cancel(fmt.Errorf("no caller reads the answer: %w", context.Canceled))
			}
		}
	})
	return ctx, func() { cancel(nil) }
}

// startHedgeTimer returns a channel that receives when a hedged attempt is due,
// and a function that stops the timer. The channel is nil if the call may not
// be hedged.
func (x *execution) startHedgeTimer() (<-chan time.Time, func()) {
	if !x.active.call.Idempotent {
		return nil, func() {}
	}
	after, ok := x.owner.Retrier.HedgeDelay(x.owner.Clock(), x.active.call.Pool)
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(after)
	return timer.C, func() { timer.Stop() }
}

// acquireHedgeServer acquires a slot at a second server, if a slot is free, the
// answer has not begun and the retry budget allows a hedged attempt.
func (x *execution) acquireHedgeServer(need zinniapond.PickInfo) (zinniapond.Choice, bool) {
	if x.active.flow.HasBegun() {
		return zinniapond.Choice{}, false
	}
	now := x.owner.Clock()
	choice, ok := x.pool.TryAcquire(now, need)
	if !ok {
		return choice, false
	}
	if !x.owner.Retrier.AllowHedge(now) {
		x.pool.Release(now, choice.Backend, need, zinniapond.Observation{Cancelled: true})
		return choice, false
	}
	x.owner.Stats.Add("hedges", 1)
	choice.Reason = "hedge: " + choice.Reason
	return choice, true
}

// launchAttempt starts one attempt. The attempt releases its slot at the server
// when it ends, even if runAttempt has returned before.
func (x *execution) launchAttempt(ctx context.Context, choice zinniapond.Choice, need zinniapond.PickInfo, race *answerRace, results chan<- result) {
	id := zinniapond.AttemptID(uuid.NewString())
	now := x.owner.Clock()
	x.owner.Stats.Add("attempts", 1)
	x.attempts = append(x.attempts, zinniapond.Attempt{ID: id, Backend: choice.Backend, StartedAt: now, Reason: choice.Reason})
	index := len(x.attempts) - 1
	a := &attempt{execution: x, id: id, started: now, choice: choice, need: need, race: race, index: index}
	x.owner.group.Go(func() error {
		results <- a.send(ctx)
		return nil
	})
}

// attempt is one attempt in progress. It has copies of the fields that its
// execution changes for the next attempt.
type attempt struct {
	*execution
	id      zinniapond.AttemptID
	started time.Time
	choice  zinniapond.Choice
	need    zinniapond.PickInfo
	race    *answerRace
	index   int
}

// send runs the call on the chosen server, releases the slot and passes the
// observed latency and cache use on.
func (a *attempt) send(ctx context.Context) result {
	o, call, choice := a.owner, a.active.call, a.choice
	r := result{choice: choice, index: a.index}
	ctx, span := o.Tracer.Start(ctx, "owner.attempt", trace.WithAttributes(
		attribute.String("attempt", string(a.id)), attribute.String("backend", choice.Backend.String()),
		attribute.String("why", choice.Reason)))
	defer span.End()
	call.Traceparent = tracing.Inject(ctx)
	sink := &attemptSink{id: a.id, race: a.race, active: a.active, clock: o.Clock, started: a.started}
	var answerSink zinniapond.Sink
	if call.Stream {
		answerSink = sink
	}
	server, ok := o.findBackend(choice)
	if !ok {
		r.err = zinniapond.Wrap("run call", choice.Backend, zinniapond.ErrNotSent)
	} else {
		r.answer, r.err = o.Clients[call.Kind].Do(ctx, a.id, server, call, answerSink)
	}
	if r.err == nil && !a.race.claimAnswer(a.id) {
		r.err = errAnsweredByOther
	}
	r.answer.Backend = choice.Backend
	now := o.Clock()
	observation := newObservation(now, a.started, sink.firstByteAfter, r)
	if errors.Is(r.err, zinniapond.ErrUnavailable) {
		r.refused = true
		observation.Cancelled = true
		o.Roster.SetState(now, choice.Backend, zinniapond.BackendLeaving)
	}
	a.pool.Release(now, choice.Backend, a.need, observation)
	if r.err == nil {
		o.recordServedCall(now, a, observation)
	}
	return r
}

// newObservation summarises what the attempt showed of the server's latency and
// health. A cancelled attempt says nothing of the latency.
func newObservation(now, started time.Time, first time.Duration, r result) zinniapond.Observation {
	observation := zinniapond.Observation{
		TimeToFirstByte: first, Duration: now.Sub(started), Usage: r.answer.Usage,
		Failed:    r.err != nil || r.answer.Status >= http.StatusInternalServerError,
		Cancelled: errors.Is(r.err, context.Canceled) || errors.Is(r.err, errAnsweredByOther),
	}
	if observation.TimeToFirstByte == 0 {
		observation.TimeToFirstByte = observation.Duration
	}
	return observation
}

// recordAttemptEnd adds the duration and the error of an attempt to the list of
// attempts that the answer reports.
func (x *execution) recordAttemptEnd(r *result) {
	a := &x.attempts[r.index]
	a.Duration = x.owner.Clock().Sub(a.StartedAt)
	switch {
	case r.refused || errors.Is(r.err, zinniapond.ErrNotSent):
		a.Err = notSentText
	case r.err != nil:
		a.Err = r.err.Error()
	}
}

// attemptSink streams the answer of an attempt to the buffer of the call while
// the attempt holds the answerRace. The answer of an attempt that follows a
// broken one must begin with the bytes that have been streamed already.
type attemptSink struct {
	id             zinniapond.AttemptID
	race           *answerRace
	active         *activeCall
	clock          func() time.Time
	started        time.Time
	firstByteAfter time.Duration // from the start of the attempt to the first byte
	offset         int64         // bytes of the body received by this attempt
	serverFailed   bool          // the status is 500 or above
}

func (s *attemptSink) Begin(status int, fields []zinniapond.HeaderField) error {
	if !s.race.claimAnswer(s.id) {
		return errAnsweredByOther
	}
	s.firstByteAfter = s.clock().Sub(s.started)
	if status >= http.StatusInternalServerError {
		s.serverFailed = true // another attempt may follow, so the error answer is not streamed
		return nil
	}
	return s.active.flow.Begin(status, fields)
}

func (s *attemptSink) Write(part []byte) error {
	if s.serverFailed {
		return nil
	}
	rest, err := s.active.flow.TrimMatching(s.offset, part)
	if err != nil {
		return err
	}
	s.offset += int64(len(part))
	if len(rest) == 0 {
		return nil
	}
	return s.active.flow.Write(rest)
}
