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

// countingSink writes an answer to the caller's sink and counts and hashes its
// bytes, so that the next owner can resume the answer. Begin reaches the
// caller's sink only once, also if the answer is resumed.
type countingSink struct {
	sink      zinniapond.Sink
	hasBegun  bool
	byteCount int64
	sum       xxhash.Digest
	sinkErr   error
}

func (c *countingSink) Begin(status int, fields []zinniapond.HeaderField) error {
	if c.hasBegun {
		return nil
	}
	c.hasBegun = true
	if c.sink != nil {
		c.sinkErr = c.sink.Begin(status, fields)
	}
	return c.sinkErr
}

func (c *countingSink) Write(part []byte) error {
	if c.sinkErr != nil {
		return c.sinkErr
	}
	if c.byteCount == 0 {
		c.sum.Reset()
	}
	c.byteCount += int64(len(part))
	_, _ = c.sum.Write(part)
	if c.sink != nil {
		c.sinkErr = c.sink.Write(part)
	}
	return c.sinkErr
}

// deliveredPrefix returns the number of bytes written to the caller and their
// xxHash, both 0 if there are none.
func (c *countingSink) deliveredPrefix() (int64, uint64) {
	if c.byteCount == 0 {
		return 0, 0
	}
	return c.byteCount, c.sum.Sum64()
}

// ownerSearch bounds the time for the attempts of one call and backs off
// between them.
type ownerSearch struct {
	relay    *Relay
	callWait time.Duration // bound on the call's time in an owner's queue
	deadline time.Time
	backoff  time.Duration
	// mayHaveRun is set once the call may have reached an owner that ran it.
	mayHaveRun       bool
	bytesAtExtension int64 // bytes delivered at the last extension of the deadline
	lastErr          error
}

func (r *Relay) newOwnerSearch(now time.Time, wait time.Duration) *ownerSearch {
	if wait <= 0 {
		wait = r.SearchTimeout
	}
	return &ownerSearch{relay: r, callWait: wait, deadline: now.Add(wait), backoff: minBackoff}
}

// remainingWait returns how long the next owner may keep the call in its queue.
// The time spent on the search for an owner is subtracted, unless the call may
// have run already: the next attempt then only obtains its outcome or reruns
// it.
func (s *ownerSearch) remainingWait() time.Duration {
	if s.mayHaveRun {
		return s.callWait
	}
	return max(s.deadline.Sub(s.relay.Clock()), time.Millisecond)
}

// recordAttempt records an attempt without a final result. If the call may have
// run, the deadline is extended once so that its outcome can be learnt, and
// again each time an attempt delivered further bytes.
func (s *ownerSearch) recordAttempt(result attemptResult, counted *countingSink) {
	if result.provablyNotRun() {
		return
	}
	progressed := counted != nil && counted.byteCount > s.bytesAtExtension
	if !s.mayHaveRun || progressed {
		if extended := s.relay.Clock().Add(s.relay.ResumeTimeout); extended.After(s.deadline) {
			s.deadline = extended
		}
		s.backoff = minBackoff
	}
	s.mayHaveRun = true
	if counted != nil {
		s.bytesAtExtension = counted.byteCount
	}
}

// unmarkRepeated clears Repeated if an earlier attempt of this search may have
// reached an owner: the owner sees a repeated request, but for the caller it is
// the first answer.
func (s *ownerSearch) unmarkRepeated(answer zinniapond.Answer) zinniapond.Answer {
	if s.mayHaveRun && answer.Repeated {
		answer.Repeated = false
		if answer.Outcome == zinniapond.OutcomeUnknown {
			answer.Status = http.StatusBadGateway
		}
	}
	return answer
}

func (s *ownerSearch) recordError(err error) { s.lastErr = err }

var errSearchTimeout = errors.New("no owner answered in time")

// waitForChange blocks until the control state changes or the exponential
// back-off has passed. It returns an error if ctx is done or the deadline has
// passed.
func (s *ownerSearch) waitForChange(ctx context.Context, changed <-chan struct{}) error {
	remaining := s.deadline.Sub(s.relay.Clock())
	if remaining <= 0 {
		return errSearchTimeout
	}
	// Jitter prevents all entries from retrying at the same instant when an
	// owner returns.
	jittered := s.backoff/2 + rand.N(s.backoff/2+1)
	timer := time.NewTimer(min(jittered, remaining))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-changed:
		s.backoff = minBackoff
	case <-timer.C:
		s.backoff = min(2*s.backoff, maxBackoff)
	}
	return nil
}

// unansweredResult returns the answer and the error for a call without a final
// result from an owner.
func (s *ownerSearch) unansweredResult(call zinniapond.CallID, cause error) (zinniapond.Answer, error) {
	if s.lastErr != nil {
		cause = fmt.Errorf("%w: %w", cause, s.lastErr)
	}
	var detail *zinniapond.Error
	failure := &zinniapond.Error{Step: "relay call to its owner", Host: s.relay.Host}
	if errors.As(cause, &detail) {
		failure.Peer = detail.Peer
	}
	if s.mayHaveRun {
		// The cause is included as text and not wrapped: a front end must not
		// find an error in the chain that stands for a call that was not run.
		failure.Err = fmt.Errorf("%w: %v", zinniapond.ErrOutcomeUnknown, cause) //nolint:errorlint // see above.
		failure.Hint = "ask again with the same idempotency key"
		return zinniapond.Answer{Call: call, Outcome: zinniapond.OutcomeUnknown, Status: http.StatusBadGateway, Reason: cause.Error()}, failure
	}
	failure.Err = fmt.Errorf("%w: %w", zinniapond.ErrOverload, cause)
	failure.Hint = "retry; the call was not run"
	failure.RetryAfter = time.Second
	return zinniapond.Answer{
		Call: call, Outcome: zinniapond.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: cause.Error(), RetryAfter: failure.RetryAfter,
	}, failure
}
