// Package reply writes JSON answers and errors to callers and operators, and
// maps errors to HTTP statuses.
package reply

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"zinniapond.example/zinniapond"
)

// Fault is an error in the form that callers and operators get.
type Fault struct {
	Status     int
	Type       string
	Message    string
	Hint       string
	Outcome    zinniapond.Outcome
	RetryAfter time.Duration
	// Detail is added to the error object; may be nil.
	Detail any
}

// faultsByError maps the errors of the root package to statuses. The first
// match applies: ErrOutcomeUnknown comes first, so that an error that also
// wraps another reason is never reported as a call that was not run.
var faultsByError = []struct {
	err       error
	status    int
	faultType string
	outcome   zinniapond.Outcome
	hint      string
}{
	{zinniapond.ErrOutcomeUnknown, 502, "outcome_unknown", zinniapond.OutcomeUnknown, "the call may have run and is not sent again; look at its effect before you repeat it with a new key"},
	{zinniapond.ErrMalformed, 400, "malformed", zinniapond.OutcomeNotRun, "correct the request"},
	{zinniapond.ErrInvalidKey, 401, "key", zinniapond.OutcomeNotRun, "send a valid key as Authorization: Bearer KEY"},
	{zinniapond.ErrForbidden, 403, "forbidden", zinniapond.OutcomeNotRun, "ask the operator to add it to the plan"},
	{zinniapond.ErrTooLarge, 413, "too_large", zinniapond.OutcomeNotRun, "send a smaller body"},
	{zinniapond.ErrKeyReused, 422, "key_reused", zinniapond.OutcomeNotRun, "use a new Idempotency-Key for a different request"},
	{zinniapond.ErrBudgetExhausted, 429, "budget", zinniapond.OutcomeNotRun, "wait for the next budget window"},
	{zinniapond.ErrNotFound, 404, "not_found", zinniapond.OutcomeNotRun, "look at the id or the name"},
	{zinniapond.ErrProgramEnded, 410, "ended", zinniapond.OutcomeNotRun, "open a new program"},
	{zinniapond.ErrOutOfOrder, 409, "order", zinniapond.OutcomeNotRun, "send the program's earlier calls first"},
	{zinniapond.ErrConflict, 409, "conflict", zinniapond.OutcomeNotRun, "read the present version and try again"},
	{zinniapond.ErrOverload, 503, "overloaded", zinniapond.OutcomeNotRun, "try again after the given time"},
	{zinniapond.ErrStaleConfig, 503, "stale_configuration", zinniapond.OutcomeNotRun, "try again; another host may have a confirmed configuration"},
	{zinniapond.ErrNotOwner, 503, "moving", zinniapond.OutcomeNotRun, "try again; the program is moving to another host"},
	{zinniapond.ErrUnavailable, 503, "unavailable", zinniapond.OutcomeNotRun, "try again after the given time"},
	{zinniapond.ErrNotSent, 503, "unavailable", zinniapond.OutcomeNotRun, "try again after the given time"},
	// The next owner may still recover an append that was not acknowledged, so
	// the outcome of the call is reported as unknown.
	{zinniapond.ErrFenced, 503, "moving", zinniapond.OutcomeUnknown, "repeat the request with the same Idempotency-Key"},
	{zinniapond.ErrNoQuorum, 503, "no_majority", zinniapond.OutcomeUnknown, "repeat the request with the same Idempotency-Key"},
	{zinniapond.ErrNotLeader, 503, "no_leader", zinniapond.OutcomeUnknown, "repeat the request"},
	{zinniapond.ErrBackendFailed, 502, "backend", zinniapond.OutcomeUnknown, "repeat the request with the same Idempotency-Key"},
	{context.DeadlineExceeded, 504, "timeout", zinniapond.OutcomeUnknown, "repeat the request with the same Idempotency-Key"},
	{context.Canceled, 503, "cancelled", zinniapond.OutcomeUnknown, "repeat the request with the same Idempotency-Key"},
}

// defaultRetryAfter is sent as Retry-After if the error has none. One lease and
// one election fit into it.
const defaultRetryAfter = 2 * time.Second

// FaultFor returns the fault to send for an error. An error without a known
// reason becomes status 500 with an unknown outcome.
func FaultFor(err error) Fault {
	f := Fault{Status: 500, Type: "internal", Outcome: zinniapond.OutcomeUnknown, Message: err.Error()}
	for _, m := range faultsByError {
		if errors.Is(err, m.err) {
			f.Status, f.Type, f.Outcome, f.Hint = m.status, m.faultType, m.outcome, m.hint
			break
		}
	}
	var e *zinniapond.Error
	if errors.As(err, &e) {
		if e.Hint != "" {
			f.Hint = e.Hint
		}
		f.RetryAfter = e.RetryAfter
	}
	if f.RetryAfter == 0 && (f.Status == 503 || f.Status == 429) {
		f.RetryAfter = defaultRetryAfter
	}
	return f
}

// body is the JSON form of a fault, with the field names of OpenAI's error
// object.
type body struct {
	Error struct {
		Message string             `json:"message"`
		Type    string             `json:"type"`
		Hint    string             `json:"hint,omitempty"`
		Outcome zinniapond.Outcome `json:"outcome,omitempty"`
		Detail  any                `json:"detail,omitempty"`
	} `json:"error"`
}

// JSON returns the fault as a JSON object on one line, without a newline.
func (f Fault) JSON() []byte {
	var b body
	b.Error.Message, b.Error.Type, b.Error.Hint = f.Message, f.Type, f.Hint
	b.Error.Outcome, b.Error.Detail = f.Outcome, f.Detail
	text, err := json.Marshal(b)
	if err != nil {
		return []byte(`{"error":{"message":"error cannot be shown","type":"internal"}}`)
	}
	return text
}

// Write sends the fault as a complete answer with its headers.
func (f Fault) Write(w http.ResponseWriter) {
	h := w.Header()
	if f.Outcome != "" {
		h.Set("Zinniapond-Outcome", string(f.Outcome))
	}
	if f.RetryAfter > 0 {
		h.Set("Retry-After", FormatSeconds(f.RetryAfter))
	}
	if f.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(f.JSON())+1))
	w.WriteHeader(f.Status)
	// Writing fails only if the caller has closed the connection.
	_, _ = w.Write(append(f.JSON(), '\n'))
}

// FormatSeconds formats d for a Retry-After header, in seconds rounded up.
func FormatSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// WriteJSON sends v as JSON with the given status, or a fault if v cannot be
// encoded.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		FaultFor(err).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n'))
}
