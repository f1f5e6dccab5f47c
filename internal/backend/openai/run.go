package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/netip"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/backend/conns"
)

// run is one attempt at a call.
type run struct {
	client  *Client
	attempt zinniapond.AttemptID
	server  netip.AddrPort
	call    zinniapond.Call
	body    []byte
	sink    zinniapond.Sink

	begun  bool // sink.Begin was called
	ended  bool // the engine has ended its answer
	whole  []byte
	parts  parser
	replay replay
}

// do sends the request, and again if a stream breaks: the engine repeats the
// answer to a known request id, or goes on with it.
func (r *run) do(ctx context.Context) (zinniapond.Answer, error) {
	answer, err := r.send(ctx, r.patience())
	for n := 0; n < resumeMost && r.resumable(ctx, err); n++ {
		before := len(r.whole)
		r.replay.resume()
		answer, err = r.send(ctx, conns.Always)
		if len(r.whole) == before {
			break // the engine has nothing more to say
		}
	}
	return answer, err
}

// patience tells which connections may be silent before the answer's header.
func (r *run) patience() int {
	if r.call.Stream {
		return conns.Reused
	}
	return conns.Never
}

// errBroken marks a stream that ended before its end event.
var errBroken = errors.New("stream ended early")

func (r *run) resumable(ctx context.Context, err error) bool {
	return ctx.Err() == nil && r.begun && !r.replay.odd && !errors.Is(err, errDiffers) &&
		(errors.Is(err, errBroken) || errors.Is(err, conns.ErrSilent))
}

// send runs one exchange.
func (r *run) send(ctx context.Context, deadline int) (zinniapond.Answer, error) {
	url := "http://" + r.server.String() + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return zinniapond.Answer{}, fmt.Errorf("prepare request: %w", err)
	}
	// Without GetBody the transport cannot send the request a second time.
	request.Body = io.NopCloser(bytes.NewReader(r.body))
	request.ContentLength = int64(len(r.body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", string(r.attempt))
	request.Header.Set("X-Program", string(r.call.Program))
	if r.call.Trace != "" {
		request.Header.Set("Traceparent", r.call.Trace)
	}
	x, err := r.client.pool.Do(ctx, r.server, request, deadline)
	if err != nil {
		if !errors.Is(err, zinniapond.ErrNotSent) {
			err = fmt.Errorf("%w: %w", zinniapond.ErrBackend, err)
		}
		return zinniapond.Answer{}, err
	}
	defer x.Close()
	return r.receive(x)
}

// receive reads the answer of one exchange.
func (r *run) receive(x *conns.Exchange) (zinniapond.Answer, error) {
	head := x.Answer.Header
	answer := zinniapond.Answer{
		Call: r.call.ID, Outcome: zinniapond.OutcomeDone, Status: x.Answer.StatusCode, Backend: r.server,
	}
	fail := func(err error) (zinniapond.Answer, error) {
		err = fmt.Errorf("%w: %w", zinniapond.ErrBackend, err)
		return answer, zinniapond.Wrap("read answer", r.server, err)
	}
	if id := head.Get("X-Request-Id"); id != "" && id != string(r.attempt) {
		return fail(fmt.Errorf("answer is for attempt %q", id))
	}
	if answer.Status == http.StatusServiceUnavailable && head.Get("X-Leaving") == "true" {
		if r.client.Leaving != nil {
			r.client.Leaving(r.client.Clock(), r.server)
		}
		answer.Outcome, r.ended = zinniapond.OutcomeNotRun, true
		return answer, zinniapond.Wrap("read answer", r.server, fmt.Errorf("%w: server is leaving", zinniapond.ErrUnavailable))
	}
	for _, n := range []string{"Content-Type", "Retry-After"} {
		if v := head.Get(n); v != "" {
			answer.Fields = append(answer.Fields, zinniapond.Field{Name: n, Value: v})
		}
	}
	kind, _, _ := mime.ParseMediaType(head.Get("Content-Type"))
	if r.call.Stream && answer.Status == http.StatusOK && kind == "text/event-stream" {
		err := r.stream(x, answer)
		answer.Body, answer.Usage = r.whole, r.parts.usage
		if err != nil {
			return fail(err)
		}
		return answer, nil
	}
	if r.begun {
		return fail(fmt.Errorf("%w: status %d instead of its rest", errDiffers, answer.Status))
	}
	body, err := io.ReadAll(x)
	if err != nil {
		return fail(err)
	}
	answer.Body, r.ended = body, true
	if answer.Status >= http.StatusInternalServerError {
		return fail(fmt.Errorf("status %d", answer.Status))
	}
	if answer.Status == http.StatusOK {
		var seen completion
		if err := json.Unmarshal(body, &seen); err != nil {
			return fail(fmt.Errorf("answer is not JSON: %w", err))
		}
		answer.Usage = seen.usage()
	}
	return answer, nil
}

// stream passes whole events on as they arrive. The end event is in the body
// only: the caller must not see it before the result is durable.
func (r *run) stream(x *conns.Exchange, answer zinniapond.Answer) error {
	if !r.begun && r.sink != nil {
		if err := r.sink.Begin(answer.Status, answer.Fields); err != nil {
			return fmt.Errorf("pass answer on: %w", err)
		}
	}
	r.begun = true
	r.parts.rest = nil // of a connection that broke
	buffer := make([]byte, 16<<10)
	for {
		n, err := x.Read(buffer)
		for _, event := range r.parts.feed(buffer[:n]) {
			event, err := r.replay.pass(event)
			if err != nil {
				return err
			}
			r.whole = append(r.whole, event...)
			if r.sink != nil && len(event) > 0 && !isEnd(event) {
				if err := r.sink.Write(event); err != nil {
					return fmt.Errorf("pass answer on: %w", err)
				}
			}
		}
		switch {
		case r.parts.err != nil:
			return r.parts.err
		case r.parts.done:
			x.Finish()
			return nil
		case errors.Is(err, io.EOF):
			return errBroken
		case errors.Is(err, conns.ErrSilent):
			return err
		case err != nil:
			return fmt.Errorf("%w: %w", errBroken, err)
		}
	}
}
