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

// attemptRun is the state of one attempt at a call over all its exchanges.
type attemptRun struct {
	client  *Client
	attempt zinniapond.AttemptID
	server  netip.AddrPort
	call    zinniapond.Call
	body    []byte
	sink    zinniapond.Sink

	sinkBegun   bool // sink.Begin was called
	answerEnded bool // the engine has ended its answer and needs no cancellation
	answerBody  []byte
	parser      parser
	replay      replayFilter
}

// sendAndResume sends the request, and sends it again if the stream breaks: the
// engine repeats or continues the answer to a request id that it knows.
func (r *attemptRun) sendAndResume(ctx context.Context) (zinniapond.Answer, error) {
	answer, err := r.send(ctx, r.deadlineMode())
	for n := 0; n < maxResumes && r.canResume(ctx, err); n++ {
		before := len(r.answerBody)
		r.replay.beginResume()
		answer, err = r.send(ctx, conns.DeadlineAlways)
		if len(r.answerBody) == before {
			break // the resumed stream brought nothing new
		}
	}
	return answer, err
}

// deadlineMode returns the mode of the progress deadline before the answer's
// header has arrived. An answer that is not streamed has its header only at its
// end.
func (r *attemptRun) deadlineMode() int {
	if r.call.Stream {
		return conns.DeadlineOnReused
	}
	return conns.DeadlineNever
}

// errStreamBroken is the error of a stream that ended before its end event.
var errStreamBroken = errors.New("stream ended early")

func (r *attemptRun) canResume(ctx context.Context, err error) bool {
	return ctx.Err() == nil && r.sinkBegun && !r.replay.incomparable && !errors.Is(err, errAnswerDiffers) &&
		(errors.Is(err, errStreamBroken) || errors.Is(err, conns.ErrNoProgress))
}

// send sends the request once and reads the answer.
func (r *attemptRun) send(ctx context.Context, deadlineMode int) (zinniapond.Answer, error) {
	url := "http://" + r.server.String() + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return zinniapond.Answer{}, fmt.Errorf("prepare request: %w", err)
	}
	// Without GetBody net/http cannot send the request a second time.
	request.Body = io.NopCloser(bytes.NewReader(r.body))
	request.ContentLength = int64(len(r.body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", string(r.attempt))
	request.Header.Set("X-Program", string(r.call.Program))
	if r.call.Traceparent != "" {
		request.Header.Set("Traceparent", r.call.Traceparent)
	}
	received, err := r.client.chatPool.Do(ctx, r.server, request, deadlineMode)
	if err != nil {
		if !errors.Is(err, zinniapond.ErrNotSent) {
			err = fmt.Errorf("%w: %w", zinniapond.ErrBackendFailed, err)
		}
		return zinniapond.Answer{}, err
	}
	defer received.Body.Close()
	return r.receive(received)
}

// receive reads the answer of a server. It rejects an answer for another
// attempt.
func (r *attemptRun) receive(received *http.Response) (zinniapond.Answer, error) {
	header := received.Header
	answer := zinniapond.Answer{
		Call: r.call.ID, Outcome: zinniapond.OutcomeDone, Status: received.StatusCode, Backend: r.server,
	}
	fail := func(err error) (zinniapond.Answer, error) {
		err = fmt.Errorf("%w: %w", zinniapond.ErrBackendFailed, err)
		return answer, zinniapond.Wrap("read answer", r.server, err)
	}
	if id := header.Get("X-Request-Id"); id != "" && id != string(r.attempt) {
		return fail(fmt.Errorf("answer is for attempt %q", id))
	}
	if answer.Status == http.StatusServiceUnavailable && header.Get("X-Leaving") == "true" {
		if r.client.OnLeaving != nil {
			r.client.OnLeaving(r.client.Clock(), r.server)
		}
		answer.Outcome, r.answerEnded = zinniapond.OutcomeNotRun, true
		return answer, zinniapond.Wrap("read answer", r.server, fmt.Errorf("%w: server is leaving", zinniapond.ErrUnavailable))
	}
	for _, n := range []string{"Content-Type", "Retry-After"} {
		if v := header.Get(n); v != "" {
			answer.Fields = append(answer.Fields, zinniapond.HeaderField{Name: n, Value: v})
		}
	}
	mediaType, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	if r.call.Stream && answer.Status == http.StatusOK && mediaType == "text/event-stream" {
		err := r.forwardStream(received, answer)
		answer.Body, answer.Usage = r.answerBody, r.parser.usage
		if err != nil {
			return fail(err)
		}
		return answer, nil
	}
	if r.sinkBegun {
		return fail(fmt.Errorf("%w: status %d instead of the rest of the stream", errAnswerDiffers, answer.Status))
	}
	body, err := io.ReadAll(received.Body)
	if err != nil {
		return fail(err)
	}
	answer.Body, r.answerEnded = body, true
	if answer.Status >= http.StatusInternalServerError {
		return fail(fmt.Errorf("status %d", answer.Status))
	}
	if answer.Status == http.StatusOK {
		var parsed completion
		if err := json.Unmarshal(body, &parsed); err != nil {
			return fail(fmt.Errorf("answer is not JSON: %w", err))
		}
		answer.Usage = parsed.usage()
	}
	return answer, nil
}

// forwardStream passes complete events to the sink as they arrive. The end event
// is only added to answerBody: the caller must not receive it before the result
// is durable.
func (r *attemptRun) forwardStream(received *http.Response, answer zinniapond.Answer) error {
	if !r.sinkBegun && r.sink != nil {
		if err := r.sink.Begin(answer.Status, answer.Fields); err != nil {
			return fmt.Errorf("pass answer on: %w", err)
		}
	}
	r.sinkBegun = true
	r.parser.pending = nil // discards a partial event of a broken connection
	buffer := make([]byte, 16<<10)
	conns.CountEvents(received)
	for {
		n, err := received.Body.Read(buffer)
		events := r.parser.feed(buffer[:n])
		if len(events) > 0 {
			conns.RecordEvent(received)
		}
		for _, event := range events {
			event, err := r.replay.filter(event)
			if err != nil {
				return err
			}
			r.answerBody = append(r.answerBody, event...)
			if r.sink != nil && len(event) > 0 && !isEndEvent(event) {
				if err := r.sink.Write(event); err != nil {
					return fmt.Errorf("pass answer on: %w", err)
				}
			}
		}
		switch {
		case r.parser.err != nil:
			return r.parser.err
		case r.parser.ended:
			conns.Drain(received)
			return nil
		case errors.Is(err, io.EOF):
			return errStreamBroken
		case errors.Is(err, conns.ErrNoProgress):
			return err
		case err != nil:
			return fmt.Errorf("%w: %w", errStreamBroken, err)
		}
	}
}
