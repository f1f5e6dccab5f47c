// Package admin is the HTTP front end for operators.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/entry/keys"
	"zinniapond.example/zinniapond/internal/entry/listen"
	"zinniapond.example/zinniapond/internal/entry/reply"
	"zinniapond.example/zinniapond/internal/files/lists"
)

func init() {
	kernel.Register("admin", func(k *kernel.Kernel) (zinniapond.Frontend, error) { return build(k) })
}

func build(k *kernel.Kernel) (*Frontend, error) {
	s := k.Settings
	f := &Frontend{
		Host: s.Host, OperatorHash: s.Security.OperatorHash, Clock: k.Now,
		Logger: k.Logger.Named("admin"),
	}
	var err error
	if f.Directory, err = kernel.Find[zinniapond.Directory](k); err != nil {
		return nil, err
	}
	if f.Control, err = kernel.Find[zinniapond.Control](k); err != nil {
		return nil, err
	}
	if f.Detector, err = kernel.Find[zinniapond.Detector](k); err != nil {
		return nil, err
	}
	if f.Scheduler, err = kernel.Find[zinniapond.Scheduler](k); err != nil {
		return nil, err
	}
	if f.Peers, err = kernel.Find[zinniapond.Peers](k); err != nil {
		return nil, err
	}
	mounter, err := kernel.Find[zinniapond.Mounter](k)
	if err != nil {
		return nil, err
	}
	if err := mounter.Mount("Status", &statusService{f}); err != nil {
		return nil, fmt.Errorf("mount status: %w", err)
	}
	f.Server = &listen.Server{
		ListenAddress: s.OperatorsAddress, CertificateFile: s.Security.CertificateFile, KeyFile: s.Security.KeyFile,
		Limits: s.Limits, DrainTimeout: min(s.DrainTimeout, maxDrainTime), Logger: f.Logger, Handler: f,
	}
	return f, nil
}

const (
	// maxBodyBytes bounds the body of a change of the lists. Both lists for
	// 21,000 plans take about 20 MB.
	maxBodyBytes = 64 << 20
	// maxDrainTime bounds the wait for open requests at shutdown. No request of
	// an operator takes longer than a change of the lists.
	maxDrainTime = proposeTimeout
	// proposeTimeout bounds the wait for the outcome of a command. An election
	// and a commit fit into it.
	proposeTimeout = 10 * time.Second
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// Frontend is the HTTP handler for operators. Its exported fields are set before
// Run.
type Frontend struct {
	Host         zinniapond.HostName
	OperatorHash [32]byte // SHA-256 of the operators' key
	Scheduler    zinniapond.Scheduler
	Directory    zinniapond.Directory
	Control      zinniapond.Control
	Detector     zinniapond.Detector
	Peers        zinniapond.Peers
	Clock        func() time.Time
	Logger       hclog.Logger
	Server       *listen.Server

	parser lists.Parser
}

// Address returns the address of the listener; invalid before Run listens.
func (f *Frontend) Address() netip.AddrPort { return f.Server.Address() }

// Run serves operators until ctx is done and open requests have ended.
func (f *Frontend) Run(ctx context.Context) error {
	if err := f.Server.Run(ctx); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

const paths = "GET or PUT /v1/lists, GET /v1/status, POST /v1/hosts/NAME/drain, GET /v1/programs/ID, GET /debug/vars"

// ServeHTTP checks the operators' key, without which no path is served, and
// serves the request.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if key, ok := keys.BearerKey(r.Header); !ok || !keys.Matches(f.OperatorHash, key) {
		fault := reply.FaultFor(fmt.Errorf("check operator: %w", zinniapond.ErrInvalidKey))
		fault.Hint = "send the operators' key as Authorization: Bearer KEY; its hash is [security] operator-hash"
		fault.Outcome = ""
		fault.Write(w)
		return
	}
	if err := f.route(w, r); err != nil {
		fault := reply.FaultFor(err)
		if fault.Status == http.StatusInternalServerError {
			f.Logger.Error("request failed", "path", r.URL.Path, "error", err)
		}
		fault.Outcome = ""
		fault.Write(w)
	}
}

func (f *Frontend) route(w http.ResponseWriter, r *http.Request) error {
	program, isProgramPath := strings.CutPrefix(r.URL.Path, "/v1/programs/")
	host, isHostPath := strings.CutPrefix(r.URL.Path, "/v1/hosts/")
	host, isDrain := strings.CutSuffix(host, "/drain")
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/lists":
		return f.sendLists(w)
	case "PUT /v1/lists":
		return f.changeLists(w, r)
	case "GET /v1/status":
		return f.sendStatus(w, r)
	case "GET /debug/vars":
		expvar.Handler().ServeHTTP(w, r)
		return nil
	}
	switch {
	case isProgramPath && r.Method == http.MethodGet:
		h, err := f.Scheduler.View(r.Context(), f.Clock(), zinniapond.ProgramID(program))
		if err != nil {
			return err
		}
		reply.WriteJSON(w, http.StatusOK, h)
		return nil
	case isHostPath && isDrain && r.Method == http.MethodPost:
		return f.drainHost(w, r, zinniapond.HostName(host))
	}
	return &zinniapond.Error{
		Step: "find path", Hint: "paths: " + paths,
		Err: fmt.Errorf("%w: %s %s", zinniapond.ErrNotFound, r.Method, r.URL.Path),
	}
}

// sendLists sends the lists in force. It fails on a host whose lease has expired
// and whose lists may be out of date.
func (f *Frontend) sendLists(w http.ResponseWriter) error {
	if !f.Directory.LeaseValid(f.Clock()) {
		// A change that is based on old lists would end in a version conflict.
		return &zinniapond.Error{Step: "read lists", Host: f.Host, Err: zinniapond.ErrStaleConfig}
	}
	reply.WriteJSON(w, http.StatusOK, f.Directory.View().Lists)
	return nil
}

