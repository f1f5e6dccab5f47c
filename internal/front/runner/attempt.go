package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// refusalDoubt is the time for which a replica that refused a request and closed the
// connection is tried last. A replica that leaves does so, and the list shows it within
// this time; a full one may do so too and has capacity again soon.
const refusalDoubt = time.Second

// verdict is the result of an attempt; it determines whether another replica is
// tried.
type verdict uint8

const (
	verdictDone       verdict = iota
	verdictNotRun             // the replica did not run the request: try another one
	verdictMayHaveRun         // the replica may have run the request: try another one if it is repeatable
	verdictFailed             // the answer cannot be completed: end the request
)

// tryReplicas sends the request to one replica after another until one answers.
func (u *run) tryReplicas(ctx context.Context, p *pool) error {
	start := u.Clock()
	waitUntil := start.Add(time.Duration(float64(u.deadline.Sub(start)) * maxWaitShare))
	need := u.routingNeed()
	if u.route.IsRepeatable() {
		p.retrier.CountRequest(start)
	}
	wait := u.newWait(p, start, waitUntil)
	defer wait.end()
	need.Exclude = wait.excluded(start, p)
	var lastErr error
	for {
		now := u.Clock()
		if ctx.Err() != nil || u.deadline.Sub(now) < replyMargin {
			return u.deadlineError(lastErr)
		}
		// The key may have been revoked while the request waited.
		if err := u.authorise(now); err != nil {
			return zinniapond.Join(err, lastErr)
		}
		// Other hosts may have reported since.
		if err := u.checkStanding(now, p); err != nil {
			return zinniapond.Join(err, lastErr)
		}
		need.Version = u.neededVersion(p)
		if need.Version != "" && !p.serves(need.Version) {
			return u.versionGoneError(p, need.Version, lastErr)
		}
		wait.passMisfit(now, p, need)
		replica, err := candidate{}, zinniapond.ErrUnavailable
		if !wait.isOver() {
			need.RemainingTime = u.deadline.Sub(now)
			replica, err = u.chooseReplica(ctx, p, need, waitUntil)
		}
		if err == nil && wait.declines(u.Clock(), replica.choice.ExpectedTime) {
			err = zinniapond.ErrUnavailable
		}
		if ctx.Err() != nil {
			return u.deadlineError(zinniapond.Join(lastErr, err))
		}
		if errors.Is(err, zinniapond.ErrOverload) && len(need.Exclude) == 0 {
			return zinniapond.Join(lastErr, err)
		}
		if err != nil {
			if now.After(waitUntil) || !u.repeatable() && u.possibleRuns > 0 {
				return u.noReplicaError(wait.retryAfter(now), lastErr)
			}
			if err := wait.await(ctx, p); err != nil {
				return u.noReplicaError(wait.retryAfter(u.Clock()), zinniapond.Join(lastErr, err))
			}
			need.Exclude = wait.excluded(u.Clock(), p)
			continue
		}
		if err := u.obtainAllowance(ctx); err != nil {
			return zinniapond.Join(err, lastErr)
		}
		// The key may have been revoked while the request waited for a permission or token.
		if err := u.authorise(u.Clock()); err != nil {
			return zinniapond.Join(err, lastErr)
		}
		begun := u.Clock()
		if !replica.permitUntil.IsZero() && begun.After(replica.permitUntil) {
			continue // it has expired while the request waited for a token
		}
		u.sendUntil = u.permitsUntil(replica)
		var v verdict
		wait.begin()
		v, lastErr = u.attempt(ctx, p, replica.Backend, replica.choice.CachedTokens, need)
		switch v {
		case verdictDone:
			return nil
		case verdictNotRun:
			wait.recordRefusal(u.Clock(), replica.Address)
			need.Exclude = append(need.Exclude, replica.Address)
			u.Stats.Add("front.again", 1)
		case verdictMayHaveRun:
			need.Exclude = append(wait.recordRun(need.Exclude), replica.Address)
			if !u.repeatable() || u.possibleRuns >= max(u.route.MaxAttempts, 1) {
				return lastErr
			}
			if u.route.IsStream() && !u.awaitRunEnd(ctx, replica.Backend, begun) {
				u.Stats.Add("front.unended", 1)
				return lastErr
			}
			u.Stats.Add("front.repeated", 1)
		case verdictFailed:
			return lastErr
		}
	}
}

