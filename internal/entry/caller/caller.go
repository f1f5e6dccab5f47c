// Package caller is the HTTP front end for callers. It also registers the entry
// role, which serves callers and operators.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/entry/keys"
	"zinniapond.example/zinniapond/internal/entry/listen"
	"zinniapond.example/zinniapond/internal/entry/reply"
)

func init() {
	kernel.Register("caller", func(k *kernel.Kernel) (zinniapond.Frontend, error) { return build(k) })
	kernel.Register(string(zinniapond.RoleEntry), func(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
		// The kernel stops plug-ins in the reverse order of their creation. The
		// operators' front end is created first and so stops last.
		if _, err := kernel.FindNamed[zinniapond.Frontend](k, "admin"); err != nil {
			return nil, err
		}
		f, err := kernel.FindNamed[zinniapond.Frontend](k, "caller")
		if err != nil {
			return nil, err
		}
		return f.(*Frontend), nil
	})
}

// noticeDivisor sets the share of the drain time in which requests are still
// accepted while /healthz fails: a tenth, 3 s of the usual 30 s, in which a load
// balancer makes a few checks.
const noticeDivisor = 10

func build(k *kernel.Kernel) (*Frontend, error) {
	f := &Frontend{
		Host: k.Settings.Host, Limits: k.Settings.Limits, Clock: k.Now, Tracer: k.Tracer,
		Logger: k.Logger.Named("caller"),
	}
	var err error
	if f.Directory, err = kernel.Find[zinniapond.Directory](k); err != nil {
		return nil, err
	}
	if f.Detector, err = kernel.Find[zinniapond.Detector](k); err != nil {
		return nil, err
	}
	if f.Scheduler, err = kernel.Find[zinniapond.Scheduler](k); err != nil {
		return nil, err
	}
	f.Server = &listen.Server{
		ListenAddress: k.Settings.CallersAddress, CertificateFile: k.Settings.Security.CertificateFile, KeyFile: k.Settings.Security.KeyFile,
		Limits: f.Limits, DrainTimeout: k.Settings.DrainTimeout, NoticePeriod: k.Settings.DrainTimeout / noticeDivisor, Logger: f.Logger, Handler: f,
	}
	return f, nil
}

// Frontend is the HTTP handler for callers. Its exported fields are set before
// Run.
type Frontend struct {
	Host      zinniapond.HostName
	Scheduler zinniapond.Scheduler
	Directory zinniapond.Directory
	Detector  zinniapond.Detector
	Limits    zinniapond.LimitSettings
	Clock     func() time.Time
	Tracer    trace.Tracer // may be nil
	Logger    hclog.Logger
	Server    *listen.Server

	authenticator keys.Authenticator
	openRequests  atomic.Int64
	reservedBytes atomic.Int64 // memory for the bodies of open requests, in bytes
}

// maxReservedBytes bounds the memory for the bodies of all open requests. The
// usual limits on requests and body size alone would allow 8 GiB, too much for
// a small host; at the design scale an entry has about 100 open requests of
// 0.6 MB.
const maxReservedBytes = 512 << 20

// Role returns RoleEntry.
func (f *Frontend) Role() zinniapond.Role { return zinniapond.RoleEntry }

// Address returns the address of the listener; invalid before Run listens.
func (f *Frontend) Address() netip.AddrPort { return f.Server.Address() }

// Run serves callers until ctx is done and open requests have ended.
func (f *Frontend) Run(ctx context.Context) error {
	if err := f.Server.Run(ctx); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// request is an HTTP request whose key has been accepted, with the plan and the
// customer of the key and the catalog in force.
type request struct {
	*http.Request
	now           time.Time
	plan          zinniapond.Plan
	customer      zinniapond.Customer
	catalog       *zinniapond.Catalog
	reservedBytes int64 // for the body
}

// ServeHTTP serves /healthz without a key, and other paths after the checks of
// the limit on open requests, the path, the lease and the key.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		f.sendHealth(w)
		return
	}
	if n := f.openRequests.Add(1); f.Limits.MaxOpenRequests > 0 && n > int64(f.Limits.MaxOpenRequests) {
		f.openRequests.Add(-1)
		f.sendError(w, fmt.Errorf("%w: %d requests are open at this host", zinniapond.ErrOverload, f.Limits.MaxOpenRequests))
		return
	}
	defer f.openRequests.Add(-1)
	handle, err := f.route(r)
	if err != nil {
		f.sendError(w, err)
		return
	}
	admitted, err := f.admit(r)
	if err != nil {
		f.sendError(w, err)
		return
	}
	w.Header().Set("Zinniapond-Config", strconv.FormatUint(uint64(admitted.catalog.Version), 10))
	defer func() { f.reservedBytes.Add(-admitted.reservedBytes) }()
	if err := handle(w, admitted); err != nil {
		f.sendError(w, err)
	}
}

