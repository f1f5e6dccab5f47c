// Package plain implements the command that runs a stand-in for a plain HTTP
// service.
package plain

import (
	"context"
	"net/http"
	"net/netip"

	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/standin/front"
)

// Options are the options of `standin service`.
type Options struct {
	front.Options `embed:""`
}

// Run serves the stand-in until ctx is done or the process gets a signal.
func (o *Options) Run(ctx context.Context, f *inject.Factory) error {
	return o.Serve(ctx, f, func(netip.AddrPort) http.Handler { return f.Service() })
}
