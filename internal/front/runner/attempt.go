package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/front/parts"
)

const (
	// prefixBlockTokens is the size of the blocks into which a prompt is divided to
	// find replicas that have a prefix of the prompt in their cache.
	prefixBlockTokens = 1024
	// maxPrefixBlocks bounds the blocks of a prompt. Longer prompts share the replicas
	// of their beginning.
	maxPrefixBlocks = 1024
	// maxBufferedBytes is the size up to which an answer is read completely before
	// its status is sent to the client. If such an answer breaks off, the request
	// can still be refused or sent again.
	maxBufferedBytes = 1 << 20
	// maxAnswerBytes bounds an answer without a length. A faulty replica may send
	// bytes until its connection is closed.
	maxAnswerBytes = 64 << 20
	// refusalDoubt is the time for which a replica that refused a request and closed
	// the connection is tried last. A replica that leaves does so, and the list shows
	// it within this time; a full one may do so too and has capacity again soon.
	refusalDoubt = time.Second
)

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
			return u.overLimitError(zinniapond.Join(err, lastErr))
		}
		// Other hosts may have reported since.
		if err := u.checkStanding(now, p); err != nil {
			return u.overLimitError(zinniapond.Join(err, lastErr))
		}
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
			return u.overLimitError(zinniapond.Join(lastErr, err))
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
			return u.overLimitError(zinniapond.Join(err, lastErr))
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
				return u.outcomeUnknownError(lastErr)
			}
			if u.route.IsStream() && !u.awaitRunEnd(ctx, replica.Backend, begun) {
				u.Stats.Add("front.unended", 1)
				return u.outcomeUnknownError(lastErr)
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
	if u.possibleRuns == 0 {
		return retryableError("wait for a replica", 0, zinniapond.Join(zinniapond.ErrOverload, last))
	}
	return zinniapond.Join(zinniapond.ErrOutcomeUnknown, context.DeadlineExceeded, last)
}

// noReplicaError returns the error for a request that no replica has accepted.
func (u *run) noReplicaError(retryAfter time.Duration, last error) error {
	if u.possibleRuns > 0 {
		return u.outcomeUnknownError(last)
	}
	return retryableError("choose replica", retryAfter, zinniapond.Join(zinniapond.ErrOverload, last))
}

// outcomeUnknownError returns the error for a request that may have run.
func (u *run) outcomeUnknownError(last error) error {
	return zinniapond.Join(zinniapond.ErrOutcomeUnknown, last)
}

// routingNeed describes the request to the router.
func (u *run) routingNeed() zinniapond.PickInfo {
	n := zinniapond.PickInfo{
		Call: zinniapond.CallID(u.scoped(string(u.request.ID))), Program: zinniapond.ProgramID(u.scoped(string(u.request.Program))), DataCentre: u.DataCentre,
		PromptTokens: u.request.PromptTokens, MaxGenerated: u.request.MaxGenerated, PrefixBackend: u.home.Replica, PrefixTokens: min(u.home.Tokens, u.request.PromptTokens),
		HasIdleConnection: func(a netip.AddrPort) bool { return u.Client.HasIdleConnection(u.Clock(), a, u.sentOnce()) },
	}
	hash := xxhash.New()
	add := func(name string, tokens zinniapond.Tokens) {
		_, _ = hash.WriteString(name) // never fails
		for at := zinniapond.Tokens(0); at < tokens && len(n.PrefixHashes) < maxPrefixBlocks; at += prefixBlockTokens {
			_, _ = hash.WriteString(strconv.Itoa(int(at)) + "/")
			n.PrefixHashes = append(n.PrefixHashes, hash.Sum64())
		}
	}
	for i, part := range u.request.PromptParts {
		// The last part belongs to the conversation, and others after the first may.
		if i == 0 && len(u.request.PromptParts) > 1 && u.fitsCaches(part) {
			n.SharedTokens = part.Tokens
		}
		add(part.ID, part.Tokens)
	}
	if len(u.request.PromptParts) == 0 && u.request.SessionID != "" && u.route.IsStream() {
		add(u.scoped(string(u.request.Program)), prefixBlockTokens)
		add(u.request.SessionID, prefixBlockTokens)
	}
	if len(u.request.PromptParts) == 0 && u.request.AffinityKey != "" {
		add(u.scoped(u.request.AffinityKey), prefixBlockTokens)
	}
	return n
}

// fitsCaches reports whether each replica of the pool can keep all shared parts of prompts
// in its cache.
func (u *run) fitsCaches(shared zinniapond.PromptPart) bool {
	if u.service == nil || u.service.Engine == nil {
		return false
	}
	parts := u.parts.GetOrCreate(u.poolName, func() *parts.Book { return new(parts.Book) })
	return parts.Fits(u.Clock(), shared, u.service.Engine.KVCapacity)
}

