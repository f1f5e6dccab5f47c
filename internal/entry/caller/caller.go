// Package caller is the HTTP interface for callers. It is also the entry role.
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
	"zinniapond.example/zinniapond/internal/entry/gate"
	"zinniapond.example/zinniapond/internal/entry/keys"
	"zinniapond.example/zinniapond/internal/entry/reply"
)

func init() {
	kernel.Register("caller", func(k *kernel.Kernel) (zinniapond.Frontend, error) { return build(k) })
	kernel.Register(string(zinniapond.RoleEntry), func(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
		// The operators' interface is built first, so that it stops last.
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

// noticeShare is the part of the drain time for load balancers to notice that
// /healthz fails: 3 s of the usual 30 s, which is a few of their checks.
const noticeShare = 10

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
	f.Gate = &gate.Gate{
		Listen: k.Settings.Callers, Certificate: k.Settings.Security.Certificate, Key: k.Settings.Security.Key,
		Limits: f.Limits, Drain: k.Settings.Drain, Notice: k.Settings.Drain / noticeShare, Logger: f.Logger, Handler: f,
	}
	return f, nil
}

// Frontend serves callers. Its exported fields are set before Run.
type Frontend struct {
	Host      zinniapond.HostName
	Scheduler zinniapond.Scheduler
	Directory zinniapond.Directory
	Detector  zinniapond.Detector
	Limits    zinniapond.LimitSettings
	Clock     func() time.Time
	Tracer    trace.Tracer // may be nil
	Logger    hclog.Logger
	Gate      *gate.Gate

	ring keys.Ring
	open atomic.Int64
	held atomic.Int64 // bytes of bodies of open requests
}

// heldMost bounds the bytes of all open bodies. With the usual limits, bodies
// alone could take 8 GiB of a small host; at the design scale an entry has
// about 100 open requests of 0.6 MB.
const heldMost = 512 << 20

// Role returns the entry role.
func (f *Frontend) Role() zinniapond.Role { return zinniapond.RoleEntry }

// Address is where it listens.
func (f *Frontend) Address() netip.AddrPort { return f.Gate.Address() }

// Run serves callers until ctx is done.
func (f *Frontend) Run(ctx context.Context) error {
	if err := f.Gate.Run(ctx); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// request is one HTTP request with what has been found out about it.
type request struct {
	*http.Request
	now      time.Time
	plan     zinniapond.Plan
	customer zinniapond.Customer
	catalog  *zinniapond.Catalog
	held     int64 // bytes reserved for the body
}

// ServeHTTP answers one request.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		f.health(w)
		return
	}
	if n := f.open.Add(1); f.Limits.Open > 0 && n > int64(f.Limits.Open) {
		f.open.Add(-1)
		f.refuse(w, fmt.Errorf("%w: %d requests are open at this host", zinniapond.ErrOverload, f.Limits.Open))
		return
	}
	defer f.open.Add(-1)
	route, err := f.route(r)
	if err != nil {
		f.refuse(w, err)
		return
	}
	admitted, err := f.admit(r)
	if err != nil {
		f.refuse(w, err)
		return
	}
	w.Header().Set("Zinniapond-Config", strconv.FormatUint(uint64(admitted.catalog.Version), 10))
	defer func() { f.held.Add(-admitted.held) }()
	if err := route(w, admitted); err != nil {
		f.refuse(w, err)
	}
}

// hold reserves memory for a body until the request ends. A body of unknown
// size counts as one of the largest.
func (f *Frontend) hold(r *request) error {
	size := r.ContentLength
	if size < 0 {
		size = f.Limits.Body
	}
	r.held = size
	if f.held.Add(size) > heldMost {
		return &zinniapond.Error{
			Step: "read body", Host: f.Host, Hint: "try again after the given time, or at another host",
			Err: fmt.Errorf("%w: open requests hold %d bytes", zinniapond.ErrOverload, heldMost),
		}
	}
	return nil
}

// refuse sends an error that was found before the scheduler was asked, or that
// the scheduler returned.
func (f *Frontend) refuse(w http.ResponseWriter, err error) {
	fault := reply.Of(err)
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

// admit checks the lease and the key. The lease comes first: a host whose
// lists may be out of date would refuse a new key for good.
func (f *Frontend) admit(r *http.Request) (*request, error) {
	now := f.Clock()
	catalog := f.Directory.Catalog()
	if !f.Directory.Fresh(now) || catalog == nil {
		return nil, &zinniapond.Error{Step: "admit request", Host: f.Host, Err: zinniapond.ErrStale}
	}
	key, ok := keys.Bearer(r.Header)
	if !ok {
		return nil, fmt.Errorf("admit request: %w: no bearer key", zinniapond.ErrKey)
	}
	plan, customer, err := f.ring.Find(now, catalog, key)
	if err != nil {
		return nil, err
	}
	return &request{Request: r, now: now, plan: plan, customer: customer, catalog: catalog}, nil
}

// health answers load balancers. A host that drains or cannot confirm its
// configuration admits nothing, so no request should be sent to it.
func (f *Frontend) health(w http.ResponseWriter) {
	status := "ok"
	view := f.Directory.View()
	switch state := view.Members[f.Host].State; {
	case f.Gate != nil && f.Gate.Draining(), state == zinniapond.MemberDraining, state == zinniapond.MemberLeft:
		status = "draining"
	case state == zinniapond.MemberFenced:
		status = "fenced"
	case !f.Directory.Fresh(f.Clock()):
		status = "stale configuration"
	}
	if status != "ok" {
		reply.Write(w, http.StatusServiceUnavailable, map[string]string{"status": status})
		return
	}
	reply.Write(w, http.StatusOK, map[string]string{"status": status})
}

// degraded returns what a caller should know of a decline in service.
func (f *Frontend) degraded(now time.Time, call zinniapond.Call) string {
	plan, pool := "plan "+string(call.Plan), "pool "+string(call.Pool)
	for _, d := range f.Detector.Declines(now) {
		if d.Subject == plan || d.Subject == pool {
			return fmt.Sprintf("%s: %s since %s", d.Subject, d.Reason, d.Since.UTC().Format(time.RFC3339))
		}
	}
	return ""
}

// span starts a span that continues the caller's trace, and returns its
// traceparent.
func (f *Frontend) span(r *request, name string) (context.Context, trace.Span, string) {
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

func finish(s trace.Span, err error) {
	if err != nil {
		s.SetStatus(codes.Error, err.Error())
	}
	s.End()
}
