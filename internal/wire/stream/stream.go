// Package stream serves the calls that entry hosts relay to the owner on this
// host. It uses net/http because net/rpc has neither streams nor cancellation.
package stream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/trace"
	"zinniapond.example/zinniapond/internal/wire/auth"
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/frame"
)

// The server is registered as a Frontend, so that the kernel creates it. It looks
// up the owner in Run instead of here: plug-ins stop in reverse order of their
// creation, so the server, created before the owner, stops after it and answers
// with status 421 while the owner hands over its shards.
func init() {
	kernel.Register("stream", func(k *kernel.Kernel) (zinniapond.Frontend, error) {
		s := New(auth.New(k.Settings), k.Settings.StreamsListenAddress, k.Logger.Named("stream"))
		s.FindOwner = func() (zinniapond.Scheduler, error) {
			return kernel.FindNamed[zinniapond.Scheduler](k, "owner")
		}
		s.Tracer = k.Tracer
		if k.Clock != nil {
			s.Clock = k.Clock
		}
		if k.Settings.DrainTimeout > 0 {
			s.DrainTimeout = k.Settings.DrainTimeout
		}
		return s, nil
	})
}

const (
	// readTimeout bounds the reading of a request's header and of its body.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the writing of a frame. A caller may read slowly, so it
	// is longer than the time without a frame after which an entry host closes
	// the stream (client.Client.SilenceTimeout).
	writeTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's header; entry hosts send a few short fields.
	maxHeaderBytes = 16 << 10
)

// Server serves relayed calls. Its exported fields have to be set before Run.
type Server struct {
	Authenticator *auth.Authenticator
	ListenAddress netip.AddrPort
	Logger        hclog.Logger
	// FindOwner returns the scheduler that runs the calls. Run calls it once.
	FindOwner         func() (zinniapond.Scheduler, error)
	Tracer            oteltrace.Tracer
	Clock             func() time.Time
	HeartbeatInterval time.Duration // interval of the heartbeat frames in a stream
	// DrainTimeout bounds how long a stopping server waits for the streams in
	// progress.
	DrainTimeout time.Duration

	owner   zinniapond.Scheduler
	ready   chan struct{}
	address netip.AddrPort
}

// New returns a server that will listen at the given address, with the default
// heartbeat interval and a drain timeout of 30 s.
func New(g *auth.Authenticator, listen netip.AddrPort, logger hclog.Logger) *Server {
	return &Server{
		Authenticator: g, ListenAddress: listen, Logger: logger, Clock: time.Now, HeartbeatInterval: codec.DefaultHeartbeatInterval,
		DrainTimeout: 30 * time.Second, ready: make(chan struct{}),
	}
}

// Ready returns a channel that is closed once the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Address returns the address at which the server listens. It is valid once the
// channel of Ready is closed.
func (s *Server) Address() netip.AddrPort { return s.address }

// peerHostKey is the context key of the host that opened the connection.
type peerHostKey struct{}