// candidate is a replica that was picked for a request, with the reasons for the choice.
type candidate struct {
	zinniapond.Backend
	choice zinniapond.Choice
	// permitUntil is when the permission of the replica expires; zero if it needs none.
	permitUntil time.Time
}

// pickReplica picks a live replica for which allowed returns true. A doubtful one is
// picked only if there is no other.
func (p *pool) pickReplica(now time.Time, need zinniapond.PickInfo, allowed func(zinniapond.Backend) bool) (candidate, bool) {
	c, ok := p.pickPaced(now, need, func(b zinniapond.Backend) bool { return allowed(b) && !p.doubts.Has(now, b) })
	if !ok {
		c, ok = p.pickAllowed(now, need, allowed)
	}
	return c, ok
}

func (p *pool) pickAllowed(now time.Time, need zinniapond.PickInfo, allowed func(zinniapond.Backend) bool) (candidate, bool) {
	replicas := *p.replicas.Load()
	choice, ok := p.router.Pick(now, need, func(a netip.AddrPort) bool {
		b, live := replicas[a]
		return live && allowed(b)
	})
	if !ok {
		return candidate{}, false
	}
	b, ok := replicas[choice.Backend]
	return candidate{Backend: b, choice: choice}, ok
}

// attempt sends the request to one replica and relays its answer to the client.
func (u *run) attempt(ctx context.Context, p *pool, replica zinniapond.Backend, cached zinniapond.Tokens, need zinniapond.PickInfo) (v verdict, err error) {
	start := u.Clock()
	if u.suspected {
		defer p.beginSuspect(replica.Address)()
	}
	u.replica = replica.Address
	p.recordStart(start, replica.Address, need)
	paced := u.beginPaced(p, start, replica, cached)
	observation := zinniapond.Observation{Cancelled: true}
	u.relay, u.answerRead = nil, false
	finish := u.finishOnce(p, start, replica.Address, need, paced)
	defer func() {
		finish(u.Clock(), v, observation)
		u.recordAttempt(replica, v, err)
	}()
	sendCtx, departure := u.newDeparture(ctx, p, start)
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
	case errors.Is(err, zinniapond.ErrPermitExpired):
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
	observation.TimeToFirstByte = u.Clock().Sub(start)
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
		v, err = u.relayAnswer(ctx, answer)
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

// relayAnswer relays an answer that is not a stream.
func (u *run) relayAnswer(ctx context.Context, answer *zinniapond.ReplicaAnswer) (verdict, error) {
	head, taken, err := u.Memory.ReadAll(io.LimitReader(u.relay, maxBufferedBytes), min(answer.Length, maxBufferedBytes))
	u.held += taken
	noMemory := errors.Is(err, zinniapond.ErrOverload)
	if err != nil && !noMemory {
		return verdictMayHaveRun, fmt.Errorf("read answer: %w", err)
	}
	if noMemory || answer.Length > int64(len(head)) || answer.Length < 0 && len(head) == maxBufferedBytes {
		return u.relayLargeAnswer(answer, head)
	}
	// An answer that was read whole is delivered, also after the deadline.
	if u.client.Err() != nil {
		return verdictMayHaveRun, u.client.Err()
	}
	u.answerRead, u.answerBegun = true, true
	if err := u.responder.Begin(answer.Status, answer.Fields, int64(len(head))); err != nil {
		return verdictFailed, err
	}
	if err := u.relay.Write(head); err != nil {
		return verdictFailed, err
	}
	if err := u.responder.End(); err != nil {
		return verdictFailed, err
	}
	return verdictDone, nil
}

// relayLargeAnswer relays an answer that is too large to be buffered; head is the
// part of the body that was read.
func (u *run) relayLargeAnswer(answer *zinniapond.ReplicaAnswer, head []byte) (verdict, error) {
	u.answerBegun = true
	if err := u.responder.Begin(answer.Status, answer.Fields, answer.Length); err != nil {
		return verdictFailed, err
	}
	buffer := make([]byte, 32<<10)
	relayed := int64(0)
	for {
		if relayed += int64(len(head)); answer.Length < 0 && relayed > maxAnswerBytes {
			return verdictFailed, fmt.Errorf("answer of more than %d bytes: %w", maxAnswerBytes, zinniapond.ErrBackendFailed)
		}
		if err := u.relay.Write(head); err != nil {
			return verdictFailed, err
		}
		n, err := u.relay.Read(buffer)
		head = buffer[:n]
		if errors.Is(err, io.EOF) {
			u.answerRead = true
			if err := u.relay.Write(head); err != nil {
				return verdictFailed, err
			}
			if err := u.responder.End(); err != nil {
				return verdictFailed, err
			}
			return verdictDone, nil
		}
		if err != nil {
			return verdictFailed, fmt.Errorf("read answer: %w", err)
		}
	}
}
