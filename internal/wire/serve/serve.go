// Package serve exposes methods to the other hosts of the cluster by net/rpc.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/semaphore"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/wire/auth"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Mounter, error) {
		return New(auth.New(k.Settings), k.Settings.PeersListenAddress, k.Logger.Named("serve")), nil
	})
}

// defaultDrainTimeout bounds how long a stopping server waits for calls in
// progress. The plug-ins whose methods are mounted have stopped before, so their
// calls end soon.
const defaultDrainTimeout = 2 * time.Second

// Server serves the calls of other hosts. Its exported fields have to be set
// before Run, and MaxMessageBytes before Mount.
type Server struct {
	Authenticator *auth.Authenticator
	ListenAddress netip.AddrPort
	Logger        hclog.Logger
	DrainTimeout  time.Duration // how long Run waits for calls in progress when it stops
	// MaxMessageBytes, HeartbeatInterval and SilenceTimeout are the arguments of
	// codec.New: the largest message in bytes, the heartbeat interval and the read
	// and write timeout.
	MaxMessageBytes                   int
	HeartbeatInterval, SilenceTimeout time.Duration

	methods *rpc.Server
	bulk    *semaphore.Weighted
	ready   chan struct{}
	address netip.AddrPort

	mu          sync.Mutex
	codecs      map[*codec.Codec]struct{}
	connections sync.WaitGroup
}

// New returns a server that will listen at the given address, with the default
// message limit and grace period.
func New(g *auth.Authenticator, listen netip.AddrPort, logger hclog.Logger) *Server {
	return &Server{
		Authenticator: g, ListenAddress: listen, Logger: logger, DrainTimeout: defaultDrainTimeout, MaxMessageBytes: codec.DefaultMaxMessageBytes,
		methods: rpc.NewServer(), bulk: semaphore.NewWeighted(maxBulkBytes), ready: make(chan struct{}), codecs: make(map[*codec.Codec]struct{}),
	}
}

// Mount exposes the methods of receiver that have the form
// func(Request, *Reply) error as name.Method. It fails if there is none or if the
// name is mounted already.
func (s *Server) Mount(name string, receiver any) error {
	methods := findMethods(receiver, s.MaxMessageBytes, s.bulk, s.Logger)
	if len(methods) == 0 {
		return fmt.Errorf("mount %s: %T has no method of the form func(Request, *Reply) error", name, receiver)
	}
	for method, m := range methods {
		if err := s.methods.RegisterName(name+"."+method, m); err != nil {
			return fmt.Errorf("mount %s: %w", name, err)
		}
	}
	return nil
}

// Ready returns a channel that is closed once the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Address returns the address at which the server listens. It is valid once the
// channel of Ready is closed.
func (s *Server) Address() netip.AddrPort { return s.address }

// Run serves until ctx is done. Then it reads no more requests, waits for the
// calls in progress, at most for the grace period, and closes the connections.
func (s *Server) Run(ctx context.Context) error {
	l, err := s.Authenticator.Listen(s.ListenAddress, auth.Peers, s.Logger)
	if err != nil {
		return err
	}
	s.address = l.Addr().(*net.TCPAddr).AddrPort()
	close(s.ready)
	s.Logger.Info("listening for peers", "address", s.address.String())
	acceptErrors := make(chan error, 1)
	go func() { acceptErrors <- s.accept(l) }()
	select {
	case <-ctx.Done():
		l.Close()
		err = <-acceptErrors
	case err = <-acceptErrors:
		l.Close()
	}
	s.closeConnections()
	return err
}

func (s *Server) accept(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return zinniapond.Wrap("accept", s.address, err)
		}
		cc := codec.New(c, s.MaxMessageBytes, s.HeartbeatInterval, s.SilenceTimeout)
		s.mu.Lock()
		s.codecs[cc] = struct{}{}
		s.mu.Unlock()
		s.connections.Add(1)
		go s.serveConnection(cc, auth.HostOf(c))
	}
}

// serveConnection serves one connection. It returns once no more requests can be
// read and the calls in progress have ended.
func (s *Server) serveConnection(c *codec.Codec, host zinniapond.HostName) {
	defer s.connections.Done()
	s.Logger.Debug("peer connected", "host", host)
	s.methods.ServeCodec(c)
	s.mu.Lock()
	delete(s.codecs, c)
	s.mu.Unlock()
	s.Logger.Debug("peer disconnected", "host", host)
}

func (s *Server) closeConnections() {
	s.forEachCodec((*codec.Codec).StopReading)
	done := make(chan struct{})
	go func() {
		s.connections.Wait()
		close(done)
	}()
	timer := time.NewTimer(s.DrainTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		s.Logger.Warn("closing connections with calls in progress", "grace", s.DrainTimeout)
		s.forEachCodec(func(c *codec.Codec) { _ = c.Close() })
	}
}

func (s *Server) forEachCodec(visit func(*codec.Codec)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.codecs {
		visit(c)
	}
}
