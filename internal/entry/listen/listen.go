// Package listen runs the HTTP listeners for callers and operators: with limits on
// connections, header and time, with TLS if a certificate is set, and with a
// graceful shutdown.
package listen

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
	// idleTimeout is the time after which a connection without a request is
	// closed.
	idleTimeout = time.Minute
	// extraConnections is added to the limit on connections, which is twice the
	// limit on open requests, so that refusals and health checks still get an
	// answer.
	extraConnections = 64
)

// Server is one HTTP listener with its server. Its exported fields are set
// before Run.
type Server struct {
	ListenAddress   netip.AddrPort
	Handler         http.Handler
	CertificateFile string // path; TLS is used if it is set
	KeyFile         string // path
	Limits          zinniapond.LimitSettings
	// DrainTimeout is the time that open requests have to end, NoticePeriod
	// included.
	DrainTimeout time.Duration
	// NoticePeriod is the first part of DrainTimeout, in which new requests are
	// still accepted but /healthz fails already, so that load balancers send no
	// more requests.
	NoticePeriod time.Duration
	Clock        func() time.Time
	Logger       hclog.Logger

	address  atomic.Pointer[netip.AddrPort]
	draining atomic.Bool
}

// Address returns the address of the listener; invalid before Run listens.
func (g *Server) Address() netip.AddrPort {
	if a := g.address.Load(); a != nil {
		return *a
	}
	return netip.AddrPort{}
}

// Draining reports whether the shutdown has begun.
func (g *Server) Draining() bool { return g.draining.Load() }

// Run serves requests until ctx is done and then waits for open requests, for
// at most DrainTimeout.
func (g *Server) Run(ctx context.Context) error {
	var config *tls.Config
	if g.CertificateFile != "" {
		loader := &certificateLoader{certificate: g.CertificateFile, key: g.KeyFile, logger: g.Logger}
		if _, err := loader.getCertificate(nil); err != nil {
			return fmt.Errorf("load certificate: %w", err)
		}
		config = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: loader.getCertificate, NextProtos: []string{"http/1.1"}}
	}
	listener, err := net.Listen("tcp", g.ListenAddress.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if g.Limits.MaxOpenRequests > 0 {
		// Each connection costs memory before its request can be refused.
		listener = netutil.LimitListener(listener, 2*g.Limits.MaxOpenRequests+extraConnections)
	}
	if a, err := netip.ParseAddrPort(listener.Addr().String()); err == nil {
		g.address.Store(&a)
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(g.serve),
		// This deadline is for the header and the body of a request, also for
		// the rest of a body that was refused early. It does not apply to the
		// answer.
		ReadTimeout:    g.Limits.ReadTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: g.Limits.MaxHeaderBytes,
		ErrorLog:       log.New(debugWriter{g.Logger}, "", 0),
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return g.stop(server)
}

// serve passes the request to the handler. During the shutdown it also has the
// connection closed after the answer, so that few callers send a request on a
// connection that is just being closed.
func (g *Server) serve(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	g.Handler.ServeHTTP(w, r)
}

// stop shuts the server down. It still accepts requests for the time
// NoticePeriod, then accepts none and waits for open requests until
// DrainTimeout has passed.
func (g *Server) stop(server *http.Server) error {
	g.draining.Store(true)
	noticeTimer := time.NewTimer(g.NoticePeriod)
	defer noticeTimer.Stop()
	<-noticeTimer.C
	ctx, cancel := context.WithTimeout(context.Background(), g.DrainTimeout-g.NoticePeriod)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.Logger.Error("drain timeout exceeded, open requests interrupted", "drain", g.DrainTimeout)
		return server.Close()
	}
	return err
}

// debugWriter logs the messages of net/http's server at level debug, as most of
// them are about broken connections of callers.
type debugWriter struct{ logger hclog.Logger }

func (q debugWriter) Write(b []byte) (int, error) {
	q.logger.Debug("HTTP server message", "message", string(b))
	return len(b), nil
}

// certificateLoader provides a certificate and loads it again when one of its
// files has changed.
type certificateLoader struct {
	certificate, key string
	logger           hclog.Logger

	mu      sync.Mutex
	loaded  *tls.Certificate
	modTime time.Time // of the file that was modified last
}

// getCertificate returns the current certificate. If changed files cannot be
// loaded, as while they are being written, the loaded certificate stays in use.
func (p *certificateLoader) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	modTime, err := latestModTime(p.certificate, p.key)
	if err == nil && p.loaded != nil && modTime.Equal(p.modTime) {
		return p.loaded, nil
	}
	if err == nil {
		var reloaded tls.Certificate
		if reloaded, err = tls.LoadX509KeyPair(p.certificate, p.key); err == nil {
			if p.loaded != nil {
				p.logger.Info("certificate reloaded", "file", p.certificate)
			}
			p.loaded, p.modTime = &reloaded, modTime
			return p.loaded, nil
		}
	}
	if p.loaded == nil {
		return nil, err
	}
	p.logger.Warn("certificate reload failed, the loaded one stays in use", "file", p.certificate, "error", err)
	return p.loaded, nil
}

// latestModTime returns the latest modification time of the files.
func latestModTime(paths ...string) (time.Time, error) {
	var latest time.Time
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return latest, err
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
