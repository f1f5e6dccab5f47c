// Package serve offers methods to the other hosts of the cluster by net/rpc.
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

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/guard"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Mounter, error) {
		return New(guard.New(k.Settings), k.Settings.Peers, k.Logger.Named("serve")), nil
	})
}

// defaultGrace bounds how long a stopping server waits for calls in progress.
// What the methods belong to has stopped before, so they end soon.
const defaultGrace = 2 * time.Second

// Server listens for calls of other hosts. Its exported fields are set before
// Run.
type Server struct {
	Guard  *guard.Guard
	Listen netip.AddrPort
	Logger hclog.Logger
	Grace  time.Duration
	// Limit, Beat and Silence are handed to the codec.
	Limit         int
	Beat, Silence time.Duration

	methods *rpc.Server
	ready   chan struct{}
	address netip.AddrPort

	mu     sync.Mutex
	codecs map[*codec.Codec]struct{}
	group  sync.WaitGroup
}

// New returns a server for the given address.
func New(g *guard.Guard, listen netip.AddrPort, logger hclog.Logger) *Server {
	return &Server{
		Guard: g, Listen: listen, Logger: logger, Grace: defaultGrace, Limit: codec.DefaultLimit,
		methods: rpc.NewServer(), ready: make(chan struct{}), codecs: make(map[*codec.Codec]struct{}),
	}
}

// Mount offers the methods of receiver as name.Method.
func (s *Server) Mount(name string, receiver any) error {
	found := methodsOf(receiver, s.Limit)
	if len(found) == 0 {
		return fmt.Errorf("mount %s: %T has no method of the form that net/rpc asks for", name, receiver)
	}
	for method, m := range found {
		if err := s.methods.RegisterName(name+"."+method, m); err != nil {
			return fmt.Errorf("mount %s: %w", name, err)
		}
	}
	return nil
}

// Ready is closed once the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Address is where the server listens, valid after Ready.
func (s *Server) Address() netip.AddrPort { return s.address }

// Run serves until ctx is done. Then it reads no more requests, waits for those
// in progress and closes the connections.
func (s *Server) Run(ctx context.Context) error {
	l, err := s.Guard.Listen(s.Listen, guard.Peers, s.Logger)
	if err != nil {
		return err
	}
	s.address = l.Addr().(*net.TCPAddr).AddrPort()
	close(s.ready)
	s.Logger.Info("listening for peers", "address", s.address.String())
	failed := make(chan error, 1)
	go func() { failed <- s.accept(l) }()
	select {
	case <-ctx.Done():
		l.Close()
		err = <-failed
	case err = <-failed:
		l.Close()
	}
	s.stop()
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
		cc := codec.New(c, s.Limit, s.Beat, s.Silence)
		s.mu.Lock()
		s.codecs[cc] = struct{}{}
		s.mu.Unlock()
		s.group.Add(1)
		go s.serve(cc, guard.HostOf(c))
	}
}

// serve ends when the connection does and its calls have ended.
func (s *Server) serve(c *codec.Codec, host zinniapond.HostName) {
	defer s.group.Done()
	s.Logger.Debug("peer connected", "host", host)
	s.methods.ServeCodec(c)
	s.mu.Lock()
	delete(s.codecs, c)
	s.mu.Unlock()
	s.Logger.Debug("peer disconnected", "host", host)
}

func (s *Server) stop() {
	s.each((*codec.Codec).Halt)
	done := make(chan struct{})
	go func() {
		s.group.Wait()
		close(done)
	}()
	timer := time.NewTimer(s.Grace)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		s.Logger.Warn("closing connections with calls in progress", "grace", s.Grace)
		s.each(func(c *codec.Codec) { _ = c.Close() })
	}
}

func (s *Server) each(visit func(*codec.Codec)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.codecs {
		visit(c)
	}
}
