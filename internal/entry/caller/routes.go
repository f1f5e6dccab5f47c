package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/entry/reply"
)

// handler serves one kind of request. If it returns an error, it has not
// written an answer.
type handler func(http.ResponseWriter, *request) error

// methodError is returned for a method that the path does not allow.
type methodError struct{ allowed string }

func (e methodError) Error() string { return "method not allowed on this path" }

const paths = "POST /v1/chat/completions, ANY /services/NAME/..., POST /v1/programs, GET or DELETE /v1/programs/ID"

// route returns the handler for the request's path and method. http.ServeMux is
// not used: it redirects paths that are not in canonical form, and callers that
// follow a redirect may send a call twice.
func (f *Frontend) route(r *http.Request) (handler, error) {
	p := r.URL.Path
	switch {
	case p == "/v1/chat/completions":
		return f.submitChat, requireMethod(r, http.MethodPost)
	case p == "/v1/programs":
		return f.openProgram, requireMethod(r, http.MethodPost)
	case strings.HasPrefix(p, "/v1/programs/"):
		if r.Method == http.MethodDelete {
			return f.endProgram, nil
		}
		if err := requireMethod(r, http.MethodGet); err != nil {
			return nil, methodError{"GET, DELETE"}
		}
		return f.viewProgram, nil
	case strings.HasPrefix(p, "/services/"):
		return f.submitService, nil
	}
	return nil, &zinniapond.Error{
		Step: "find path", Hint: "paths: " + paths,
		Err: fmt.Errorf("%w: %s", zinniapond.ErrNotFound, p),
	}
}

// requireMethod returns a methodError unless the request has the allowed method.
func requireMethod(r *http.Request, allowed string) error {
	if r.Method != allowed {
		return methodError{allowed}
	}
	return nil
}

// readBody reads the body within the limits on its size, on the memory for all
// open bodies, and on the time, which the listener enforces.
func (f *Frontend) readBody(w http.ResponseWriter, r *request) ([]byte, error) {
	maxBytes := f.Limits.MaxBodyBytes
	if maxBytes > 0 && r.ContentLength > maxBytes {
		return nil, tooLargeError(maxBytes)
	}
	if err := f.reserveBody(r); err != nil {
		return nil, err
	}
	reader := io.Reader(r.Body)
	if maxBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	b, err := io.ReadAll(reader)
	var sizeError *http.MaxBytesError
	switch {
	case errors.As(err, &sizeError):
		return nil, tooLargeError(maxBytes)
	case err != nil:
		// The rest of the body may still arrive and must not be parsed as the
		// next request.
		w.Header().Set("Connection", "close")
		return nil, &zinniapond.Error{
			Step: "read body", Err: fmt.Errorf("%w: request body is incomplete: %w", zinniapond.ErrMalformed, err),
			Hint: fmt.Sprintf("send the whole body within %s", f.Limits.ReadTimeout),
		}
	}
	return b, nil
}

func tooLargeError(maxBytes int64) error {
	return fmt.Errorf("read body: %w: limit is %d bytes", zinniapond.ErrTooLarge, maxBytes)
}

// openProgram opens a program. The body is empty or has the id and the parent
// of the program; both are optional.
func (f *Frontend) openProgram(w http.ResponseWriter, r *request) error {
	b, err := f.readBody(w, r)
	if err != nil {
		return err
	}
	var requested struct {
		ID     zinniapond.ProgramID `json:"id"`
		Parent zinniapond.ProgramID `json:"parent"`
	}
	if len(b) > 0 {
		if err := json.Unmarshal(b, &requested); err != nil {
			return malformedError("decode body", err.Error(), `send {"id": ..., "parent": ...} or nothing`)
		}
	}
	key, err := parseIdempotencyKey(r.Header)
	if err != nil {
		return err
	}
	switch {
	case requested.ID != "":
	case key != "":
		requested.ID = zinniapond.ProgramID(deriveID("open", string(r.customer.Name), key))
	default:
		requested.ID = zinniapond.ProgramID(uuid.NewString())
	}
	for _, id := range []zinniapond.ProgramID{requested.ID, requested.Parent} {
		if id != "" && !idPattern.MatchString(string(id)) {
			return malformedError("decode body", fmt.Sprintf("program id %.80q", id), idHint)
		}
	}
	ctx, s, _ := f.startSpan(r, "open program")
	err = f.Scheduler.Open(ctx, r.now, zinniapond.Program{
		ID: requested.ID, Parent: requested.Parent, Plan: r.plan.Name, Customer: r.customer.Name, OpenedAt: r.now,
	})
	endSpan(s, err)
	if err != nil {
		return err
	}
	w.Header().Set("Zinniapond-Program", string(requested.ID))
	reply.WriteJSON(w, http.StatusCreated, map[string]any{"id": requested.ID})
	return nil
}

// viewOwnProgram returns the history of the program in the path. The error wraps
// ErrNotFound if the program belongs to another customer.
func (f *Frontend) viewOwnProgram(r *request) (zinniapond.History, error) {
	id := strings.TrimPrefix(r.URL.Path, "/v1/programs/")
	if !idPattern.MatchString(id) {
		return zinniapond.History{}, malformedError("decode path", fmt.Sprintf("program id %.80q", id), idHint)
	}
	h, err := f.Scheduler.View(r.Context(), r.now, zinniapond.ProgramID(id))
	if err != nil {
		return h, err
	}
	if h.Program.Customer != r.customer.Name || h.Program.Plan != r.plan.Name {
		// The error does not reveal that another customer has a program with
		// this id.
		return h, &zinniapond.Error{
			Step: "view program", Err: fmt.Errorf("%w: %s", zinniapond.ErrNotFound, id),
			Hint: "ids are those that POST /v1/programs returned for this key",
		}
	}
	return h, nil
}

func (f *Frontend) viewProgram(w http.ResponseWriter, r *request) error {
	h, err := f.viewOwnProgram(r)
	if err != nil {
		return err
	}
	reply.WriteJSON(w, http.StatusOK, h)
	return nil
}

func (f *Frontend) endProgram(w http.ResponseWriter, r *request) error {
	h, err := f.viewOwnProgram(r)
	if err != nil {
		return err
	}
	if err := f.Scheduler.End(r.Context(), r.now, h.Program.ID, "ended by the caller"); err != nil {
		return err
	}
	reply.WriteJSON(w, http.StatusOK, map[string]any{"id": h.Program.ID, "ended": true})
	return nil
}
