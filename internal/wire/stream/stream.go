// Package stream serves calls that entries relay to the owner on this host. It
// uses net/http, as net/rpc has neither streams nor cancellation.
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
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/frame"
	"zinniapond.example/zinniapond/internal/wire/guard"
)

// The server is a Frontend, so that it stands in the kernel's registry. It
// looks the owner up when it runs: built before the owner, it stops after it,
// and answers 421 while the owner hands its shards over.
func init() {
	kernel.Register("stream", func(k *kernel.Kernel) (zinniapond.Frontend, error) {
		s := New(guard.New(k.Settings), k.Settings.Streams, k.Logger.Named("stream"))
		s.Owner = func() (zinniapond.Scheduler, error) {
			return kernel.FindNamed[zinniapond.Scheduler](k, "owner")
		}
		s.Tracer = k.Tracer
		if k.Clock != nil {
			s.Clock = k.Clock
		}
		if k.Settings.Drain > 0 {
			s.Drain = k.Settings.Drain
		}
		return s, nil
	})
}

const (
	// bodyTime bounds the reading of a request.
	bodyTime = 10 * time.Second
	// writeTime bounds the writing of a frame. A caller may read slowly, so it
	// is longer than the silence after which an entry gives a stream up.
	writeTime = 10 * time.Second
	// headerLimit bounds a request's header; entries send a few short fields.
	headerLimit = 16 << 10
)

// Server listens for relayed calls. Its exported fields are set before Run.
type Server struct {
	Guard  *guard.Guard
	Listen netip.AddrPort
	Logger hclog.Logger
	// Owner returns the scheduler that runs the calls.
	Owner  func() (zinniapond.Scheduler, error)
	Tracer oteltrace.Tracer
	Clock  func() time.Time
	Beat   time.Duration
	// Drain bounds how long a stopping server waits for streams.
	Drain time.Duration

	owner   zinniapond.Scheduler
	ready   chan struct{}
	address netip.AddrPort
}

// New returns a server for the given address.
func New(g *guard.Guard, listen netip.AddrPort, logger hclog.Logger) *Server {
	return &Server{
		Guard: g, Listen: listen, Logger: logger, Clock: time.Now, Beat: codec.DefaultBeat,
		Drain: 30 * time.Second, ready: make(chan struct{}),
	}
}

// Ready is closed once the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Address is where the server listens, valid after Ready.
func (s *Server) Address() netip.AddrPort { return s.address }

type connKey struct{}

// Run serves until ctx is done and the streams have ended.
func (s *Server) Run(ctx context.Context) error {
	var err error
	if s.owner, err = s.Owner(); err != nil {
		return err
	}
	l, err := s.Guard.Listen(s.Listen, guard.Streams, s.Logger)
	if err != nil {
		return err
	}
	s.address = l.Addr().(*net.TCPAddr).AddrPort()
	server := &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: bodyTime, IdleTimeout: time.Minute, MaxHeaderBytes: headerLimit,
		ErrorLog: s.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, guard.HostOf(c))
		},
	}
	close(s.ready)
	s.Logger.Info("listening for streams", "address", s.address.String())
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case <-ctx.Done():
	case err := <-failed:
		return zinniapond.Wrap("serve streams", s.address, err)
	}
	bound, cancel := context.WithTimeout(context.Background(), s.Drain)
	defer cancel()
	err = server.Shutdown(bound)
	if errors.Is(err, context.DeadlineExceeded) {
		s.Logger.Warn("closing streams in progress", "drain", s.Drain)
		err = server.Close()
	}
	if ended := <-failed; !errors.Is(ended, http.ErrServerClosed) {
		err = errors.Join(err, ended)
	}
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call", s.call)
	mux.HandleFunc("POST /open", func(w http.ResponseWriter, r *http.Request) {
		s.simple(w, r, new(zinniapond.Program), func(ctx context.Context, now time.Time, v any) (any, error) {
			return nil, s.owner.Open(ctx, now, *v.(*zinniapond.Program))
		})
	})
	mux.HandleFunc("POST /end", func(w http.ResponseWriter, r *http.Request) {
		s.simple(w, r, new([2]string), func(ctx context.Context, now time.Time, v any) (any, error) {
			p := v.(*[2]string)
			return nil, s.owner.End(ctx, now, zinniapond.ProgramID(p[0]), p[1])
		})
	})
	mux.HandleFunc("GET /view", func(w http.ResponseWriter, r *http.Request) {
		s.simple(w, r, nil, func(ctx context.Context, now time.Time, _ any) (any, error) {
			return s.owner.View(ctx, now, zinniapond.ProgramID(r.URL.Query().Get("program")))
		})
	})
	return mux
}

// read decodes the body of a request into v.
func (s *Server) read(w http.ResponseWriter, r *http.Request, v any) error {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTime)); err != nil {
		return err
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, frame.Limit))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
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

// sender checks that the sender is the host that opened the connection.
func sender(r *http.Request) (zinniapond.HostName, zinniapond.Epoch, error) {
	host, _ := r.Context().Value(connKey{}).(zinniapond.HostName)
	named := zinniapond.HostName(r.Header.Get(frame.Sender))
	if named != host {
		return "", 0, fmt.Errorf("sender %.40q on a connection of %q: %w", named, host, zinniapond.ErrForbidden)
	}
	epoch, err := strconv.ParseUint(r.Header.Get(frame.Member), 10, 64)
	if err != nil {
		return "", 0, fmt.Errorf("member epoch: %w: %w", zinniapond.ErrMalformed, err)
	}
	return host, zinniapond.Epoch(epoch), nil
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var call zinniapond.Call
	out := newWriter(w)
	host, epoch, err := sender(r)
	if err == nil {
		err = s.read(w, r, &call)
	}
	if err != nil {
		out.end(zinniapond.Answer{Outcome: zinniapond.OutcomeNotRun}, err)
		return
	}
	ctx, span := trace.Hop(r.Context(), s.Tracer, "owner", &call)
	span.SetAttributes(attribute.String("zinniapond.sender", string(host)), attribute.Int64("zinniapond.member", int64(epoch)))
	stop := out.heartbeat(s.Beat)
	answer, err := s.owner.Submit(ctx, s.Clock(), call, out)
	stop()
	trace.End(span, err)
	out.end(answer, err)
}

// simple serves a request with one answer.
func (s *Server) simple(w http.ResponseWriter, r *http.Request, body any,
	run func(context.Context, time.Time, any) (any, error),
) {
	_, _, err := sender(r)
	if err == nil && body != nil {
		err = s.read(w, r, body)
	}
	var reply any
	if err == nil {
		reply, err = run(r.Context(), s.Clock(), body)
	}
	data, failure := codec.Seal(reply, err)
	if failure != nil {
		http.Error(w, failure.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", frame.Content)
	if errors.Is(err, zinniapond.ErrNotOwner) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime))
	_, _ = w.Write(data)
}
