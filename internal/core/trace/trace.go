// Package trace sets up OpenTelemetry tracing and propagates spans between hosts.
package trace

import (
	"context"
	"errors"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"zinniapond.example/zinniapond"
)

// Tracer starts spans and exports them to the file and the collector of the
// settings.
type Tracer struct {
	trace.Tracer
	provider *sdk.TracerProvider
	file     *os.File
}

// New returns the tracer of a host. If the settings have neither a trace file nor
// an OTLP collector, it records no spans.
func New(ctx context.Context, s *zinniapond.Settings) (*Tracer, error) {
	t := &Tracer{Tracer: noop.NewTracerProvider().Tracer("")}
	var options []sdk.TracerProviderOption
	if s.Trace.File != "" {
		file, err := os.OpenFile(s.Trace.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("open trace file: %w", err)
		}
		t.file = file
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, errors.Join(err, file.Close())
		}
		options = append(options, sdk.WithBatcher(exporter))
	}
	if s.Trace.OTLP != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Trace.OTLP))
		if err != nil {
			return nil, errors.Join(fmt.Errorf("set up OTLP to %s: %w", s.Trace.OTLP, err), t.Stop(ctx))
		}
		options = append(options, sdk.WithBatcher(exporter))
	}
	if options == nil {
		return t, nil
	}
	options = append(options, sdk.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "zinniapond"),
		attribute.String("service.instance.id", string(s.Host)),
		attribute.String("zinniapond.cluster", s.Cluster),
	)))
	t.provider = sdk.NewTracerProvider(options...)
	t.Tracer = t.provider.Tracer("zinniapond")
	return t, nil
}

// Stop exports the remaining spans and closes the trace file.
func (t *Tracer) Stop(ctx context.Context) error {
	var err error
	if t.provider != nil {
		err = t.provider.Shutdown(ctx)
	}
	if t.file != nil {
		err = errors.Join(err, t.file.Close())
	}
	return err
}

const traceparentKey = "traceparent"

// Inject returns the traceparent of the span in ctx, or "" if there is none.
func Inject(ctx context.Context) string {
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[traceparentKey]
}

// Extract returns ctx with the remote span of a traceparent, which becomes the
// parent of the next span.
func Extract(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentKey: parent})
}

// StartSpan starts a span for the step of a call on this host and writes it to
// call.Traceparent, so that the span of the next step becomes its child.
// tracer may be nil.
func StartSpan(ctx context.Context, tracer trace.Tracer, name string, call *zinniapond.Call) (context.Context, trace.Span) {
	if tracer == nil {
		tracer = noop.NewTracerProvider().Tracer("")
	}
	if call.Traceparent != "" {
		ctx = Extract(ctx, call.Traceparent)
	}
	ctx, span := tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("zinniapond.call", string(call.ID)),
		attribute.String("zinniapond.program", string(call.Program)),
	))
	if parent := Inject(ctx); parent != "" {
		call.Traceparent = parent
	}
	return ctx, span
}

// EndSpan ends a span and records err, if there is one, as its failure.
func EndSpan(span trace.Span, err error) {
	if err != nil {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
