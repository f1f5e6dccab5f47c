package caller

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/entry/reply"
)

func (f *Frontend) submitChat(w http.ResponseWriter, r *request) error {
	body, err := f.readBody(w, r)
	if err != nil {
		return err
	}
	call, err := r.newCall(zinniapond.KindEngine, r.URL.Path, body)
	if err != nil {
		return err
	}
	if err := decodeChat(body, &call); err != nil {
		return err
	}
	if !slices.Contains(r.plan.Models, call.Pool) {
		return fmt.Errorf("check plan %s: %w: model %.80q", r.plan.Name, zinniapond.ErrForbidden, call.Pool)
	}
	return f.submit(w, r, call)
}

func (f *Frontend) submitService(w http.ResponseWriter, r *request) error {
	name, path, err := splitServicePath(r.Request)
	if err != nil {
		return err
	}
	pool := zinniapond.PoolName(name)
	// The plan is checked before the body is read.
	if !slices.Contains(r.plan.Services, pool) {
		return fmt.Errorf("check plan %s: %w: service %.80q", r.plan.Name, zinniapond.ErrForbidden, name)
	}
	body, err := f.readBody(w, r)
	if err != nil {
		return err
	}
	call, err := r.newCall(zinniapond.KindService, path, body)
	if err != nil {
		return err
	}
	call.Pool = pool
	call.Fields = selectFields(r.Header)
	call.Idempotent = isIdempotent(r.catalog.Services[pool], r.Method, path)
	return f.submit(w, r, call)
}

// submit runs the call and sends its answer. It returns an error only if
// nothing has been written to the caller.
func (f *Frontend) submit(w http.ResponseWriter, r *request, call zinniapond.Call) error {
	ctx, s, parent := f.startSpan(r, "call")
	call.Traceparent = parent
	w.Header().Set("Zinniapond-Program", string(call.Program))
	answerSink := &sink{w: w, controller: http.NewResponseController(w), clock: f.Clock, writeTimeout: f.Limits.ReadTimeout}
	answerSink.describeDegradation = func() string { return f.describeDegradation(f.Clock(), call) }
	answer, err := f.Scheduler.Submit(ctx, r.now, call, answerSink)
	endSpan(s, err)
	if !answerSink.hasBegun {
		if err != nil {
			return err
		}
		f.sendAnswer(w, r, call, answer)
		return nil
	}
	f.endStream(w, answerSink, call, answer, err)
	return nil
}

// faultOf returns the error to send for an answer that has no body from a
// backend server, and whether the answer is of this kind.
func faultOf(a zinniapond.Answer) (reply.Fault, bool) {
	var cause error
	switch {
	case a.Outcome == zinniapond.OutcomeUnknown:
		cause = zinniapond.ErrOutcomeUnknown
	case a.Outcome == zinniapond.OutcomeNotRun && a.Status == http.StatusTooManyRequests:
		cause = zinniapond.ErrBudgetExhausted
	case a.Outcome == zinniapond.OutcomeNotRun:
		cause = zinniapond.ErrOverload
	case a.Status < 200 || a.Status > 599:
		cause = zinniapond.ErrBackendFailed
	default:
		return reply.Fault{}, false
	}
	f := reply.FaultFor(cause)
	if a.Outcome == zinniapond.OutcomeUnknown && a.Repeated {
		f.Status = http.StatusConflict
	}
	if a.Outcome == zinniapond.OutcomeNotRun {
		if a.Status >= 400 && a.Status <= 599 {
			f.Status = a.Status
		}
		f.Outcome = zinniapond.OutcomeNotRun
	}
	if a.Reason != "" {
		f.Message = a.Reason
	}
	if a.RetryAfter > 0 {
		f.RetryAfter = a.RetryAfter
	}
	return f, true
}

// sendAnswer sends an answer that was not streamed.
func (f *Frontend) sendAnswer(w http.ResponseWriter, r *request, call zinniapond.Call, a zinniapond.Answer) {
	h := w.Header()
	if a.Degraded == "" {
		a.Degraded = f.describeDegradation(f.Clock(), call)
	}
	if a.Degraded != "" {
		h.Set("Zinniapond-Degraded", replaceUnprintable(a.Degraded))
	}
	if problem, ok := faultOf(a); ok {
		problem.Write(w)
		return
	}
	for _, e := range a.Fields {
		h.Add(e.Name, e.Value)
	}
	if a.RetryAfter > 0 {
		h.Set("Retry-After", reply.FormatSeconds(a.RetryAfter))
	}
	h.Set("Zinniapond-Outcome", string(a.Outcome))
	controller := http.NewResponseController(w)
	if f.Limits.ReadTimeout > 0 {
		_ = controller.SetWriteDeadline(f.Clock().Add(f.Limits.ReadTimeout))
	}
	w.WriteHeader(a.Status)
	if r.Method != http.MethodHead {
		if _, err := w.Write(a.Body); err != nil {
			f.Logger.Debug("write of answer to caller failed", "call", call.ID, "error", err)
		}
	}
}

// endStream ends a streamed answer. The header has been sent, so the outcome is
// sent as a trailer, and an error as an event of the stream.
func (f *Frontend) endStream(w http.ResponseWriter, answerSink *sink, call zinniapond.Call, a zinniapond.Answer, err error) {
	problem, failed := faultOf(a)
	if err != nil {
		problem, failed = reply.FaultFor(err), true
	}
	outcome := a.Outcome
	if failed {
		outcome = problem.Outcome
		f.Logger.Warn("stream ended early", "call", call.ID, "type", problem.Type, "error", problem.Message)
	}
	w.Header().Set("Zinniapond-Outcome", string(outcome))
	if !failed {
		return
	}
	if !answerSink.isEventStream {
		// Only server-sent events can carry the error. Any other body would
		// look complete, so the connection is aborted.
		panic(http.ErrAbortHandler)
	}
	_ = answerSink.Write([]byte("event: error\ndata: " + string(problem.JSON()) + "\n\n"))
}

// replaceUnprintable replaces all characters but printable ASCII by spaces, so
// that the text is valid in a header field.
func replaceUnprintable(s string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c > '~' {
			return ' '
		}
		return c
	}, s)
}