// changeRequest is the body of PUT /v1/lists. Its fields are pointers where an
// absent value differs from an empty one.
type changeRequest struct {
	Expect *zinniapond.Version `json:"expect"`
	Change zinniapond.ChangeID `json:"change"`
	Plans  *string             `json:"plans"`
	Usage  *string             `json:"usage"`
}

const changeFormatHint = `send {"expect": VERSION, "change": ID, "plans": TEXT, "usage": TEXT}`

// decodeChange decodes and checks the body of PUT /v1/lists. Its errors wrap
// ErrMalformed.
func decodeChange(text []byte) (zinniapond.Command, error) {
	malformed := func(problem string) (zinniapond.Command, error) {
		return zinniapond.Command{}, &zinniapond.Error{
			Step: "decode change", Hint: changeFormatHint, Err: fmt.Errorf("%w: %s", zinniapond.ErrMalformed, problem),
		}
	}
	var b changeRequest
	decoder := json.NewDecoder(bytes.NewReader(text))
	// A misspelt field name must be an error, not an absent field.
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		return malformed(err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return malformed("more than one JSON value")
	}
	switch {
	case b.Expect == nil:
		return malformed("expect is missing")
	case !changeIDPattern.MatchString(string(b.Change)):
		return malformed(fmt.Sprintf("change id %.80q; ids have 1 to 128 letters, digits and . _ : -", b.Change))
	case b.Plans == nil || b.Usage == nil:
		return malformed("plans or usage is missing; both texts belong to a change")
	}
	return zinniapond.Command{
		Kind: zinniapond.CommandLists, ChangeID: b.Change, ExpectedVersion: *b.Expect, Plans: *b.Plans, Usage: *b.Usage,
	}, nil
}

// changeLists proposes new lists and answers once they are accepted or refused.
func (f *Frontend) changeLists(w http.ResponseWriter, r *http.Request) error {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var sizeError *http.MaxBytesError
	if errors.As(err, &sizeError) {
		return fmt.Errorf("read body: %w: limit is %d bytes", zinniapond.ErrTooLarge, maxBodyBytes)
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		return fmt.Errorf("read body: %w: request body is incomplete: %w", zinniapond.ErrMalformed, err)
	}
	command, err := decodeChange(text)
	if err != nil {
		return err
	}
	if _, faults := f.parser.Parse(command.ExpectedVersion+1, command.Plans, command.Usage); len(faults) > 0 {
		sendListFaults(w, faults)
		return nil
	}
	result, err := f.propose(r.Context(), command)
	if err != nil {
		return err
	}
	f.Logger.Info("change of lists", "change", command.ChangeID, "expect", command.ExpectedVersion,
		"accepted", result.Accepted, "version", result.Lists.Version)
	switch {
	case result.Accepted:
		reply.WriteJSON(w, http.StatusOK, result)
	case len(result.Faults) > 0:
		sendListFaults(w, result.Faults)
	default:
		fault := reply.FaultFor(zinniapond.ErrConflict)
		fault.Outcome = ""
		fault.Message = fmt.Sprintf("change %s was made from version %d, but version %d is in force", command.ChangeID, command.ExpectedVersion, result.Lists.Version)
		fault.Hint = "apply the change to the texts in detail.lists and send it with their version and a new change id"
		fault.Detail = result
		fault.Write(w)
	}
	return nil
}

// sendListFaults refuses a change whose lists have the given faults.
func sendListFaults(w http.ResponseWriter, faults []zinniapond.ListFault) {
	reply.Fault{
		Status: http.StatusUnprocessableEntity, Type: "lists",
		Message: fmt.Sprintf("the lists have %d faults; nothing was changed", len(faults)),
		Hint:    "correct the lines in detail", Detail: faults,
	}.Write(w)
}

// propose proposes a command to the control log. The error for a change of the
// lists has a hint on how to learn the outcome if it is unknown.
func (f *Frontend) propose(ctx context.Context, command zinniapond.Command) (zinniapond.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := f.Control.Propose(ctx, f.Clock(), command)
	if err != nil {
		var hint string
		if command.Kind == zinniapond.CommandLists {
			hint = "the change may have been accepted; send it again with the same change id to learn its outcome"
		}
		return result, &zinniapond.Error{Step: "propose change", Host: f.Host, Hint: hint, Err: err}
	}
	return result, nil
}

// drainHost marks a host as draining, so that it hands its shards over and
// leaves. It succeeds if the host is draining already.
func (f *Frontend) drainHost(w http.ResponseWriter, r *http.Request, host zinniapond.HostName) error {
	member, ok := f.Directory.View().Members[host]
	if !ok {
		return fmt.Errorf("drain host: %w: no host %.80q", zinniapond.ErrNotFound, host)
	}
	if member.State == zinniapond.MemberLeft {
		return fmt.Errorf("drain host: %w: %s has left", zinniapond.ErrConflict, host)
	}
	if member.State != zinniapond.MemberDraining {
		member.State = zinniapond.MemberDraining
		result, err := f.propose(r.Context(), zinniapond.Command{Kind: zinniapond.CommandMember, Member: &member})
		if err != nil {
			return err
		}
		if !result.Accepted {
			return fmt.Errorf("drain host: %w: %s", zinniapond.ErrConflict, result.Reason)
		}
		f.Logger.Info("host drains", "host", host)
	}
	reply.WriteJSON(w, http.StatusAccepted, map[string]any{"host": host, "state": member.State})
	return nil
}