// reserveBody reserves memory for the body until the request ends. A body of
// unknown size is counted with the largest size allowed.
func (f *Frontend) reserveBody(r *request) error {
	size := r.ContentLength
	if size < 0 {
		size = f.Limits.MaxBodyBytes
	}
	r.reservedBytes = size
	if f.reservedBytes.Add(size) > maxReservedBytes {
		return &zinniapond.Error{
			Step: "read body", Host: f.Host, Hint: "try again after the given time, or at another host",
			Err: fmt.Errorf("%w: open requests hold %d bytes", zinniapond.ErrOverload, maxReservedBytes),
		}
	}
	return nil
}

// sendError sends an error that arose before the call was submitted, or that
// the scheduler returned.
func (f *Frontend) sendError(w http.ResponseWriter, err error) {
	fault := reply.FaultFor(err)
	var method methodError
	if errors.As(err, &method) {
		w.Header().Set("Allow", method.allowed)
		fault.Status, fault.Type, fault.Outcome = http.StatusMethodNotAllowed, "method", zinniapond.OutcomeNotRun
		fault.Hint = "allowed: " + method.allowed
	}
	if fault.Status == http.StatusInternalServerError {
		f.Logger.Error("request failed", "error", err)
	}
	fault.Write(w)
}

// admit checks this host's lease and then the caller's key. The lease comes
// first: a host whose lists may be out of date would reject a new key with 401,
// which is final, instead of a 503 with Retry-After.
func (f *Frontend) admit(r *http.Request) (*request, error) {
	now := f.Clock()
	catalog := f.Directory.Catalog()
	if !f.Directory.LeaseValid(now) || catalog == nil {
		return nil, &zinniapond.Error{Step: "admit request", Host: f.Host, Err: zinniapond.ErrStaleConfig}
	}
	key, ok := keys.BearerKey(r.Header)
	if !ok {
		return nil, fmt.Errorf("admit request: %w: no bearer key", zinniapond.ErrInvalidKey)
	}
	plan, customer, err := f.authenticator.Authenticate(now, catalog, key)
	if err != nil {
		return nil, err
	}
	return &request{Request: r, now: now, plan: plan, customer: customer, catalog: catalog}, nil
}

// sendHealth answers the health checks of load balancers. It fails on a host
// that drains, is fenced or cannot confirm its configuration, so that load
// balancers send no requests there.
func (f *Frontend) sendHealth(w http.ResponseWriter) {
	status := "ok"
	view := f.Directory.View()
	switch state := view.Members[f.Host].State; {
	case f.Server != nil && f.Server.Draining(), state == zinniapond.MemberDraining, state == zinniapond.MemberLeft:
		status = "draining"
	case state == zinniapond.MemberFenced:
		status = "fenced"
	case !f.Directory.LeaseValid(f.Clock()):
		status = "stale configuration"
	}
	if status != "ok" {
		reply.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"status": status})
		return
	}
	reply.WriteJSON(w, http.StatusOK, map[string]string{"status": status})
}

// describeDegradation returns a text on the degradation of service that the
// detector reports for the call's plan or pool, or "" if there is none.
func (f *Frontend) describeDegradation(now time.Time, call zinniapond.Call) string {
	plan, pool := "plan "+string(call.Plan), "pool "+string(call.Pool)
	for _, d := range f.Detector.Degradations(now) {
		if d.Subject == plan || d.Subject == pool {
			return fmt.Sprintf("%s: %s since %s", d.Subject, d.Reason, d.Since.UTC().Format(time.RFC3339))
		}
	}
	return ""
}

// startSpan starts a server span as a child of the span in the request's
// traceparent header, and returns the new span's traceparent.
func (f *Frontend) startSpan(r *request, name string) (context.Context, trace.Span, string) {
	tracer := f.Tracer
	if tracer == nil {
		tracer = noop.NewTracerProvider().Tracer("caller")
	}
	w3c := propagation.TraceContext{}
	ctx := w3c.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, s := tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return ctx, s, carrier.Get("traceparent")
}

// endSpan ends a span, with an error status if err is not nil.
func endSpan(s trace.Span, err error) {
	if err != nil {
		s.SetStatus(codes.Error, err.Error())
	}
	s.End()
}
