package runner

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/front/ahead"
)

const (
	// maxLateTime bounds the time after the deadline of a request in which its client
	// may take what was read before it.
	maxLateTime = 10 * time.Second
	// minKeepTime is the shortest time for storing a turn whose answer is complete. The
	// deadline may have passed while the client was reading.
	minKeepTime = time.Second
)

// newRelay returns the relay of an answer to a call at a replica. onEnd is called if the answer was read to its
// end while the client is slow; the connection to the replica is then free.
func (u *run) newRelay(ctx context.Context, p *pool, call zinniapond.CallID, answer *zinniapond.ReplicaAnswer, interrupt func(), onEnd func(err error, unread int)) *ahead.Relay {
	pauses, _ := p.router.(zinniapond.PauseRecorder)
	return &ahead.Relay{
		Responder: u.responder, Source: answer.Body, Reading: ctx, Interrupt: interrupt, Memory: u.Memory, Client: u.client,
		WriteUntil: time.Now().Add(u.deadline.Sub(u.Clock()) + maxLateTime),
		OnSlow:     u.departure.stay,
		OnPause: func(isPaused bool) {
			if pauses != nil {
				pauses.RecordPause(u.Clock(), u.replica, call, isPaused)
			}
		},
		OnEnd: func(err error, unread int) {
			u.Stats.Add("front.slow", 1)
			onEnd(err, unread)
			_ = answer.Body.Close() // a broken connection is closed in any case
		},
	}
}

// finishOnce returns a function that records the end of an attempt at its first call, and
// offers the place that the attempt leaves. The time for which its answer was not read does
// not count as the replica's.
func (u *run) finishOnce(p *pool, start time.Time, replica netip.AddrPort, need zinniapond.PickInfo, paced *pacedAttempt) func(now time.Time, v verdict, observation zinniapond.Observation) {
	finished := false
	return func(now time.Time, v verdict, observation zinniapond.Observation) {
		if finished {
			return
		}
		finished = true
		observation.Duration = now.Sub(start)
		if u.relay != nil {
			observation.Duration -= u.relay.Paused()
		}
		p.recordFinish(now, replica, need, observation)
		paced.end(now, v, observation)
		if v != verdictNotRun {
			p.waiters.recordEnd(now, replica)
		}
	}
}

// observeEnd returns the observation of an answer that was read to its end and is not
// delivered yet. unread is about the number of events that were not processed yet.
func (u *run) observeEnd(ctx context.Context, err error, firstByte time.Duration, cached zinniapond.Tokens, unread int) zinniapond.Observation {
	if !errors.Is(err, io.EOF) {
		return zinniapond.Observation{Failed: ctx.Err() == nil, Cancelled: ctx.Err() != nil}
	}
	generated := u.stream.generated
	if u.route.IsStream() && u.service != nil && u.service.Engine != nil {
		generated += zinniapond.Tokens(unread) * u.service.Engine.TokensPerEvent
	}
	return zinniapond.Observation{
		TimeToFirstByte: firstByte,
		Usage:           zinniapond.Usage{Prompt: u.request.PromptTokens, Cached: cached, Generated: generated},
	}
}

// keepContext returns the context for storing a turn whose answer is complete. It ends
// with the deadline, but not before minKeepTime has passed.
func (u *run) keepContext(ctx context.Context, now time.Time) (context.Context, context.CancelFunc) {
	if u.deadline.Sub(now) >= minKeepTime {
		return ctx, func() {}
	}
	return context.WithTimeout(u.client, minKeepTime)
}
