package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/front/events"
)

// stream is the progress of relaying a stream of events.
type stream struct {
	lastID string // id of the last complete event
	// resumedAfter is the id of the last event from earlier replicas; empty if there
	// is none, or once an event has followed it.
	resumedAfter string
	events       int
	output       []byte // data of the events, for a retained turn
	held         int64  // bytes of memory taken for output and an incomplete event
	generated    zinniapond.Tokens
	status       int
	skipUntil    string // id of the last event that the client has, until it was passed
}

const (
	// streamReadSize is the size in bytes of one read from a stream.
	streamReadSize = 8 << 10
	// maxTurnBytes bounds the output of a retained turn, which is in memory until it
	// is stored.
	maxTurnBytes = 4 << 20
)

// resumeID returns the id of the event after which a stream is to be resumed.
func (u *run) resumeID() string {
	if u.stream.lastID != "" {
		return u.stream.lastID
	}
	if u.storesTurn() {
		return "" // a turn is stored with all its events
	}
	return u.request.LastEventID
}

// relayStream relays the events of a stream, each as soon as it is complete. A
// retained turn is stored before the stream ends, as the client may send the next
// turn at once.
func (u *run) relayStream(ctx context.Context, answer *zinniapond.ReplicaAnswer, observation *zinniapond.Observation, start time.Time) (verdict, error) {
	if !u.answerBegun {
		if err := u.recordOrigin(ctx); err != nil {
			return verdictFailed, err
		}
		u.answerBegun = true
		u.stream.status = answer.Status
		u.skipReceived()
		if err := u.responder.Begin(answer.Status, answer.Fields, -1); err != nil {
			return verdictFailed, err
		}
	}
	u.stream.resumedAfter = u.stream.lastID
	u.departure.recordAnswer(u.Clock())
	var parser events.Parser
	buffer := make([]byte, streamReadSize)
	beforeFirstByte := true
	for {
		n, err := u.relay.Read(buffer)
		if n > 0 {
			if beforeFirstByte {
				now := u.Clock()
				observation.TimeToFirstByte, beforeFirstByte = now.Sub(start), false
				u.firstByteTime = now.Sub(u.request.ReceivedAt)
			}
			begun := u.stream.events
			if err := u.forwardEvents(&parser, buffer[:n]); err != nil {
				return verdictFailed, err
			}
			u.departure.record(u.Clock(), u.stream.events-begun, u.stream.generated)
		}
		switch {
		case errors.Is(err, io.EOF):
			if parser.HasPartialEvent() {
				return u.brokenStream(fmt.Errorf("stream stops within an event: %w", zinniapond.ErrBackendFailed))
			}
			return u.finishStream(ctx)
		case err != nil:
			return u.brokenStream(fmt.Errorf("read stream: %w", err))
		}
	}
}

// brokenStream returns the verdict for a stream that broke off or was ended by its
// departure.
func (u *run) brokenStream(err error) (verdict, error) {
	cause := u.departure.cause()
	if cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	if u.repeatable() && !errors.Is(cause, errStalled) {
		return verdictMayHaveRun, err
	}
	return verdictFailed, err
}

func (u *run) forwardEvents(parser *events.Parser, part []byte) error {
	parser.Add(part)
	complete, tooLarge := parser.Complete()
	skipped := 0
	for unparsed := complete; ; {
		raw, rest, ok := events.Next(unparsed)
		if !ok {
			break
		}
		id, text, hasData := events.Fields(raw)
		if id != "" {
			if !isLater(id, u.stream.resumedAfter) {
				return fmt.Errorf("stream resumed after event %s begins with event %s: %w", u.stream.resumedAfter, id, zinniapond.ErrBackendFailed)
			}
			u.stream.lastID, u.stream.resumedAfter = id, ""
		}
		if hasData {
			u.stream.events++
			if u.service != nil && u.service.Engine != nil {
				u.stream.generated += u.service.Engine.TokensPerEvent
			}
			if u.route.Retained {
				u.stream.output = append(append(u.stream.output, text...), '\n')
			}
		}
		if u.skipsEvent(id) {
			skipped = len(complete) - len(rest)
		}
		unparsed = rest
	}
	if grown := int64(cap(u.stream.output)) + int64(parser.Size()) - u.stream.held; grown > 0 {
		if err := u.takeMemory(grown); err != nil {
			return fmt.Errorf("relay stream: %w", err)
		}
		u.stream.held += grown
	}
	if len(u.stream.output) > maxTurnBytes {
		return fmt.Errorf("turn of more than %d bytes: %w", maxTurnBytes, zinniapond.ErrBackendFailed)
	}
	if unsent := complete[skipped:]; len(unsent) > 0 {
		if err := u.relay.Write(unsent); err != nil {
			return err
		}
	}
	return tooLarge
}

// isLater reports whether an event may follow the event with id last. Ids that are not
// numbers have no order.
func isLater(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// finishStream stores a retained turn and ends the stream.
func (u *run) finishStream(ctx context.Context) (verdict, error) {
	if u.stream.skipUntil != "" {
		return verdictFailed, fmt.Errorf("stream ends before event %s of the client: %w", u.stream.skipUntil, zinniapond.ErrBackendFailed)
	}
	u.answerRead = true
	if u.storesTurn() && u.stream.status < 300 {
		turn := zinniapond.Turn{
			ID: zinniapond.TurnID(u.scoped(string(u.request.ID))), Program: zinniapond.ProgramID(u.scoped(string(u.request.Program))), Input: u.request.Body,
			Output: u.stream.output, Retention: u.turnRetention(),
		}
		for _, t := range u.chain {
			turn.Chain = append(turn.Chain, t.ID)
		}
		start := u.Clock()
		ctx, cancel := u.keepContext(ctx, start)
		defer cancel()
		err := u.Turns.Keep(ctx, start, turn, u.settledSpend())
		u.keepTime = u.Clock().Sub(start)
		if err != nil {
			return verdictFailed, err
		}
		u.spend.Settled = true
	}
	if err := u.responder.End(); err != nil {
		return verdictFailed, err
	}
	return verdictDone, nil
}
