package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/front/events"
)

// stream is what was passed on of a stream.
type stream struct {
	last   string // id of the last whole event
	events int
	output []byte // data of the events, for a retained turn
	tokens zinniapond.Tokens
	status int
}

// streamPart is the size of one read of a stream.
const streamPart = 8 << 10

// resume returns the event after which a stream is to go on.
func (u *run) resume() string {
	if u.stream.last != "" {
		return u.stream.last
	}
	return u.request.LastEvent
}

// relay passes on the events of a stream, each as soon as it is whole. A
// retained turn is kept before the stream ends: the client may continue it at
// once.
func (u *run) relay(ctx context.Context, answer *zinniapond.Received, seen *zinniapond.Observation, start time.Time) (verdict, error) {
	if !u.begun {
		u.begun = true
		u.stream.status = answer.Status
		if err := u.to.Begin(answer.Status, answer.Fields, -1); err != nil {
			return end, err
		}
	} else if answer.Status != u.stream.status {
		return repeat, fmt.Errorf("resumed stream has status %d: %w", answer.Status, zinniapond.ErrBackend)
	}
	var parser events.Parser
	part := make([]byte, streamPart)
	first := true
	for {
		n, err := answer.Body.Read(part)
		if n > 0 {
			if first {
				now := u.Clock()
				seen.First, first = now.Sub(start), false
				u.first = now.Sub(u.request.Received)
			}
			if err := u.forwardEvents(&parser, part[:n]); err != nil {
				return end, err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if parser.Open() {
				return u.broken(fmt.Errorf("stream stops within an event: %w", zinniapond.ErrBackend))
			}
			return u.finish(ctx)
		case err != nil:
			return u.broken(fmt.Errorf("read stream: %w", err))
		}
	}
}

// broken says how to go on after a stream that broke off.
func (u *run) broken(err error) (verdict, error) {
	if u.repeatable() {
		return repeat, err
	}
	return end, err
}

func (u *run) forwardEvents(parser *events.Parser, part []byte) error {
	data := parser.Add(part)
	whole := data
	for {
		raw, rest, ok := events.Next(whole)
		if !ok {
			break
		}
		id, text, hasData := events.Fields(raw)
		if id != "" {
			u.stream.last = id
		}
		if hasData {
			u.stream.events++
			if u.service != nil && u.service.Engine != nil {
				u.stream.tokens += u.service.Engine.Stride
			}
			if u.route.Retained {
				u.stream.output = append(append(u.stream.output, text...), '\n')
			}
		}
		whole = rest
	}
	sent := data[:len(data)-len(whole)]
	var err error
	if len(sent) > 0 {
		err = u.to.Write(sent)
	}
	parser.Keep(whole)
	return err
}

// finish keeps a retained turn and ends the stream.
func (u *run) finish(ctx context.Context) (verdict, error) {
	if u.route.Retained && u.request.Program != "" && u.stream.status < 300 {
		turn := zinniapond.Turn{
			ID: zinniapond.TurnID(u.request.ID), Program: u.request.Program, Input: u.request.Body,
			Output: u.stream.output, Retention: u.route.Retention,
		}
		for _, t := range u.chain {
			turn.Chain = append(turn.Chain, t.ID)
		}
		start := u.Clock()
		err := u.Turns.Keep(ctx, start, turn, u.settled())
		u.kept = u.Clock().Sub(start)
		if err != nil {
			return end, err
		}
		u.spend.Settled = true
	}
	if err := u.to.End(); err != nil {
		return end, err
	}
	return done, nil
}
