package caller

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/entry/reply"
)

func (f *Frontend) chat(w http.ResponseWriter, r *request) error {
	body, err := f.body(w, r)
	if err != nil {
		return err
	}
	call, err := r.call(zinniapond.KindEngine, r.URL.Path, body)
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

func (f *Frontend) service(w http.ResponseWriter, r *request) error {
	name, path, err := servicePath(r.Request)
	if err != nil {
		return err
	}
	pool := zinniapond.PoolName(name)
	// The plan is checked before the body is read.
	if !slices.Contains(r.plan.Services, pool) {
		return fmt.Errorf("check plan %s: %w: service %.80q", r.plan.Name, zinniapond.ErrForbidden, name)
	}
	body, err := f.body(w, r)
	if err != nil {
		return err
	}
	call, err := r.call(zinniapond.KindService, path, body)
	if err != nil {
		return err
	}
	call.Pool = pool
	call.Fields = fieldsOf(r.Header)
	call.Idempotent = idempotent(r.catalog.Services[pool], r.Method, path)
	return f.submit(w, r, call)
}

// submit runs the call and sends its answer.
func (f *Frontend) submit(w http.ResponseWriter, r *request, call zinniapond.Call) error {
	ctx, s, parent := f.span(r, "call")
	call.Trace = parent
	w.Header().Set("Zinniapond-Program", string(call.Program))
	out := &sink{w: w, control: http.NewResponseController(w), clock: f.Clock, limit: f.Limits.Read}
	out.degraded = func() string { return f.degraded(f.Clock(), call) }
	answer, err := f.Scheduler.Submit(ctx, r.now, call, out)
	finish(s, err)
	if !out.begun {
		if err != nil {
			return err
		}
		f.send(w, r, call, answer)
		return nil
	}
	f.end(w, out, call, answer, err)
	return nil
}

// fault returns the error that an answer without a body of its own stands for,
// and whether it is one.
func fault(a zinniapond.Answer) (reply.Fault, bool) {
	var cause error
	switch {
	case a.Outcome == zinniapond.OutcomeUnknown:
		cause = zinniapond.ErrUnknown
	case a.Outcome == zinniapond.OutcomeNotRun && a.Status == http.StatusTooManyRequests:
		cause = zinniapond.ErrBudget
	case a.Outcome == zinniapond.OutcomeNotRun:
		cause = zinniapond.ErrOverload
	case a.Status < 200 || a.Status > 599:
		cause = zinniapond.ErrBackend
	default:
		return reply.Fault{}, false
	}
	f := reply.Of(cause)
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

// send sends a whole answer.
func (f *Frontend) send(w http.ResponseWriter, r *request, call zinniapond.Call, a zinniapond.Answer) {
	h := w.Header()
	if a.Degraded == "" {
		a.Degraded = f.degraded(f.Clock(), call)
	}
	if a.Degraded != "" {
		h.Set("Zinniapond-Degraded", oneLine(a.Degraded))
	}
	if problem, ok := fault(a); ok {
		problem.Write(w)
		return
	}
	for _, e := range a.Fields {
		h.Add(e.Name, e.Value)
	}
	if a.RetryAfter > 0 {
		h.Set("Retry-After", reply.Seconds(a.RetryAfter))
	}
	h.Set("Zinniapond-Outcome", string(a.Outcome))
	control := http.NewResponseController(w)
	if f.Limits.Read > 0 {
		_ = control.SetWriteDeadline(f.Clock().Add(f.Limits.Read))
	}
	w.WriteHeader(a.Status)
	if r.Method != http.MethodHead {
		if _, err := w.Write(a.Body); err != nil {
			f.Logger.Debug("answer not taken by the caller", "call", call.ID, "error", err)
		}
	}
}

// end ends a streamed answer. The header has gone out, so that what is learnt
// at the end goes into trailers; an error is an event of the stream.
func (f *Frontend) end(w http.ResponseWriter, out *sink, call zinniapond.Call, a zinniapond.Answer, err error) {
	problem, failed := fault(a)
	if err != nil {
		problem, failed = reply.Of(err), true
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
	if !out.events {
		// Without an end mark of its own the body would look complete.
		panic(http.ErrAbortHandler)
	}
	_ = out.Write([]byte("event: error\ndata: " + string(problem.JSON()) + "\n\n"))
}

// oneLine makes a text fit into a header field.
func oneLine(s string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c > '~' {
			return ' '
		}
		return c
	}, s)
}