// Run serves until ctx is done and the streams have ended. Streams that are open
// after DrainTimeout are closed.
func (s *Server) Run(ctx context.Context) error {
	var err error
	if s.owner, err = s.FindOwner(); err != nil {
		return err
	}
	l, err := s.Authenticator.Listen(s.ListenAddress, auth.Streams, s.Logger)
	if err != nil {
		return err
	}
	s.address = l.Addr().(*net.TCPAddr).AddrPort()
	server := &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: readTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: s.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, peerHostKey{}, auth.HostOf(c))
		},
	}
	close(s.ready)
	s.Logger.Info("listening for streams", "address", s.address.String())
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- server.Serve(l) }()
	select {
	case <-ctx.Done():
	case err := <-serveErrors:
		return zinniapond.Wrap("serve streams", s.address, err)
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout)
	defer cancel()
	err = server.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		s.Logger.Warn("closing streams in progress", "drain", s.DrainTimeout)
		err = server.Close()
	}
	if serveErr := <-serveErrors; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call", s.handleCall)
	mux.HandleFunc("POST /open", func(w http.ResponseWriter, r *http.Request) {
		s.handleUnary(w, r, new(zinniapond.Program), func(ctx context.Context, now time.Time, v any) (any, error) {
			return nil, s.owner.Open(ctx, now, *v.(*zinniapond.Program))
		})
	})
	mux.HandleFunc("POST /end", func(w http.ResponseWriter, r *http.Request) {
		s.handleUnary(w, r, new([2]string), func(ctx context.Context, now time.Time, v any) (any, error) {
			p := v.(*[2]string)
			return nil, s.owner.End(ctx, now, zinniapond.ProgramID(p[0]), p[1])
		})
	})
	mux.HandleFunc("GET /view", func(w http.ResponseWriter, r *http.Request) {
		s.handleUnary(w, r, nil, func(ctx context.Context, now time.Time, _ any) (any, error) {
			return s.owner.View(ctx, now, zinniapond.ProgramID(r.URL.Query().Get("program")))
		})
	})
	return mux
}

// decodeBody reads the body of a request and decodes it into v. Its errors wrap
// ErrTooLarge or ErrMalformed unless the connection has failed.
func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request, v any) error {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return err
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, frame.MaxFrameBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return fmt.Errorf("%w: %w", zinniapond.ErrTooLarge, err)
		}
		return fmt.Errorf("%w: %w", zinniapond.ErrMalformed, err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if err := codec.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %w", zinniapond.ErrMalformed, err)
	}
	return nil
}

// authenticateSender returns the host and the registration epoch in the headers
// of r. The host has to be the one that opened the connection.
func authenticateSender(r *http.Request) (zinniapond.HostName, zinniapond.Epoch, error) {
	host, _ := r.Context().Value(peerHostKey{}).(zinniapond.HostName)
	claimed := zinniapond.HostName(r.Header.Get(frame.SenderHeader))
	if claimed != host {
		return "", 0, fmt.Errorf("sender %.40q on a connection of %q: %w", claimed, host, zinniapond.ErrForbidden)
	}
	epoch, err := strconv.ParseUint(r.Header.Get(frame.MemberHeader), 10, 64)
	if err != nil {
		return "", 0, fmt.Errorf("member epoch: %w: %w", zinniapond.ErrMalformed, err)
	}
	return host, zinniapond.Epoch(epoch), nil
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	var call zinniapond.Call
	sink := newAnswerWriter(w)
	host, epoch, err := authenticateSender(r)
	if err == nil {
		err = s.decodeBody(w, r, &call)
	}
	if err != nil {
		sink.sendEnd(zinniapond.Answer{Outcome: zinniapond.OutcomeNotRun}, err)
		return
	}
	ctx, span := trace.StartSpan(r.Context(), s.Tracer, "owner", &call)
	span.SetAttributes(attribute.String("zinniapond.sender", string(host)), attribute.Int64("zinniapond.member", int64(epoch)))
	stopHeartbeats := sink.startHeartbeats(s.HeartbeatInterval)
	answer, err := s.owner.Submit(ctx, s.Clock(), call, sink)
	stopHeartbeats()
	trace.EndSpan(span, err)
	sink.sendEnd(answer, err)
}

// handleUnary serves a request that has a single reply instead of a stream. It
// decodes the request's body into body unless body is nil.
func (s *Server) handleUnary(w http.ResponseWriter, r *http.Request, body any,
	handle func(context.Context, time.Time, any) (any, error),
) {
	_, _, err := authenticateSender(r)
	if err == nil && body != nil {
		err = s.decodeBody(w, r, body)
	}
	var reply any
	if err == nil {
		reply, err = handle(r.Context(), s.Clock(), body)
	}
	data, encodeErr := codec.EncodeResult(reply, err)
	if encodeErr != nil {
		http.Error(w, encodeErr.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", frame.ContentType)
	if errors.Is(err, zinniapond.ErrNotOwner) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = w.Write(data)
}
