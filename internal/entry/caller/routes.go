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

// route handles one kind of request.
type route func(http.ResponseWriter, *request) error

// methodError is a method that a path does not take.
type methodError struct{ allowed string }

func (e methodError) Error() string { return "method not allowed on this path" }

const paths = "POST /v1/chat/completions, ANY /services/NAME/..., POST /v1/programs, GET or DELETE /v1/programs/ID"

// route finds the handler by the path. http.ServeMux is not used: it answers
// some paths with redirects, after which a caller may send a call again.
func (f *Frontend) route(r *http.Request) (route, error) {
	p := r.URL.Path
	switch {
	case p == "/v1/chat/completions":
		return f.chat, method(r, http.MethodPost)
	case p == "/v1/programs":
		return f.openProgram, method(r, http.MethodPost)
	case strings.HasPrefix(p, "/v1/programs/"):
		if r.Method == http.MethodDelete {
			return f.endProgram, nil
		}
		if err := method(r, http.MethodGet); err != nil {
			return nil, methodError{"GET, DELETE"}
		}
		return f.viewProgram, nil
	case strings.HasPrefix(p, "/services/"):
		return f.service, nil
	}
	return nil, &zinniapond.Error{
		Step: "find path", Hint: "paths: " + paths,
		Err: fmt.Errorf("%w: %s", zinniapond.ErrNotFound, p),
	}
}

func method(r *http.Request, allowed string) error {
	if r.Method != allowed {
		return methodError{allowed}
	}
	return nil
}

// body reads the body within the limits on size and time.
func (f *Frontend) body(w http.ResponseWriter, r *request) ([]byte, error) {
	most := f.Limits.Body
	if most > 0 && r.ContentLength > most {
		return nil, tooLarge(most)
	}
	if err := f.hold(r); err != nil {
		return nil, err
	}
	from := io.Reader(r.Body)
	if most > 0 {
		from = http.MaxBytesReader(w, r.Body, most)
	}
	b, err := io.ReadAll(from)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, tooLarge(most)
	case err != nil:
		// The rest of the request may still come and must not be taken for
		// the next one.
		w.Header().Set("Connection", "close")
		return nil, &zinniapond.Error{
			Step: "read body", Err: fmt.Errorf("%w: body did not arrive whole: %w", zinniapond.ErrMalformed, err),
			Hint: fmt.Sprintf("send the whole body within %s", f.Limits.Read),
		}
	}
	return b, nil
}

func tooLarge(most int64) error {
	return fmt.Errorf("read body: %w: limit is %d bytes", zinniapond.ErrTooLarge, most)
}

// openProgram opens a program. The body is empty or has its id and parent.
func (f *Frontend) openProgram(w http.ResponseWriter, r *request) error {
	b, err := f.body(w, r)
	if err != nil {
		return err
	}
	var wanted struct {
		ID     zinniapond.ProgramID `json:"id"`
		Parent zinniapond.ProgramID `json:"parent"`
	}
	if len(b) > 0 {
		if err := json.Unmarshal(b, &wanted); err != nil {
			return malformed("decode body", err.Error(), `send {"id": ..., "parent": ...} or nothing`)
		}
	}
	key, err := idempotencyKey(r.Header)
	if err != nil {
		return err
	}
	switch {
	case wanted.ID != "":
	case key != "":
		wanted.ID = zinniapond.ProgramID(derive("open", string(r.customer.Name), key))
	default:
		wanted.ID = zinniapond.ProgramID(uuid.NewString())
	}
	for _, id := range []zinniapond.ProgramID{wanted.ID, wanted.Parent} {
		if id != "" && !idForm.MatchString(string(id)) {
			return malformed("decode body", fmt.Sprintf("program id %.80q", id), idAllowed)
		}
	}
	ctx, s, _ := f.span(r, "open program")
	err = f.Scheduler.Open(ctx, r.now, zinniapond.Program{
		ID: wanted.ID, Parent: wanted.Parent, Plan: r.plan.Name, Customer: r.customer.Name, Opened: r.now,
	})
	finish(s, err)
	if err != nil {
		return err
	}
	w.Header().Set("Zinniapond-Program", string(wanted.ID))
	reply.Write(w, http.StatusCreated, map[string]any{"id": wanted.ID})
	return nil
}

// own returns the program of the path, which has to be the customer's.
func (f *Frontend) own(r *request) (zinniapond.History, error) {
	id := strings.TrimPrefix(r.URL.Path, "/v1/programs/")
	if !idForm.MatchString(id) {
		return zinniapond.History{}, malformed("decode path", fmt.Sprintf("program id %.80q", id), idAllowed)
	}
	h, err := f.Scheduler.View(r.Context(), r.now, zinniapond.ProgramID(id))
	if err != nil {
		return h, err
	}
	if h.Program.Customer != r.customer.Name || h.Program.Plan != r.plan.Name {
		// As if there were none: its existence is the other customer's affair.
		return h, &zinniapond.Error{
			Step: "view program", Err: fmt.Errorf("%w: %s", zinniapond.ErrNotFound, id),
			Hint: "ids are those that POST /v1/programs returned for this key",
		}
	}
	return h, nil
}

func (f *Frontend) viewProgram(w http.ResponseWriter, r *request) error {
	h, err := f.own(r)
	if err != nil {
		return err
	}
	reply.Write(w, http.StatusOK, h)
	return nil
}

func (f *Frontend) endProgram(w http.ResponseWriter, r *request) error {
	h, err := f.own(r)
	if err != nil {
		return err
	}
	if err := f.Scheduler.End(r.Context(), r.now, h.Program.ID, "ended by the caller"); err != nil {
		return err
	}
	reply.Write(w, http.StatusOK, map[string]any{"id": h.Program.ID, "ended": true})
	return nil
}
