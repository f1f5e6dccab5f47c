package status

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/core/remote"
	"zinniapond.example/zinniapond/internal/core/vars"
)

const readOverviewStep = "read overview"

// runOverview prints what one host exports at its metrics address. With --check, it
// returns an error if the host cannot check keys.
func (o *Options) runOverview(ctx context.Context, f *inject.Factory) error {
	text, err := o.readOverview(ctx, f)
	if err != nil {
		return err
	}
	var h zinniapond.HostOverview
	if err := json.Unmarshal(text, &h); err != nil {
		return zinniapond.Wrap(readOverviewStep, o.Metrics, fmt.Errorf("decode answer: %w", err))
	}
	if o.JSON {
		_, err = fmt.Fprintf(f.Out, "%s\n", text)
	} else {
		err = printOverview(f.Out, &h)
	}
	if err != nil || !o.Check || !leaseExpired(&h) {
		return err
	}
	return fmt.Errorf("check status: lease on keys of %s has expired", h.Host)
}

// readOverview returns the overview as the host has exported it.
func (o *Options) readOverview(ctx context.Context, f *inject.Factory) (json.RawMessage, error) {
	var exported map[string]json.RawMessage
	host := remote.Operator{Address: o.Metrics, Open: true}
	if _, err := host.Do(ctx, f, readOverviewStep, http.MethodGet, "/debug/vars", nil, &exported); err != nil {
		var e *zinniapond.Error
		if errors.Is(err, zinniapond.ErrNotSent) && errors.As(err, &e) {
			e.Hint = "check --metrics, [listen] metrics in the host's settings, and that the host runs"
		}
		return nil, err
	}
	text, ok := exported[vars.Name]
	if !ok {
		return nil, &zinniapond.Error{
			Step: readOverviewStep, Peer: o.Metrics, Hint: "ask a host with the role front or control",
			Err: fmt.Errorf("%w: the host exports no overview", zinniapond.ErrNotFound),
		}
	}
	return text, nil
}

// leaseExpired reports whether a host refuses requests because it cannot check keys.
func leaseExpired(h *zinniapond.HostOverview) bool {
	return h.Configuration.Plans > 0 && !h.Configuration.KeyLeaseValid
}

func printOverview(w io.Writer, h *zinniapond.HostOverview) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	p := printer{w: t}
	p.printLine("host %s at %s", h.Host, h.At.Format(time.RFC3339))
	p.printLine("%s", describeConfiguration(h))
	p.printLine("%s", describeLimits(&h.Limits))
	for _, plan := range h.Limits.AtLimit {
		p.printLine("AT LIMIT %s", plan)
	}
	if more := h.Limits.AtLimitCount - len(h.Limits.AtLimit); more > 0 {
		p.printLine("AT LIMIT and %d more", more)
	}
	if len(h.Queues) > 0 {
		p.printLine("POOL\tWAITING\tLONGEST WAIT\tFREED/S\tREFUSED\tEXPIRED")
	}
	for _, q := range h.Queues {
		p.printLine("%s\t%d\t%s\t%.1f\t%d\t%d", q.Pool, q.Length, q.LongestWait.Duration(), q.FreedPerS, q.Refused, q.Expired)
	}
	if len(h.RampUps) > 0 {
		p.printLine("REPLICA RAMPS UP\tID\tPOOL\tBOUND\tLOAD\tSINCE")
	}
	for _, r := range h.RampUps {
		p.printLine("%s\t%s\t%s\t%d\t%d\t%s", r.Replica, r.ID, r.Pool, r.Bound, r.Load, h.At.Sub(r.Since).Round(time.Millisecond))
	}
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

func describeConfiguration(h *zinniapond.HostOverview) string {
	c := &h.Configuration
	age, lease := "never confirmed", "does not expire"
	if c.ConfirmedAge >= 0 {
		age = fmt.Sprintf("confirmed %s ago", c.ConfirmedAge.Duration().Round(time.Millisecond))
	}
	switch {
	case !c.KeyLeaseValid:
		lease = fmt.Sprintf("EXPIRED, it is valid for %s", c.KeyLease.Duration())
	case c.KeyLease > 0:
		lease = fmt.Sprintf("valid for %s", (c.KeyLease - max(c.ConfirmedAge, 0)).Duration().Round(time.Millisecond))
	}
	return fmt.Sprintf("configuration: version %d, plans %d, %s; lease on keys: %s", c.Version, c.Plans, age, lease)
}

func describeLimits(l *zinniapond.LimitOverview) string {
	counter := "no control host known to count"
	switch {
	case l.IsCounter:
		counter = "this host counts"
	case l.Counter.IsValid():
		counter = fmt.Sprintf("%s counts", l.Counter)
	}
	return fmt.Sprintf("request limits: %s, plans counted here %d, at their limits %d", counter, l.Counted, l.AtLimitCount)
}
