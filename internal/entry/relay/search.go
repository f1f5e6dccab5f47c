package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

// counter passes an answer on and counts its bytes. A resumed answer begins
// once for the caller.
type counter struct {
	sink    zinniapond.Sink
	begun   bool
	count   int64
	sum     xxhash.Digest
	failure error
}

func (c *counter) Begin(status int, fields []zinniapond.Field) error {
	if c.begun {
		return nil
	}
	c.begun = true
	if c.sink != nil {
		c.failure = c.sink.Begin(status, fields)
	}
	return c.failure
}

func (c *counter) Write(part []byte) error {
	if c.failure != nil {
		return c.failure
	}
	if c.count == 0 {
		c.sum.Reset()
	}
	c.count += int64(len(part))
	_, _ = c.sum.Write(part)
	if c.sink != nil {
		c.failure = c.sink.Write(part)
	}
	return c.failure
}

// delivered returns the number of bytes passed on and their sum.
func (c *counter) delivered() (int64, uint64) {
	if c.count == 0 {
		return 0, 0
	}
	return c.count, c.sum.Sum64()
}

// search bounds the attempts for one call and waits between them.
type search struct {
	relay    *Relay
	bound    time.Duration // the call's own
	deadline time.Time
	delay    time.Duration
	// reached is set once an owner may have run the call.
	reached bool
	count   int64 // bytes delivered at the last extension of the deadline
	last    error
}

func (r *Relay) newSearch(now time.Time, wait time.Duration) *search {
	if wait <= 0 {
		wait = r.Wait
	}
	return &search{relay: r, bound: wait, deadline: now.Add(wait), delay: firstDelay}
}

// left is how long the next owner may hold the call in its queue. The search
// for an owner counts towards the call's bound, unless the call was accepted
// before: then only its outcome is asked for, or it is run again.
func (s *search) left() time.Duration {
	if s.reached {
		return s.bound
	}
	return max(s.deadline.Sub(s.relay.Clock()), time.Millisecond)
}

// failed takes note of an attempt without an answer. A call that may have run
// gets time of its own to learn the outcome, and again when bytes have moved.
func (s *search) failed(got reply, out *counter) {
	if got.refused() {
		return
	}
	moved := out != nil && out.count > s.count
	if !s.reached || moved {
		if until := s.relay.Clock().Add(s.relay.Resume); until.After(s.deadline) {
			s.deadline = until
		}
		s.delay = firstDelay
	}
	s.reached = true
	if out != nil {
		s.count = out.count
	}
}

// first undoes the mark of a repetition if this search itself has asked before:
// the owner sees the second question, the caller gets the first answer.
func (s *search) first(answer zinniapond.Answer) zinniapond.Answer {
	if s.reached && answer.Repeated {
		answer.Repeated = false
		if answer.Outcome == zinniapond.OutcomeUnknown {
			answer.Status = http.StatusBadGateway
		}
	}
	return answer
}

func (s *search) note(err error) { s.last = err }

var errLate = errors.New("no owner answered in time")

// wait blocks until the control state changes or a growing delay has passed. It
// returns an error once the time is up.
func (s *search) wait(ctx context.Context, changed <-chan struct{}) error {
	left := s.deadline.Sub(s.relay.Clock())
	if left <= 0 {
		return errLate
	}
	// The jitter keeps the entries from asking a returned owner all at once.
	pause := s.delay/2 + rand.N(s.delay/2+1)
	timer := time.NewTimer(min(pause, left))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-changed:
		s.delay = firstDelay
	case <-timer.C:
		s.delay = min(2*s.delay, lastDelay)
	}
	return nil
}

// end returns the outcome of a call that no owner has answered.
func (s *search) end(call zinniapond.CallID, cause error) (zinniapond.Answer, error) {
	if s.last != nil {
		cause = fmt.Errorf("%w: %w", cause, s.last)
	}
	var detail *zinniapond.Error
	e := &zinniapond.Error{Step: "relay call to its owner", Host: s.relay.Host}
	if errors.As(cause, &detail) {
		e.Peer = detail.Peer
	}
	if s.reached {
		// The cause is text only: a front end must not find in it an error that
		// stands for a call that was not run.
		e.Err = fmt.Errorf("%w: %v", zinniapond.ErrUnknown, cause) //nolint:errorlint // see above.
		e.Hint = "ask again with the same idempotency key"
		return zinniapond.Answer{Call: call, Outcome: zinniapond.OutcomeUnknown, Status: http.StatusBadGateway, Reason: cause.Error()}, e
	}
	e.Err = fmt.Errorf("%w: %w", zinniapond.ErrOverload, cause)
	e.Hint = "retry; the call was not run"
	e.RetryAfter = time.Second
	return zinniapond.Answer{
		Call: call, Outcome: zinniapond.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: cause.Error(), RetryAfter: e.RetryAfter,
	}, e
}
