// Package front serves a stand-in over HTTP on an address of its own.
package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
)

// Options are the command-line options that all stand-ins share.
type Options struct {
	Listen netip.AddrPort `default:"127.0.0.1:0" placeholder:"IP:PORT" help:"Address; port 0 takes a free one."`
}

const headerTimeout = 10 * time.Second

// Serve prints the address that it listens on and serves until SIGTERM or
// SIGINT.
func (o *Options) Serve(ctx context.Context, f *inject.Factory, build func(netip.AddrPort) http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", o.Listen.String())
	if err != nil {
		return zinniapond.Wrap("listen", o.Listen, err)
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	if _, err := fmt.Fprintln(f.Out, address); err != nil {
		return errors.Join(err, l.Close())
	}
	server := &http.Server{Handler: build(address), ReadHeaderTimeout: headerTimeout}
	// No owner waits for the streams of a stand-in, so the server closes them
	// at once instead of draining them.
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return zinniapond.Wrap("serve stand-in", address, err)
	}
	return nil
}
