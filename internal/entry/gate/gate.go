// Package gate listens for HTTP requests from outside: with limits, with TLS
// where it is set, and with an end that interrupts no request.
package gate

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/net/netutil"

	"zinniapond.example/zinniapond"
)

const (
	// idleLimit closes connections that callers keep open without a request.
	idleLimit = time.Minute
	// spare is the room for connections beyond the open requests, so that
	// refusals and health checks still get an answer.
	spare = 64
)

// Gate is one listener. Its exported fields are set before Run.
type Gate struct {
	Listen      netip.AddrPort
	Handler     http.Handler
	Certificate string // path; TLS is used when set
	Key         string // path
	Limits      zinniapond.LimitSettings
	Drain       time.Duration // time for open requests to end
	// Notice is the part of Drain in which new requests are still taken, while
	// /healthz fails already, for load balancers to notice.
	Notice time.Duration
	Clock  func() time.Time
	Logger hclog.Logger

	address  atomic.Pointer[netip.AddrPort]
	draining atomic.Bool
}

// Address is where the gate listens; invalid before Run has begun to listen.
func (g *Gate) Address() netip.AddrPort {
	if a := g.address.Load(); a != nil {
		return *a
	}
	return netip.AddrPort{}
}

// Draining tells whether the end has begun.
func (g *Gate) Draining() bool { return g.draining.Load() }

// Run serves until ctx is done and then lets open requests end within the
// drain time.
func (g *Gate) Run(ctx context.Context) error {
	var config *tls.Config
	if g.Certificate != "" {
		pair := &pair{certificate: g.Certificate, key: g.Key, logger: g.Logger}
		if _, err := pair.get(nil); err != nil {
			return fmt.Errorf("load certificate: %w", err)
		}
		config = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: pair.get, NextProtos: []string{"http/1.1"}}
	}
	listener, err := net.Listen("tcp", g.Listen.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if g.Limits.Open > 0 {
		// Each connection costs memory before its request can be refused.
		listener = netutil.LimitListener(listener, 2*g.Limits.Open+spare)
	}
	if a, err := netip.ParseAddrPort(listener.Addr().String()); err == nil {
		g.address.Store(&a)
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(g.serve),
		// For header and body. The deadline holds until the body has arrived
		// whole, also after an early refusal, and not for the answer.
		ReadTimeout:    g.Limits.Read,
		IdleTimeout:    idleLimit,
		MaxHeaderBytes: g.Limits.Header,
		ErrorLog:       log.New(quiet{g.Logger}, "", 0),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return g.stop(server)
}

// serve closes a connection after its answer once the end has begun, so that
// few callers meet a connection that is closed as they send a request.
func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	g.Handler.ServeHTTP(w, r)
}

// stop ends the server: first it takes requests but announces the end, then it
// takes none and waits for the open ones.
func (g *Gate) stop(server *http.Server) error {
	g.draining.Store(true)
	notice := time.NewTimer(g.Notice)
	defer notice.Stop()
	<-notice.C
	ctx, cancel := context.WithTimeout(context.Background(), g.Drain-g.Notice)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.Logger.Error("requests interrupted after the drain time", "drain", g.Drain)
		return server.Close()
	}
	return err
}

// quiet takes net/http's own messages, most of them about broken connections
// of callers.
type quiet struct{ logger hclog.Logger }

func (q quiet) Write(b []byte) (int, error) {
	q.logger.Debug("http", "message", string(b))
	return len(b), nil
}

// pair is a certificate that is read again when its file changes.
type pair struct {
	certificate, key string
	logger           hclog.Logger

	mu      sync.Mutex
	loaded  *tls.Certificate
	changed time.Time // of the two files, the newer one
}

// get returns the certificate. A changed file that cannot be read leaves the
// loaded one in force.
func (p *pair) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed, err := newest(p.certificate, p.key)
	if err == nil && p.loaded != nil && changed.Equal(p.changed) {
		return p.loaded, nil
	}
	if err == nil {
		var next tls.Certificate
		if next, err = tls.LoadX509KeyPair(p.certificate, p.key); err == nil {
			if p.loaded != nil {
				p.logger.Info("certificate loaded again", "file", p.certificate)
			}
			p.loaded, p.changed = &next, changed
			return p.loaded, nil
		}
	}
	if p.loaded == nil {
		return nil, err
	}
	p.logger.Warn("changed certificate not loaded", "file", p.certificate, "error", err)
	return p.loaded, nil
}

func newest(paths ...string) (time.Time, error) {
	var at time.Time
	for _, n := range paths {
		info, err := os.Stat(n)
		if err != nil {
			return at, err
		}
		if info.ModTime().After(at) {
			at = info.ModTime()
		}
	}
	return at, nil
}