// repeatable reports whether the request may be sent again after an attempt that may
// have run.
func (u *run) repeatable() bool {
	if u.route.IsRepeatable() {
		return true
	}
	return u.route.IsStream() && u.route.Resumable
}

// deadlineError returns the error for a request whose deadline has passed.
func (u *run) deadlineError(last error) error {
	if u.possibleRuns > 0 {
		return zinniapond.Join(zinniapond.ErrOutcomeUnknown, context.DeadlineExceeded, last)
	}
	return retryableError("wait for a replica", 0, zinniapond.Join(zinniapond.ErrOverload, last))
}

// noReplicaError returns the error for a request that no other replica has accepted.
func (u *run) noReplicaError(retryAfter time.Duration, last error) error {
	if u.possibleRuns > 0 {
		return zinniapond.Join(zinniapond.ErrOutcomeUnknown, last)
	}
	return retryableError("choose replica", retryAfter, zinniapond.Join(zinniapond.ErrOverload, last))
}

// attempt sends the request to one replica and relays its answer to the client.
func (u *run) attempt(ctx context.Context, p *pool, replica zinniapond.Backend, cached zinniapond.Tokens, need zinniapond.PickInfo) (v verdict, err error) {
	start := u.Clock()
	if u.suspected {
		defer p.beginSuspect(replica.Address)()
	}
	u.replica, u.replicaVersion = replica.Address, replica.Version
	p.recordStart(start, replica.Address, need)
	paced := u.beginPaced(p, start, replica, cached)
	observation := zinniapond.Observation{Cancelled: true}
	u.relay, u.answerRead = nil, false
	finish := u.finishOnce(p, start, replica.Address, need, paced)
	defer func() {
		finish(u.Clock(), v, observation)
		u.recordAttempt(replica, v, err)
	}()
	sendCtx, departure := u.newDeparture(ctx, p, replica, start)
	u.departure = departure
	defer func() { departure.end(u.Clock(), v == verdictDone) }()
	readCtx, interrupt := context.WithCancel(sendCtx)
	defer interrupt()
	answer, err := u.Client.Send(readCtx, start, zinniapond.ReplicaRequest{
		Request: u.request, Replica: replica, Plan: u.planName(), Body: u.body, Deadline: u.deadline,
		SendUntil: u.sendUntil, NotRepeated: u.sentOnce(),
		Priority: u.urgency(start), LastEventID: u.resumeID(),
	})
	switch {
	case errors.Is(err, zinniapond.ErrPermitExpired), errors.Is(err, zinniapond.ErrConnectionLimit):
		return verdictNotRun, err
	case errors.Is(err, zinniapond.ErrNotSent):
		observation = zinniapond.Observation{Failed: true}
		if errors.Is(err, zinniapond.ErrUnavailable) {
			u.recordEnding(p, replica)
		}
		return verdictNotRun, err
	case err != nil:
		u.possibleRuns++
		if ctx.Err() == nil && !departure.left() {
			u.checkEnded(p, replica)
		}
		observation = zinniapond.Observation{Failed: ctx.Err() == nil, Cancelled: ctx.Err() != nil}
		return verdictMayHaveRun, err
	}
	defer func() { _ = answer.Body.Close() }() // a broken connection is closed in any case
	if answer.Leaving {
		u.Roster.MarkLeaving(u.Clock(), replica)
	}
	if answer.RequestLimit > 0 || answer.Verified {
		u.Limits.ObserveAnswer(u.Clock(), replica, start, answer.RequestLimit)
	}
	if answer.NotRun {
		if answer.Misdirected {
			u.recordEnding(p, replica)
		} else if answer.ClosesConnection {
			p.doubts.Add(u.Clock(), replica, refusalDoubt)
			u.Stats.Add("front.doubted", 1)
		}
		return verdictNotRun, fmt.Errorf("replica %s refused with status %d: %w", replica.ID, answer.Status, zinniapond.ErrUnavailable)
	}
	u.possibleRuns++
	if !answer.Verified {
		observation = zinniapond.Observation{Failed: true}
		return verdictMayHaveRun, fmt.Errorf("replica %s: answer with status %d is not its own: %w", replica.ID, answer.Status, zinniapond.ErrBackendFailed)
	}
	p.doubts.Clear(replica)
	paced.observe(answer)
	if u.isReservedStatus(answer.Status) {
		observation = zinniapond.Observation{Failed: true}
		return verdictMayHaveRun, fmt.Errorf("replica %s may have run the request and answered with status %d: %w", replica.ID, answer.Status, zinniapond.ErrBackendFailed)
	}
	observation.TimeToFirstByte = u.Clock().Sub(start)
	if !answer.IsStream {
		departure.recordWholeAnswer()
		p.retrier.ObserveLatency(u.Clock(), u.poolName, observation.TimeToFirstByte)
	}
	if u.answerBegun && (!answer.IsStream || answer.Status != u.stream.status) {
		observation = zinniapond.Observation{Failed: true}
		return verdictMayHaveRun, fmt.Errorf("replica %s: status %d in place of the rest of a stream: %w", replica.ID, answer.Status, zinniapond.ErrBackendFailed)
	}
	u.relay = u.newRelay(readCtx, p, need.Call, answer, interrupt, func(err error, unread int) {
		finish(u.Clock(), verdictDone, u.observeEnd(ctx, err, observation.TimeToFirstByte, cached, unread))
	})
	defer u.relay.Close()
	if answer.IsStream {
		v, err = u.relayStream(ctx, answer, &observation, start)
	} else {
		v, err = u.relayAnswer(answer)
	}
	if u.answerRead {
		u.Blame.RecordFinish(u.Clock(), u.digest)
		observation.Cancelled = false
		observation.Usage = zinniapond.Usage{Prompt: u.request.PromptTokens, Cached: cached, Generated: u.stream.generated}
	} else {
		// Without memory this host stops reading.
		isFailed := ctx.Err() == nil && !errors.Is(err, zinniapond.ErrOverload)
		observation.Failed, observation.Cancelled = isFailed, !isFailed
		if isFailed && !departure.left() {
			u.checkEnded(p, replica)
		}
	}
	return v, err
}

func (u *run) recordAttempt(replica zinniapond.Backend, v verdict, err error) {
	outcome := "done"
	if err != nil {
		outcome = err.Error()
	} else if v != verdictDone {
		outcome = "failed"
	}
	u.attempted = append(u.attempted, attemptRecord{replica, outcome})
}

// sentOnce reports whether neither this host nor the client sends the request again,
// so that it must not be sent on a connection that the replica may have closed.
func (u *run) sentOnce() bool { return u.route.Kind == zinniapond.RequestUnsafe }

// urgency returns the urgency of a turn, or -1 for other requests.
func (u *run) urgency(now time.Time) int {
	if !u.route.IsStream() {
		return -1
	}
	turn := zinniapond.TurnState{Priority: u.route.Priority}
	if u.plan != nil {
		turn.HasPlan, turn.PlanPriority = true, u.plan.Priority
	}
	if u.request.FinishWithin != 0 {
		turn.FinishBy = u.request.ReceivedAt.Add(u.request.FinishWithin)
	}
	return u.Urgency.Rank(now, turn)
}
